package admit

import (
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Verdict is the immediate answer to an offer.
type Verdict uint8

// The verdicts of Offer.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Action decides a request that was queued: it starts when Kind is empty and is
// refused as Kind otherwise.
type Action struct {
	ID   uint64
	Kind errkind.Kind
}

// Controller is the pure state machine of admission. It is not safe for
// concurrent use. The actions that a method returns are valid until the next call.
type Controller struct {
	config   Config
	stated   Config // as given to NewController; Slots as set last
	running  map[uint64]running
	ordinary int // running requests that are not privileged
	queue    queue
	sequence uint64
	closed   errkind.Kind
	service  estimate
	classes  map[string]*estimate
	delay    delayRule
	pace     pace
	actions  []Action
}

type running struct {
	started    time.Time
	work       time.Duration // reading of the work clock at started
	deadline   time.Time
	privileged bool
	class      string
}

// NewController returns a Controller without requests.
func NewController(c Config) *Controller {
	return &Controller{
		config:  c.withDefaults(),
		stated:  c,
		running: map[uint64]running{},
		classes: map[string]*estimate{},
	}
}

// SetSlots changes the number of slots. The actions concern queued requests.
func (c *Controller) SetSlots(now time.Time, n int) []Action {
	c.actions = c.actions[:0]
	if n == c.stated.Slots || n <= 0 {
		return nil
	}
	c.stated.Slots = n
	c.config = c.stated.withDefaults()
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// SetSlowdown tells the time that work takes at present, relative to the usual time.
func (c *Controller) SetSlowdown(now time.Time, pace float64) { c.pace.set(now, pace) }

// Offer presents a request under an id that is not in use. The kind is set when
// the verdict is Refused. The actions concern other requests.
func (c *Controller) Offer(now time.Time, id uint64, r Request) (Verdict, errkind.Kind, []Action) {
	c.actions = c.actions[:0]
	if c.closed != "" {
		return Refused, c.closed, nil
	}
	if !now.Before(r.Deadline) {
		return Refused, errkind.DeadlineBeforeRun, nil
	}
	c.expire(now)
	c.dispatch(now)
	if c.avoidsSlowPhase(r) && c.pace.slow(now) {
		return Refused, errkind.ServerSlow, c.actions
	}
	if c.slotFor(r) && c.overtakes(r) {
		if c.remainingTooShort(now, r) {
			return Refused, errkind.DeadlineBeforeRun, c.actions
		}
		c.observeDelay(now, 0, r)
		c.run(now, id, r)
		return Admitted, "", c.actions
	}
	verdict, kind := c.enqueue(now, id, r)
	return verdict, kind, c.actions
}

// HasCapacity reports whether a request that is not privileged would start at once and not
// in a slow phase, as far as is known.
func (c *Controller) HasCapacity(now time.Time) bool {
	return c.closed == "" && len(c.queue) == 0 && c.slotFor(Request{}) && !c.pace.slow(now)
}

// avoidsSlowPhase reports whether r is refused while the server is in a slow phase.
// A caller whose request has low urgency better comes back than has it run then, at
// the cost of others, unless no other server will ever take it.
func (c *Controller) avoidsSlowPhase(r Request) bool {
	return !r.Target.IsZero() && (r.Reroutable || r.Urgency <= fleet.UrgencyLow && !r.OnlyServer)
}

// overtakes reports whether r would be the first of the queue. The head of the
// queue may wait for a slot that r does not need.
func (c *Controller) overtakes(r Request) bool {
	w := waiting{request: r, rank: r.rank(), sequence: c.sequence + 1}
	return c.queue.position(&w) == 0
}

func (c *Controller) enqueue(now time.Time, id uint64, r Request) (Verdict, errkind.Kind) {
	if r.Hedge {
		return Refused, c.fullKind(r)
	}
	c.sequence++
	w := waiting{id: id, request: r, rank: r.rank(), arrived: now, giveUp: r.Deadline, sequence: c.sequence}
	if r.Internal {
		w.giveUp = earlier(w.giveUp, now.Add(c.internalWait(r)))
	}
	position := c.queue.position(&w)
	wait := c.expectedWait(now, r, position)
	if !r.Target.IsZero() {
		wait = c.waitForTarget(now, position, r)
	}
	if now.Add(wait + c.classTime(now, r.Class)).After(r.Deadline) {
		return Refused, errkind.DeadlineBeforeRun
	}
	if !r.Target.IsZero() {
		return c.enqueueForTarget(now, position, wait, w)
	}
	if r.OnlyServer {
		return c.enqueueSole(now, position, wait, w)
	}
	if limit := c.movableWait(now); r.Reroutable && limit > 0 {
		if wait > limit {
			return Refused, c.fullKind(r)
		}
		w.giveUp = earlier(w.giveUp, now.Add(movableStay*limit))
	}
	if c.delay.overloaded && position > 0 && wait > c.allowedWait(w.rank) {
		return Refused, errkind.QueueFull
	}
	if len(c.queue) >= c.config.QueueLength && !c.evict(w.rank, false) {
		return Refused, c.fullKind(r)
	}
	c.queue.insert(position, w)
	return Queued, ""
}

// targetMargin is the time that a request must have until its target when it
// starts, in multiples of its expected service time. A longer queue would serve no
// more requests, and half of them late: whatever slows one down then makes it miss
// its target.
const targetMargin = 2.5

// enqueueForTarget lets a request wait that is likely to meet its target. While
// other servers can be tried, it does not wait at all. A call of a backend server
// may use all of its time, because a request in flight depends on it.
func (c *Controller) enqueueForTarget(now time.Time, position int, wait time.Duration, w waiting) (Verdict, errkind.Kind) {
	r := w.request
	if r.Reroutable {
		return Refused, c.fullKind(r)
	}
	if !r.Internal {
		start := r.Target.Add(-time.Duration(targetMargin * float64(c.runTime(now, r))))
		if now.Add(wait).After(start) {
			return Refused, errkind.QueueFull
		}
		w.giveUp = earlier(w.giveUp, r.Target.Add(-c.runTime(now, r)))
	}
	if len(c.queue) >= c.config.QueueLength && !c.evict(w.rank, true) {
		return Refused, c.fullKind(r)
	}
	c.queue.insert(position, w)
	return Queued, ""
}

// soleQueueFactor is the number of times that OnlyServer requests may exceed
// QueueLength. It bounds memory; the deadline bounds the wait. A process that
// gets no processor for some 10 ms finds more arrivals than QueueLength at once,
// also when the server is half idle.
const soleQueueFactor = 16

// soleWaitShare is the share of the remaining time that the expected wait beyond
// QueueLength may take. The wait is an estimate, and a request that misses its
// deadline while it runs has wasted its slot.
const soleWaitShare = 0.5

// soleIntervals is the number of periods of DelayInterval after which the rule
// against long queues holds for OnlyServer requests too. A queue that a stall of the
// process has left is gone by then; one that stays means overload, where a longer
// wait saves no request.
const soleIntervals = 10

// enqueueSole lets a request wait that only this server can run.
func (c *Controller) enqueueSole(now time.Time, position int, wait time.Duration, w waiting) (Verdict, errkind.Kind) {
	if c.delay.lasts(now, soleIntervals*c.config.DelayInterval) && position > 0 && wait > c.allowedWait(w.rank) {
		return Refused, errkind.QueueFull
	}
	if len(c.queue) >= c.config.QueueLength && float64(wait) > soleWaitShare*float64(w.request.Deadline.Sub(now)) {
		return Refused, c.fullKind(w.request)
	}
	if len(c.queue) >= soleQueueFactor*c.config.QueueLength && !c.evict(w.rank, true) {
		return Refused, c.fullKind(w.request)
	}
	c.queue.insert(c.queue.position(&w), w)
	return Queued, ""
}

// evict refuses the last request of the queue whose urgency is below rank. A
// request that only this server can run gives way to others of its kind only.
func (c *Controller) evict(rank fleet.Urgency, sole bool) bool {
	for i := len(c.queue) - 1; i >= 0 && c.queue[i].rank < rank; i-- {
		if c.queue[i].request.OnlyServer && !sole {
			continue
		}
		w := c.queue.remove(i)
		c.actions = append(c.actions, Action{w.id, errkind.QueueFull})
		return true
	}
	return false
}

// fullKind tells a full queue from slots that are free but reserved.
func (c *Controller) fullKind(r Request) errkind.Kind {
	if !r.privileged() && len(c.running) < c.config.Slots {
		return errkind.SlotsReserved
	}
	return errkind.QueueFull
}

// allowedWait bounds the expected wait under overload, so that less urgent
// requests are refused first. One request may always wait, so that a slot that
// becomes free is used at once.
func (c *Controller) allowedWait(rank fleet.Urgency) time.Duration {
	switch {
	case rank <= fleet.UrgencyLow:
		return c.config.DelayTarget
	case rank == fleet.UrgencyNormal:
		return 2 * c.config.DelayTarget
	case rank == fleet.UrgencyHigh:
		return 4 * c.config.DelayTarget
	}
	return c.config.InternalWait
}

// Done records the end of a running request that took served. A zero served
// leaves the estimates as they are.
func (c *Controller) Done(now time.Time, id uint64, served time.Duration) []Action {
	c.actions = c.actions[:0]
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if !r.privileged {
		c.ordinary--
	}
	if served > 0 {
		base := c.pace.usual(now, served, r)
		c.service.add(now, base)
		c.class(r.class).add(now, base)
	}
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// Cancel removes a queued request whose caller has gone. It reports whether the
// request was queued; a running request ends with Done.
func (c *Controller) Cancel(now time.Time, id uint64) (bool, []Action) {
	c.actions = c.actions[:0]
	i := c.queue.index(id)
	if i < 0 {
		return false, nil
	}
	c.queue.remove(i)
	c.expire(now)
	c.dispatch(now)
	return true, c.actions
}

// Tick refuses queued requests whose time has passed.
func (c *Controller) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// Close refuses queued and further requests as kind, for example Draining.
// Running requests are not affected.
func (c *Controller) Close(kind errkind.Kind) []Action {
	c.actions = c.actions[:0]
	c.closed = kind
	for _, w := range c.queue {
		c.actions = append(c.actions, Action{w.id, kind})
	}
	c.queue = c.queue[:0]
	return c.actions
}

// Open ends the effect of Close.
func (c *Controller) Open() { c.closed = "" }
