// Command millstandin runs a stand-in backend server for tests and measurements.
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
		Short:         "Run a test backend server that records every request execution",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), c) },
	}
	f := cmd.Flags()
	f.StringVar(&c.Address, "address", c.Address, "address to listen on")
	f.StringVar(&c.Service, "service", c.Service, "service name in the execution records")
	f.IntVar(&c.Slots, "slots", c.Slots, "number of concurrent executions")
	f.IntVar(&c.Connections, "connections", c.Connections, "number of open connections; further ones are closed")
	f.DurationVar(&c.OpenDelay, "open-delay", c.OpenDelay, "delay before a new connection is served")
	f.DurationVar(&c.ServiceTime, "service-time", c.ServiceTime, "mean execution time")
	f.Float64Var(&c.Spread, "spread", c.Spread, "spread of the execution times, as the standard deviation of their logarithm")
	f.Float64Var(&c.SwingFactor, "swing-factor", c.SwingFactor, "factor of the execution time at the peak of a swing (periodic slowdown)")
	f.DurationVar(&c.SwingPeriod, "swing-period", c.SwingPeriod, "period of the swings, 0 for none")
	f.DurationVar(&c.ColdStart, "cold-start", c.ColdStart, "time after the start during which executions take longer")
	f.Float64Var(&c.ColdFactor, "cold-factor", c.ColdFactor, "factor of the execution time at the beginning of the cold start")
	f.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "age of the state that health and load answers report")
	f.BoolVar(&c.ReportIdle, "report-idle", c.ReportIdle, "always report an idle server in load answers")
	f.DurationVar(&c.ReportDelay, "report-delay", c.ReportDelay, "delay of health and load answers")
	f.IntVar(&c.ShedAbove, "shed-above", c.ShedAbove, "refuse a request if more than this number would wait, 0 for never")
	f.IntVar(&c.AnswerBytes, "answer-bytes", c.AnswerBytes, "size of an answer body in bytes")
	f.BoolVar(&c.FailFast, "fail-fast", c.FailFast, "answer every request with status 500 immediately")
	f.StringVar(&c.CallURL, "call-url", c.CallURL, "URL to call during every execution whose method is not GET or HEAD")
	f.StringVar(&c.DirectCallURL, "direct-call-url", c.DirectCallURL, "URL to call instead of --call-url for requests that did not come through a node")
	f.StringVar(&c.RecordFile, "record-file", c.RecordFile, "file to write the execution records to")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the execution times")
	f.BoolVar(&c.AllowCrash, "allow-crash", c.AllowCrash, "exit on a request with the header "+standin.HeaderCrash)
	f.BoolVar(&c.IgnoreContext, "ignore-cancel", c.IgnoreContext, "finish executions whose caller has disconnected")
	f.DurationVar(&c.DrainTimeout, "drain-timeout", c.DrainTimeout, "time limit of a graceful stop")
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
