package replay

import (
	"cmp"
	"slices"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/probe"
)

// failureLatency is the time after which a failing server returns an error.
const failureLatency = 200 * time.Microsecond

// server is a simulated backend server together with the admission control of its node.
type server struct {
	run          *runner
	localEntry   *entry // the entry node of the same node, or nil
	line         *Line  // the line of the trace that defines this server
	announcement fleet.Server
	controller   *admit.Controller
	budget       *probe.Budget
	attempts     map[uint64]*attempt // queued and running attempts by id
	sequence     uint64              // sequence number of the last load report
	lastAnswer   time.Duration       // when the last execution ended or the last probe was sent
	drainAt      time.Duration       // start of the drain, negative without one

	maxRunning   int
	arrivals     []time.Duration // arrival times of all attempts
	lateArrivals int             // attempts that arrived more than drainBound after drainAt
}

// drainBound is how long after the start of a drain the server may still receive requests.
// Requirement M5 in docs/design.md sets this limit.
const drainBound = 2 * time.Second

// offer passes an attempt that has arrived to admission control.
func (s *server) offer(a *attempt) {
	s.arrivals = append(s.arrivals, s.run.now)
	if s.drainAt >= 0 && s.run.now > s.drainAt+drainBound {
		s.lateArrivals++
	}
	a.arrived = s.run.now
	c := &s.run.trace.Classes[a.request.class]
	verdict, kind, actions := s.controller.Offer(s.run.time(), a.id, admit.Request{
		Urgency: c.Urgency, Internal: c.Internal,
		Deadline: s.run.timeAt(a.request.deadline), Class: c.Name,
		Reroutable: a.reroutable, Hedge: a.hedge,
	})
	switch verdict {
	case admit.Refused:
		s.reply(a, kind)
	case admit.Admitted:
		s.attempts[a.id] = a
		s.start(a)
	case admit.Queued:
		s.attempts[a.id] = a
		s.scheduleTick()
	}
	s.applyActions(actions)
}

// observeReport applies the load report that came with a request to the entry node of s. The
// report describes sender, the backend server of the node that sent the request.
func (s *server) observeReport(sender *server, report *fleet.LoadReport) {
	if report == nil || s.localEntry == nil {
		return
	}
	b := s.localEntry.balancers[sender.line.Service]
	s.run.after(s.run.reportDelay(), func() { b.Observe(sender.line.Node, s.run.time(), report) })
}

// scheduleTick schedules the time at which the next queued request expires.
func (s *server) scheduleTick() {
	if at, ok := s.controller.NextExpiry(); ok {
		s.run.at(at.Sub(epoch), func() { s.applyActions(s.controller.Tick(s.run.time())) })
	}
}

// applyActions starts or refuses attempts as admission control has decided. An action without
// an error kind starts its attempt.
func (s *server) applyActions(actions []admit.Action) {
	for _, act := range slices.Clone(actions) {
		a := s.attempts[act.ID]
		if act.Kind == "" {
			s.start(a)
			continue
		}
		delete(s.attempts, act.ID)
		s.reply(a, act.Kind)
	}
}

func (s *server) start(a *attempt) {
	a.running = true
	a.started = s.run.now
	s.maxRunning = max(s.maxRunning, s.controller.Load(s.run.time()).InFlight)
	duration, kind := s.executionOutcome(a.request)
	a.end = s.run.now + duration
	s.run.at(a.end, func() { s.complete(a, kind) })
}

// executionOutcome returns how long a request runs if it starts now, and the error kind with
// which it ends; an empty kind means success. An execution ends at the deadline at the latest.
func (s *server) executionOutcome(r *request) (time.Duration, errkind.Kind) {
	if f := s.failureShare(s.run.now); f > 0 && r.nextFailureDraw() < f {
		return failureLatency, errkind.ConnectionLost
	}
	duration := time.Duration(float64(r.serviceTime) * s.slowdown(s.run.now))
	if remaining := r.deadline - s.run.now; duration > remaining {
		return max(remaining, 0), errkind.DeadlineExceeded
	}
	return duration, ""
}

func (s *server) complete(a *attempt, kind errkind.Kind) {
	if s.attempts[a.id] != a {
		return // canceled
	}
	delete(s.attempts, a.id)
	s.lastAnswer = s.run.now
	s.applyActions(s.controller.Done(s.run.time(), a.id, s.run.now-a.started))
	s.reply(a, kind)
}

// cancel ends a queued or running attempt whose request has already ended.
func (s *server) cancel(a *attempt) {
	if s.attempts[a.id] != a {
		return
	}
	delete(s.attempts, a.id)
	if a.running {
		s.applyActions(s.controller.Done(s.run.time(), a.id, 0))
	} else {
		_, actions := s.controller.Cancel(s.run.time(), a.id)
		s.applyActions(actions)
	}
}

func (s *server) reply(a *attempt, kind errkind.Kind) {
	report := s.report()
	a.atServer = s.run.now - a.arrived
	s.run.after(a.hop, func() { a.entry.receive(a, kind, report) })
}

func (s *server) report() *fleet.LoadReport {
	s.sequence++
	l := s.controller.Load(s.run.time())
	return &fleet.LoadReport{
		Incarnation: s.announcement.Incarnation, Sequence: s.sequence,
		InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots,
		ServiceTime: l.ServiceTime, ServiceAge: l.ServiceAge, Draining: l.Closed == errkind.Draining,
	}
}

// slowdown returns the factor that multiplies the service times at a time of the trace.
func (s *server) slowdown(t time.Duration) float64 {
	f := 1.0
	for _, e := range s.run.disturbances[s.line.Node] {
		if !e.active(t) {
			continue
		}
		switch e.Kind {
		case KindSwing, KindStraggler:
			f *= e.Factor
		case KindCold:
			progress := float64(t-e.At.Std()) / float64(e.Duration)
			f *= 1 + (e.Factor-1)*(1-progress)
		}
	}
	return f
}

// failureShare returns the share of requests that fail at a time of the trace.
func (s *server) failureShare(t time.Duration) float64 {
	for _, e := range s.run.disturbances[s.line.Node] {
		if e.Kind == KindFail && e.active(t) {
			return e.Factor
		}
	}
	return 0
}

// completionTime returns when a request that is sent now would end. It uses the actual
// service times of all requests that run, wait in the queue or are on their way to the server.
// Only the all-knowing policy may use it, because these times are not available to any node.
func (s *server) completionTime(r *request, hop time.Duration) time.Duration {
	freeAt, queued := s.run.slotsFreeAt[:0], s.run.queueScratch[:0]
	for _, a := range s.attempts {
		if a.running {
			freeAt = append(freeAt, a.end)
		} else {
			queued = append(queued, a)
		}
	}
	queued = append(queued, s.run.inTransit[s]...)
	slices.SortFunc(queued, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	slots := s.line.Slots - max(1, s.line.Slots/admit.DefaultReservedShare)
	for len(freeAt) < slots {
		freeAt = append(freeAt, 0)
	}
	factor := s.slowdown(s.run.now)
	for _, a := range queued {
		slot := earliest(freeAt)
		freeAt[slot] = max(freeAt[slot], s.run.now) + time.Duration(float64(a.request.serviceTime)*factor)
	}
	s.run.slotsFreeAt, s.run.queueScratch = freeAt, queued
	return max(freeAt[earliest(freeAt)], s.run.now+hop) + time.Duration(float64(r.serviceTime)*factor) + hop
}

// earliest returns the index of the smallest of times.
func earliest(times []time.Duration) int {
	first := 0
	for i, t := range times {
		if t < times[first] {
			first = i
		}
	}
	return first
}
