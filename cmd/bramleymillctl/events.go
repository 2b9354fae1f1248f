package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/fleet"
	"bramleymill/operator"
)

func newEventsCommand(o *options) *cobra.Command {
	var node string
	var limit int
	c := &cobra.Command{
		Use:   "events",
		Short: "Show what repaired itself and why, newest first",
		Long: `Show what nodes recorded about repairs and changes of state, newest first: servers
that were ejected and let back in, crashes, drains, configurations in force.
Nodes keep recent events only; accepted changes are in 'history'.`,
		Example: `  bramleymillctl events
  bramleymillctl events --node katalog-2 --limit 20`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				got, err := client.Events(ctx, fleet.NodeID(node), limit)
				if err != nil {
					return err
				}
				return o.show(c, got, func(w io.Writer) { printEvents(w, got) })
			})
		},
	}
	c.Flags().StringVar(&node, "node", "", "only events recorded by this node")
	c.Flags().IntVar(&limit, "limit", 50, "number of events, at most 256")
	return c
}

func printEvents(w io.Writer, e operator.Events) {
	rows := [][]any{{"TIME", "EVENT", "NODE", "SERVICE", "REASON"}}
	for _, v := range e.Events {
		rows = append(rows, []any{time.Unix(0, v.At).UTC().Format("2006-01-02 15:04:05.000"), v.Kind, v.Node, v.Service, v.Reason})
	}
	printTable(w, rows)
	for _, m := range e.Missing {
		fmt.Fprintf(w, "no events of %s: %s\n", m.Node, m.Reason)
	}
}
