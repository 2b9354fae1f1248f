package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleymill/probe"
)

// Limits of health checks.
const (
	healthTimeout  = time.Second
	maxHealthBytes = 512
	// maxHealthHeadBytes bounds the status line and headers of a health answer.
	maxHealthHeadBytes = 16 << 10
	healthRetryDelay   = 50 * time.Millisecond // delay after the budget has refused a check that is due
	// unansweredGrace is the time after which a server that accepts connections counts
	// as ready even though no check has succeeded. A small budget may delay the check.
	unansweredGrace = time.Second
)

// health queries the health endpoint of the backend server within the budget for
// probes. It decides when a server that has started is ready, and confirms or
// contradicts hints that the server is draining. Nothing else depends on the endpoint,
// because its answers may be late or wrong. With a budget of zero there are no checks,
// and a server that accepts connections is ready.
type health struct {
	config   *Config
	monitor  *monitor
	hints    *drainHints
	onChange func()
	budget   *probe.Budget
	client   *http.Client
	wake     chan struct{}

	mu     sync.Mutex
	passed bool      // a check of the current generation has succeeded
	failed bool      // the latest answer of the current generation was a server error
	urgent bool      // a check is due even though there are recent answers
	since  time.Time // start of the current generation
}

func newHealth(c *Config, m *monitor, h *drainHints, changed func()) *health {
	return &health{config: c, monitor: m, hints: h, onChange: changed,
		budget: probe.NewBudget(c.Clock.Now(), probeLimits(c)),
		client: newHealthClient(healthTimeout),
		wake:   make(chan struct{}, 1)}
}

// newHealthClient returns a client for a health endpoint. It bounds the size of the head of
// an answer; its users bound the body.
func newHealthClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true,
		MaxResponseHeaderBytes: maxHealthHeadBytes}}
}

func probeLimits(c *Config) probe.Limits {
	set := c.Configuration.Current()
	if set == nil {
		return probe.Limits{}
	}
	return probe.Limits{ProbesPerSecond: set.ProbesPerSecond(c.Backend.Service), BytesPerSecond: set.MeasuringBytesPerSecond()}
}

// reset discards the results of earlier checks, because the backend server has
// started or ended.
func (h *health) reset() {
	h.mu.Lock()
	h.passed, h.failed, h.since = false, false, h.config.Clock.Now()
	h.mu.Unlock()
	h.requestCheck()
}

// requestCheck makes run check the health endpoint without delay.
func (h *health) requestCheck() {
	h.mu.Lock()
	h.urgent = true
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ready reports whether the backend server may receive requests.
func (h *health) ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.passed || probeLimits(h.config).ProbesPerSecond == 0 {
		return true
	}
	return !h.failed && h.config.Clock.Now().Sub(h.since) >= unansweredGrace
}

func (h *health) run(ctx context.Context) {
	for {
		delay := h.config.Backend.CheckEvery.Std()
		if h.step(ctx) {
			delay = healthRetryDelay
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-h.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// step checks the health endpoint if a check is due and the budget allows it. It
// reports whether the budget refused a check that is due.
func (h *health) step(ctx context.Context) bool {
	defer h.onChange()
	if !h.monitor.Alive() {
		return false
	}
	now := h.config.Clock.Now()
	l := probeLimits(h.config)
	h.budget.SetLimits(now, l)
	if l.ProbesPerSecond == 0 {
		h.hints.clearHealth()
		return false
	}
	if !h.checkDue(now) {
		return false
	}
	if !h.budget.Probe(now) {
		return true
	}
	h.check(ctx)
	return false
}

func (h *health) checkDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.urgent || !h.passed || h.hints.draining() ||
		probe.Config{}.WithDefaults().ProbeNeeded(now, h.hints.lastAnswer())
}

func (h *health) check(ctx context.Context) {
	h.mu.Lock()
	h.urgent = false
	h.mu.Unlock()
	status, text, err := h.get(ctx)
	h.config.Metrics.Probed(err == nil && status < http.StatusInternalServerError)
	if err != nil {
		return // shows nothing about the state; the monitor detects the end of the process
	}
	draining := status == http.StatusServiceUnavailable && strings.Contains(strings.ToLower(text), "draining")
	h.hints.recordHealth(draining)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = status >= http.StatusInternalServerError
	h.passed = h.passed || !h.failed
}

func (h *health) get(ctx context.Context) (status int, text string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.config.Backend.Address+h.config.Backend.HealthPath, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusContinue {
		return 0, "", errNoStatus
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	return resp.StatusCode, string(b), err
}
