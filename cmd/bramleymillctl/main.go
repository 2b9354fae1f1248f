// Command bramleymillctl is the operator's command line of bramleymill.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleymillctl",
		Short:         "Operate a bramleymill fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newKeysCommand())
	addThinCommands(root)
	return root
}

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Stderr.WriteString("error: " + err.Error() + "\n")
		os.Exit(1)
	}
}
