package replay

import (
	"slices"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/probe"
)

// failAfter is the time in which a failing server answers.
const failAfter = 200 * time.Microsecond

// server is a backend server with its own node.
type server struct {
	run        *runner
	line       *Line
	announced  fleet.Server
	controller *admit.Controller
	budget     *probe.Budget
	attempts   map[uint64]*attempt // queued and running
	sequence   uint64
	lastAnswer time.Duration
	drainAt    time.Duration // negative: does not drain

	maxRunning int
	offers     int
	lateOffers int // executions begun more than drainBound after the drain
}

// drainBound is the time after which a draining server receives nothing (M5).
const drainBound = 2 * time.Second

func (s *server) offer(a *attempt) {
	s.offers++
	if s.drainAt >= 0 && s.run.now > s.drainAt+drainBound {
		s.lateOffers++
	}
	a.arrived = s.run.now
	c := &s.run.trace.Classes[a.request.class]
	verdict, kind, actions := s.controller.Offer(s.run.time(), a.id, admit.Request{
		Urgency: c.Urgency, Internal: c.Internal,
		Deadline: s.run.timeAt(a.request.deadline), Class: c.Name,
		Movable: a.movable, Hedge: a.hedge,
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
	s.perform(actions)
}

// scheduleTick makes queued requests expire in time.
func (s *server) scheduleTick() {
	if at, ok := s.controller.NextExpiry(); ok {
		s.run.at(at.Sub(epoch), func() { s.perform(s.controller.Tick(s.run.time())) })
	}
}

func (s *server) perform(actions []admit.Action) {
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
	took, kind := s.execution(a.request)
	a.end = s.run.now + took
	s.run.at(a.end, func() { s.complete(a, kind) })
}

// execution returns how long a request runs when it starts now. It is cut off at
// its deadline.
func (s *server) execution(r *request) (time.Duration, errkind.Kind) {
	if f := s.failing(s.run.now); f > 0 && r.coin < f {
		return failAfter, errkind.ConnectionLost
	}
	took := time.Duration(float64(r.work) * s.factor(s.run.now))
	if left := r.deadline - s.run.now; took > left {
		return max(left, 0), errkind.DeadlineExceeded
	}
	return took, ""
}

func (s *server) complete(a *attempt, kind errkind.Kind) {
	if s.attempts[a.id] != a {
		return // canceled
	}
	delete(s.attempts, a.id)
	s.lastAnswer = s.run.now
	s.perform(s.controller.Done(s.run.time(), a.id, s.run.now-a.started))
	s.reply(a, kind)
}

// cancel ends a queued or running attempt whose caller no longer needs it.
func (s *server) cancel(a *attempt) {
	if s.attempts[a.id] != a {
		return
	}
	delete(s.attempts, a.id)
	if a.running {
		s.perform(s.controller.Done(s.run.time(), a.id, 0))
	} else {
		_, actions := s.controller.Cancel(s.run.time(), a.id)
		s.perform(actions)
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
		Incarnation: s.announced.Incarnation, Sequence: s.sequence,
		InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots,
		ServiceTime: l.ServiceTime, Draining: l.Closed == errkind.Draining,
	}
}

// factor returns how much slower the server is at a time.
func (s *server) factor(t time.Duration) float64 {
	f := 1.0
	for i := range s.run.trace.Events {
		e := &s.run.trace.Events[i]
		if e.Node != s.line.Node || !e.active(t) {
			continue
		}
		switch e.Kind {
		case KindSwing, KindStraggler:
			f *= e.Factor
		case KindCold:
			warm := float64(t-e.At.Std()) / float64(e.For)
			f *= 1 + (e.Factor-1)*(1-warm)
		}
	}
	return f
}

// failing returns the share of requests that fail at a time.
func (s *server) failing(t time.Duration) float64 {
	for i := range s.run.trace.Events {
		e := &s.run.trace.Events[i]
		if e.Kind == KindFail && e.Node == s.line.Node && e.active(t) {
			return e.Factor
		}
	}
	return 0
}

// finish returns when a request would end if it were sent now: the running and
// queued requests take their true times. Only the all-knowing policy uses it.
func (s *server) finish(r *request, hop time.Duration) time.Duration {
	arrival := s.run.now + hop
	var free []time.Duration
	var queued []*attempt
	for _, a := range s.attempts {
		if a.running {
			free = append(free, a.end)
		} else {
			queued = append(queued, a)
		}
	}
	queued = append(queued, s.run.underWay[s]...)
	slices.SortFunc(queued, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	factor := s.factor(s.run.now)
	slots := s.controller.Load(s.run.time()).Slots
	slots -= max(1, slots/admit.DefaultReservedShare)
	for len(free) < slots {
		free = append(free, 0)
	}
	slices.Sort(free)
	for _, a := range queued {
		free[0] = max(free[0], s.run.now) + time.Duration(float64(a.request.work)*factor)
		slices.Sort(free)
	}
	return max(free[0], arrival) + time.Duration(float64(r.work)*factor) + hop
}
