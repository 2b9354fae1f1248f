package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bramleymill/fleet"
	"bramleymill/operator"
)

func newInitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Start the replicated log at the first control instance",
		Long: `Start the replicated log with one control instance as its only voter. Run this
command once for a fleet, with the address of one control instance as the only
--address. The other control instances join automatically.`,
		Example: `  bramleymillctl init --address 10.0.0.1:7400`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				if err := client.Init(ctx); err != nil {
					return err
				}
				return printLine(c.OutOrStdout(), "the replicated log is started")
			})
		},
	}
}

// sendOrder is the method of the client that drains or undrains a node.
type sendOrder func(ctx context.Context, client *operator.Client, node fleet.NodeID, q operator.OrderRequest) (operator.ChangeResult, error)

func newDrainCommand(o *options) *cobra.Command {
	c := newOrderCommand(o, func(ctx context.Context, client *operator.Client, node fleet.NodeID, q operator.OrderRequest) (operator.ChangeResult, error) {
		return client.Drain(ctx, node, q)
	})
	c.Use, c.Short = "drain NODE", "Order a node to refuse new requests and finish the running ones"
	c.Long = "Order a node to refuse new requests and finish the running ones. The order stays\nin force until undrain, even after a restart of the node."
	c.Example = `  bramleymillctl drain katalog-3 --wait --reason "replace the disk"`
	return c
}

func newUndrainCommand(o *options) *cobra.Command {
	c := newOrderCommand(o, func(ctx context.Context, client *operator.Client, node fleet.NodeID, q operator.OrderRequest) (operator.ChangeResult, error) {
		return client.Undrain(ctx, node, q)
	})
	c.Use, c.Short = "undrain NODE", "Remove the drain order of a node"
	c.Example = `  bramleymillctl undrain katalog-3`
	return c
}

func newOrderCommand(o *options, send sendOrder) *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.runChange(c, &f, func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error) {
				return send(ctx, client, fleet.NodeID(args[0]), operator.OrderRequest{ChangeID: f.id, Reason: f.reason})
			})
		},
		ValidArgsFunction: o.completeNodes,
	}
	f.add(c)
	return c
}

// completeNodes returns the names of the nodes for completion in the shell.
func (o *options) completeNodes(c *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	var names []string
	if len(args) == 0 {
		err := o.withClient(c, func(ctx context.Context, client *operator.Client) error {
			s, err := client.Status(ctx)
			for _, n := range s.Nodes {
				names = append(names, string(n.Node))
			}
			return err
		})
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func newSuspectsCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:   "suspects",
		Short: "List the requests suspected of crashing backend servers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				list, err := client.Suspects(ctx)
				if err != nil {
					return err
				}
				return o.show(c, list, func(w io.Writer) { printSuspects(w, list) })
			})
		},
	}
	c.AddCommand(newReleaseCommand(o))
	return c
}

func printSuspects(w io.Writer, list []operator.Suspect) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no suspects")
		return
	}
	rows := [][]any{{"SERVICE", "FINGERPRINT", "CRASHES", "REFUSED", "CLASS", "PATH"}}
	for _, s := range list {
		rows = append(rows, []any{s.Service, s.Fingerprint, s.Crashes, s.Refused, s.Class, s.Path})
	}
	printTable(w, rows)
}

func newReleaseCommand(o *options) *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:     "release SERVICE FINGERPRINT",
		Short:   "Allow a request suspected of causing crashes to run again",
		Example: `  bramleymillctl suspects release katalog 00f3a91c22d07b64 --reason "fixed in 4.2"`,
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			fingerprint, err := operator.ParseFingerprint(args[1])
			if err != nil {
				return err
			}
			return o.runChange(c, &f, func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error) {
				return client.Release(ctx, operator.ReleaseRequest{ChangeID: f.id, Service: args[0], Fingerprint: fingerprint, Reason: f.reason})
			})
		},
	}
	f.add(c)
	return c
}
