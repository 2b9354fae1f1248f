package member_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/transport"
	"bramleymill/transport/memory"
)

const simStep = 25 * time.Millisecond

// source is a ConfigSource that the test controls.
type source struct {
	clock       *clock.Manual
	version     uint64
	document    []byte
	confirmedAt time.Time // time of the newest confirmation; advances while the instance is connected
	cutOff      bool
}

func (s *source) Accepted() (uint64, []byte, time.Duration, bool) {
	if !s.cutOff {
		s.confirmedAt = s.clock.Now()
	}
	return s.version, s.document, s.clock.Now().Sub(s.confirmedAt), s.version > 0
}

// sim runs members in one goroutine, with a manual clock and an in-memory network.
type sim struct {
	t           *testing.T
	clock       *clock.Manual
	net         *memory.Network
	members     []*member.Member
	byName      map[fleet.NodeID]*member.Member
	stopped     map[fleet.NodeID]bool
	sources     []*source
	seeds       []string
	maxChildren int
	incarnation fleet.Incarnation
	after       func() // called after every step
}

func newSim(t *testing.T, controls, maxChildren int) *sim {
	c := clock.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	s := &sim{
		t:     t,
		clock: c,
		net: memory.New(memory.Config{Seed: 1, Sleep: func(_ context.Context, d time.Duration) error {
			c.Advance(d)
			return nil
		}}),
		byName:      map[fleet.NodeID]*member.Member{},
		stopped:     map[fleet.NodeID]bool{},
		maxChildren: maxChildren,
		incarnation: 1,
	}
	for i := range controls {
		s.seeds = append(s.seeds, address(controlName(i)))
	}
	for i := range controls {
		src := &source{clock: s.clock, version: 1, document: []byte("document 1")}
		s.sources = append(s.sources, src)
		s.start(controlName(i), "", src)
	}
	return s
}

func controlName(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("control-%d", i)) }
func nodeName(i int) fleet.NodeID    { return fleet.NodeID(fmt.Sprintf("node-%03d", i)) }
func address(n fleet.NodeID) string  { return "addr-" + string(n) }

func (s *sim) start(name fleet.NodeID, service string, src member.ConfigSource) *member.Member {
	s.t.Helper()
	mux := transport.NewMux()
	role := fleet.RoleNode
	if src != nil {
		role = fleet.RoleControl
	}
	c := s.net.Join(transport.Peer{Node: name, Role: role, Address: address(name)}, mux)
	m, err := member.New(member.Config{
		Self: fleet.Server{Node: name, Incarnation: s.incarnation, Sequence: 1, Service: service, Zone: "zone-a",
			PeerAddress: address(name), State: fleet.Ready, Slots: 10},
		Seeds: s.seeds, Client: c, Mux: mux, Clock: s.clock, Seed: uint64(len(s.members) + 1),
		MaxChildren: s.maxChildren, Source: src,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.members = append(s.members, m)
	s.byName[name] = m
	delete(s.stopped, name)
	return m
}

func (s *sim) startNodes(n int, service string) {
	for i := range n {
		s.start(nodeName(i), service, nil)
	}
}

// stop ends a process without an announcement.
func (s *sim) stop(name fleet.NodeID) {
	s.net.Leave(address(name))
	s.freeze(name)
}

// freeze prevents a process from sending messages. It still answers the
// messages of other members.
func (s *sim) freeze(name fleet.NodeID) { s.stopped[name] = true }

func (s *sim) step() {
	s.clock.Advance(simStep)
	s.each("", func(_ fleet.NodeID, m *member.Member) { m.Step(context.Background()) })
	if s.after != nil {
		s.after()
	}
}

func (s *sim) run(d time.Duration) {
	for until := s.clock.Now().Add(d); s.clock.Now().Before(until); {
		s.step()
	}
}

// runLong lets a long time pass in longer steps, which are still below the
// heartbeat interval.
func (s *sim) runLong(d time.Duration) {
	const step = 200 * time.Millisecond
	for until := s.clock.Now().Add(d); s.clock.Now().Before(until); {
		s.clock.Advance(step - simStep)
		s.step()
	}
}

// runUntil runs until ok holds and returns how long that took. It fails the test if
// that takes longer than bound.
func (s *sim) runUntil(bound time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	began := s.clock.Now()
	for !ok() {
		if s.clock.Now().Sub(began) >= bound {
			s.t.Fatalf("condition not reached within %v: %s", bound, what)
		}
		s.step()
	}
	return s.clock.Now().Sub(began)
}

func (s *sim) sees(observer, name fleet.NodeID, service string) *fleet.Server {
	for _, x := range s.byName[observer].Servers(service) {
		if x.Node == name {
			return &x
		}
	}
	return nil
}

// each calls f for every running member except one, in the order of their starts.
func (s *sim) each(except fleet.NodeID, f func(n fleet.NodeID, m *member.Member)) {
	for _, m := range s.members {
		if n := m.Self().Node; s.byName[n] == m && n != except && !s.stopped[n] {
			f(n, m)
		}
	}
}

// all reports whether f holds for every running member except one. It calls f for
// all of them even after a failure, because f may subscribe a node to a service.
func (s *sim) all(except fleet.NodeID, f func(n fleet.NodeID, m *member.Member) bool) bool {
	ok := true
	s.each(except, func(n fleet.NodeID, m *member.Member) { ok = f(n, m) && ok })
	return ok
}

// settle waits until all members see all servers of a service and have a
// confirmed configuration.
func (s *sim) settle(service string, want int) time.Duration {
	s.t.Helper()
	return s.runUntil(20*time.Second, fmt.Sprintf("%d servers of %s everywhere", want, service), func() bool {
		return s.all("", func(_ fleet.NodeID, m *member.Member) bool {
			return len(m.Servers(service)) == want && m.ConfirmationAge() < member.ConfirmationBound
		})
	})
}

// gone reports whether no other member sees a node any more.
func (s *sim) gone(name fleet.NodeID, service string) bool {
	return s.all(name, func(n fleet.NodeID, _ *member.Member) bool { return s.sees(n, name, service) == nil })
}

// everywhere reports whether a configuration version is in force at all members.
func (s *sim) everywhere(version uint64) bool {
	return s.all("", func(_ fleet.NodeID, m *member.Member) bool {
		v, _ := m.Config()
		return v == version
	})
}

func (s *sim) setVersion(v uint64) {
	for _, src := range s.sources {
		src.version, src.document = v, []byte(fmt.Sprint("document ", v))
	}
}

// slowReply lets a member send what is due, and lets d pass before it receives the
// replies.
func (s *sim) slowReply(name fleet.NodeID, d time.Duration) {
	s.net.SetFaults(memory.Faults{MinDelay: d})
	s.byName[name].Step(context.Background())
	s.net.SetFaults(memory.Faults{})
}
