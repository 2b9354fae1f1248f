package admit

import (
	"context"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
)

// Gate admits concurrent requests by the rules of Controller. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	controller *Controller
	nextID     uint64
	waiters    map[uint64]chan errkind.Kind // queued requests; an empty kind starts one
	drained    chan struct{}                // closed when no request runs; nil unless a drain waits
	coldCheck  func()                       // called when a check whether the server is cold is due; may be nil
}

// NewGate returns a Gate that reads the time from clk.
func NewGate(c Config, clk clock.Clock) *Gate {
	return &Gate{
		clock:      clk,
		controller: NewController(c),
		waiters:    map[uint64]chan errkind.Kind{},
	}
}

// Slot permits one request to run until it is released. It is a value and not a pointer, so
// that an admission allocates nothing.
type Slot struct {
	gate *Gate
	id   uint64
}

// Release frees the slot. serviceTime is the service time of the request at the backend
// server. It is zero if the duration of the request does not show how fast the server is.
// Further calls have no effect, because the id of the request is not used again.
func (s Slot) Release(serviceTime time.Duration) { s.gate.done(s.id, serviceTime) }

// Acquire blocks until r may run, is refused, or ctx ends. If it returns an error, the
// request has not run. Otherwise the caller must release the slot.
func (g *Gate) Acquire(ctx context.Context, r Request) (Slot, *errkind.Error) {
	if ctx.Err() != nil {
		return Slot{}, errkind.New(errkind.CallerDisconnected, "before admission: %w", context.Cause(ctx))
	}
	g.mu.Lock()
	now := g.clock.Now()
	g.nextID++
	id := g.nextID
	verdict, kind, actions := g.controller.Offer(now, id, r)
	var decided chan errkind.Kind
	var limit time.Duration
	if verdict == Queued {
		limit = g.untilTick(now, id)
		decided = make(chan errkind.Kind, 1)
		g.waiters[id] = decided
	}
	g.perform(actions)
	g.mu.Unlock()
	switch verdict {
	case Refused:
		return Slot{}, g.refusal(kind, r, "at admission")
	case Queued:
		if err := g.wait(ctx, id, r, limit, decided); err != nil {
			return Slot{}, err
		}
	}
	return Slot{g, id}, nil
}

// BodyReceived states that the whole body of the request has arrived. The request then no longer
// counts towards the slots that requests with unfinished bodies may hold.
func (s Slot) BodyReceived() { s.gate.bodyReceived(s.id) }

// Abandon frees the slot of a request that was not sent to the backend server.
func (s Slot) Abandon() { s.gate.abandon(s.id) }

// wait blocks until a queued request is started, refused or canceled. limit is the time until
// its next decision, see untilTick. A timer calls Tick at that time, because no other event
// might cause one.
func (g *Gate) wait(ctx context.Context, id uint64, r Request, limit time.Duration, decided chan errkind.Kind) *errkind.Error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case kind := <-decided:
			return g.decision(kind, r)
		case <-timer.C:
			timer.Reset(max(g.tick(id), time.Millisecond))
		case <-ctx.Done():
			if g.cancel(id) {
				return errkind.New(errkind.CallerDisconnected, "while queued: %w", context.Cause(ctx))
			}
			// The request was started or refused before the cancellation.
			if kind := <-decided; kind != "" {
				return g.decision(kind, r)
			}
			g.done(id, 0)
			return errkind.New(errkind.CallerDisconnected, "while queued: %w", context.Cause(ctx))
		}
	}
}

func (g *Gate) decision(kind errkind.Kind, r Request) *errkind.Error {
	if kind == "" {
		return nil
	}
	return g.refusal(kind, r, "in the queue")
}

func (g *Gate) done(id uint64, serviceTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.Done(g.clock.Now(), id, serviceTime))
}

func (g *Gate) bodyReceived(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.BodyReceived(g.clock.Now(), id))
}

func (g *Gate) cancel(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	queued, actions := g.controller.Cancel(g.clock.Now(), id)
	if queued {
		delete(g.waiters, id)
	}
	g.perform(actions)
	return queued
}

// tick calls Tick and returns the time until it is due again for the request id, or zero if
// that request is no longer queued.
func (g *Gate) tick(id uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.perform(g.controller.Tick(now))
	if g.waiters[id] == nil {
		return 0
	}
	return g.untilTick(now, id)
}

// untilTick returns the time until a queued request is to be refused or until the rate limit
// lets a request start. The caller holds mu.
func (g *Gate) untilTick(now time.Time, id uint64) time.Duration {
	at := g.controller.refuseAt(id)
	if start, limited := g.controller.nextStart(now); limited && start.After(now) {
		at = earlier(at, start)
	}
	return at.Sub(now)
}

func (g *Gate) abandon(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.Abandon(g.clock.Now(), id))
}

// perform passes actions to the waiting requests and completes a drain when no request
// runs. The caller holds mu.
func (g *Gate) perform(actions []Action) {
	for _, a := range actions {
		if w := g.waiters[a.ID]; w != nil {
			delete(g.waiters, a.ID)
			w <- a.Kind
		}
	}
	if g.coldCheck != nil && g.controller.hasColdRate() && g.controller.TakeColdCheck(g.clock.Now()) {
		g.coldCheck()
	}
	if g.drained != nil && g.controller.Load(g.clock.Now()).InFlight == 0 {
		close(g.drained)
		g.drained = nil
	}
}

// SetSlots changes the number of slots. Running requests are not affected. Queued requests
// start if slots are free afterwards.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.SetSlots(g.clock.Now(), n))
}

// SetRateLimit limits the requests that start to rate a second. A negative rate means that
// there is no limit.
func (g *Gate) SetRateLimit(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.SetRateLimit(g.clock.Now(), rate))
}

// SetSlowdown records the current service time relative to the usual one, as reported by
// the backend server. Values that are not positive are ignored.
func (g *Gate) SetSlowdown(slowdown float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetSlowdown(g.clock.Now(), slowdown)
}

// HasCapacity reports whether a request that is not privileged would start immediately
// and, as far as is known, not in a slow phase.
func (g *Gate) HasCapacity() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.HasCapacity(g.clock.Now())
}

// Load returns the current state for load reports.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load(g.clock.Now())
}

// Drain refuses queued and new requests with the kind Draining, until Open. The returned
// channel is closed when no request runs any more.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := g.controller.Close(errkind.Draining)
	done := make(chan struct{})
	if g.drained != nil {
		done = g.drained
	}
	g.drained = done
	g.perform(actions)
	return done
}

// Refuse refuses queued and new requests with kind, for example BackendDown, until Open. It
// has no effect during a drain.
func (g *Gate) Refuse(kind errkind.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.closed == errkind.Draining {
		return
	}
	g.perform(g.controller.Close(kind))
}

// Open admits requests again after Refuse or Drain.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Open()
}
