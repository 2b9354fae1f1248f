// Command millload sends a bounded load to nodes and checks the outcome against
// the execution records of stand-in backend servers.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"bramleymill/cli"
	"bramleymill/freeport"
	"bramleymill/loadgen"
)

var errCheckFailed = errors.New("work was lost, doubled, mixed or falsely refused")

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "millload",
		Short:         "Send a bounded load and check it against execution records",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newFreePortsCommand(), newObserveCommand())
	return root
}

func newRunCommand() *cobra.Command {
	var records, outcomes, prefix string
	cmd := &cobra.Command{
		Use:   "run PLAN",
		Short: "Run a plan, print a table and check the execution records",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd, args[0], records, outcomes, prefix)
		},
	}
	cmd.Flags().StringVar(&records, "records", "", "folder with the execution records (*.records)")
	cmd.Flags().StringVar(&outcomes, "outcomes", "", "file to write the outcome of every request to")
	cmd.Flags().StringVar(&prefix, "prefix", "load", "prefix of the work ids")
	return cmd
}

func run(cmd *cobra.Command, planFile, records, outcomes, prefix string) error {
	p, err := loadgen.LoadPlan(planFile)
	if err != nil {
		return err
	}
	r, err := loadgen.NewRunner(p, prefix)
	if err != nil {
		return err
	}
	result, err := r.Run(cmd.Context())
	if err != nil {
		return err
	}
	if err := writeOutcomes(outcomes, result); err != nil {
		return err
	}
	executions, err := loadgen.ReadExecutions(records)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if err := loadgen.WriteTable(out, result, executions); err != nil {
		return err
	}
	check := loadgen.Verify(result.Outcomes(), executions)
	if v := check.Violations(); v != "" {
		fmt.Fprintln(out, v)
	}
	fmt.Fprintf(out, "false_refusals=%d mixed=%d rejected=%d\n", check.FalseRefusals, check.Mixed, check.Rejected)
	fmt.Fprintln(out, check.Line())
	if !check.Passed() {
		return errCheckFailed
	}
	return nil
}

func writeOutcomes(path string, r *loadgen.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write outcomes: %w", err)
	}
	enc := json.NewEncoder(f)
	for _, o := range r.Outcomes() {
		if err := enc.Encode(o); err != nil {
			return errors.Join(fmt.Errorf("write outcomes: %w", err), f.Close())
		}
	}
	return f.Close()
}

// newFreePortsCommand prints ports that are free for TCP and UDP at the moment,
// so that scripts need no fixed ones.
func newFreePortsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "free-ports N",
		Short: "Print N ports of the loopback address that are free now",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil || n < 1 || n > 2000 {
				return fmt.Errorf("count %q: use 1 to 2000", args[0])
			}
			ports, err := freePorts(n)
			if err != nil {
				return err
			}
			for _, p := range ports {
				fmt.Fprintln(cmd.OutOrStdout(), p)
			}
			return nil
		},
	}
}

func freePorts(n int) ([]string, error) {
	ports := make([]string, 0, n)
	for range n {
		address, err := freeport.ScriptAddress()
		if err != nil {
			return nil, err
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

func main() { os.Exit(cli.Run(newRootCommand())) }
