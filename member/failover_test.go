package member_test

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against a node that contacts a dead control instance again before it has
// contacted the others. It would stay without a parent and without a new configuration
// for seconds.
func TestNodeFindsRunningControlInstance(t *testing.T) {
	s := newSim(t, 5, 8)
	s.startNodes(6, "shop")
	s.settle("shop", 6)
	s.stop(controlName(0))
	s.stop(controlName(1))
	s.setVersion(2)
	took := s.runUntil(3*time.Second, "version 2 at all nodes", func() bool { return s.everywhere(2) })
	t.Logf("version 2 in force everywhere after %v", took)
}

// Guards against nodes that do not contact the control instances at added seeds.
func TestAddedSeedsAreContacted(t *testing.T) {
	s := newSim(t, 2, 8)
	reachable := s.seeds
	s.seeds = []string{"addr-nowhere"}
	m := s.start(nodeName(0), "shop", nil)
	s.run(2 * time.Second)
	if m.Parent() != "" {
		t.Fatal("the node has a parent although its only seed does not exist, want no parent")
	}
	m.AddSeeds(reachable)
	s.runUntil(3*time.Second, "a parent", func() bool { return m.Parent() != "" })
}

// Guards against a backend server that counts as warming up although only its node was
// restarted, and against one that counts as warm right after its start.
func TestWarmupIsAnnounced(t *testing.T) {
	s := newSim(t, 1, 8)
	m := s.start(nodeName(0), "shop", nil)
	for _, c := range []struct{ left, want time.Duration }{{0, 5 * time.Second}, {3 * time.Second, 2 * time.Second}} {
		m.SetState(fleet.Draining) // so that Ready is a change of state
		m.SetWarmup(c.left)
		m.SetState(fleet.Ready)
		warm := s.clock.Now().Sub(time.UnixMilli(m.Self().ReadySince))
		if diff := warm - c.want; diff < -10*time.Millisecond || diff > 10*time.Millisecond {
			t.Errorf("with %v of warm-up left: ReadySince is %v ago, want %v", c.left, warm, c.want)
		}
	}
}

// Guards against nodes that keep a control instance as parent after it was cut off from
// the majority. They would receive a new configuration seconds late.
func TestNodesLeaveCutOffControlInstances(t *testing.T) {
	s := newSim(t, 5, 48)
	s.startNodes(60, "shop")
	s.settle("shop", 60)
	for i := range 5 {
		s.sources[i].cutOff = i < 2
		if i >= 2 {
			s.sources[i].version, s.sources[i].document = 2, []byte("document 2")
		}
		for j := range 5 {
			if (i < 2) != (j < 2) {
				s.net.Cut(s.seeds[i], s.seeds[j])
			}
		}
	}
	version2AtNodes := func() bool {
		for i := range 60 {
			if v, _ := s.byName[nodeName(i)].Config(); v != 2 {
				return false
			}
		}
		return true
	}
	t.Logf("version 2 at all nodes after %v", s.runUntil(3*time.Second, "version 2 at all nodes", version2AtNodes))
}
