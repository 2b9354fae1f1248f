package admit

import (
	"context"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
)

// Gate admits concurrent requests by the rules of Controller.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	controller *Controller
	nextID     uint64
	waiters    map[uint64]chan errkind.Kind
	idle       chan struct{} // closed when closed and nothing runs
}

// NewGate returns a Gate whose requests and estimates follow the clock.
func NewGate(c Config, clk clock.Clock) *Gate {
	return &Gate{
		clock:      clk,
		controller: NewController(c),
		waiters:    map[uint64]chan errkind.Kind{},
	}
}

// Slot is the right of one request to run. It is a value, so that an admission
// allocates nothing.
type Slot struct {
	gate *Gate
	id   uint64
}

// Release gives the slot back, with the time the backend server took, or zero when
// that time says nothing about the server. Further calls have no effect, because
// the number of the request is not used again.
func (s Slot) Release(served time.Duration) { s.gate.done(s.id, served) }

// Acquire blocks until r may run or is refused. A refused request has not run.
// The caller must release the slot.
func (g *Gate) Acquire(ctx context.Context, r Request) (Slot, *errkind.Error) {
	if ctx.Err() != nil {
		return Slot{}, errkind.New(errkind.CallerGone, "before admission: %w", context.Cause(ctx))
	}
	g.mu.Lock()
	now := g.clock.Now()
	g.nextID++
	id := g.nextID
	verdict, kind, actions := g.controller.Offer(now, id, r)
	var decided chan errkind.Kind
	var limit time.Duration
	if verdict == Queued {
		limit = g.controller.giveUp(id).Sub(now)
		decided = make(chan errkind.Kind, 1)
		g.waiters[id] = decided
	}
	g.perform(actions)
	g.mu.Unlock()
	switch verdict {
	case Refused:
		return Slot{}, errkind.New(kind, "class %s refused at admission", r.Class)
	case Queued:
		if err := g.wait(ctx, id, r, limit, decided); err != nil {
			return Slot{}, err
		}
	}
	return Slot{g, id}, nil
}

// wait blocks a queued request until it is decided. It sets a timer for the end
// of its own wait, because no other event may come before.
func (g *Gate) wait(ctx context.Context, id uint64, r Request, limit time.Duration, decided chan errkind.Kind) *errkind.Error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case kind := <-decided:
			return refusal(kind, r)
		case <-timer.C:
			g.tick()
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			if g.cancel(id) {
				return errkind.New(errkind.CallerGone, "while queued: %w", context.Cause(ctx))
			}
			// The decision came first; a slot that was granted is given back.
			if kind := <-decided; kind != "" {
				return refusal(kind, r)
			}
			g.done(id, 0)
			return errkind.New(errkind.CallerGone, "while queued: %w", context.Cause(ctx))
		}
	}
}

func refusal(kind errkind.Kind, r Request) *errkind.Error {
	if kind == "" {
		return nil
	}
	return errkind.New(kind, "class %s refused in the queue", r.Class)
}

func (g *Gate) done(id uint64, served time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.Done(g.clock.Now(), id, served))
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

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.Tick(g.clock.Now()))
}

// perform tells the waiters what was decided. The caller holds mu.
func (g *Gate) perform(actions []Action) {
	for _, a := range actions {
		if w := g.waiters[a.ID]; w != nil {
			delete(g.waiters, a.ID)
			w <- a.Kind
		}
	}
	if g.idle != nil && g.controller.Load(g.clock.Now()).InFlight == 0 {
		close(g.idle)
		g.idle = nil
	}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.SetSlots(g.clock.Now(), n))
}

// SetSlowdown tells the time that work takes at present, relative to the usual time.
func (g *Gate) SetSlowdown(pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetSlowdown(g.clock.Now(), pace)
}

// HasCapacity reports whether a request would start at once and not in a slow phase, as
// far as is known.
func (g *Gate) HasCapacity() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.HasCapacity(g.clock.Now())
}

// Load returns the counts for the load report.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load(g.clock.Now())
}

// Drain refuses queued and new requests as Draining. The returned channel is
// closed when the last running request has ended.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := g.controller.Close(errkind.Draining)
	done := make(chan struct{})
	if g.idle != nil {
		done = g.idle
	}
	g.idle = done
	g.perform(actions)
	return done
}

// Refuse makes the gate refuse queued and new requests as kind, for example
// BackendDown, until Open. It does not replace a drain.
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
