package admit

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// chain is a request of class "order" with its nested calls of class "check". The request
// holds a slot of its first service while it waits for a check by the next service. That
// check holds a slot there while it waits for a further check, and so on.
type chain struct {
	first  int  // index of the service that receives the request
	levels int  // number of levels that hold a slot
	queued bool // the next level is queued
	failed bool // a level was refused
	ended  bool // every slot is released
}

// ring simulates services that call each other in a cycle. Chains advance in turn, so that
// every request has started before the first nested call.
type ring struct {
	services []*Controller
	chains   []*chain
	depth    int
	now      time.Time
	work     []int // indexes of the chains to advance, in order
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

// step offers the next level of a chain to its service, or ends the chain.
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

// Guards against a deadlock of two services, where requests hold every slot of both while
// they wait for nested calls to the other service. Reserved slots prevent this.
func TestOrdersAndChecksDoNotDeadlock(t *testing.T) {
	r := newRing(2, 40, 2, Config{Slots: 6, QueueLength: 40})
	r.run()
	if pending, failed := r.count(); pending > 0 || failed > 0 {
		t.Fatalf("of %d requests %d did not end and %d failed, want all to end without failure", len(r.chains), pending, failed)
	}
}

// Guards against chains of checks in a cycle that wait for each other's reserved slots until
// the deadline. The wait of a check is bounded by InternalWait (see internalWait). Its chain
// then fails and frees its slots, so that other chains succeed.
func TestCyclesOfChecksEnd(t *testing.T) {
	r := newRing(fleet.MaxDepth, 10*fleet.MaxDepth, fleet.MaxDepth, Config{Slots: 6, QueueLength: 40})
	r.run()
	for pending, _ := r.count(); pending > 0; pending, _ = r.count() {
		if r.now.After(start.Add(chainDeadline / 10)) {
			t.Fatalf("%d of %d chains have not ended after a tenth of the deadline, want all ended", pending, len(r.chains))
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
		t.Error("every chain failed, want some to succeed")
	}
	for i, s := range r.services {
		if l := s.Load(r.now); l.InFlight != 0 || l.Queued != 0 {
			t.Errorf("service %d: load after all chains ended = %+v, want nothing in flight or queued", i, l)
		}
	}
}
