package member_test

import (
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
)

// Guards against a tree that does not grow beyond what the control instances
// accept, that spreads a version late, or whose confirmations age with depth.
func TestDeepTreeSpreadsVersions(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(200, "katalog")
	t.Logf("200 nodes settled after %v", s.settle("katalog", 200))
	var worst time.Duration
	s.each = func() {
		for _, m := range s.names {
			worst = max(worst, m.Confirmed())
		}
	}
	s.run(5 * time.Second)
	for _, src := range s.sources {
		src.version, src.document = 2, []byte("two")
	}
	d := s.runUntil(2*time.Second, "version 2 everywhere", func() bool {
		return s.all("", func(_ fleet.NodeID, m *member.Member) bool {
			v, doc := m.Config()
			return v == 2 && string(doc) == "two"
		})
	})
	t.Logf("version spread in %v, oldest confirmation %v", d, worst)
	if worst >= member.ConfirmationBound/2 {
		t.Errorf("confirmation age reached %v", worst)
	}
	for n, m := range s.names {
		if c := m.Stats().Children; c > 8 {
			t.Errorf("%s has %d children, limit 8", n, c)
		}
	}
}

// Guards against a crashed node that goes on receiving work.
func TestDeadNodeIsDropped(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(40, "katalog")
	s.settle("katalog", 40)
	for _, dead := range []fleet.NodeID{nodeName(0), nodeName(39)} {
		s.stop(dead)
		d := s.runUntil(member.Lease, "dead node gone everywhere", func() bool {
			return s.all(dead, func(n fleet.NodeID, _ *member.Member) bool { return s.sees(n, dead, "katalog") == nil })
		})
		t.Logf("%s gone everywhere after %v", dead, d)
	}
}

// Guards against new work for a server that drains or has left.
func TestDrainReachesEveryone(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(60, "katalog")
	s.settle("katalog", 60)
	for _, state := range []fleet.ServerState{fleet.Draining, fleet.Left} {
		s.names[nodeName(17)].SetState(state)
		d := s.runUntil(2*time.Second, state.String()+" everywhere", func() bool {
			return s.all(nodeName(17), func(n fleet.NodeID, _ *member.Member) bool {
				x := s.sees(n, nodeName(17), "katalog")
				return (x == nil && state == fleet.Left) || (x != nil && x.State == state)
			})
		})
		t.Logf("%s everywhere after %v", state, d)
	}
}
