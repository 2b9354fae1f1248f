package proxy

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleymill/class"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

const (
	// coldCheckInterval is the least time between two health queries that are sent because of
	// starts. Together with the queries for the slowdown they stay below healthPerSecond.
	coldCheckInterval = 30 * time.Millisecond
	// coldApplyInterval is how often a changed configuration is applied to the cold period.
	coldApplyInterval = 250 * time.Millisecond
)

// statedCold reads the header in which a health answer states for how much longer the
// backend server is cold. An answer without the header states that it is not: servers send it
// only while they are cold. stated is false if the dialect has no such header or its value is
// invalid.
func (d *Dialect) statedCold(h http.Header) (remaining time.Duration, stated bool) {
	if d.ColdRemaining == "" {
		return 0, false
	}
	if len(h.Values(d.ColdRemaining)) == 0 {
		return 0, true
	}
	text := h.Get(d.ColdRemaining)
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(millis) || millis < 0 || millis > float64(maxColdTime/time.Millisecond) {
		return 0, false
	}
	return time.Duration(millis * float64(time.Millisecond)), true
}

// coldWatch applies the coldness of the backend server to its admission gate. It queries the
// health endpoint when a check is due.
type coldWatch struct {
	local *localServer
	due   chan struct{}

	mu        sync.Mutex
	coldness  coldness
	entryRate float64 // rate of the service that an entry node has stated; used until the node has a configuration
	cold      bool    // as logged last
}

func newColdWatch(l *localServer) *coldWatch {
	w := &coldWatch{local: l, due: make(chan struct{}, 1), coldness: newColdness(l.config.Clock.Now())}
	l.gate.OnColdCheck(w.check)
	w.update(func(*coldness, time.Time) {})
	return w
}

// check makes run query the health endpoint. It does not block.
func (w *coldWatch) check() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// service returns the configuration of the service, or nil if the node has none.
func (w *coldWatch) service() *class.Service {
	if set := w.local.config.Configuration.Current(); set != nil {
		return set.Service(w.local.config.Backend.Service)
	}
	return nil
}

// coldTime returns the time for which a backend server of the service is cold after its start,
// or unknownColdTime without a configuration.
func (w *coldWatch) coldTime() time.Duration {
	if w.local.config.Configuration.Current() == nil {
		return unknownColdTime
	}
	if s := w.service(); s != nil {
		return s.ColdTime.Std()
	}
	return 0
}

// rate returns the rate at which requests may start while the server is cold, or zero if the
// service states none. The caller holds mu.
func (w *coldWatch) rate() float64 {
	if w.local.config.Configuration.Current() == nil {
		return w.entryRate
	}
	if s := w.service(); s != nil {
		return s.ColdRate
	}
	return 0
}

// update changes the coldness and applies it to the gate.
func (w *coldWatch) update(change func(*coldness, time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.local.config.Clock.Now()
	change(&w.coldness, now)
	p := w.coldness.period(w.rate())
	w.local.gate.SetCold(p)
	if cold := p.Includes(now); cold != w.cold {
		w.cold = cold
		w.local.config.Log.Info("backend server temperature", "cold", cold, "rate", p.Rate, "until", p.Until, "known", w.coldness.known)
	}
}

func (w *coldWatch) announced(a *Announcement) {
	coldTime := w.coldTime()
	w.update(func(s *coldness, now time.Time) { s.announced(now, a, coldTime) })
}

func (w *coldWatch) answered(h healthAnswer) {
	if a := w.local.announced.latest(); a == nil || a.Instance != h.instance {
		w.lost()
		return
	}
	remaining, stated := w.local.config.Dialect.statedCold(h.header)
	coldTime := w.coldTime()
	w.update(func(s *coldness, now time.Time) { s.answered(now, h.sentAt, h.instance, remaining, stated, coldTime) })
}

// lost is called when the backend server is not reachable or another one has taken its place.
func (w *coldWatch) lost() { w.update((*coldness).lost) }

// doubt is called when the watched connection has closed.
func (w *coldWatch) doubt() {
	w.update((*coldness).doubt)
	w.check()
}

// adoptRate records the rate of the service that an entry node states. A node that has just
// started may get requests before its configuration.
func (w *coldWatch) adoptRate(rate float64) {
	if rate <= 0 || w.local.config.Configuration.Current() != nil {
		return
	}
	w.mu.Lock()
	same := w.entryRate == rate
	w.entryRate = rate
	w.mu.Unlock()
	if !same {
		w.update(func(*coldness, time.Time) {})
	}
}

// run checks whether the server is cold and applies changes of the configuration, until ctx
// ends.
func (w *coldWatch) run(ctx context.Context) {
	t := time.NewTicker(coldApplyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.update(func(*coldness, time.Time) {})
			continue
		case <-w.due:
		}
		if h, err := w.local.announced.health(ctx); err == nil {
			w.local.recordLoad(h.load)
			w.local.recordHealth(h)
			if a := w.local.announced.latest(); h.instance != "" && (a == nil || a.Instance != h.instance) {
				w.local.announced.requestIdentification()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(coldCheckInterval):
		}
	}
}

// stateTurn raises the wait for a permit in the load report of a refusal to the time after which
// the cold server expects another request of the entry node, if the refusal states it.
func stateTurn(r *fleet.LoadReport, refusal error) {
	if refusal != nil {
		r.RateWait = max(r.RateWait, errkind.Of(refusal).RetryAfter)
	}
}
