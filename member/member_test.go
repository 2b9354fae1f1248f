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
	s.after = func() {
		for _, m := range s.names {
			worst = max(worst, m.Confirmed())
		}
	}
	s.run(5 * time.Second)
	s.setVersion(2)
	d := s.runUntil(2*time.Second, "version 2 everywhere", func() bool { return s.everywhere(2) })
	t.Logf("version spread in %v, oldest confirmation %v", d, worst)
	if worst >= member.ConfirmationBound/2 {
		t.Errorf("confirmation age reached %v", worst)
	}
	for n, m := range s.names {
		if c := m.Stats().Children; c > 8 {
			t.Errorf("%s has %d children, limit 8", n, c)
		}
	}
	view := s.names[controlName(0)].View()
	if len(view) != 203 {
		t.Errorf("control instance lists %d nodes, want 203", len(view))
	}
	s.run(4 * time.Second)
	for _, v := range s.names[controlName(0)].View() {
		if v.Applied != 2 || v.LeaseAge >= member.Lease || v.Lost {
			t.Errorf("%s: applied %d, lease age %v, lost %v", v.Server.Node, v.Applied, v.LeaseAge, v.Lost)
		}
	}
}

// Guards against a crashed node that goes on receiving work, whether its parent
// is a control instance or a relay.
func TestDeadNodeIsDropped(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(40, "katalog")
	s.settle("katalog", 40)
	for _, dead := range []fleet.NodeID{nodeName(0), nodeName(39)} {
		s.stop(dead)
		d := s.runUntil(member.Lease, "dead node gone everywhere", func() bool { return s.gone(dead, "katalog") })
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

// Guards against an announcement that is still under way, or a process that was
// frozen, bringing back a node that has left.
func TestOldAnnouncementDoesNotReturn(t *testing.T) {
	s := newSim(t, 2, 8)
	s.startNodes(6, "katalog")
	s.settle("katalog", 6)
	// The frozen process has an older announcement than the one that leaves.
	old := s.names[nodeName(0)]
	s.freeze(nodeName(0))
	s.run(5 * time.Second)
	s.life++
	m := s.start(nodeName(0), "katalog", nil)
	s.settle("katalog", 6)
	m.SetState(fleet.Left)
	s.runUntil(2*time.Second, "left everywhere", func() bool { return s.gone(nodeName(0), "katalog") })
	var superseded fleet.Incarnation
	old.OnSuperseded(func(i fleet.Incarnation) { superseded = i })
	s.names[nodeName(0)] = old
	delete(s.stopped, nodeName(0))
	s.after = func() {
		s.all(nodeName(0), func(n fleet.NodeID, _ *member.Member) bool {
			if s.sees(n, nodeName(0), "katalog") != nil {
				t.Fatalf("%s sees the node that has left", n)
			}
			return true
		})
	}
	s.run(30 * time.Second)
	if superseded != 2 {
		t.Errorf("the frozen process heard of incarnation %d, want 2", superseded)
	}
}

// Guards against a restarted node that stays hidden behind its earlier life, also
// when its clock was set back.
func TestRestartedNodeSupersedes(t *testing.T) {
	s := newSim(t, 2, 8)
	s.life = 5
	s.startNodes(6, "katalog")
	s.settle("katalog", 6)
	for _, x := range []struct{ life, want fleet.Incarnation }{{6, 6}, {2, 7}} {
		s.stop(nodeName(3))
		s.life = x.life
		var taken fleet.Incarnation
		s.start(nodeName(3), "katalog", nil).OnIncarnation(func(i fleet.Incarnation) { taken = i })
		s.runUntil(3*time.Second, "new incarnation everywhere", func() bool {
			return s.all(nodeName(3), func(n fleet.NodeID, _ *member.Member) bool {
				got := s.sees(n, nodeName(3), "katalog")
				return got != nil && got.Incarnation == x.want
			})
		})
		if x.life != x.want && taken != x.want {
			t.Errorf("restarted with %d: told to take %d, want %d", x.life, taken, x.want)
		}
	}
}

// Guards against a good node that is dropped because its parent cannot reach it,
// in one direction or both.
func TestBadLinkDoesNotDropNode(t *testing.T) {
	for name, cut := range map[string]func(s *sim, a, b string){
		"both":     func(s *sim, a, b string) { s.net.Cut(a, b); s.net.Cut(b, a) },
		"outbound": func(s *sim, a, b string) { s.net.Cut(a, b) },
		"inbound":  func(s *sim, a, b string) { s.net.Cut(b, a) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 48)
			s.startNodes(12, "katalog")
			s.settle("katalog", 12)
			s.after = func() {
				if !s.all("", func(n fleet.NodeID, _ *member.Member) bool { return s.sees(n, nodeName(5), "katalog") != nil }) {
					t.Fatal("good node dropped")
				}
			}
			cut(s, address(nodeName(5)), address(s.names[nodeName(5)].Parent()))
			s.run(30 * time.Second)
			if age := s.names[nodeName(5)].Confirmed(); age > member.ConfirmationBound/2 {
				t.Errorf("confirmation of the node behind the bad link is %v old", age)
			}
		})
	}
}

// Guards against a relay or control instance whose loss takes its whole subtree
// with it.
func TestLostParentKeepsChildren(t *testing.T) {
	s := newSim(t, 3, 4)
	s.startNodes(40, "katalog")
	s.settle("katalog", 40)
	relay := s.names[nodeName(39)].Parent()
	for _, dead := range []fleet.NodeID{relay, controlName(1)} {
		want := len(s.names[controlName(0)].Servers("katalog"))
		if s.names[dead].Self().Service == "katalog" {
			want--
		}
		s.after = func() {
			s.all(dead, func(n fleet.NodeID, m *member.Member) bool {
				if got := len(m.Servers("katalog")); got < want {
					t.Fatalf("%s sees %d servers after the loss of %s, want %d", n, got, dead, want)
				}
				return true
			})
		}
		s.stop(dead)
		s.run(20 * time.Second)
	}
}
