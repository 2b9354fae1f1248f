package admit

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// chain is a request that holds a slot of one service while the next service
// runs a check for it, and so on.
type chain struct {
	first  int
	levels int // levels that hold a slot
	queued bool
	failed bool
	ended  bool
}

// ring is a number of services whose orders each make a chain of checks. Work is
// done in the order in which it arises, so that every order starts before the
// first check.
type ring struct {
	services []*Controller
	chains   []*chain
	depth    int
	now      time.Time
	work     []int
}

const chainDeadline = time.Minute

func newRing(services, chains, depth int, c Config) *ring {
	r := &ring{now: start, depth: depth}
	for range services {
		r.services = append(r.services, NewController(c))
	}
	for i := range chains {
		r.chains = append(r.chains, &chain{first: i % services})
		r.work = append(r.work, i)
	}
	return r
}

func (r *ring) service(i, level int) *Controller {
	return r.services[(r.chains[i].first+level)%len(r.services)]
}

func chainID(i, level int) uint64 { return uint64(i*100 + level + 1) }

func (r *ring) run() {
	for len(r.work) > 0 {
		i := r.work[0]
		r.work = r.work[1:]
		r.step(i)
	}
}

// step calls the next level of a chain, or ends the chain.
func (r *ring) step(i int) {
	c := r.chains[i]
	if c.ended || c.queued {
		return
	}
	if c.failed || c.levels == r.depth {
		r.end(i)
		return
	}
	request := Request{Urgency: fleet.UrgencyHigh, Deadline: start.Add(chainDeadline + time.Duration(i)*time.Millisecond), Class: "order"}
	if c.levels > 0 {
		request.Urgency, request.Internal, request.Class = fleet.UrgencyCritical, true, "check"
	}
	verdict, _, actions := r.service(i, c.levels).Offer(r.now, chainID(i, c.levels), request)
	switch verdict {
	case Admitted:
		c.levels++
	case Refused:
		c.failed = true
	}
	c.queued = verdict == Queued
	r.work = append(r.work, i)
	r.apply(actions)
}

func (r *ring) end(i int) {
	c := r.chains[i]
	c.ended = true
	for c.levels > 0 {
		c.levels--
		r.apply(r.service(i, c.levels).Done(r.now, chainID(i, c.levels), 0))
	}
}

func (r *ring) apply(actions []Action) {
	for _, a := range actions {
		i := int(a.ID-1) / 100
		r.chains[i].queued = false
		if a.Kind == "" {
			r.chains[i].levels++
		} else {
			r.chains[i].failed = true
		}
		r.work = append(r.work, i)
	}
}

// count returns how many chains have not ended and how many failed.
func (r *ring) count() (pending, failed int) {
	for _, c := range r.chains {
		if !c.ended {
			pending++
		}
		if c.failed {
			failed++
		}
	}
	return pending, failed
}

// Guards against orders that hold every slot while they wait for checks of each
// other's service: without reserved slots none of them would ever end.
func TestOrdersAndChecksDoNotDeadlock(t *testing.T) {
	r := newRing(2, 40, 2, Config{Slots: 6, QueueLength: 40})
	r.run()
	if pending, failed := r.count(); pending > 0 || failed > 0 {
		t.Fatalf("of %d orders %d are stuck and %d failed", len(r.chains), pending, failed)
	}
}

// Guards against chains of checks in a circle that hold the reserved slots of
// each other until the deadline. Every wait of a check ends within InternalWait,
// so that its chain frees the slots for others, and some chains succeed.
func TestDeepCirclesOfChecksEnd(t *testing.T) {
	r := newRing(fleet.MaxDepth, 10*fleet.MaxDepth, fleet.MaxDepth, Config{Slots: 6, QueueLength: 40})
	r.run()
	for pending, _ := r.count(); pending > 0; pending, _ = r.count() {
		if r.now.After(start.Add(chainDeadline / 10)) {
			t.Fatalf("%d of %d chains are stuck", pending, len(r.chains))
		}
		r.now = r.now.Add(time.Millisecond)
		for _, s := range r.services {
			r.apply(s.Tick(r.now))
		}
		r.run()
	}
	_, failed := r.count()
	t.Logf("%d of %d chains failed, all ended after %v", failed, len(r.chains), r.now.Sub(start))
	if failed == len(r.chains) {
		t.Error("every chain failed")
	}
	for i, s := range r.services {
		if l := s.Load(r.now); l.InFlight != 0 || l.Queued != 0 {
			t.Errorf("service %d has %+v after all chains ended", i, l)
		}
	}
}
