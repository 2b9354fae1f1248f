package member_test

import (
	"fmt"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
)

// Guards against a tree that does not grow below the children of the control
// instances. Also guards against versions that reach deep nodes late, and against
// confirmations that get too old there.
func TestDeepTreeSpreadsVersions(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(200, "katalog")
	t.Logf("200 nodes settled after %v", s.settle("katalog", 200))
	var worst time.Duration
	s.after = func() {
		for _, m := range s.byName {
			worst = max(worst, m.ConfirmationAge())
		}
	}
	s.run(5 * time.Second)
	s.setVersion(2)
	// The required bound is 2 s. With regular heartbeats alone, each level would
	// take up to 500 ms.
	d := s.runUntil(500*time.Millisecond, "version 2 everywhere", func() bool { return s.everywhere(2) })
	t.Logf("version 2 everywhere after %v, oldest confirmation %v", d, worst)
	if worst >= member.ConfirmationBound/2 {
		t.Errorf("highest confirmation age of all nodes = %v, want less than member.ConfirmationBound/2", worst)
	}
	for n, m := range s.byName {
		if c := m.Stats().Children; c > 8 {
			t.Errorf("%s has %d children, want at most 8", n, c)
		}
	}
	view := s.byName[controlName(0)].View()
	if len(view) != 203 {
		t.Errorf("control instance lists %d nodes, want 203", len(view))
	}
	s.run(4 * time.Second)
	for _, v := range s.byName[controlName(0)].View() {
		if v.AppliedVersion != 2 || v.LeaseAge >= member.Lease || v.Lost {
			t.Errorf("%s: applied version %d, lease age %v, lost %v; want version 2, an age below the lease, not lost", v.Server.Node, v.AppliedVersion, v.LeaseAge, v.Lost)
		}
	}
}

// Guards against a crashed node that continues to receive work. Its parent is a
// control instance in one case and a relay in the other.
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

// Guards against new work for a server that is draining or has left.
func TestDrainReachesEveryone(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(60, "katalog")
	s.settle("katalog", 60)
	for _, state := range []fleet.ServerState{fleet.Draining, fleet.Left} {
		s.byName[nodeName(17)].SetState(state)
		// The required bound is 2 s, also for a tree that is twice as deep.
		d := s.runUntil(time.Second, state.String()+" everywhere", func() bool {
			return s.all(nodeName(17), func(n fleet.NodeID, _ *member.Member) bool {
				x := s.sees(n, nodeName(17), "katalog")
				return (x == nil && state == fleet.Left) || (x != nil && x.State == state)
			})
		})
		t.Logf("%s everywhere after %v", state, d)
	}
}

// Guards against the return of a node that has left. An announcement that is still
// in flight, or a process that resumes after a freeze, could bring it back.
func TestOldAnnouncementDoesNotRestoreNode(t *testing.T) {
	s := newSim(t, 2, 8)
	s.startNodes(6, "katalog")
	s.settle("katalog", 6)
	// The frozen process has an older announcement than the one that leaves.
	old := s.byName[nodeName(0)]
	s.freeze(nodeName(0))
	s.run(5 * time.Second)
	s.incarnation++
	m := s.start(nodeName(0), "katalog", nil)
	s.settle("katalog", 6)
	m.SetState(fleet.Left)
	s.runUntil(2*time.Second, "departed node gone everywhere", func() bool { return s.gone(nodeName(0), "katalog") })
	var superseded fleet.Incarnation
	old.OnSuperseded(func(i fleet.Incarnation) { superseded = i })
	s.byName[nodeName(0)] = old
	delete(s.stopped, nodeName(0))
	s.after = func() {
		s.all(nodeName(0), func(n fleet.NodeID, _ *member.Member) bool {
			if s.sees(n, nodeName(0), "katalog") != nil {
				t.Fatalf("%s sees the node that has left, want it gone although a process with its name resumed", n)
			}
			return true
		})
	}
	s.run(30 * time.Second)
	if superseded != 2 {
		t.Errorf("incarnation reported to the frozen process = %d, want 2", superseded)
	}
}

// Guards against ignoring the announcements of a restarted node, because those of its
// earlier incarnation seem newer. This must not happen even when its clock was set
// back: the node then adopts a higher incarnation.
func TestRestartedNodeSupersedes(t *testing.T) {
	s := newSim(t, 2, 8)
	s.incarnation = 5
	s.startNodes(6, "katalog")
	s.settle("katalog", 6)
	for _, x := range []struct{ incarnation, want fleet.Incarnation }{{6, 6}, {2, 7}} {
		s.stop(nodeName(3))
		s.incarnation = x.incarnation
		var adopted fleet.Incarnation
		s.start(nodeName(3), "katalog", nil).OnIncarnation(func(i fleet.Incarnation) { adopted = i })
		s.runUntil(3*time.Second, "new incarnation everywhere", func() bool {
			return s.all(nodeName(3), func(n fleet.NodeID, _ *member.Member) bool {
				got := s.sees(n, nodeName(3), "katalog")
				return got != nil && got.Incarnation == x.want
			})
		})
		if x.incarnation != x.want && adopted != x.want {
			t.Errorf("node restarted with incarnation %d: adopted incarnation %d, want %d", x.incarnation, adopted, x.want)
		}
	}
}

// Guards against dropping a healthy node because the link to its parent is cut in
// one direction or both. With a single control instance, no other member receives
// its heartbeats until it joins a relay.
func TestBadLinkDoesNotDropNode(t *testing.T) {
	suspicions := uint64(0)
	for name, cut := range map[string]func(s *sim, a, b string){
		"both":     func(s *sim, a, b string) { s.net.Cut(a, b); s.net.Cut(b, a) },
		"outbound": func(s *sim, a, b string) { s.net.Cut(a, b) },
		"inbound":  func(s *sim, a, b string) { s.net.Cut(b, a) },
	} {
		for _, controls := range []int{1, 3} {
			t.Run(fmt.Sprint(name, controls), func(t *testing.T) {
				s := newSim(t, controls, 48)
				s.startNodes(12, "katalog")
				s.settle("katalog", 12)
				affected := []fleet.NodeID{nodeName(1), nodeName(3), nodeName(5), nodeName(7), nodeName(9)}
				s.after = func() {
					if !s.all("", func(n fleet.NodeID, m *member.Member) bool { return len(m.Servers("katalog")) == 12 }) {
						t.Fatal("some node does not see all 12 katalog servers although only links failed, want 12 servers seen by every node")
					}
				}
				for _, n := range affected {
					cut(s, address(n), address(s.byName[n].Parent()))
				}
				s.run(30 * time.Second)
				s.each("", func(_ fleet.NodeID, m *member.Member) { suspicions += m.Stats().Suspicions })
				for _, n := range affected {
					if age := s.byName[n].ConfirmationAge(); age > member.ConfirmationBound/2 {
						t.Errorf("confirmation of %s behind a cut link is %v old, want at most half of member.ConfirmationBound", n, age)
					}
				}
			})
		}
	}
	if suspicions == 0 {
		t.Error("no node became suspect, want at least one suspicion, else the test checks nothing")
	}
}

// Guards against a parent that drops a node although only the link between the two is
// cut. A node that finds no parent but answers probes from other locations must not be
// dropped.
func TestReachableNodeIsKept(t *testing.T) {
	s := newSim(t, 1, 48)
	s.startNodes(8, "katalog")
	s.settle("katalog", 8)
	// The node subscribes to no service, so it knows no other address than its seed.
	isolated := nodeName(50)
	s.start(isolated, "katalog", nil)
	seenEverywhere := func() bool {
		return s.all(isolated, func(n fleet.NodeID, _ *member.Member) bool { return s.sees(n, isolated, "katalog") != nil })
	}
	s.runUntil(3*time.Second, "the new node seen everywhere", seenEverywhere)
	s.net.Cut(address(isolated), s.seeds[0])
	s.net.Cut(s.seeds[0], address(isolated))
	s.after = func() {
		if !seenEverywhere() {
			t.Fatal("node dropped although other locations reach it, want it kept")
		}
	}
	s.run(30 * time.Second)
	if s.byName[isolated].Parent() != "" {
		t.Error("the isolated node found a parent, want no parent, else the test checks nothing")
	}
}

// Guards against a node that stays lost at its former parent after it has joined
// another one.
func TestMovedNodeIsRestoredAtFormerParent(t *testing.T) {
	s := newSim(t, 1, 5)
	s.startNodes(30, "katalog")
	s.settle("katalog", 30)
	children := map[fleet.NodeID][]fleet.NodeID{}
	s.each(controlName(0), func(n fleet.NodeID, m *member.Member) {
		children[m.Parent()] = append(children[m.Parent()], n)
	})
	delete(children, controlName(0))
	for relay, nodes := range children {
		// The first child receives no replies and joins another parent. At least
		// half a second later the relay suspects it. The relay then asks its other children
		// to probe the first child. They do not reach it either, because the connections
		// between them and the first child are cut too.
		s.net.Cut(address(relay), address(nodes[0]))
		for _, n := range nodes[1:] {
			s.net.Cut(address(n), address(nodes[0]))
		}
	}
	s.run(20 * time.Second)
	dropped := uint64(0)
	s.each("", func(n fleet.NodeID, m *member.Member) {
		dropped += m.Stats().Dropped
		if got := len(m.Servers("katalog")); got != 30 {
			t.Errorf("%s below %q after nodes moved to other parents: sees %d servers, want 30", n, m.Parent(), got)
		}
	})
	if dropped == 0 {
		t.Error("no relay dropped a node, want at least one drop, else the test checks nothing")
	}
}

// Guards against the loss of a whole subtree when its relay or control instance is
// lost.
func TestLostParentKeepsChildren(t *testing.T) {
	s := newSim(t, 3, 4)
	s.startNodes(40, "katalog")
	s.settle("katalog", 40)
	relay := s.byName[nodeName(39)].Parent()
	for _, dead := range []fleet.NodeID{relay, controlName(1)} {
		want := len(s.byName[controlName(0)].Servers("katalog"))
		if s.byName[dead].Self().Service == "katalog" {
			want--
		}
		s.after = func() {
			s.all(dead, func(n fleet.NodeID, m *member.Member) bool {
				if got := len(m.Servers("katalog")); got < want {
					t.Fatalf("%s sees %d servers after the loss of %s, want at least %d", n, got, dead, want)
				}
				return true
			})
		}
		s.stop(dead)
		s.run(20 * time.Second)
	}
}
