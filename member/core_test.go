package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
	"bramleymill/transport/memory"
)

type fixedSource struct{}

func (fixedSource) Accepted() (uint64, []byte, time.Duration, bool) { return 1, []byte("one"), 0, true }

// startControl returns a control instance at address "c" and its network.
func startControl(t testing.TB) (*Member, *memory.Network) {
	t.Helper()
	net, mux := memory.New(memory.Config{}), transport.NewMux()
	c := net.Join(transport.Peer{Node: "control-0", Role: fleet.RoleControl, Address: "c"}, mux)
	m, err := New(Config{Self: fleet.Server{Node: "control-0", Incarnation: 1, PeerAddress: "c", State: fleet.Ready},
		Client: c, Mux: mux, Source: fixedSource{}, Clock: clock.NewManual(time.Unix(1000, 0))})
	if err != nil {
		t.Fatal(err)
	}
	return m, net
}

func join(net *memory.Network, name fleet.NodeID, role fleet.Role) transport.Client {
	return net.Join(transport.Peer{Node: name, Role: role, Address: "addr-" + string(name)}, transport.NewMux())
}

func serverOf(name fleet.NodeID, i fleet.Incarnation, s fleet.ServerState) fleet.Server {
	return fleet.Server{Node: name, Incarnation: i, Sequence: 1, Service: "katalog", PeerAddress: "addr-" + string(name), State: s}
}

// Guards against a node that announces another node, and against a node that sends
// registry exchanges as if it were a control instance.
func TestForgedAnnouncementIsRejected(t *testing.T) {
	m, net := startControl(t)
	forger := join(net, "thief", fleet.RoleNode)
	for name, err := range map[string]error{
		"heartbeat for another node": forger.Call(context.Background(), "c", kindHeartbeat, &heartbeat{Self: serverOf("katalog-1", 9, fleet.Ready)}, &heartbeatReply{}),
		"exchange of a node":         forger.Call(context.Background(), "c", kindExchange, &exchange{Self: serverOf("thief", 9, fleet.Ready), Full: true}, &exchangeReply{}),
	} {
		var kind *errkind.Error
		if !errors.As(err, &kind) || kind.Kind != errkind.Unauthorized {
			t.Errorf("%s: error %v, want error kind %s", name, err, errkind.Unauthorized)
		}
	}
	if got := m.Servers("katalog"); len(got) != 0 {
		t.Errorf("servers after forged announcements = %+v, want no servers", got)
	}
}

// Guards against an old announcement that takes effect when a relay forwards it after
// the node has left.
func TestRelayedOldAnnouncementIsIgnored(t *testing.T) {
	m, net := startControl(t)
	relay := join(net, "relay", fleet.RoleNode)
	send := func(s fleet.Server) {
		t.Helper()
		h := &heartbeat{Self: serverOf("relay", 1, fleet.Ready), Subtree: []report{{Server: s}}}
		if err := relay.Call(context.Background(), "c", kindHeartbeat, h, &heartbeatReply{}); err != nil {
			t.Fatal(err)
		}
	}
	sees := func() bool {
		for _, x := range m.Servers("katalog") {
			if x.Node == "katalog-1" {
				return true
			}
		}
		return false
	}
	send(serverOf("katalog-1", 4, fleet.Ready))
	if !sees() {
		t.Fatal("katalog-1 is missing after a relayed announcement, want it listed")
	}
	send(serverOf("katalog-1", 5, fleet.Left))
	for _, i := range []fleet.Incarnation{4, 5} {
		old := serverOf("katalog-1", i, fleet.Ready)
		if send(old); sees() {
			t.Errorf("announcement of incarnation %d restored the node that left with incarnation 5, want it ignored", i)
		}
	}
	send(serverOf("katalog-1", 6, fleet.Ready))
	if !sees() {
		t.Error("katalog-1 is missing after its restart with incarnation 6, want it listed")
	}
}

// Guards against a node that counts its configuration as confirmed although the
// confirmation is for a later version.
func TestConfirmationRequiresVersion(t *testing.T) {
	at := time.Unix(100, 0)
	c := configuration{version: 4}
	if c.confirm(5, at); c.confirmed {
		t.Error("confirmation of version 5 was recorded for version 4, want it ignored")
	}
	if c.confirm(4, at); c.age(at) != 0 {
		t.Error("confirmation of version 4 was not recorded for version 4, want it recorded")
	}
	// A confirmation that 3 was the newest version is also valid for a later version.
	if c.confirm(3, at.Add(time.Second)); c.age(at.Add(time.Second)) != 0 {
		t.Error("later confirmation of version 3 was not recorded for version 4, want it recorded")
	}
	if c.confirm(4, at); c.age(at.Add(time.Second)) != 0 {
		t.Error("older confirmation replaced the newer one, want it ignored")
	}
}

// Guards against a parent that drops a silent node before its lease ends. The parent
// asks another node, the helper, to probe the silent node and receives no answer. Also
// guards against a parent that never drops the silent node.
func TestSilentNodeIsKeptUntilLeaseEnds(t *testing.T) {
	m, net := startControl(t)
	c := m.clock.(*clock.Manual)
	heartbeatFrom := func(client transport.Client, name fleet.NodeID) {
		t.Helper()
		if err := client.Call(context.Background(), "c", kindHeartbeat, &heartbeat{Self: serverOf(name, 1, fleet.Ready)}, &heartbeatReply{}); err != nil {
			t.Fatal(err)
		}
	}
	// Neither node answers pings or probes, so the helper reports nothing about the
	// silent one.
	helper, silent := join(net, "helper", fleet.RoleNode), join(net, "silent", fleet.RoleNode)
	heartbeatFrom(silent, "silent")
	for at := time.Duration(0); at < 2*Lease; at += minScanInterval {
		heartbeatFrom(helper, "helper")
		m.Step(context.Background())
		if kept := len(m.Servers("katalog")) == 2; kept != (at < Lease) {
			t.Fatalf("after %v of silence: node kept = %v, want it kept until its lease ends after 3s and then dropped", at, kept)
		}
		c.Advance(minScanInterval)
	}
	if m.Stats().Suspicions < 2 {
		t.Error("the silent node was probed fewer than 2 times, want at least 2, since the helper that was asked to probe it did not answer the first time")
	}
}

// Guards against a control instance that drops a node which moved to another
// control instance, and against one that keeps the node after the other instance
// has released it.
func TestNodeOfOtherControlInstanceIsKept(t *testing.T) {
	m, net := startControl(t)
	c := m.clock.(*clock.Manual)
	mux := transport.NewMux()
	transport.Handle(mux, kindProbe, func(context.Context, transport.Peer, *probe) (*probeReply, error) { return &probeReply{}, nil })
	// The helper is asked to probe the moved node and answers that it did not reach it.
	helper := net.Join(transport.Peer{Node: "helper", Role: fleet.RoleNode, Address: "addr-helper"}, mux)
	moved, otherControl := join(net, "moved", fleet.RoleNode), join(net, "control-1", fleet.RoleControl)
	send := func(client transport.Client, k transport.Kind, r any) {
		t.Helper()
		if err := client.Call(context.Background(), "c", k, r, &exchangeReply{}); err != nil {
			t.Fatal(err)
		}
	}
	// exchangeAndRun sends an exchange with i from the other control instance and runs
	// for d. The change is sent only once, as a real control instance does.
	exchangeAndRun := func(d time.Duration, full bool, i item) {
		for at := time.Duration(0); at < d; at += minScanInterval {
			x := &exchange{Self: serverOf("control-1", 1, fleet.Ready), Boot: 1}
			if at == 0 {
				x.Full, x.Items = full, []item{i}
			}
			x.Self.Service, x.Self.ControlInstance = "", true
			send(otherControl, kindExchange, x)
			send(helper, kindHeartbeat, &heartbeat{Self: serverOf("helper", 1, fleet.Ready)})
			m.Step(context.Background())
			c.Advance(minScanInterval)
		}
	}
	send(moved, kindHeartbeat, &heartbeat{Self: serverOf("moved", 1, fleet.Ready)})
	exchangeAndRun(2*Lease, true, item{Server: serverOf("moved", 1, fleet.Ready)})
	if len(m.Servers("katalog")) != 2 {
		t.Error("the moved node was dropped although another control instance has it in its subtree, want it kept")
	}
	exchangeAndRun(Lease, false, item{Server: serverOf("moved", 1, fleet.Ready), Released: true})
	if len(m.Servers("katalog")) != 1 {
		t.Error("the moved node was kept although no control instance has it in its subtree, want it dropped")
	}
}

// Guards against memory allocation in Servers, which is on the request path.
func TestServersDoesNotAllocate(t *testing.T) {
	m, net := startControl(t)
	c := join(net, "katalog-1", fleet.RoleNode)
	if err := c.Call(context.Background(), "c", kindHeartbeat, &heartbeat{Self: serverOf("katalog-1", 1, fleet.Ready)}, &heartbeatReply{}); err != nil {
		t.Fatal(err)
	}
	if n := testing.AllocsPerRun(100, func() { m.Servers("katalog") }); n != 0 || len(m.Servers("katalog")) != 1 {
		t.Errorf("Servers made %v allocations and returned %d servers, want 0 allocations and 1 server", n, len(m.Servers("katalog")))
	}
}
