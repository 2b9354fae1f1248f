// Command bramleymill runs a node and checks its settings.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"bramleymill/settings"
)

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleymill",
		Short:         "Load balancer node that runs beside a backend server",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newCheckSettingsCommand())
	return root
}

func newCheckSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Validate a settings file without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: valid\n", args[0])
			return err
		},
	}
}

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "error: %v\n", err)
		os.Exit(1)
	}
}
