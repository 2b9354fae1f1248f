// Package cli runs the root command of a daemon or tool: it handles signals,
// prints the error and returns the exit code.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Run executes root with a context that is cancelled at SIGINT or SIGTERM. It
// returns the exit code: 0, or 1 after it printed the error to standard error.
func Run(root *cobra.Command) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "error: %v\n", err)
		return 1
	}
	return 0
}
