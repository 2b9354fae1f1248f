package benchmark

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	pathTimeout   = 5 * time.Second
	pathIdleConns = 256
	headerKind    = "Bramleymill-Kind"
	pathWarmUp    = 300 // sequential calls of each path, not counted
	// MaxPathRate and MaxPathDuration keep a mistyped command from flooding the machine.
	MaxPathRate     = 10_000
	MaxPathDuration = 2 * time.Minute
)

// Names of the paths.
const (
	Direct       = "direct"
	ThroughNodes = "through-nodes"
)

// PathConfig configures the measurement of the added latency.
type PathConfig struct {
	NodesURL  string // at an entry node without a backend server
	DirectURL string // at the backend server
	Rates     []PathRate
	Round     time.Duration // duration of one round of one path
	Capacity  float64       // requests per second, for the record
	Seed      uint64        // arrival times and order of the paths
}

// PathRate is one step of load.
type PathRate struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	Rounds    int     `json:"rounds"` // of each path
}

// PathFigures are those of one path at one rate.
type PathFigures struct {
	Path     string         `json:"path"`
	Requests int64          `json:"requests"`
	Failed   int64          `json:"failed"`
	Failures map[string]int `json:"failures,omitempty"` // by status and kind
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
}

// PathResult compares both paths at one rate. The added latency is the
// difference of the quantiles of all requests. The median over pairs of rounds of
// the same difference is less sensitive to bursts of other load.
type PathResult struct {
	Rate           PathRate    `json:"rate"`
	Direct         PathFigures `json:"direct"`
	Through        PathFigures `json:"through_nodes"`
	AddedP50       float64     `json:"added_p50_ms"`
	AddedP99       float64     `json:"added_p99_ms"`
	AddedP50Rounds float64     `json:"added_p50_median_of_rounds_ms"`
	AddedP99Rounds float64     `json:"added_p99_median_of_rounds_ms"`
}

// Path holds the figures of the request path.
type Path struct {
	Run      Run          `json:"run"`
	Round    string       `json:"round"`
	Capacity float64      `json:"capacity_per_second"`
	Results  []PathResult `json:"results"`
}

// Validate returns an error for a plan beyond the limits.
func (c *PathConfig) Validate() error {
	var total time.Duration
	for _, r := range c.Rates {
		if r.PerSecond <= 0 || r.PerSecond > MaxPathRate || r.Rounds < 1 {
			return fmt.Errorf("rate %q: %g per second in %d rounds is out of bounds", r.Name, r.PerSecond, r.Rounds)
		}
		total += 2 * time.Duration(r.Rounds) * c.Round
	}
	if c.Round <= 0 || total > MaxPathDuration {
		return fmt.Errorf("rounds of %s last %s in total, use at most %s", c.Round, total, MaxPathDuration)
	}
	return nil
}

// MeasurePath sends an open-loop load in rounds that alternate between both
// paths in a shuffled order. Each request is timed from its own start, so that a
// slow answer delays no other request.
func MeasurePath(ctx context.Context, c PathConfig, run Run) (*Path, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	paths := []*pathClient{newPathClient(Direct, c.DirectURL), newPathClient(ThroughNodes, c.NodesURL)}
	for _, p := range paths {
		for range pathWarmUp {
			if err := p.get(ctx); err != nil {
				return nil, fmt.Errorf("warm-up %s: %w", p.name, err)
			}
		}
	}
	out := &Path{Run: run, Round: c.Round.String(), Capacity: c.Capacity}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	for _, rate := range c.Rates {
		for range rate.Rounds {
			for _, i := range rng.Perm(len(paths)) {
				paths[i].send(ctx, arrivals(rng, rate.PerSecond, c.Round))
				paths[i].endRound()
			}
		}
		out.Results = append(out.Results, compare(rate, paths[0].take(), paths[1].take()))
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// arrivals returns the times of a Poisson process within a round.
func arrivals(rng *rand.Rand, perSecond float64, round time.Duration) []time.Duration {
	var out []time.Duration
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		d := time.Duration(at * float64(time.Second))
		if d >= round {
			return out
		}
		out = append(out, d)
	}
}

func compare(rate PathRate, direct, through pathSum) PathResult {
	d, t := direct.figures(Direct), through.figures(ThroughNodes)
	return PathResult{
		Rate: rate, Direct: d, Through: t,
		AddedP50: thousandths(t.P50 - d.P50), AddedP99: thousandths(t.P99 - d.P99),
		AddedP50Rounds: medianDifference(direct.p50, through.p50), AddedP99Rounds: medianDifference(direct.p99, through.p99),
	}
}

// medianDifference returns the median of b[i]-a[i].
func medianDifference(a, b []float64) float64 {
	var d []float64
	for i := range min(len(a), len(b)) {
		d = append(d, b[i]-a[i])
	}
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return thousandths((d[(len(d)-1)/2] + d[len(d)/2]) / 2)
}

// pathSum sums up the rounds of one path at one rate.
type pathSum struct {
	all, round *hdrhistogram.Histogram
	failures   map[string]int
	p50, p99   []float64 // of each round
}

func newPathSum() pathSum {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxLatency), latencyDigits) }
	return pathSum{all: h(), round: h(), failures: map[string]int{}}
}

func (s *pathSum) record(d time.Duration, err error) {
	if err == nil {
		err = s.round.RecordValue(int64(d))
	}
	if err != nil {
		s.failures[failureName(err)]++
	}
}

func (s *pathSum) endRound() {
	s.all.Merge(s.round)
	s.p50 = append(s.p50, quantileMillis(s.round, 50))
	s.p99 = append(s.p99, quantileMillis(s.round, 99))
	s.round.Reset()
}

func (s *pathSum) figures(path string) PathFigures {
	f := PathFigures{Path: path, Requests: s.all.TotalCount(), P50: quantileMillis(s.all, 50), P99: quantileMillis(s.all, 99)}
	for name, n := range s.failures {
		f.Failed += int64(n)
		f.Requests += int64(n)
		if f.Failures == nil {
			f.Failures = map[string]int{}
		}
		f.Failures[name] = n
	}
	return f
}

func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return millis(time.Duration(h.ValueAtQuantile(q)))
}

// refusal is an answer that is not from the backend server.
type refusal struct{ status, kind string }

func (r *refusal) Error() string { return strings.TrimSpace(r.status + " " + r.kind) }

// failureName groups errors: a refusal by its status and kind.
func failureName(err error) string {
	if r, ok := errors.AsType[*refusal](err); ok {
		return r.Error()
	}
	return "connection error"
}

// pathClient sends requests over one path and collects their latency.
type pathClient struct {
	name, url string
	client    *http.Client

	mu  sync.Mutex
	sum pathSum
}

func newPathClient(name, url string) *pathClient {
	return &pathClient{name: name, url: url, sum: newPathSum(), client: &http.Client{
		Timeout:   pathTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: pathIdleConns, DisableCompression: true},
	}}
}

// send sends one request at each arrival and waits for all answers.
func (p *pathClient) send(ctx context.Context, arrivals []time.Duration) {
	start := time.Now()
	var wait sync.WaitGroup
	for _, at := range arrivals {
		time.Sleep(time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() {
			began := time.Now()
			err := p.get(ctx)
			p.record(time.Since(began), err)
		})
	}
	wait.Wait()
}

func (p *pathClient) record(d time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sum.record(d, err)
}

func (p *pathClient) endRound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sum.endRound()
}

// take returns the sums since the last call of take.
func (p *pathClient) take() pathSum {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.sum
	p.sum = newPathSum()
	return taken
}

func (p *pathClient) get(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &refusal{status: resp.Status, kind: resp.Header.Get(headerKind)}
	}
	return nil
}
