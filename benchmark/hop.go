package benchmark

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleymill/keys"
)

const (
	latencyDigits  = 3           // significant digits of the latency histograms
	maxLatency     = time.Minute // upper bound of the latency histograms
	hopWarmUpCalls = 200         // calls by each caller over each protocol before the measurement
)

// HopConfig configures MeasureHop.
type HopConfig struct {
	Callers []int         // numbers of concurrent callers, measured one after another
	Rounds  int           // number of rounds of each protocol
	Round   time.Duration // duration of one round of one protocol
	Seed    uint64        // determines the order of the protocols in each round
}

// HopFigures are the figures of one protocol with one number of callers. ClientCPU
// and ServerCPU are the processor time of the two processes.
type HopFigures struct {
	Protocol       string  `json:"protocol"`
	Callers        int     `json:"callers"`
	Calls          int64   `json:"calls"`
	P50            float64 `json:"p50_us"`
	P99            float64 `json:"p99_us"`
	LowestP50      float64 `json:"lowest_p50_of_a_round_us"`
	HighestP50     float64 `json:"highest_p50_of_a_round_us"`
	ClientCPU      float64 `json:"client_cpu_us_per_call"`
	ServerCPU      float64 `json:"server_cpu_us_per_call"`
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Hop is the content of the results file HopFile: the figures of a call from one
// process to another.
type Hop struct {
	Run         Run          `json:"run"`
	AnswerBytes int          `json:"answer_bytes"`
	Rounds      int          `json:"rounds"`
	Round       string       `json:"round"`
	Figures     []HopFigures `json:"figures"`
}

// MeasureHop calls a hop server over every protocol. The protocols take turns in
// short rounds and in random order, so that other load on the machine affects all
// of them alike.
func MeasureHop(ctx context.Context, s *keys.Store, addresses HopAddresses, c HopConfig, run Run) (*Hop, error) {
	out := &Hop{Run: run, AnswerBytes: hopAnswerBytes, Rounds: c.Rounds, Round: c.Round.String()}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	for _, callers := range c.Callers {
		clients, err := newHopClients(ctx, s, addresses, callers)
		if err != nil {
			return nil, err
		}
		figures, err := measureHop(ctx, clients, callers, c, rng)
		for _, client := range clients {
			client.close()
		}
		if err != nil {
			return nil, err
		}
		out.Figures = append(out.Figures, figures...)
	}
	return out, nil
}

func measureHop(ctx context.Context, clients []*hopClient, callers int, c HopConfig, rng *rand.Rand) ([]HopFigures, error) {
	totals := make([]*hopTotals, len(clients))
	for i, client := range clients {
		totals[i] = newHopTotals()
		if _, err := runCallers(ctx, client, callers, func(n int) bool { return n < hopWarmUpCalls }); err != nil {
			return nil, err
		}
	}
	for range c.Rounds {
		for _, i := range rng.Perm(len(clients)) {
			if err := totals[i].round(ctx, clients, i, callers, c.Round); err != nil {
				return nil, fmt.Errorf("measure %s: %w", clients[i].name, err)
			}
		}
	}
	out := make([]HopFigures, 0, len(clients))
	for i, client := range clients {
		f := totals[i].figures()
		f.Protocol, f.Callers = client.name, callers
		out = append(out, f)
	}
	return out, nil
}

// runCallers runs concurrent callers and returns the latencies of all calls. Each caller
// makes at least one call, and continues while keepCalling returns true for the number of
// its finished calls. On a busy machine a caller may first run after the end of its round.
func runCallers(ctx context.Context, client *hopClient, callers int, keepCalling func(n int) bool) ([]time.Duration, error) {
	latencies, errs := make([][]time.Duration, callers), make([]error, callers)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; n == 0 || keepCalling(n) && errs[i] == nil; n++ {
				start := time.Now()
				errs[i] = client.call(ctx)
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	running.Wait()
	return slices.Concat(latencies...), errors.Join(errs...)
}

// hopTotals accumulates the results of all rounds of one protocol.
type hopTotals struct {
	all                  *hdrhistogram.Histogram
	roundMedians         []time.Duration
	clientCPU, serverCPU time.Duration
	elapsed              time.Duration
}

func newHopTotals() *hopTotals {
	return &hopTotals{all: hdrhistogram.New(1, int64(maxLatency), latencyDigits)}
}

// round runs one round with clients[i] and adds its figures.
func (s *hopTotals) round(ctx context.Context, clients []*hopClient, i, callers int, length time.Duration) error {
	usageClient := clients[0] // HTTP/1.1 for every protocol, so that the queries cost the same
	serverBefore, err := usageClient.serverProcessorTime(ctx)
	if err != nil {
		return err
	}
	clientBefore, err := processorTime()
	if err != nil {
		return err
	}
	start := time.Now()
	latencies, err := runCallers(ctx, clients[i], callers, func(int) bool { return time.Since(start) < length })
	if err != nil {
		return err
	}
	s.elapsed += time.Since(start)
	clientAfter, err := processorTime()
	if err != nil {
		return err
	}
	serverAfter, err := usageClient.serverProcessorTime(ctx)
	if err != nil {
		return err
	}
	s.clientCPU += clientAfter - clientBefore
	s.serverCPU += serverAfter - serverBefore
	return s.record(latencies)
}

func (s *hopTotals) record(latencies []time.Duration) error {
	if len(latencies) == 0 {
		return errors.New("no call finished in the round")
	}
	for _, l := range latencies {
		if err := s.all.RecordValue(int64(l)); err != nil {
			return err
		}
	}
	slices.Sort(latencies)
	s.roundMedians = append(s.roundMedians, latencies[len(latencies)/2])
	return nil
}

func (s *hopTotals) figures() HopFigures {
	calls := s.all.TotalCount()
	perCall := func(d time.Duration) float64 { return tenths(float64(d) / float64(time.Microsecond) / float64(calls)) }
	return HopFigures{
		Calls: calls,
		P50:   micros(s.all.ValueAtQuantile(50)), P99: micros(s.all.ValueAtQuantile(99)),
		LowestP50: micros(int64(slices.Min(s.roundMedians))), HighestP50: micros(int64(slices.Max(s.roundMedians))),
		ClientCPU: perCall(s.clientCPU), ServerCPU: perCall(s.serverCPU),
		CallsPerSecond: tenths(float64(calls) / s.elapsed.Seconds()),
	}
}
