package admit

import (
	"time"

	"bramleymill/errkind"
)

// Load is the state of a Controller as load reports carry it.
type Load struct {
	InFlight    int
	Queued      int
	Slots       int
	ServiceTime time.Duration // zero: unknown
	ServiceAge  time.Duration // since the newest evidence for ServiceTime
	Closed      errkind.Kind  // empty: open
	Slowdown    float64       // see fleet.LoadReport
	SlowdownAge time.Duration
}

// Load returns the current counts.
func (c *Controller) Load(now time.Time) Load {
	service, age := c.reportedTime(now)
	pace, paceAge := c.pace.told(now)
	return Load{
		Slowdown:    pace,
		SlowdownAge: paceAge,
		InFlight:    len(c.running),
		Queued:      len(c.queue),
		Slots:       c.config.Slots,
		ServiceTime: service,
		ServiceAge:  age,
		Closed:      c.closed,
	}
}

// A running request that takes longer than overdueFactor times the mean of its
// class is evidence of a slow server. Half as much weight as an answer has keeps
// the long requests of a normal server from making it look slow.
const (
	overdueFactor = 1.5
	overdueWeight = estimateWeight / 2
)

// reportedTime returns the service time for load reports and the age of the
// evidence for it. Overdue requests count as if they ended now, so that other
// nodes learn of a slow server before its first slow answer. The mean does not
// fall with its age: selecting nodes would take an idle slow server for a fast one.
func (c *Controller) reportedTime(now time.Time) (service, age time.Duration) {
	if c.service.mean == 0 {
		return 0, 0
	}
	var excess time.Duration
	overdue, keep := 0, 1.0
	for _, r := range c.running {
		usual := c.usualTime(r.class)
		if elapsed := c.pace.usual(now, now.Sub(r.started), r); float64(elapsed) > overdueFactor*float64(usual) {
			excess += elapsed - usual
			overdue++
			keep *= 1 - overdueWeight
		}
	}
	service = time.Duration(c.service.mean)
	if overdue == 0 {
		return service, now.Sub(c.service.at)
	}
	return service + time.Duration((1-keep)*float64(excess)/float64(overdue)), 0
}

// usualTime returns the mean service time of a class, or of all classes before
// the first answer of the class.
func (c *Controller) usualTime(class string) time.Duration {
	if e := c.classes[class]; e != nil && e.mean > 0 {
		return time.Duration(e.mean)
	}
	return time.Duration(c.service.mean)
}

// slotFor reports whether a slot is free for r.
func (c *Controller) slotFor(r Request) bool {
	if len(c.running) >= c.config.Slots {
		return false
	}
	return r.privileged() || c.ordinary < c.config.Slots-c.config.Reserved
}

func (c *Controller) run(now time.Time, id uint64, r Request) {
	c.running[id] = running{now, c.pace.clock(now), r.Deadline, r.privileged(), r.Class}
	if !r.privileged() {
		c.ordinary++
	}
}

// dispatch starts queued requests while slots are free. A request that can no
// longer meet its deadline is refused, because running it would waste a slot.
// Requests that miss their target start after those that can meet it, and not in a
// slow phase, where they would hold slots far into the time after it.
func (c *Controller) dispatch(now time.Time) {
	c.dispatchIf(now, func(w *waiting) bool { return c.inTime(now, w) })
	if !c.pace.slow(now) {
		c.dispatchIf(now, func(*waiting) bool { return true })
	}
}

func (c *Controller) dispatchIf(now time.Time, wanted func(*waiting) bool) {
	for i := 0; i < len(c.queue) && len(c.running) < c.config.Slots; {
		w := &c.queue[i]
		if !c.slotFor(w.request) || !wanted(w) {
			i++
			continue
		}
		started := c.queue.remove(i)
		if c.remainingTooShort(now, started.request) {
			c.actions = append(c.actions, Action{started.id, errkind.DeadlineBeforeRun})
			continue
		}
		c.observeDelay(now, now.Sub(started.arrived), started.request)
		c.run(now, started.id, started.request)
		c.actions = append(c.actions, Action{started.id, ""})
	}
}

// observeDelay feeds the delay rule. Privileged requests overtake the others
// and say nothing about the queue.
func (c *Controller) observeDelay(now time.Time, wait time.Duration, r Request) {
	if !r.privileged() {
		c.delay.observe(now, wait, &c.config)
	}
}

func (c *Controller) expire(now time.Time) {
	for i := 0; i < len(c.queue); {
		if now.Before(c.queue[i].giveUp) {
			i++
			continue
		}
		w := c.queue.remove(i)
		kind := errkind.DeadlineBeforeRun
		if now.Before(w.request.Deadline) {
			kind = errkind.QueueFull
		}
		c.actions = append(c.actions, Action{w.id, kind})
	}
}

// internalWait returns how long an internal request waits: InternalWait, and up
// to twice that the more running requests have a later deadline. When calls wait
// for each other in a circle, the call whose deadline comes first outlasts the
// others and gets the slots that they free.
func (c *Controller) internalWait(r Request) time.Duration {
	later := 0
	for _, o := range c.running {
		if o.deadline.After(r.Deadline) {
			later++
		}
	}
	return c.config.InternalWait + c.config.InternalWait*time.Duration(later)/time.Duration(max(len(c.running), 1))
}

// giveUp returns when a queued request is refused at the latest.
func (c *Controller) giveUp(id uint64) time.Time { return c.queue[c.queue.index(id)].giveUp }

// NextExpiry returns the earliest time at which Tick would refuse a request.
func (c *Controller) NextExpiry() (time.Time, bool) {
	var first time.Time
	for i := range c.queue {
		if g := c.queue[i].giveUp; first.IsZero() || g.Before(first) {
			first = g
		}
	}
	return first, !first.IsZero()
}

func (c *Controller) class(name string) *estimate {
	e := c.classes[name]
	if e == nil {
		e = &estimate{}
		c.classes[name] = e
	}
	return e
}

// classTime returns the expected service time of a class. Without samples of
// the class nothing is assumed, so that the first request is never refused.
func (c *Controller) classTime(now time.Time, name string) time.Duration {
	e := c.classes[name]
	if e == nil {
		return 0
	}
	return c.pace.expected(now, e.value(now, c.config.EstimateHalfLife))
}

// expectedWait returns the time until a request at a position of the queue
// starts when every slot is in use.
func (c *Controller) expectedWait(now time.Time, r Request, position int) time.Duration {
	slots := c.config.Slots
	if !r.privileged() {
		slots -= c.config.Reserved
	}
	return time.Duration(position+1) * c.pace.expected(now, c.service.value(now, c.config.EstimateHalfLife)) / time.Duration(slots)
}

// unknownShare is the share of the time until its target that a request is taken to
// run for before any answer has told: after a start, a queue that is let grow until
// the first answer would miss every target.
const unknownShare = 0.5

// runTime returns the expected service time of a request with a target.
func (c *Controller) runTime(now time.Time, r Request) time.Duration {
	if t := c.classTime(now, r.Class); t > 0 {
		return t
	}
	return c.meanTime(now, r)
}

// meanTime returns the expected service time of all requests, as far as it is
// known, or else what r gives reason to expect.
func (c *Controller) meanTime(now time.Time, r Request) time.Duration {
	if c.service.mean == 0 {
		return time.Duration(unknownShare * float64(max(r.Target.Sub(now), 0)))
	}
	return c.pace.expected(now, c.service.value(now, c.config.EstimateHalfLife))
}

// waitForTarget returns the time until a request at a position of the queue starts
// when every slot is in use. Those before it that miss their targets start later.
func (c *Controller) waitForTarget(now time.Time, position int, r Request) time.Duration {
	ahead := 1
	for i := range position {
		if c.inTime(now, &c.queue[i]) {
			ahead++
		}
	}
	return time.Duration(ahead) * c.meanTime(now, r) / time.Duration(c.config.Slots)
}

// inTime reports whether a queued request that started now would meet its target,
// or has none that counts.
func (c *Controller) inTime(now time.Time, w *waiting) bool {
	t := w.request.Target
	return t.IsZero() || w.request.Internal || now.Add(c.classTime(now, w.request.Class)).Before(t)
}

// hopelessShare is the share of the mean service time below which the time left
// is taken as too short. Half the requests are faster than the mean, so that
// the mean itself would refuse requests that meet their deadline.
const hopelessShare = 0.5

func (c *Controller) remainingTooShort(now time.Time, r Request) bool {
	need := time.Duration(hopelessShare * float64(c.classTime(now, r.Class)))
	left := r.Deadline.Sub(now)
	return left <= 0 || left < need
}

// A movable request is refused when its expected wait exceeds movableShare of the
// mean service time: the choice was made on old information, and a second choice
// costs less than the wait. One that has waited movableStay times as long is
// refused too, because the server has become slow since.
const (
	movableShare = 0.7
	movableStay  = 2
)

// movableWait returns the longest expected wait of a movable request, or zero
// when the service time is not known.
func (c *Controller) movableWait(now time.Time) time.Duration {
	return time.Duration(movableShare * float64(c.service.value(now, c.config.EstimateHalfLife)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
