package member_test

import (
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/transport/memory"
)

// Guards against two control instances that call each other although one call can carry
// the exchanges in both directions.
func TestExchangesArePiggybackedOnReplies(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(6, "katalog")
	s.settle("katalog", 6)
	s.run(5 * time.Second)
	before := s.exchangeCalls()
	s.run(20 * time.Second)
	// There are three pairs with one call per pair in 500 ms on average. At 1.5
	// times that number, every second exchange takes two calls.
	if n := s.exchangeCalls() - before; n > 3*40*3/2 {
		t.Fatalf("control instances called each other %d times in 20 s, want at most 180", n)
	}
}

// exchangeCalls returns the number of calls that control instances received from
// each other.
func (s *sim) exchangeCalls() (n uint64) {
	for i := range s.sources {
		n += s.net.Received(address(controlName(i)))
	}
	for i := range s.sources {
		n -= s.byName[controlName(i)].Stats().HeartbeatsServed
	}
	return n
}

// Guards against changes that never arrive because they were in an exchange that was
// piggybacked on a lost reply.
func TestPiggybackInLostReplyIsResent(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(4, "katalog")
	s.settle("katalog", 4)
	for round := range 5 {
		s.net.SetFaults(memory.Faults{Drop: 0.5})
		name := nodeName(10 + round)
		s.start(name, "katalog", nil)
		s.run(2 * time.Second)
		s.net.SetFaults(memory.Faults{})
		s.settle("katalog", 5+round)
	}
	s.byName[nodeName(10)].SetState(fleet.Draining)
	s.runUntil(2*time.Second, "draining everywhere", func() bool {
		return s.all("", func(n fleet.NodeID, _ *member.Member) bool {
			x := s.sees(n, nodeName(10), "katalog")
			return x != nil && x.State == fleet.Draining
		})
	})
}
