package member

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/transport"
	"bramleymill/transport/memory"
)

// Guards against a message of another node that ends the process or that makes it lose or
// stop following the other nodes: an odd entry must be refused or be kept beside the rest.
func FuzzMessages(f *testing.F) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	odd := []fleet.Server{
		{},
		{Node: "odd", Incarnation: math.MaxUint64, Sequence: math.MaxUint64, PeerAddress: "10.0.0.1:65536", State: 255, Slots: math.MinInt, ReadySince: math.MaxInt64},
		{Node: fleet.NodeID(bytes.Repeat([]byte{'x'}, 1<<16)), PeerAddress: ":0"},
		{Node: "\xff", PeerAddress: "\x00", Service: "shop", ControlInstance: true},
		{Node: "control", Incarnation: math.MaxUint64, PeerAddress: "elsewhere"},
	}
	for _, s := range odd {
		for kind := range byte(5) {
			f.Add(kind, string(s.Node), true, encode(&heartbeat{Self: s, Children: -1, Rev: math.MaxUint64, BroadcastsUpTo: math.MaxUint64, HasSubscriptions: true,
				Subscriptions: []string{"", "shop"}, PendingLists: []string{"shop"}, Subtree: []report{{Server: s, Age: math.MinInt64}},
				Renewals: []renewal{{Node: s.Node, Incarnation: math.MaxUint64, AgeMillis: math.MaxUint32}}, Broadcasts: []broadcast{{}}}))
			f.Add(kind, string(s.Node), true, encode(&exchange{Self: s}))
		}
	}
	f.Add(byte(0), "odd", false, bytes.Repeat([]byte{0x81}, 1<<12))
	f.Add(byte(4), "odd", true, []byte{0xa1, 0x01, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind byte, sender string, control bool, payload []byte) {
		mux := transport.NewMux()
		now := clock.NewManual(time.Unix(1_000_000, 0))
		client := memory.New(memory.Config{}).Join(transport.Peer{Node: "control", Role: fleet.RoleControl, Address: "c"}, mux)
		m, err := New(Config{Self: fleet.Server{Node: "control", Incarnation: 1, PeerAddress: "c", State: fleet.Ready, ControlInstance: true},
			Seeds: []string{"c"}, Client: client, Mux: mux, Clock: now, MaxChildren: 8, Source: fixedSource{}})
		if err != nil {
			t.Fatal(err)
		}
		m.Servers("shop")
		send := func(kind transport.Kind, peer transport.Peer, payload []byte) ([]byte, error) {
			return mux.Dispatch(t.Context(), peer, kind, payload)
		}
		good := fleet.Server{Node: "good", Incarnation: 7, Sequence: 3, Service: "shop", PeerAddress: "10.0.0.9:1", State: fleet.Ready, Slots: 4}
		heartbeat := func() error {
			b, err := cbor.Marshal(&heartbeat{Self: good})
			if err != nil {
				t.Fatal(err)
			}
			_, err = send(kindHeartbeat, transport.Peer{Node: "good", Role: fleet.RoleNode, Address: "10.0.0.9:1"}, b)
			return err
		}
		if err := heartbeat(); err != nil {
			t.Fatal(err)
		}
		role := fleet.RoleNode
		if control {
			role = fleet.RoleControl
		}
		for range 2 {
			_, _ = send(kindHeartbeat+transport.Kind(kind%5), transport.Peer{Node: fleet.NodeID(sender), Role: role, Address: "10.0.0.8:1"}, payload)
			now.Advance(50 * time.Millisecond)
			good.Sequence++
			err = heartbeat()
		}
		if sender == "good" {
			return // the message speaks for the good node itself
		}
		if err != nil {
			t.Errorf("heartbeat of a good node after the odd message: error %v, want none", err)
		}
		for _, s := range m.Servers("shop") {
			if s.Node == good.Node && s.PeerAddress == good.PeerAddress {
				return
			}
		}
		t.Errorf("servers after the odd message = %v, want the good node among them", m.Servers("shop"))
	})
}
