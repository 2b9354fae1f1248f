package admit

import (
	"time"

	"bramleymill/errkind"
)

// Load is the state of a Controller that is sent in load reports.
type Load struct {
	InFlight    int
	Queued      int
	Slots       int
	ServiceTime time.Duration // zero: unknown
	ServiceAge  time.Duration // age of the newest answer in ServiceTime; zero if a request is overdue
	Closed      errkind.Kind  // kind of every refusal after Close; empty: open
	Slowdown    float64       // current service time relative to the usual one; zero: unknown
	SlowdownAge time.Duration // time since the backend server reported Slowdown
	RateLimit   float64       // requests that may start a second; zero: no limit
	ColdRate    float64       // requests that may start a second because the server is cold; zero: no limit
	RateWait    time.Duration // time until the rate limit lets a further request start after those in the queue
}

// Load returns the current state for load reports.
func (c *Controller) Load(now time.Time) Load {
	service, age := c.reportedTime(now)
	slowdown, slowdownAge := c.slowdown.newestReport(now)
	c.limit.refill(now)
	return Load{
		RateLimit:   c.limit.rate(),
		ColdRate:    c.limit.cold.activeRate(),
		RateWait:    c.limit.wait(len(c.queue) + 1),
		Slowdown:    slowdown,
		SlowdownAge: slowdownAge,
		InFlight:    len(c.running),
		Queued:      len(c.queue),
		Slots:       c.config.Slots,
		ServiceTime: service,
		ServiceAge:  age,
		Closed:      c.closed,
	}
}

// A request that has run for longer than overdueFactor times the mean service time of its
// class is overdue and suggests that the server is slow. An overdue request has half the
// weight of an answer, so that long requests don't make a normal server look slow.
const (
	overdueFactor = 1.5
	overdueWeight = estimateWeight / 2
)

// reportedTime returns the service time for load reports and the age of its newest sample.
// Overdue requests count as if they ended now, so that other nodes detect a slow server
// before its first slow answer. Unlike estimate.value, the reported mean does not fall with
// its age, because an idle slow server would then look fast to selecting nodes.
func (c *Controller) reportedTime(now time.Time) (service, age time.Duration) {
	if c.service.mean == 0 {
		return 0, 0
	}
	var excess time.Duration
	overdue, meanWeight := 0, 1.0
	for _, r := range c.running {
		usualTime := c.usualTime(r.class)
		if elapsed := c.slowdown.usualServiceTime(now, now.Sub(r.started), r); float64(elapsed) > overdueFactor*float64(usualTime) {
			excess += elapsed - usualTime
			overdue++
			meanWeight *= 1 - overdueWeight
		}
	}
	service = time.Duration(c.service.mean)
	if overdue == 0 {
		return service, now.Sub(c.service.at)
	}
	return service + time.Duration((1-meanWeight)*float64(excess)/float64(overdue)), 0
}

// usualTime returns the mean service time of a class, or that of all classes until the
// class has its first answer.
func (c *Controller) usualTime(class string) time.Duration {
	if e := c.classes[class]; e != nil && e.mean > 0 {
		return time.Duration(e.mean)
	}
	return time.Duration(c.service.mean)
}

// hasSlotFor reports whether a slot is free for r.
func (c *Controller) hasSlotFor(r Request) bool {
	if len(c.running) >= c.config.Slots || !c.limit.allows() {
		return false
	}
	return r.privileged() || c.ordinary < c.config.Slots-c.config.Reserved
}

func (c *Controller) recordStart(now time.Time, id uint64, r Request) {
	c.limit.take()
	c.running[id] = running{started: now, workAtStart: c.slowdown.workClock(now), deadline: r.Deadline, privileged: r.privileged(), uploading: r.Uploading, class: r.Class}
	if r.Uploading {
		c.uploading++
	}
	if !r.privileged() {
		c.ordinary++
	}
}

// dispatch starts queued requests while slots are free. It refuses a request that can no
// longer meet its deadline, because running it would waste a slot. Requests that would miss
// their latency target start after those that can meet it. During a slow phase they do not
// start at all, because they would still hold slots long after the phase has ended.
func (c *Controller) dispatch(now time.Time) {
	c.limit.refill(now)
	c.dispatchIf(now, func(w *waiting) bool { return c.canMeetTarget(now, w) })
	if !c.slowdown.inSlowPhase(now) {
		c.dispatchIf(now, func(*waiting) bool { return true })
	}
}

func (c *Controller) dispatchIf(now time.Time, mayStart func(*waiting) bool) {
	for i := 0; i < len(c.queue) && len(c.running) < c.config.Slots; {
		w := &c.queue[i]
		if !c.hasSlotFor(w.request) || !mayStart(w) {
			i++
			continue
		}
		removed := c.queue.remove(i)
		if c.remainingTooShort(now, removed.request) {
			c.fair.refund(removed.request.Customer, removed.charged)
			c.actions = append(c.actions, Action{removed.id, errkind.DeadlineBeforeRun})
			continue
		}
		c.fair.started(removed.start)
		c.observeDelay(now, now.Sub(removed.arrived), removed.request)
		c.recordStart(now, removed.id, removed.request)
		c.actions = append(c.actions, Action{removed.id, ""})
	}
}

// observeDelay records a wait for the detection of overload. Waits of privileged requests
// are left out, because these requests overtake the others.
func (c *Controller) observeDelay(now time.Time, wait time.Duration, r Request) {
	if !r.privileged() {
		c.delay.observe(now, wait, &c.config)
	}
}

func (c *Controller) expire(now time.Time) {
	for i := 0; i < len(c.queue); {
		if now.Before(c.queue[i].refuseAt) {
			i++
			continue
		}
		w := c.drop(i)
		kind := errkind.DeadlineBeforeRun
		if now.Before(w.request.Deadline) {
			kind = errkind.QueueFull
		}
		c.actions = append(c.actions, Action{w.id, kind})
	}
}

// internalWait returns how long an internal request may wait. It is InternalWait, increased
// by the share of the running requests that have a later deadline, so at most twice
// InternalWait. When calls wait for each other in a cycle, the one with the earliest deadline
// therefore waits longest and gets a slot that the others free.
func (c *Controller) internalWait(r Request) time.Duration {
	later := 0
	for _, other := range c.running {
		if other.deadline.After(r.Deadline) {
			later++
		}
	}
	return c.config.InternalWait + c.config.InternalWait*time.Duration(later)/time.Duration(max(len(c.running), 1))
}

// refuseAt returns the time at which a queued request is refused if it has not started.
func (c *Controller) refuseAt(id uint64) time.Time { return c.queue[c.queue.index(id)].refuseAt }

// NextExpiry returns the earliest time at which Tick would refuse a queued request, and
// false if none is queued.
func (c *Controller) NextExpiry() (time.Time, bool) {
	var first time.Time
	for i := range c.queue {
		if at := c.queue[i].refuseAt; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

func (c *Controller) classEstimate(name string) *estimate {
	e := c.classes[name]
	if e == nil {
		e = &estimate{}
		c.classes[name] = e
	}
	return e
}

// classTime returns the expected service time of a class. It is zero before the first answer
// of the class, so that its first request is not refused because of an expected time.
func (c *Controller) classTime(now time.Time, name string) time.Duration {
	e := c.classes[name]
	if e == nil {
		return 0
	}
	return c.slowdown.expectedServiceTime(now, e.value(now, c.config.EstimateHalfLife))
}

// expectedWait returns the expected time until a request at the given position of the queue
// starts. It assumes that all slots that the request may use are in use, unless the rate
// limit prevents the start.
func (c *Controller) expectedWait(now time.Time, r Request, position int) time.Duration {
	slots := c.config.Slots
	if !r.privileged() {
		slots -= c.config.Reserved
	}
	if !c.limit.allows() && len(c.running) < slots {
		return c.limit.wait(position + 1)
	}
	forSlot := time.Duration(position+1) * c.slowdown.expectedServiceTime(now, c.service.value(now, c.config.EstimateHalfLife)) / time.Duration(slots)
	return max(forSlot, c.limit.wait(position+1))
}

// unknownShare is the service time that is assumed for a request before the first answer of
// the server, as a share of the time left until its latency target. Without this assumption
// the queue of a server that was just started would grow until the first answer, and every
// request in it would miss its target.
const unknownShare = 0.5

// runTime returns the expected service time of a request with a latency target. It is that of
// its class if known, and meanTime otherwise.
func (c *Controller) runTime(now time.Time, r Request) time.Duration {
	if t := c.classTime(now, r.Class); t > 0 {
		return t
	}
	return c.meanTime(now, r)
}

// meanTime returns the expected service time over all classes. Before the first answer it
// is unknownShare of the time left until the target of r.
func (c *Controller) meanTime(now time.Time, r Request) time.Duration {
	if c.service.mean == 0 {
		return time.Duration(unknownShare * float64(max(r.Target.Sub(now), 0)))
	}
	return c.slowdown.expectedServiceTime(now, c.service.value(now, c.config.EstimateHalfLife))
}

// waitForTarget returns the expected time until a request with a latency target starts at the
// given position of the queue. It assumes that all slots are in use. Requests before it that
// would miss their targets don't count, because dispatch starts them later.
func (c *Controller) waitForTarget(now time.Time, position int, r Request) time.Duration {
	ahead := 1
	for i := range position {
		if c.canMeetTarget(now, &c.queue[i]) {
			ahead++
		}
	}
	if !c.limit.allows() && len(c.running) < c.config.Slots {
		return c.limit.wait(ahead)
	}
	return max(time.Duration(ahead)*c.meanTime(now, r)/time.Duration(c.config.Slots), c.limit.wait(ahead))
}

// canMeetTarget reports whether a queued request would meet its latency target if it started
// now. It is true for requests without a target and for internal requests, because the
// target of an internal request is ignored here.
func (c *Controller) canMeetTarget(now time.Time, w *waiting) bool {
	t := w.request.Target
	return t.IsZero() || w.request.Internal || now.Add(c.classTime(now, w.request.Class)).Before(t)
}

// minRemainingShare is the least time that must be left until the deadline when a request
// starts, as a share of the mean service time of its class. It is below 1 because about
// half of the requests take less than the mean.
const minRemainingShare = 0.5

func (c *Controller) remainingTooShort(now time.Time, r Request) bool {
	needed := time.Duration(minRemainingShare * float64(c.classTime(now, r.Class)))
	left := r.Deadline.Sub(now)
	return left <= 0 || left < needed
}

// A reroutable request is refused when its expected wait exceeds reroutableShare of the mean
// service time. Such a wait shows that the server was selected from old information, and
// selecting another server costs less time than the wait. A queued reroutable request is
// refused after reroutableStayFactor times that limit, because the server has become slower
// than expected.
const (
	reroutableShare      = 0.7
	reroutableStayFactor = 2
)

// reroutableWait returns the longest expected wait of a reroutable request, or zero while
// the service time is unknown.
func (c *Controller) reroutableWait(now time.Time) time.Duration {
	return time.Duration(reroutableShare * float64(c.service.value(now, c.config.EstimateHalfLife)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
