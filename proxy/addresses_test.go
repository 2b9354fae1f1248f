package proxy

import (
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
)

// Guards against keeping the addresses of earlier incarnations and of nodes that have
// left, and against the eviction of an address that is in use.
func TestAddressesOfEarlierIncarnationsAreEvicted(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	r := newRemote(nil, nil, func() uint64 { return 0 }, k, func() string { return "" }, nil)
	steady := fleet.Server{Node: "steady", Incarnation: 1, PeerAddress: "10.0.0.1:1"}
	for i := range 1000 {
		restarted := fleet.Server{Node: "restarted", Incarnation: fleet.Incarnation(i + 1), PeerAddress: "10.0.0.2:1"}
		for _, s := range []*fleet.Server{&restarted, &steady} {
			name := r.poolName(s)
			if address, ok := r.addresses.address(name); !ok || address != s.PeerAddress {
				t.Fatalf("address of pool %s = %q, want the peer address of its server (steady: 10.0.0.1:1, restarted: 10.0.0.2:1)", name, address)
			}
		}
		k.Advance(time.Minute)
	}
	count := 0
	r.addresses.byName.Range(func(any, any) bool { count++; return true })
	if limit := int(addressRetention/time.Minute) + 2; count > limit {
		t.Errorf("addresses stored after 1000 restarts of a node = %d, want at most %d", count, limit)
	}
	changed := steady
	changed.PeerAddress = "10.0.0.3:1"
	if address, _ := r.addresses.address(r.poolName(&changed)); address != changed.PeerAddress {
		t.Errorf("address of the pool after a change of the peer address = %q, want \"10.0.0.3:1\"", address)
	}
}
