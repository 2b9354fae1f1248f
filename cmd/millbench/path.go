package main

import (
	"time"

	"github.com/spf13/cobra"

	"bramleymill/benchmark"
)

const (
	defaultHopRound  = 120 * time.Millisecond
	defaultPathRound = 500 * time.Millisecond
)

func newPathCommand(o *options) *cobra.Command {
	c := benchmark.PathConfig{}
	var light float64
	var lightRounds, halfRounds int
	cmd := &cobra.Command{
		Use:   "path",
		Short: "Compare the latency through the nodes with that of direct requests to the backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Seed = o.seed
			c.Rates = []benchmark.PathRate{
				{Name: "light", PerSecond: light, Rounds: lightRounds},
				{Name: "half of capacity", PerSecond: c.Capacity / 2, Rounds: halfRounds},
			}
			r, err := benchmark.MeasurePath(cmd.Context(), c, o.run())
			if err != nil {
				return err
			}
			return benchmark.WriteJSON(o.results, benchmark.PathFile, r)
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.NodesURL, "nodes-url", "", "URL for requests through an entry node, which has no backend server of its own")
	f.StringVar(&c.DirectURL, "direct-url", "", "URL for direct requests to the backend server")
	f.Float64Var(&c.Capacity, "capacity", 0, "requests per second that the backend server can execute")
	f.Float64Var(&light, "light", 200, "requests per second of the light load")
	f.IntVar(&lightRounds, "light-rounds", 30, "number of rounds for each path at the light load")
	f.IntVar(&halfRounds, "half-rounds", 16, "number of rounds for each path at half of the capacity")
	f.DurationVar(&c.Round, "round", defaultPathRound, "duration of a round")
	return cmd
}
