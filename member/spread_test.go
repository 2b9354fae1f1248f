package member_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
)

// worstRate returns the largest increase of a counter over a number of steps.
func worstRate(counts []uint64, steps int) uint64 {
	var worst uint64
	for i := range counts {
		worst = max(worst, counts[i]-counts[max(0, i-steps)])
	}
	return worst
}

// Guards against a reconnection storm. When all nodes of an availability zone
// return at the same time, they must not occupy their parent, because its other
// children wait for replies.
func TestRejoinsOfReturningZoneAreSpread(t *testing.T) {
	const nodes, stepsIn100ms = 60, 4
	s := newSim(t, 1, 200)
	s.startNodes(nodes, "katalog")
	s.settle("katalog", nodes)
	control := s.byName[controlName(0)]
	for i := range nodes {
		s.net.Isolate(address(nodeName(i)))
	}
	s.run(20 * time.Second)
	for i := range nodes {
		s.net.Reconnect(address(nodeName(i)))
	}
	var joins, messages []uint64
	s.after = func() {
		joins = append(joins, control.Stats().ChildrenAccepted+control.Stats().ChildrenRefused)
		messages = append(messages, s.net.Received(s.seeds[0]))
	}
	s.after()
	d := s.runUntil(5*time.Second, "all nodes back", func() bool {
		return s.all(controlName(0), func(_ fleet.NodeID, m *member.Member) bool { return m.Parent() != "" })
	})
	s.run(2 * time.Second)
	t.Logf("all nodes have a parent after %v; at most %d attempts to join and %d messages in 100 ms", d, worstRate(joins, stepsIn100ms), worstRate(messages, stepsIn100ms))
	if n := worstRate(joins, stepsIn100ms); n > 20 {
		t.Errorf("control instance of a returning zone received %d attempts to join in 100 ms, want at most 20", n)
	}
	// This is ten messages per second from each child.
	if n := worstRate(messages, stepsIn100ms); n > nodes {
		t.Errorf("control instance of a returning zone received %d messages in 100 ms, want at most %d", n, nodes)
	}
}

// Guards against a parent that accepts new children at any rate.
func TestJoinRateIsLimited(t *testing.T) {
	s := newSim(t, 1, 1000)
	s.startNodes(400, "katalog")
	control := s.byName[controlName(0)]
	var accepted []uint64
	s.after = func() { accepted = append(accepted, control.Stats().ChildrenAccepted) }
	s.run(8 * time.Second)
	if n := control.Stats().Children; n != 400 {
		t.Errorf("control instance has %d children 8s after the start of 400 nodes, want 400", n)
	}
	if n := worstRate(accepted, 40); n > member.MaxJoinsPerSecond+20 {
		t.Errorf("control instance accepted %d of 400 nodes within a second, want at most member.MaxJoinsPerSecond+20", n)
	}
}

// Guards against nodes that receive the servers of services that they never call.
func TestServiceSubscriptions(t *testing.T) {
	s := newSim(t, 2, 3)
	s.startNodes(6, "katalog")
	for i := range 6 {
		s.start(nodeName(100+i), "objednavky", nil)
	}
	s.run(5 * time.Second)
	m := s.byName[nodeName(105)]
	if got := m.Servers("katalog"); got != nil {
		t.Fatalf("node knows %d servers of a service before its first use, want 0", len(got))
	}
	s.runUntil(time.Second, "6 servers known after the first use", func() bool { return len(m.Servers("katalog")) == 6 })
	s.run(2 * time.Second)
	s.byName[nodeName(100)].SetState(fleet.Draining)
	s.run(2 * time.Second)
	s.each(nodeName(100), func(n fleet.NodeID, m *member.Member) {
		for _, v := range m.View() {
			// A relay knows the nodes of its subtree. No node subscribes to objednavky.
			if v.Server.Service == "objednavky" && v.Server.Node != n && m.Stats().Children == 0 && m.Parent() != "" {
				t.Errorf("%s knows %s, a server of a service to which it does not subscribe, want it unknown", n, v.Server.Node)
			}
		}
	})
	s.runLong(11 * time.Minute)
	if got := m.Servers("katalog"); got != nil {
		t.Errorf("node knows %d servers of a service after 11 minutes without use, want 0", len(got))
	}
	s.runUntil(time.Second, "6 servers known after the second subscription", func() bool { return len(m.Servers("katalog")) == 6 })
}

// Guards against a Subscribe that fails although the servers arrive in time, and
// against one that waits forever.
func TestSubscribeWaitsForServers(t *testing.T) {
	s := newSim(t, 1, 3)
	s.startNodes(3, "katalog")
	s.run(2 * time.Second)
	m := s.byName[nodeName(0)]
	done := make(chan error)
	go func() { done <- m.Subscribe(context.Background(), "katalog") }()
	s.runUntil(time.Second, "3 servers known after the subscription", func() bool { return len(m.Servers("katalog")) == 3 })
	if err := <-done; err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := m.Subscribe(ctx, "zasielky"); !errors.Is(err, member.ErrIncomplete) {
		t.Errorf("Subscribe with a cancelled context: error %v, want %v", err, member.ErrIncomplete)
	}
}

// Guards against a shutdown that continues before another node has received the
// announcement that this node leaves.
func TestLeaveWaitsForNeighbour(t *testing.T) {
	s := newSim(t, 2, 8)
	s.startNodes(4, "katalog")
	s.settle("katalog", 4)
	for _, n := range []fleet.NodeID{nodeName(2), controlName(1)} {
		m := s.byName[n]
		done := make(chan error, 1)
		go func() { done <- m.Leave(context.Background()) }()
		left := func() bool { return m.Self().State == fleet.Left }
		for !left() {
			runtime.Gosched()
		}
		s.runUntil(time.Second, "departed node gone everywhere", func() bool { return s.gone(nodeName(2), "katalog") })
		s.run(time.Second)
		if err := <-done; err != nil {
			t.Error(err)
		}
		s.stop(n)
	}
	s.run(5 * time.Second)
	if got := len(s.byName[nodeName(0)].Servers("katalog")); got != 3 {
		t.Errorf("servers known after one of 4 nodes and a control instance left = %d, want 3", got)
	}
}

// Guards against crash reports that reach only some nodes, that arrive twice, or
// that never expire.
func TestCrashReportsSpread(t *testing.T) {
	s := newSim(t, 3, 3)
	s.startNodes(20, "katalog")
	s.settle("katalog", 20)
	got := map[fleet.NodeID]int{}
	s.each("", func(n fleet.NodeID, m *member.Member) {
		m.OnCrash(func(r fleet.CrashReport) {
			if r.Fingerprint == 77 && r.Node == nodeName(19) {
				got[n]++
			}
		})
	})
	s.byName[nodeName(19)].BroadcastCrash(fleet.CrashReport{Service: "katalog", Fingerprint: 77, Node: nodeName(19)})
	d := s.runUntil(2*time.Second, "crash reported everywhere", func() bool { return len(got) == 22 })
	t.Logf("crash reported everywhere after %v", d)
	s.runLong(time.Minute)
	for n, times := range got {
		if times != 1 {
			t.Errorf("%s received the crash report %d times, want once", n, times)
		}
	}
	// A node that starts later receives the report during the lifetime of the
	// broadcast, but not afterwards.
	late := map[int]int{}
	for i, wait := range []time.Duration{0, 10 * time.Minute} {
		s.runLong(wait)
		s.start(nodeName(200+i), "katalog", nil).OnCrash(func(fleet.CrashReport) { late[i]++ })
		s.run(5 * time.Second)
	}
	if late[0] != 1 || late[1] != 0 {
		t.Errorf("nodes that started before and after the expiry of a crash report received it %d and %d times, want 1 and 0", late[0], late[1])
	}
}
