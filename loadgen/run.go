package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"bramleymill/clock"
)

// Runner sends the load of a plan.
type Runner struct {
	plan         *Plan
	client       *http.Client
	result       *Result
	tokens       map[string]string // service token by file
	start        time.Time
	workIDPrefix string
}

// NewRunner returns a Runner for p. The work id of every request begins with prefix.
// Runs whose executions are recorded in the same files need different prefixes.
func NewRunner(p *Plan, prefix string) (*Runner, error) {
	r := &Runner{
		plan:         p,
		workIDPrefix: prefix,
		result:       newResult(p),
		tokens:       map[string]string{},
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, s := range p.Streams {
		if s.TokenFile == "" {
			continue
		}
		b, err := os.ReadFile(s.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read service token: %w", err)
		}
		r.tokens[s.TokenFile] = strings.TrimSpace(string(b))
	}
	return r, nil
}

// Run calls the backend servers directly for the baseline, if the plan has one, then
// sends the load to the nodes and waits for every answer.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	if r.plan.DirectDuration > 0 {
		r.runPhase(ctx, r.plan.DirectDuration.Std(), r.sendDirect)
	}
	r.start = time.Now()
	r.runPhase(ctx, r.plan.Duration.Std(), r.send)
	return r.result, ctx.Err()
}

// sendFunc sends request number n of a stream.
type sendFunc func(ctx context.Context, s *Stream, rng *rand.Rand, n int)

// runPhase sends the requests of every stream for d. The requests start at the
// times of a Poisson process, whether or not earlier ones were answered.
func (r *Runner) runPhase(ctx context.Context, d time.Duration, send sendFunc) {
	var requests, streams sync.WaitGroup
	for i := range r.plan.Streams {
		s := &r.plan.Streams[i]
		rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))
		streams.Go(func() {
			next, end := time.Now(), time.Now().Add(d)
			for n := 0; ; n++ {
				next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
				if next.After(end) || !clock.Sleep(ctx, time.Until(next)) {
					return
				}
				requestRNG := rand.New(rand.NewPCG(r.plan.Seed^uint64(n), uint64(i)+1<<32))
				requests.Go(func() { send(ctx, s, requestRNG, n) })
			}
		})
	}
	streams.Wait()
	requests.Wait()
}
