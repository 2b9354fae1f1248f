package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"bramleymill/operator"
	"bramleymill/permit"
)

func newQuotasCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "quotas [CUSTOMER]",
		Short: "Show which control instances issue permits and the buckets of customers",
		Long: "Show which control instances issue permits of quotas, and the bucket of CUSTOMER at each\n" +
			"of them. Without CUSTOMER, show the buckets of the customers that were refused most often.",
		Example: `  bramleymillctl quotas
  bramleymillctl quotas museum-shop`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				customer := ""
				if len(args) > 0 {
					customer = args[0]
				}
				list, err := client.Quotas(ctx, customer)
				if err != nil {
					return err
				}
				return o.show(c, list, func(w io.Writer) { printQuotas(w, list) })
			})
		},
	}
}

func printQuotas(w io.Writer, list []permit.Status) {
	rows := [][]any{{"INSTANCE", "ISSUES", "SHARE", "GRANTED", "DENIED", "REASON"}}
	for _, s := range list {
		rows = append(rows, []any{s.Node, s.Issues, fmt.Sprintf("1/%d", max(s.Issuers, 1)), s.Granted, s.Denied, s.Reason})
	}
	printTable(w, rows)
	rows = [][]any{{"CUSTOMER", "INSTANCE", "RATE", "BURST", "LEVEL", "OUTSTANDING", "LEASE", "GRANTED", "DENIED", "RETURNED"}}
	for _, s := range list {
		for _, b := range s.Buckets {
			rows = append(rows, []any{b.Customer, s.Node, fmt.Sprintf("%.2f/s", b.Rate), fmt.Sprintf("%.1f", b.Burst), fmt.Sprintf("%.1f", b.Level),
				b.Outstanding, fmt.Sprintf("%d ms", b.LeaseMillis), b.Granted, b.Denied, b.Returned})
		}
	}
	if len(rows) > 1 {
		printTable(w, rows)
	}
}
