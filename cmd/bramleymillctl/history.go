package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/spf13/cobra"

	"bramleymill/configstate"
	"bramleymill/operator"
)

const defaultHistoryLimit = 20 // entries

func newHistoryCommand(o *options) *cobra.Command {
	var verify bool
	var limit int
	c := &cobra.Command{
		Use:   "history",
		Short: "Show the latest operator changes or verify the audit trail",
		Long: `Show the latest changes in the audit trail, both accepted and refused.

With --verify the command reads all entries that are kept and recomputes their
hash chain. Keep the hash of the last entry that it prints: if a later trail has
the same hash at that entry, no entry up to it was altered.`,
		Example: `  bramleymillctl history --limit 50
  bramleymillctl history --verify`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
				if verify {
					return o.verifyTrail(ctx, c, client)
				}
				return o.showHistory(ctx, c, client, limit)
			})
		},
	}
	c.Flags().BoolVar(&verify, "verify", false, "verify the hash chain of all entries that are kept")
	c.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "number of entries to show, at most 1000")
	return c
}

func (o *options) showHistory(ctx context.Context, c *cobra.Command, client *operator.Client, limit int) error {
	if limit < 1 || limit > operator.MaxHistoryEntries {
		return fmt.Errorf("--limit %d: use 1 to %d", limit, operator.MaxHistoryEntries)
	}
	// A request for entries after the largest sequence number returns no entries and a
	// checkpoint that identifies the end of the trail.
	end, err := client.History(ctx, math.MaxUint64, 1)
	if err != nil {
		return err
	}
	last := end.Checkpoint.Sequence
	trail, err := client.History(ctx, last-min(last, uint64(limit)), limit)
	if err != nil {
		return err
	}
	return o.show(c, trail, func(w io.Writer) { printTrail(w, trail) })
}

func printTrail(w io.Writer, t configstate.Trail) {
	rows := [][]any{{"ENTRY", "TIME", "OPERATOR", "ORIGIN", "ACTION", "SUBJECT", "OUTCOME", "VERSION", "ORDERS", "CHANGE ID", "REASON"}}
	for _, e := range t.Entries {
		rows = append(rows, []any{e.Sequence, e.Time.Format("2006-01-02 15:04:05"), e.Operator, e.Origin, e.Action,
			e.Subject, e.Outcome, fmt.Sprintf("%d→%d", e.Before, e.After), fmt.Sprintf("%d→%d", e.OrdersBefore, e.OrdersAfter), e.ChangeID, e.Reason})
	}
	printTable(w, rows)
}

// verification is the JSON output of history --verify.
type verification struct {
	Verified int                    `json:"verified_entries"`
	From     configstate.Checkpoint `json:"from"`
	Head     configstate.Checkpoint `json:"head"`
}

// verifyTrail reads the audit trail in pages and verifies the hash chain within and
// across the pages.
func (o *options) verifyTrail(ctx context.Context, c *cobra.Command, client *operator.Client) error {
	page, err := client.History(ctx, 0, operator.MaxHistoryEntries)
	v := verification{From: page.Checkpoint, Head: page.Checkpoint}
	for ; err == nil && len(page.Entries) > 0; page, err = client.History(ctx, v.Head.Sequence, operator.MaxHistoryEntries) {
		if page.Checkpoint != v.Head {
			return errors.New("the audit trail lost entries while it was read, or its hash chain is broken; run the command again")
		}
		if err := page.Verify(); err != nil {
			return err
		}
		v.Verified += len(page.Entries)
		v.Head = page.Head()
	}
	if err != nil {
		return err
	}
	return o.show(c, v, func(w io.Writer) {
		fmt.Fprintf(w, "%d entries after entry %d verified; entry %d has hash %s\n", v.Verified, v.From.Sequence, v.Head.Sequence, v.Head.Hash)
	})
}
