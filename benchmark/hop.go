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
	latencyDigits = 3 // significant digits of histograms
	maxLatency    = time.Minute
	hopWarmUp     = 200 // calls for each protocol and number of callers
)

// HopConfig configures the comparison of protocols.
type HopConfig struct {
	Callers []int
	Rounds  int           // of each protocol
	Round   time.Duration // duration of one round of one protocol
	Seed    uint64        // order of the protocols in each round
}

// HopFigures are those of one protocol and number of callers. The processor time
// is that of both processes.
type HopFigures struct {
	Protocol     string  `json:"protocol"`
	Callers      int     `json:"callers"`
	Calls        int64   `json:"calls"`
	P50          float64 `json:"p50_us"`
	P99          float64 `json:"p99_us"`
	LowestP50    float64 `json:"lowest_p50_of_a_round_us"`
	HighestP50   float64 `json:"highest_p50_of_a_round_us"`
	ClientCPU    float64 `json:"client_cpu_us_per_call"`
	ServerCPU    float64 `json:"server_cpu_us_per_call"`
	CallsASecond float64 `json:"calls_per_second"`
}

// Hop holds the figures of the request hop.
type Hop struct {
	Run         Run          `json:"run"`
	AnswerBytes int          `json:"answer_bytes"`
	Rounds      int          `json:"rounds"`
	Round       string       `json:"round"`
	Figures     []HopFigures `json:"figures"`
}

// MeasureHop calls a hop server over every protocol, in short rounds that take
// turns in a shuffled order, so that other load on the machine hits all alike.
func MeasureHop(ctx context.Context, s *keys.Store, a HopAddresses, c HopConfig, run Run) (*Hop, error) {
	out := &Hop{Run: run, AnswerBytes: hopAnswerBytes, Rounds: c.Rounds, Round: c.Round.String()}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	for _, callers := range c.Callers {
		clients, err := newHopClients(ctx, s, a, callers)
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
	sums := make([]*hopSum, len(clients))
	for i, client := range clients {
		sums[i] = newHopSum()
		if _, err := runCallers(ctx, client, callers, func(n int) bool { return n < hopWarmUp }); err != nil {
			return nil, err
		}
	}
	for range c.Rounds {
		for _, i := range rng.Perm(len(clients)) {
			if err := sums[i].round(ctx, clients, i, callers, c.Round); err != nil {
				return nil, fmt.Errorf("%s: %w", clients[i].name, err)
			}
		}
	}
	out := make([]HopFigures, 0, len(clients))
	for i, client := range clients {
		f := sums[i].figures()
		f.Protocol, f.Callers = client.name, callers
		out = append(out, f)
	}
	return out, nil
}

// runCallers runs concurrent callers, each of which calls while more(calls done)
// holds, and returns the latencies.
func runCallers(ctx context.Context, client *hopClient, callers int, more func(n int) bool) ([]time.Duration, error) {
	latencies, errs := make([][]time.Duration, callers), make([]error, callers)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for n := 0; more(n) && errs[i] == nil; n++ {
				start := time.Now()
				errs[i] = client.call(ctx)
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	wait.Wait()
	return slices.Concat(latencies...), errors.Join(errs...)
}

// hopSum sums up the rounds of one protocol.
type hopSum struct {
	all            *hdrhistogram.Histogram
	medians        []time.Duration
	client, server time.Duration
	lasted         time.Duration
}

func newHopSum() *hopSum {
	return &hopSum{all: hdrhistogram.New(1, int64(maxLatency), latencyDigits)}
}

func (s *hopSum) round(ctx context.Context, clients []*hopClient, i, callers int, lasts time.Duration) error {
	usage := clients[0] // the same way to ask for all protocols
	serverBefore, err := usage.serverProcessorTime(ctx)
	if err != nil {
		return err
	}
	clientBefore, err := processorTime()
	if err != nil {
		return err
	}
	start := time.Now()
	latencies, err := runCallers(ctx, clients[i], callers, func(int) bool { return time.Since(start) < lasts })
	if err != nil {
		return err
	}
	s.lasted += time.Since(start)
	clientAfter, err := processorTime()
	if err != nil {
		return err
	}
	serverAfter, err := usage.serverProcessorTime(ctx)
	if err != nil {
		return err
	}
	s.client += clientAfter - clientBefore
	s.server += serverAfter - serverBefore
	return s.record(latencies)
}

func (s *hopSum) record(latencies []time.Duration) error {
	if len(latencies) == 0 {
		return errors.New("a round without calls")
	}
	for _, l := range latencies {
		if err := s.all.RecordValue(int64(l)); err != nil {
			return err
		}
	}
	slices.Sort(latencies)
	s.medians = append(s.medians, latencies[len(latencies)/2])
	return nil
}

func (s *hopSum) figures() HopFigures {
	calls := s.all.TotalCount()
	perCall := func(d time.Duration) float64 { return tenths(float64(d) / float64(time.Microsecond) / float64(calls)) }
	return HopFigures{
		Calls: calls,
		P50:   micros(s.all.ValueAtQuantile(50)), P99: micros(s.all.ValueAtQuantile(99)),
		LowestP50: micros(int64(slices.Min(s.medians))), HighestP50: micros(int64(slices.Max(s.medians))),
		ClientCPU: perCall(s.client), ServerCPU: perCall(s.server),
		CallsASecond: tenths(float64(calls) / s.lasted.Seconds()),
	}
}
