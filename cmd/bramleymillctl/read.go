package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"bramleymill/explain"
	"bramleymill/operator"
)

func parseVersion(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v == 0 {
		return 0, fmt.Errorf("version %q: use a whole number from 1", s)
	}
	return v, nil
}

func newGetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get [VERSION]",
		Short: "Print the class document in force, or an older version of it",
		Example: `  bramleymillctl get > classes.json
  bramleymillctl get 40`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				got, err := getVersion(ctx, client, args)
				if err != nil {
					return err
				}
				return o.show(c, got, func(w io.Writer) { fmt.Fprint(w, got.Document) })
			})
		},
	}
}

func getVersion(ctx context.Context, client *operator.Client, args []string) (operator.Configuration, error) {
	if len(args) == 0 {
		return client.Current(ctx)
	}
	version, err := parseVersion(args[0])
	if err != nil {
		return operator.Configuration{}, err
	}
	return client.Version(ctx, version)
}

func newDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff [FROM [TO]]",
		Short: "Show the difference between two versions of the class document",
		Long:  "Show the difference between two versions of the class document. TO defaults to the\nversion in force, and FROM to the version before TO.",
		Example: `  bramleymillctl diff
  bramleymillctl diff 38 41`,
		Args: cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var versions [2]uint64
			for i, a := range args {
				v, err := parseVersion(a)
				if err != nil {
					return err
				}
				versions[i] = v
			}
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				d, err := client.Diff(ctx, versions[0], versions[1])
				if err != nil {
					return err
				}
				return o.show(c, d, func(w io.Writer) { fmt.Fprint(w, d.Diff) })
			})
		},
	}
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the nodes of the fleet and the versions that they have applied",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				s, err := client.Status(ctx)
				if err != nil {
					return err
				}
				if err := o.show(c, s, func(w io.Writer) { printStatus(w, s) }); err != nil {
					return err
				}
				if !s.Confirmed {
					return fmt.Errorf("%w: %s", errUnconfirmed, s.Message)
				}
				return nil
			})
		},
	}
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "version %d, orders %d, confirmed %t, as seen by %s\n", s.Version, s.OrdersVersion, s.Confirmed, s.Node)
	if s.Customers > 0 {
		fmt.Fprintf(w, "customers %d, requests need a key unless their class is anonymous\n", s.Customers)
	}
	for _, d := range s.Drains {
		fmt.Fprintf(w, "drain order for %s by %s since %s %s\n", d.Node, d.Operator, d.Time.Format("2006-01-02 15:04:05"), d.Reason)
	}
	for _, z := range s.Zones {
		fmt.Fprintf(w, "zone %s out of use (%d live servers) by %s since %s %s\n", z.Zone, z.Nodes, z.Operator, z.Time.Format("2006-01-02 15:04:05"), z.Reason)
	}
	for _, service := range s.Unserved {
		fmt.Fprintf(w, "service %s: all its zones are out of use, its requests get 503\n", service)
	}
	rows := [][]any{{"NODE", "SERVICE", "ZONE", "STATE", "LIVE", "VERSION", "ORDERS", "LEASE AGE"}}
	for _, n := range s.Nodes {
		rows = append(rows, []any{n.Node, n.Service, n.Zone, n.State, n.Live, n.ConfigVersion, n.OrdersVersion, fmt.Sprintf("%d ms", n.LeaseAgeMs)})
	}
	printTable(w, rows)
	for _, n := range s.Nodes {
		if n.ControlProblem != "" {
			fmt.Fprintf(w, "control role of %s: %s\n", n.Node, n.ControlProblem)
		}
	}
}

func newExplainCommand(o *options) *cobra.Command {
	var dryRun bool
	var request explain.PlanRequest
	c := &cobra.Command{
		Use:   "explain REQUEST-ID | explain --dry-run --host HOST --path PATH",
		Short: "Show what happened to one request, or where a request would go now",
		Long: "Show the record of the request whose id was sent in the Bramleymill-Request-Id\nheader of its answer. The addresses are queried in order until one has the record.\n\n" +
			"With --dry-run, show where a request would go now and why: its class, the quota of\nits customer, the servers and what excludes them, whether it would leave the zone of\n" +
			"the entry node, and what would refuse it. Nothing is sent to a server, no permit is\ntaken and no count changes. Without --entry, the node at the first address that\nanswers is the entry node.",
		Example: `  bramleymillctl explain katalog-1.5f3.9
  bramleymillctl explain --dry-run --host shop.example --path /orders/7 --method POST --customer museum --entry katalog-1`,
		Args: func(c *cobra.Command, args []string) error {
			if dryRun {
				return cobra.NoArgs(c, args)
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				if dryRun {
					plan, err := client.Plan(ctx, request)
					if err != nil {
						return err
					}
					return o.show(c, plan, func(w io.Writer) { printPlan(w, &plan) })
				}
				record, err := client.Explain(ctx, args[0])
				if err != nil {
					return err
				}
				return writeJSON(c.OutOrStdout(), json.RawMessage(record))
			})
		},
	}
	f := c.Flags()
	f.BoolVar(&dryRun, "dry-run", false, "show where a request would go now, without sending it")
	f.StringVar(&request.Host, "host", "", "with --dry-run: host of the request")
	f.StringVar(&request.Path, "path", "", "with --dry-run: path of the request, with its query")
	f.StringVar(&request.Method, "method", http.MethodGet, "with --dry-run: method of the request")
	f.StringVar(&request.Customer, "customer", "", "with --dry-run: name of the customer; without it, the request has no key")
	f.StringVar((*string)(&request.Entry), "entry", "", "with --dry-run: node that the request reaches first")
	return c
}
