// Command millbench measures the load balancer and writes the results as JSON
// files, a page and plots. scripts/bench.sh runs its subcommands in order.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"bramleymill/benchmark"
	"bramleymill/cli"
	"bramleymill/clock"
	"bramleymill/keys"
)

// options are the flags that the subcommands share.
type options struct {
	results string
	seed    uint64
	note    string
}

func (o *options) run() benchmark.Run { return benchmark.NewRun(os.Args, o.seed, o.note) }

func newRootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "millbench",
		Short:         "Measure load balancing policies, protocols between nodes and added latency",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringVar(&o.results, "results", "bench/results", "folder of the result files")
	f.Uint64Var(&o.seed, "seed", 0, "random seed of the measurement")
	f.StringVar(&o.note, "note", "", "note to store with the results, for example that the machine was busy")
	root.AddCommand(newPoliciesCommand(o), newHopServerCommand(), newHopCommand(o), newPathCommand(o), newGoCommand(o), newPageCommand(o))
	return root
}

func newPoliciesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "policies TRACES",
		Short: "Replay the recorded traces in a folder with every load balancing policy",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := benchmark.RunPolicies(args[0], o.run())
			if err != nil {
				return err
			}
			return benchmark.WriteJSON(o.results, benchmark.PoliciesFile, p)
		},
	}
}

// hopFlags are the flags of both sides of the hop between two nodes: the addresses
// of the server and the key files of this process.
type hopFlags struct {
	addresses benchmark.HopAddresses
	files     keys.Files
}

func (h *hopFlags) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&h.addresses.HTTP1, "http1", "", "address for HTTP/1.1")
	f.StringVar(&h.addresses.HTTP2, "http2", "", "address for HTTP/2")
	f.StringVar(&h.addresses.QUIC, "quic", "", "address for QUIC")
	f.StringVar(&h.files.Authority, "authority", "", "certificate file of the trusted authority")
	f.StringVar(&h.files.Certificate, "certificate", "", "certificate file of this process")
	f.StringVar(&h.files.PrivateKey, "private-key", "", "private key file of this process")
}

func (h *hopFlags) store() (*keys.Store, error) {
	return keys.Load(keys.Config{Files: h.files, Clock: clock.System{}})
}

func newHopServerCommand() *cobra.Command {
	var h hopFlags
	cmd := &cobra.Command{
		Use:   "hop-server",
		Short: "Run the server for hop: answer calls over HTTP/1.1, HTTP/2 and QUIC with mutual TLS",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := h.store()
			if err != nil {
				return err
			}
			server, err := benchmark.ListenHop(s, h.addresses)
			if err != nil {
				return err
			}
			return server.Serve(cmd.Context())
		},
	}
	h.add(cmd)
	return cmd
}

func newHopCommand(o *options) *cobra.Command {
	var h hopFlags
	c := benchmark.HopConfig{}
	cmd := &cobra.Command{
		Use:   "hop",
		Short: "Measure calls to a running hop-server over every protocol, in alternating rounds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := h.store()
			if err != nil {
				return err
			}
			c.Seed = o.seed
			r, err := benchmark.MeasureHop(cmd.Context(), s, h.addresses, c, o.run())
			if err != nil {
				return err
			}
			return benchmark.WriteJSON(o.results, benchmark.HopFile, r)
		},
	}
	h.add(cmd)
	cmd.Flags().IntSliceVar(&c.Callers, "callers", []int{1, 16}, "numbers of concurrent callers to measure with")
	cmd.Flags().IntVar(&c.Rounds, "rounds", 60, "number of rounds for each protocol")
	cmd.Flags().DurationVar(&c.Round, "round", defaultHopRound, "duration of a round")
	return cmd
}

func newGoCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "go FILE",
		Short: "Convert the output of go test -bench to a result file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			results, err := benchmark.ParseGoBenchmarks(f)
			if err != nil {
				return err
			}
			return benchmark.WriteJSON(o.results, benchmark.GoFile, &benchmark.GoBenchmarks{Run: o.run(), Results: results})
		},
	}
}

func newPageCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "page",
		Short: "Write the result page and its plots from the result files",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return benchmark.WritePage(o.results) },
	}
}

func main() { os.Exit(cli.Run(newRootCommand())) }
