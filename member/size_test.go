package member_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/member"
)

// serversPerService is about the mean at the design size: 3,200 servers in 240
// services.
const serversPerService = 13

// sizeOfFleet returns the number of nodes in TestDesignSize. The design size takes
// minutes: BRAMLEYMILL_NODES=3200 go test -run TestDesignSize -v ./member
func sizeOfFleet(t *testing.T) int {
	text := os.Getenv("BRAMLEYMILL_NODES")
	if text == "" {
		return 260
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 2*serversPerService {
		t.Fatalf("BRAMLEYMILL_NODES=%s: want a number of at least %d", text, 2*serversPerService)
	}
	return n
}

func serviceOf(i int) string { return fmt.Sprintf("service-%d", i/serversPerService) }

// Guards against a mechanism that works only with few nodes. There are 11 control
// instances and many services, and each node subscribes to two of them. A version,
// a drain and a loss must reach everyone within their bounds, and a process must not
// serve more heartbeats than its children send.
func TestDesignSize(t *testing.T) {
	nodes := sizeOfFleet(t)
	s := newSim(t, 11, 48)
	servers := map[string]int{}
	for i := range nodes {
		s.start(nodeName(i), serviceOf(i), nil)
		servers[serviceOf(i)]++
	}
	serversKnown := func() bool {
		ok := true
		for i := range nodes {
			m := s.byName[nodeName(i)]
			for _, service := range []string{serviceOf(i), serviceOf((i + serversPerService) % nodes)} {
				ok = len(m.Servers(service)) == servers[service] && ok
			}
			ok = m.ConfirmationAge() < member.ConfirmationBound && ok
		}
		return ok
	}
	t.Logf("%d nodes know the servers of two services each after %v", nodes, s.runUntil(20*time.Second, "servers known", serversKnown))
	s.run(3 * time.Second)
	s.setVersion(2)
	t.Logf("version 2 everywhere after %v", s.runUntil(14*time.Second, "version 2 everywhere", func() bool { return s.everywhere(2) }))
	leaving := s.byName[nodeName(0)]
	leaving.SetState(fleet.Draining)
	t.Logf("drain at all subscribers after %v", s.runUntil(2*time.Second, "drain everywhere", func() bool {
		return s.allSubscribers(nodes, func(m *member.Member, x *fleet.Server) bool { return x != nil && x.State == fleet.Draining })
	}))
	s.stop(nodeName(0))
	t.Logf("dead node gone at all subscribers after %v", s.runUntil(member.Lease, "dead node gone", func() bool {
		return s.allSubscribers(nodes, func(_ *member.Member, x *fleet.Server) bool { return x == nil })
	}))
	s.logLoad(t)
}

// allSubscribers reports whether f holds for the first node as seen by all other
// nodes that subscribe to its service.
func (s *sim) allSubscribers(nodes int, f func(*member.Member, *fleet.Server) bool) bool {
	for i := 1; i < nodes; i++ {
		if i < serversPerService || i >= nodes-serversPerService {
			m := s.byName[nodeName(i)]
			if !f(m, s.sees(nodeName(i), nodeName(0), serviceOf(0))) {
				return false
			}
		}
	}
	return true
}

// logLoad logs the rate at which control instances and other nodes serve
// heartbeats in ten seconds without changes, and fails the test if it is too high
// for the number of their children.
func (s *sim) logLoad(t *testing.T) {
	const period = 10 * time.Second
	before := map[fleet.NodeID]uint64{}
	s.each("", func(n fleet.NodeID, m *member.Member) { before[n] = m.Stats().HeartbeatsServed })
	s.run(period)
	var highest [2]float64
	relays := 0
	s.each("", func(n fleet.NodeID, m *member.Member) {
		st := m.Stats()
		rate := float64(st.HeartbeatsServed-before[n]) / period.Seconds()
		role := 0
		if !m.Self().ControlInstance {
			role = 1
			if st.Children > 0 {
				relays++
			}
		}
		highest[role] = max(highest[role], rate)
		if limit := 3 * float64(st.Children+11); rate > limit {
			t.Errorf("%s with %d children serves %.1f heartbeats per second, want at most 3 for each child and 33 more", n, st.Children, rate)
		}
	})
	t.Logf("heartbeats served per second: control instance at most %.1f, other node at most %.1f; %d relays", highest[0], highest[1], relays)
}
