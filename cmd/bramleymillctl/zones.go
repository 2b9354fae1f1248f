package main

import (
	"context"

	"github.com/spf13/cobra"

	"bramleymill/operator"
)

func newEvacuateCommand(o *options) *cobra.Command {
	c := newZoneCommand(o, (*operator.Client).Evacuate)
	c.Use, c.Short = "evacuate ZONE", "Take a zone out of use: send nothing more to its backend servers"
	c.Long = "Take an availability zone out of use: nothing more is sent to its backend servers until\nreturn. Its nodes continue to serve callers through servers of other zones. An order for\nthe last zone is accepted; requests then get 503, and status names the services."
	c.Example = `  bramleymillctl evacuate zone-b --wait --reason "work on the cooling"`
	return c
}

func newReturnCommand(o *options) *cobra.Command {
	c := newZoneCommand(o, (*operator.Client).Return)
	c.Use, c.Short = "return ZONE", "Return a zone to use"
	c.Example = `  bramleymillctl return zone-b`
	return c
}

// newZoneCommand returns a command that sends an order about a zone. The names of zones have no
// completion by known nodes, because a zone whose nodes are all down can be ordered too.
func newZoneCommand(o *options, send func(*operator.Client, context.Context, string, operator.OrderRequest) (operator.ChangeResult, error)) *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.runChange(c, &f, func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error) {
				return send(client, ctx, args[0], operator.OrderRequest{ChangeID: f.id, Reason: f.reason})
			})
		},
		ValidArgsFunction: cobra.NoFileCompletions,
	}
	f.add(c)
	return c
}
