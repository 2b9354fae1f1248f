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
	pathTimeout     = 5 * time.Second // time limit of one request
	pathIdleConns   = 256             // idle connections kept open for each path
	headerKind      = "Bramleymill-Kind"
	pathWarmUpCalls = 300 // sequential requests over each path before the measurement
	// MaxPathRate (requests per second) and MaxPathDuration (of all rounds together)
	// keep a mistyped command from flooding the machine.
	MaxPathRate     = 10_000
	MaxPathDuration = 2 * time.Minute
)

// Names of the paths: straight to the backend server, or from an entry node through
// a server node to it.
const (
	Direct       = "direct"
	ThroughNodes = "through-nodes"
)

// PathConfig configures MeasurePath.
type PathConfig struct {
	NodesURL  string // URL at an entry node that has no backend server
	DirectURL string // URL at the backend server
	Rates     []PathRate
	Round     time.Duration // duration of one round of one path
	Capacity  float64       // requests per second that the backend server can run; MeasurePath only records it
	Seed      uint64        // determines the arrival times and the order of the paths
}

// PathRate is a load at which both paths are measured.
type PathRate struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	Rounds    int     `json:"rounds"` // number of rounds of each path
}

// PathFigures are the figures of one path at one rate. The latency does not include
// failed requests.
type PathFigures struct {
	Path     string         `json:"path"`
	Requests int64          `json:"requests"`
	Failed   int64          `json:"failed"`
	Failures map[string]int `json:"failures,omitempty"` // number of failures by status and error kind
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
}

// PathResult compares both paths at one rate. AddedP50 and AddedP99 are differences
// between quantiles over all requests. For MedianAddedP50 and MedianAddedP99, the
// quantiles of the rounds of both paths are subtracted pair by pair, and the median of
// the differences is taken. Bursts of other load on the machine affect this median less.
type PathResult struct {
	Rate           PathRate    `json:"rate"`
	Direct         PathFigures `json:"direct"`
	Through        PathFigures `json:"through_nodes"`
	AddedP50       float64     `json:"added_p50_ms"`
	AddedP99       float64     `json:"added_p99_ms"`
	MedianAddedP50 float64     `json:"added_p50_median_of_rounds_ms"`
	MedianAddedP99 float64     `json:"added_p99_median_of_rounds_ms"`
}

// Path is the content of the results file PathFile: the latency that the nodes add to
// a request.
type Path struct {
	Run      Run          `json:"run"`
	Round    string       `json:"round"`
	Capacity float64      `json:"capacity_per_second"`
	Results  []PathResult `json:"results"`
}

// Validate returns an error if a rate or the total duration exceeds its limit.
func (c *PathConfig) Validate() error {
	var total time.Duration
	for _, r := range c.Rates {
		if r.PerSecond <= 0 || r.PerSecond > MaxPathRate || r.Rounds < 1 {
			return fmt.Errorf("rate %q: %g per second in %d rounds, use a rate above 0 and at most the maximum rate, and at least 1 round", r.Name, r.PerSecond, r.Rounds)
		}
		total += 2 * time.Duration(r.Rounds) * c.Round
	}
	if c.Round <= 0 || total > MaxPathDuration {
		return fmt.Errorf("rounds of %s take %s in total, use rounds of more than 0 and a total of at most %s", c.Round, total, MaxPathDuration)
	}
	return nil
}

// MeasurePath sends open-loop load at each rate over both paths. The rounds of the
// paths take turns in random order. A slow answer does not delay other requests, and
// each request is timed from the moment at which it is sent.
func MeasurePath(ctx context.Context, c PathConfig, run Run) (*Path, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	paths := []*pathClient{newPathClient(Direct, c.DirectURL), newPathClient(ThroughNodes, c.NodesURL)}
	for _, p := range paths {
		for range pathWarmUpCalls {
			if err := p.get(ctx); err != nil {
				return nil, fmt.Errorf("warm up path %s: %w", p.name, err)
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
		out.Results = append(out.Results, comparePaths(rate, paths[0].takeTotals(), paths[1].takeTotals()))
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// arrivals returns the arrival times of a Poisson process, counted from the start of
// a round.
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

func comparePaths(rate PathRate, direct, through pathTotals) PathResult {
	d, t := direct.figures(Direct), through.figures(ThroughNodes)
	return PathResult{
		Rate: rate, Direct: d, Through: t,
		AddedP50: thousandths(t.P50 - d.P50), AddedP99: thousandths(t.P99 - d.P99),
		MedianAddedP50: medianDifference(direct.roundP50s, through.roundP50s), MedianAddedP99: medianDifference(direct.roundP99s, through.roundP99s),
	}
}

// medianDifference returns the median of b[i]-a[i], or zero if there are no pairs.
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

// pathTotals accumulates the rounds of one path at one rate.
type pathTotals struct {
	all, round           *hdrhistogram.Histogram
	failures             map[string]int
	roundP50s, roundP99s []float64
}

func newPathTotals() pathTotals {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(maxLatency), latencyDigits) }
	return pathTotals{all: h(), round: h(), failures: map[string]int{}}
}

func (s *pathTotals) record(d time.Duration, err error) {
	if err == nil {
		err = s.round.RecordValue(int64(d))
	}
	if err != nil {
		s.failures[failureName(err)]++
	}
}

func (s *pathTotals) endRound() {
	s.all.Merge(s.round)
	s.roundP50s = append(s.roundP50s, quantileMillis(s.round, 50))
	s.roundP99s = append(s.roundP99s, quantileMillis(s.round, 99))
	s.round.Reset()
}

func (s *pathTotals) figures(path string) PathFigures {
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

// statusError is an answer whose status is not 200.
type statusError struct{ status, kind string }

func (r *statusError) Error() string { return strings.TrimSpace(r.status + " " + r.kind) }

// failureName returns the name under which an error is counted: status and error
// kind for an answer with an error status, "connection error" for all other errors.
func failureName(err error) string {
	if r, ok := errors.AsType[*statusError](err); ok {
		return r.Error()
	}
	return "connection error"
}

// pathClient sends requests over one path and records their latency.
type pathClient struct {
	name, url string
	client    *http.Client

	mu     sync.Mutex
	totals pathTotals
}

func newPathClient(name, url string) *pathClient {
	return &pathClient{name: name, url: url, totals: newPathTotals(), client: &http.Client{
		Timeout:   pathTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: pathIdleConns, DisableCompression: true},
	}}
}

// send sends one request at each arrival time and waits for all answers.
func (p *pathClient) send(ctx context.Context, arrivals []time.Duration) {
	start := time.Now()
	var requests sync.WaitGroup
	for _, at := range arrivals {
		time.Sleep(time.Until(start.Add(at)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() {
			sentAt := time.Now()
			err := p.get(ctx)
			p.record(time.Since(sentAt), err)
		})
	}
	requests.Wait()
}

func (p *pathClient) record(d time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.record(d, err)
}

func (p *pathClient) endRound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.endRound()
}

// takeTotals returns the totals since the previous call of takeTotals and resets them.
func (p *pathClient) takeTotals() pathTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := p.totals
	p.totals = newPathTotals()
	return totals
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
		return &statusError{status: resp.Status, kind: resp.Header.Get(headerKind)}
	}
	return nil
}
