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
		Short: "Show recent events of the nodes, such as repairs and drains, newest first",
		Long: `Show the events that nodes recorded, newest first: servers that were temporarily
taken out of use and readmitted, crashes, drains, and configurations that came
into force. Nodes keep only recent events. The changes that operators made are
listed by 'bramleymillctl history'.`,
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
	c.Flags().IntVar(&limit, "limit", 50, "number of events to show, at most 256")
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
