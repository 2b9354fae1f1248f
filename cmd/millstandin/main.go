// Command millstandin runs a stand-in backend server.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"bramleymill/cli"
	"bramleymill/standin"
)

func newRootCommand() *cobra.Command {
	c := standin.DefaultConfig()
	cmd := &cobra.Command{
		Use:           "millstandin",
		Short:         "Run a stand-in backend server that records every execution",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), c) },
	}
	f := cmd.Flags()
	f.StringVar(&c.Address, "address", c.Address, "address to listen on")
	f.StringVar(&c.Service, "service", c.Service, "service name in the records")
	f.IntVar(&c.Slots, "slots", c.Slots, "concurrent executions")
	f.IntVar(&c.Connections, "connections", c.Connections, "connection limit")
	f.DurationVar(&c.OpenDelay, "open-delay", c.OpenDelay, "time to open a connection")
	f.DurationVar(&c.ServiceTime, "service-time", c.ServiceTime, "mean execution time")
	f.Float64Var(&c.Spread, "spread", c.Spread, "spread of execution times (standard deviation of the logarithm)")
	f.Float64Var(&c.SwingFactor, "swing-factor", c.SwingFactor, "peak multiple of the execution time during swings")
	f.DurationVar(&c.SwingPeriod, "swing-period", c.SwingPeriod, "period of swings, 0 for none")
	f.DurationVar(&c.ColdStart, "cold-start", c.ColdStart, "duration of the cold start")
	f.Float64Var(&c.ColdFactor, "cold-factor", c.ColdFactor, "multiple of the execution time at the start")
	f.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "age of load reports")
	f.BoolVar(&c.ReportIdle, "report-idle", c.ReportIdle, "always report an idle server")
	f.DurationVar(&c.ReportDelay, "report-delay", c.ReportDelay, "time to answer a probe")
	f.IntVar(&c.ShedAbove, "shed-above", c.ShedAbove, "shed requests above this number of waiting ones, 0 for never")
	f.IntVar(&c.AnswerBytes, "answer-bytes", c.AnswerBytes, "size of an answer")
	f.BoolVar(&c.FailFast, "fail-fast", c.FailFast, "answer every request with 500 at once")
	f.StringVar(&c.CallURL, "call-url", c.CallURL, "URL to call during every execution that is not GET or HEAD")
	f.StringVar(&c.DirectCallURL, "direct-call-url", c.DirectCallURL, "URL to call instead for requests that came without a node")
	f.StringVar(&c.RecordFile, "record-file", c.RecordFile, "file for execution records")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the execution times")
	f.BoolVar(&c.AllowCrash, "allow-crash", c.AllowCrash, "exit on a request with the header "+standin.HeaderCrash)
	f.BoolVar(&c.IgnoreContext, "ignore-cancel", c.IgnoreContext, "finish executions whose caller has gone")
	f.DurationVar(&c.DrainTimeout, "drain-timeout", c.DrainTimeout, "bound of a graceful stop")
	return cmd
}

func run(ctx context.Context, c standin.Config) error {
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	s, err := standin.New(c, logger)
	if err != nil {
		return err
	}
	logger.Info("stand-in listening", "service", c.Service, "address", s.Address())
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), c.DrainTimeout)
	defer cancel()
	return s.Shutdown(stopCtx)
}

func main() { os.Exit(cli.Run(newRootCommand())) }
