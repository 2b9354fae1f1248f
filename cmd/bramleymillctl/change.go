package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/operator"
)

// defaultWait is the time within which every node of a fleet of the size that the
// load balancer is designed for applies an accepted change.
const defaultWait = 14 * time.Second

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	id          string
	reason      string
	wait        bool
	waitTimeout time.Duration
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.id, "change-id", "", "id of the change; use the id of an earlier command to send that change again (default: a new id)")
	c.Flags().StringVar(&f.reason, "reason", "", "reason to record in the audit trail")
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until every live node has applied the change")
	c.Flags().DurationVar(&f.waitTimeout, "wait-timeout", defaultWait, "time limit of --wait, at most 30s")
}

// ensureID generates the change id unless it is given. All attempts of the command
// use the same id.
func (f *changeFlags) ensureID() {
	if f.id == "" {
		f.id = strings.ToLower(rand.Text())
	}
}

// runChange sends a change and prints the result. With --wait it also waits for the
// live nodes, except after a dry run.
func (o *options) runChange(c *cobra.Command, f *changeFlags, send func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error)) error {
	f.ensureID()
	return o.withClient(c, func(ctx context.Context, client *operator.Client) error {
		r, err := send(ctx, client)
		if err != nil {
			return addNextStep(f.id, err)
		}
		if !f.wait || r.DryRun {
			return o.show(c, r, func(w io.Writer) { printChange(w, r) })
		}
		if o.output == outputText {
			printChange(c.OutOrStdout(), r)
		}
		return o.waitForNodes(c, client, f, r)
	})
}

func printChange(w io.Writer, r operator.ChangeResult) {
	switch {
	case r.DryRun:
		fmt.Fprintf(w, "valid against version %d, nothing was changed\n%s", r.Version, r.Diff)
		return
	case r.Repeated:
		fmt.Fprintf(w, "accepted earlier: version %d, orders %d, change id %s\n", r.Version, r.OrdersVersion, r.ChangeID)
	default:
		fmt.Fprintf(w, "accepted: version %d, orders %d, change id %s\n", r.Version, r.OrdersVersion, r.ChangeID)
	}
	if r.Message != "" {
		fmt.Fprintln(w, r.Message)
	}
}

// changeAndWait is the JSON output of a change with --wait.
type changeAndWait struct {
	Change operator.ChangeResult `json:"change"`
	Wait   operator.WaitResult   `json:"wait"`
}

// waitForNodes waits until every live node has applied r and prints the result. If
// some do not within --wait-timeout, it returns errUnconfirmed with their names.
func (o *options) waitForNodes(c *cobra.Command, client *operator.Client, f *changeFlags, r operator.ChangeResult) error {
	timeout := min(f.waitTimeout, operator.MaxWait)
	// The wait has its own time limit, because the change may have used up most of
	// --timeout.
	ctx, cancel := context.WithTimeout(context.Background(), timeout+o.timeout)
	defer cancel()
	got, err := client.Wait(ctx, r.Version, r.OrdersVersion, timeout)
	if err != nil {
		return fmt.Errorf("%w: the change is accepted as version %d, but the wait for the nodes failed: %v", errUnconfirmed, r.Version, err)
	}
	err = o.show(c, changeAndWait{Change: r, Wait: got}, func(w io.Writer) {
		fmt.Fprintf(w, "applied by %d live nodes\n", got.Applied)
	})
	if err != nil || len(got.Lagging) == 0 {
		return err
	}
	return fmt.Errorf("%w: the change is accepted as version %d, but these live nodes have not applied it within %s: %v",
		errUnconfirmed, r.Version, timeout, got.Lagging)
}

// addNextStep adds to err what the operator needs to continue: after a version
// conflict, the difference since the expected version; if control was unavailable
// or the outcome is unknown, the change id with which to send the change again.
func addNextStep(id string, err error) error {
	var e *operator.Error
	if !errors.As(err, &e) {
		return err
	}
	switch {
	case e.Kind == errkind.VersionConflict && e.Conflict != nil && e.Conflict.Diff != "":
		return fmt.Errorf("%w\nchanged since the expected version:\n%s", err, e.Conflict.Diff)
	case e.Kind == errkind.OutcomeUnknown || e.Kind == errkind.ControlUnavailable:
		return fmt.Errorf("%w\nsend it again with --change-id %s", err, id)
	}
	return err
}

func newApplyCommand(o *options) *cobra.Command {
	var f changeFlags
	var dryRun bool
	var expect uint64
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the class document",
		Long: `Replace the class document by FILE, or by standard input when FILE is "-".

The document defines the classes of requests of the fleet as JSON.

Without --expect, the command reads the current version and replaces it. If
another operator changes the document in between, the command is refused and
shows the difference; nothing is overwritten.`,
		Example: `  bramleymillctl apply classes.json --wait
  bramleymillctl apply classes.json --dry-run
  bramleymillctl apply classes.json --expect 41 --reason "shorter deadline for quotes"`,
		Args: cobra.ExactArgs(1),
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		document, err := readDocument(c, args[0])
		if err != nil {
			return err
		}
		return o.runChange(c, &f, func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error) {
			q := operator.ApplyRequest{ChangeID: f.id, ExpectedVersion: expect, Reason: f.reason, Document: string(document), DryRun: dryRun}
			if !c.Flags().Changed("expect") {
				current, err := client.Current(ctx)
				if err != nil {
					return operator.ChangeResult{}, err
				}
				q.ExpectedVersion = current.Version
			}
			return client.Apply(ctx, q)
		})
	}
	f.add(c)
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only validate the document and show the difference; change nothing")
	c.Flags().Uint64Var(&expect, "expect", 0, "version that the change replaces (default: the current one)")
	return c
}

func readDocument(c *cobra.Command, path string) ([]byte, error) {
	in := c.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read document: %w", err)
		}
		defer file.Close()
		in = file
	}
	b, err := io.ReadAll(io.LimitReader(in, configstate.MaxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	if len(b) > configstate.MaxDocumentBytes {
		return nil, fmt.Errorf("document %s has more than %d bytes", path, configstate.MaxDocumentBytes)
	}
	return b, nil
}

func newRollbackCommand(o *options) *cobra.Command {
	var f changeFlags
	var expect uint64
	c := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Put the document of an older version in force again",
		Long: `Put the document of an older version in force again, as a new version.
The command history lists older versions, and get prints one of them.`,
		Example: `  bramleymillctl rollback 40 --wait --reason "orders time out"`,
		Args:    cobra.ExactArgs(1),
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		version, err := parseVersion(args[0])
		if err != nil {
			return err
		}
		return o.runChange(c, &f, func(ctx context.Context, client *operator.Client) (operator.ChangeResult, error) {
			q := operator.RollbackRequest{ChangeID: f.id, ExpectedVersion: expect, Version: version, Reason: f.reason}
			if !c.Flags().Changed("expect") {
				current, err := client.Current(ctx)
				if err != nil {
					return operator.ChangeResult{}, err
				}
				q.ExpectedVersion = current.Version
			}
			return client.Rollback(ctx, q)
		})
	}
	f.add(c)
	c.Flags().Uint64Var(&expect, "expect", 0, "version that the change replaces (default: the current one)")
	return c
}
