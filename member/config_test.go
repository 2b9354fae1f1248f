package member_test

import (
	"slices"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
)

// Guards against a cut-off control instance that keeps its children on an old
// configuration. The children must join a connected instance, and the confirmation
// age of the cut-off one must grow.
func TestCutOffControlDoesNotConfirm(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(30, "katalog")
	s.settle("katalog", 30)
	// The first control instance loses the links to the others, but not those to its
	// children.
	s.sources[0].cutOff = true
	for i := 1; i < 3; i++ {
		s.net.Cut(s.seeds[0], s.seeds[i])
		s.net.Cut(s.seeds[i], s.seeds[0])
		s.sources[i].version, s.sources[i].document = 2, []byte("document 2")
	}
	s.run(member.ConfirmationBound + time.Second)
	if age := s.byName[controlName(0)].ConfirmationAge(); age < member.ConfirmationBound {
		t.Errorf("confirmation of the cut-off control instance is %v old, want at least member.ConfirmationBound", age)
	}
	s.each(controlName(0), func(n fleet.NodeID, m *member.Member) {
		if v, _ := m.Config(); v != 2 || m.ConfirmationAge() >= member.ConfirmationBound/2 {
			t.Errorf("%s with parent %s: version %d confirmed %v ago, want version 2 and less than member.ConfirmationBound/2", n, m.Parent(), v, m.ConfirmationAge())
		}
	})
}

// Guards against confirmations that are renewed although no control instance is
// connected to a majority.
func TestNoMajorityNoConfirmation(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(30, "katalog")
	s.settle("katalog", 30)
	for _, src := range s.sources {
		src.cutOff = true
	}
	s.run(member.ConfirmationBound)
	s.each("", func(n fleet.NodeID, m *member.Member) {
		if m.ConfirmationAge() < member.ConfirmationBound {
			t.Errorf("%s while no control instance reaches a majority: confirmed %v ago, want at least member.ConfirmationBound", n, m.ConfirmationAge())
		}
	})
	for _, src := range s.sources {
		src.cutOff = false
	}
	s.runUntil(3*time.Second, "a confirmation younger than 2s at every member", func() bool {
		return s.all("", func(_ fleet.NodeID, m *member.Member) bool { return m.ConfirmationAge() < 2*time.Second })
	})
}

// Guards against a process that resumes after a freeze and still counts its old
// confirmation as recent, also when a reply was waiting for it.
func TestFrozenNodeIsNotConfirmed(t *testing.T) {
	s := newSim(t, 3, 8)
	s.startNodes(10, "katalog")
	s.settle("katalog", 10)
	m := s.byName[nodeName(4)]
	s.freeze(nodeName(4))
	s.run(30 * time.Second)
	if m.ConfirmationAge() < 30*time.Second {
		t.Errorf("confirmation age of a node resumed after a freeze of 30s = %v, want at least 30s", m.ConfirmationAge())
	}
	// The request was answered, but the process froze before it received the reply.
	s.slowReply(nodeName(4), 20*time.Second)
	s.run(simStep)
	if m.ConfirmationAge() < 20*time.Second {
		t.Errorf("confirmation age of a node that received a reply 20s late = %v, want at least 20s", m.ConfirmationAge())
	}
}

// Guards against a configuration that reverts to an older version because a parent
// has an older one.
func TestVersionsNeverGoDown(t *testing.T) {
	s := newSim(t, 3, 4)
	s.startNodes(30, "katalog")
	var versions []uint64
	s.byName[nodeName(29)].OnConfig(func(v uint64, _ []byte) { versions = append(versions, v) })
	highest := map[*member.Member]uint64{} // highest version seen at each process
	s.after = func() {
		s.each("", func(n fleet.NodeID, m *member.Member) {
			v, _ := m.Config()
			if v < highest[m] {
				t.Fatalf("%s went back from version %d to %d", n, highest[m], v)
			}
			highest[m] = v
		})
	}
	s.settle("katalog", 30)
	s.setVersion(7)
	s.run(2 * time.Second)
	// Control instances that still catch up after a restart have older versions,
	// here 5 and 6.
	for i, v := range []uint64{5, 6, 7} {
		s.sources[i].version = v
	}
	for i := range s.sources {
		s.stop(controlName(i))
		s.incarnation++
		s.run(3 * time.Second)
		s.start(controlName(i), "", s.sources[i])
		s.run(3 * time.Second)
	}
	s.setVersion(8)
	s.runUntil(4*time.Second, "version 8 everywhere", func() bool { return s.everywhere(8) })
	if !slices.Equal(versions, []uint64{1, 7, 8}) {
		t.Errorf("versions reported to the callback = %v, want 1, 7 and 8", versions)
	}
}

// Guards against a restarted node that adopts the configuration of a cut-off
// parent.
func TestRestartedNodeRequiresConfirmation(t *testing.T) {
	s := newSim(t, 1, 8)
	s.startNodes(2, "katalog")
	s.settle("katalog", 2)
	s.sources[0].cutOff = true
	s.run(member.ConfirmationBound)
	s.start(nodeName(5), "katalog", nil)
	s.run(5 * time.Second)
	m := s.byName[nodeName(5)]
	if v, _ := m.Config(); v != 0 || m.Parent() == "" {
		t.Fatalf("node started below a cut-off control instance: parent %q, version %d; want a parent and version 0", m.Parent(), v)
	}
	s.sources[0].cutOff = false
	s.runUntil(2*time.Second, "version 1 adopted and confirmed", func() bool {
		v, _ := m.Config()
		return v == 1 && m.ConfirmationAge() < 2*time.Second
	})
}

// Guards against a node that waits for its regular heartbeat although a peer has
// reported a later version, and against one that sends a heartbeat for each message
// with the same version.
func TestPeerVersionCausesHeartbeat(t *testing.T) {
	s := newSim(t, 1, 8)
	s.startNodes(2, "katalog")
	s.settle("katalog", 2)
	m := s.byName[nodeName(0)]
	before := s.net.Received(s.seeds[0])
	for range 40 {
		m.ObservePeerVersion(9)
		s.run(simStep)
	}
	// Two nodes send at most 3 regular heartbeats each in a second.
	if n := s.net.Received(s.seeds[0]) - before; n > 7 {
		t.Errorf("parent received %d messages after 40 reports of version 9 by a peer, want at most 7", n)
	}
	s.run(simStep)
	before = s.net.Received(s.seeds[0])
	m.ObservePeerVersion(10)
	s.run(2 * simStep)
	if s.net.Received(s.seeds[0]) == before {
		t.Error("node sent no heartbeat after a peer reported version 10, want one")
	}
}
