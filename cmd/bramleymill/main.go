// Command bramleymill runs a load balancer node or validates its settings file.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"bramleymill/cli"
	"bramleymill/node"
	"bramleymill/platform"
	"bramleymill/settings"
)

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleymill",
		Short:         "Load balancer node that runs beside a backend server",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newNodeCommand(), newCheckSettingsCommand(), newPlatformCommand())
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

func newNodeCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node beside a backend server until SIGTERM, with a JSON settings file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runNode(c.Context(), file)
		},
	}
	c.Flags().StringVar(&file, "settings", "settings.json", "settings file of the node")
	return c
}

func newPlatformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run a node until SIGTERM on a hosting platform, with the platform's YAML settings file (named by the environment) and message formats",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return platform.Run(c.Context()) },
	}
}

func runNode(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return fmt.Errorf("log_level: %w", err)
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	n, err := node.New(s, logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func main() { os.Exit(cli.Run(newRootCommand())) }
