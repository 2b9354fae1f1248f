package admit

import (
	"cmp"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Verdict is the result of Offer.
type Verdict uint8

// The verdicts of Offer.
const (
	Admitted Verdict = iota + 1 // the request may run
	Queued                      // a later Action starts or refuses the request
	Refused                     // the request must not run
)

// Action starts or refuses a queued request: it starts if Kind is empty and is refused with
// Kind otherwise.
type Action struct {
	ID   uint64
	Kind errkind.Kind
}

// Controller is the state machine of admission. It is not safe for concurrent use. The
// actions that a method returns are valid until the next call of a method.
type Controller struct {
	config     Config // configured, with defaults applied
	configured Config // as passed to NewController, with the Slots of the last SetSlots
	running    map[uint64]running
	ordinary   int // running requests that may not use the reserved slots, see Request.privileged
	uploading  int // running requests whose bodies have not been received completely
	queue      queue
	sequence   uint64               // number of the newest queued request, in the order of arrival
	closed     errkind.Kind         // kind of every refusal after Close; empty: open
	service    estimate             // service time over all classes
	classes    map[string]*estimate // service time of each class
	delay      delayRule
	slowdown   slowdownState
	limit      startLimit
	fair       fairness
	actions    []Action
}

type running struct {
	started     time.Time
	workAtStart time.Duration // reading of slowdownState.workClock when the request started
	deadline    time.Time
	privileged  bool
	uploading   bool
	class       string
}

// NewController returns a Controller without requests.
func NewController(c Config) *Controller {
	return &Controller{
		config:     c.withDefaults(),
		configured: c,
		running:    map[uint64]running{},
		classes:    map[string]*estimate{},
		fair:       newFairness(c.Weight),
	}
}

// SetSlots changes the number of slots and returns the queued requests to start or refuse.
// It ignores n when it is not positive.
func (c *Controller) SetSlots(now time.Time, n int) []Action {
	c.actions = c.actions[:0]
	if n == c.configured.Slots || n <= 0 {
		return nil
	}
	c.configured.Slots = n
	c.config = c.configured.withDefaults()
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// SetSlowdown records the current service time relative to the usual one, as reported by
// the backend server. Values that are not positive are ignored.
func (c *Controller) SetSlowdown(now time.Time, slowdown float64) { c.slowdown.set(now, slowdown) }

// Offer decides on a new request. Its id must not have been used before. The returned kind
// is the reason of a refusal and empty otherwise. The actions start or refuse other requests
// that were queued.
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
	if c.avoidsSlowPhase(r) && c.slowdown.inSlowPhase(now) {
		return Refused, errkind.ServerSlow, c.actions
	}
	if c.linkTooBusy(now, r) {
		return Refused, errkind.QueueFull, c.actions
	}
	if c.refusesHedge(r) {
		return Refused, errkind.RateLimited, c.actions
	}
	if r.Uploading && c.uploadsFull() {
		return Refused, errkind.QueueFull, c.actions
	}
	if c.hasSlotFor(r) && c.overtakes(r) {
		if c.remainingTooShort(now, r) {
			return Refused, errkind.DeadlineBeforeRun, c.actions
		}
		c.observeDelay(now, 0, r)
		start := c.fair.start(r.Customer)
		c.fair.charge(r.Customer, start, c.runTime(now, r).Seconds())
		c.fair.started(start)
		c.recordStart(now, id, r)
		return Admitted, "", c.actions
	}
	verdict, kind := c.enqueue(now, id, r)
	return verdict, kind, c.actions
}

// HasCapacity reports whether a request that is not privileged would start immediately
// and, as far as is known, not in a slow phase.
func (c *Controller) HasCapacity(now time.Time) bool {
	c.limit.refill(now)
	return c.closed == "" && len(c.queue) == 0 && c.hasSlotFor(Request{}) && !c.slowdown.inSlowPhase(now)
}

// avoidsSlowPhase reports whether r must be refused while the server is in a slow phase. A
// request that runs then holds a slot for a multiple of its usual time. A reroutable request
// can run on another server instead. The caller of a request of low urgency can retry it
// later; at the only server of the service it is accepted all the same.
func (c *Controller) avoidsSlowPhase(r Request) bool {
	return !r.Target.IsZero() && (r.Reroutable || r.Urgency <= fleet.UrgencyLow && !r.OnlyServer)
}

// overtakes reports whether r would be first in the queue. It may then run although other
// requests are queued. Those can be ordinary requests, which may not use the free slots
// because these are reserved.
func (c *Controller) overtakes(r Request) bool {
	w := waiting{request: r, rank: r.rank(), sequence: c.sequence + 1, start: c.fair.start(r.Customer)}
	return c.queue.position(&w) == 0
}

func (c *Controller) enqueue(now time.Time, id uint64, r Request) (Verdict, errkind.Kind) {
	if r.Hedge {
		return Refused, c.noCapacityKind(r)
	}
	c.sequence++
	w := waiting{id: id, request: r, rank: r.rank(), arrived: now, refuseAt: r.Deadline, sequence: c.sequence, start: c.fair.start(r.Customer)}
	if r.Internal {
		w.refuseAt = earlier(w.refuseAt, now.Add(c.internalWait(r)))
	}
	position := c.queue.position(&w)
	wait := c.expectedWait(now, r, position)
	if !r.Target.IsZero() {
		wait = c.waitForTarget(now, position, r)
	}
	if now.Add(wait + c.classTime(now, r.Class)).After(r.Deadline) {
		return Refused, errkind.DeadlineBeforeRun
	}
	if r.OtherZone {
		w.refuseAt = earlier(w.refuseAt, now.Add(otherZoneStayFactor*wait+c.config.DelayInterval))
	}
	if !r.Target.IsZero() {
		return c.enqueueForTarget(now, position, wait, w)
	}
	if r.OnlyServer {
		return c.enqueueOnlyServer(now, position, wait, w)
	}
	if limit := c.reroutableWait(now); r.Reroutable && limit > 0 {
		if wait > limit {
			return Refused, c.noCapacityKind(r)
		}
		w.refuseAt = earlier(w.refuseAt, now.Add(reroutableStayFactor*limit))
	}
	if c.delay.overloaded && position > 0 && wait > c.allowedWait(w.rank) {
		return Refused, errkind.QueueFull
	}
	if len(c.queue) >= c.config.QueueLength && !c.evict(w.rank, false) {
		return Refused, c.noCapacityKind(r)
	}
	c.insert(now, position, w)
	return Queued, ""
}

// otherZoneStayFactor bounds the wait of a request from another zone, in multiples of the wait
// that was expected when it was queued. Requests of the own zone that arrive later overtake it, and
// it would otherwise stay queued until its deadline.
const otherZoneStayFactor = 2

// targetMargin is the time that a request must have left until its target when it starts,
// in multiples of its expected service time. With a smaller margin the queue grows longer
// without serving more requests, and about half of them miss their target, because a request
// without time to spare is late after any slowdown.
const targetMargin = 2.5

// enqueueForTarget queues a request that is likely to meet its target and refuses others. A
// reroutable request is refused and never queued. An internal request may wait beyond its
// target, because the request that made the call is in flight and depends on it.
func (c *Controller) enqueueForTarget(now time.Time, position int, wait time.Duration, w waiting) (Verdict, errkind.Kind) {
	r := w.request
	if r.Reroutable && !c.callMayWait(now, wait, r) {
		return Refused, c.noCapacityKind(r)
	}
	if !r.Internal {
		start := r.Target.Add(-time.Duration(targetMargin * float64(c.runTime(now, r))))
		if now.Add(wait).After(start) {
			return Refused, cmp.Or(c.limitKind(), errkind.QueueFull)
		}
		w.refuseAt = earlier(w.refuseAt, r.Target.Add(-c.runTime(now, r)))
	}
	if len(c.queue) >= c.config.QueueLength && !c.evict(w.rank, true) {
		return Refused, c.noCapacityKind(r)
	}
	c.insert(now, position, w)
	return Queued, ""
}

// callWaitShare bounds the expected wait of a reroutable internal request that is queued, as a
// share of the time left until its target.
const callWaitShare = 0.25

// callMayWait reports whether a reroutable internal request is queued rather than refused. It
// precedes all requests that are not internal, so its wait is short and known, whereas each
// further attempt costs a round trip and may meet another busy server. With nine servers behind
// 91 entry nodes, calls used up their deadlines on refusals, and the runs that made them failed.
func (c *Controller) callMayWait(now time.Time, wait time.Duration, r Request) bool {
	return r.Internal && !r.Hedge && float64(wait) <= callWaitShare*float64(r.Target.Sub(now))
}

// onlyServerQueueFactor is the length of the queue up to which OnlyServer requests are
// queued, in multiples of QueueLength. It bounds memory; the deadline bounds the wait. A
// longer queue is needed because the process may get no processor time for some 10 ms. More
// requests than QueueLength can then arrive together, although the server is only half used.
const onlyServerQueueFactor = 16

// onlyServerWaitShare bounds the expected wait of a request that is queued beyond
// QueueLength, as a share of the time left until its deadline. It is well below 1 because
// the wait is an estimate, and a request that misses its deadline while it runs wastes its
// slot.
const onlyServerWaitShare = 0.5

// onlyServerIntervals is the number of DelayIntervals of overload after which the bounds on
// the wait apply to OnlyServer requests too. A queue that built up while the process was
// stalled is empty by then. A queue that remains means overload, and during overload longer
// waits don't let more requests succeed.
const onlyServerIntervals = 10

// enqueueOnlyServer queues a request that no other server can run. It refuses the request
// after a long overload (see onlyServerIntervals), when the request is not likely to meet its
// deadline, or when the queue has reached onlyServerQueueFactor times QueueLength.
func (c *Controller) enqueueOnlyServer(now time.Time, position int, wait time.Duration, w waiting) (Verdict, errkind.Kind) {
	if c.delay.exceededFor(now, onlyServerIntervals*c.config.DelayInterval) && position > 0 && wait > c.allowedWait(w.rank) {
		return Refused, errkind.QueueFull
	}
	if len(c.queue) >= c.config.QueueLength && float64(wait) > onlyServerWaitShare*float64(w.request.Deadline.Sub(now)) {
		return Refused, c.noCapacityKind(w.request)
	}
	if len(c.queue) >= onlyServerQueueFactor*c.config.QueueLength && !c.evict(w.rank, true) {
		return Refused, c.noCapacityKind(w.request)
	}
	c.insert(now, c.queue.position(&w), w)
	return Queued, ""
}

// insert queues a request and charges its customer.
func (c *Controller) insert(now time.Time, position int, w waiting) {
	w.charged = c.fair.charge(w.request.Customer, w.start, c.runTime(now, w.request).Seconds())
	c.queue.insert(position, w)
}

// drop removes a queued request that does not run.
func (c *Controller) drop(i int) waiting {
	w := c.queue.remove(i)
	c.fair.refund(w.request.Customer, w.charged)
	return w
}

// evict refuses the last queued request if its rank is below the given one, so that a new
// request can be queued, and reports whether it did so. Unless includeOnlyServer is set, it
// skips OnlyServer requests.
func (c *Controller) evict(rank fleet.Urgency, includeOnlyServer bool) bool {
	for i := len(c.queue) - 1; i >= 0 && c.queue[i].rank < rank; i-- {
		if c.queue[i].request.OnlyServer && !includeOnlyServer {
			continue
		}
		w := c.drop(i)
		c.actions = append(c.actions, Action{w.id, errkind.QueueFull})
		return true
	}
	return false
}

// noCapacityKind returns the kind with which r is refused for lack of capacity: RateLimited
// if the rate limit is used up, SlotsReserved if the only free slots are reserved, and
// QueueFull otherwise.
func (c *Controller) noCapacityKind(r Request) errkind.Kind {
	if kind := c.limitKind(); kind != "" {
		return kind
	}
	if !r.privileged() && len(c.running) < c.config.Slots {
		return errkind.SlotsReserved
	}
	return errkind.QueueFull
}

// allowedWait returns the longest expected wait with which a request of the given rank is
// queued during overload. It grows with the rank, so that less urgent requests are refused
// first. It does not apply to a request that would be first in the queue, so that a request
// is always ready for the next free slot.
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

// Done records the end of a running request and returns the queued requests to start or
// refuse. Without a service time, serviceTime is zero and the estimates stay unchanged.
func (c *Controller) Done(now time.Time, id uint64, serviceTime time.Duration) []Action {
	c.actions = c.actions[:0]
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if !r.privileged {
		c.ordinary--
	}
	if r.uploading {
		c.uploading--
	}
	if serviceTime > 0 {
		base := c.slowdown.usualServiceTime(now, serviceTime, r)
		c.service.add(now, base)
		c.classEstimate(r.class).add(now, base)
	}
	c.expire(now)
	c.dispatch(now)
	if len(c.running) == 0 {
		c.fair.idle()
	}
	return c.actions
}

// Cancel removes a queued request whose caller disconnected. It reports whether the request
// was queued; a running request ends with Done.
func (c *Controller) Cancel(now time.Time, id uint64) (bool, []Action) {
	c.actions = c.actions[:0]
	i := c.queue.index(id)
	if i < 0 {
		return false, nil
	}
	c.drop(i)
	c.expire(now)
	c.dispatch(now)
	return true, c.actions
}

// Tick refuses queued requests that have waited for their longest time and starts others
// for which slots are free.
func (c *Controller) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// Close refuses queued and new requests with kind, for example Draining, until Open. Running
// requests are not affected.
func (c *Controller) Close(kind errkind.Kind) []Action {
	c.actions = c.actions[:0]
	c.closed = kind
	for len(c.queue) > 0 {
		c.actions = append(c.actions, Action{c.drop(len(c.queue) - 1).id, kind})
	}
	return c.actions
}

// Open accepts new requests again after Close.
func (c *Controller) Open() { c.closed = "" }
