package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/observe"
)

// newObserveCommand returns the command that groups the measurements of running
// nodes.
func newObserveCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "observe", Short: "Measure the running nodes that a manifest file lists"}
	cmd.AddCommand(newRestCommand(), newSpreadCommand())
	return cmd
}

func newRestCommand() *cobra.Command {
	var d time.Duration
	cmd := &cobra.Command{
		Use:   "rest MANIFEST",
		Short: "Measure the processor time, memory and control traffic of the nodes for a while",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			targets, err := observe.ReadManifest(args[0])
			if err != nil {
				return err
			}
			node, control, err := observe.MeasureCost(cmd.Context(), targets, d)
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), map[string]observe.Cost{"node": node, "control": control})
		},
	}
	cmd.Flags().DurationVar(&d, "for", 20*time.Second, "duration of the measurement")
	return cmd
}

func newSpreadCommand() *cobra.Command {
	var first uint64
	cmd := &cobra.Command{
		Use:   "spread MANIFEST",
		Short: "Compute from the logs how long configuration changes took to be in force on every node",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			targets, err := observe.ReadManifest(args[0])
			if err != nil {
				return err
			}
			s, err := observe.ReadSpread(targets, first)
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), s)
		},
	}
	cmd.Flags().Uint64Var(&first, "after", 0, "ignore configuration versions up to this one")
	return cmd
}

func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
