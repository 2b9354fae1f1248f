// Command millload sends a bounded load to nodes and compares the outcome of every
// request with the execution records of the stand-in backend servers. It also
// measures running nodes and finds free ports for scripts.
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

var errCheckFailed = errors.New("check failed: requests were lost, run twice, answered with another request's data or refused although they ran")

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "millload",
		Short:         "Send a bounded load to nodes, check its outcome and measure nodes",
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
		Short: "Send the load that a plan describes, print a table and check the outcome",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd, args[0], records, outcomes, prefix)
		},
	}
	cmd.Flags().StringVar(&records, "records", "", "folder with the execution records of the stand-in servers (*.records)")
	cmd.Flags().StringVar(&outcomes, "outcomes", "", "file to write the outcome of every request to, one JSON object a line")
	cmd.Flags().StringVar(&prefix, "prefix", "load", "prefix of the ids that identify requests in the execution records")
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
	fmt.Fprintln(out, check.SummaryLine())
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

// newFreePortsCommand returns the command that prints ports free for both TCP and
// UDP, so that scripts do not depend on fixed ports.
func newFreePortsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "free-ports N",
		Short: "Print N loopback ports that are currently free for TCP and UDP",
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
