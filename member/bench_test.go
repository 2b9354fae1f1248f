package member

import (
	"context"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/transport"
)

// BenchmarkServers measures Servers, which is on the request path and must not
// allocate.
func BenchmarkServers(b *testing.B) {
	m, _ := startControlWith(b, 14)
	m.Servers("katalog")
	b.ReportAllocs()
	for b.Loop() {
		if len(m.Servers("katalog")) != 14 {
			b.Fatal("Servers returned another number of servers than the 14 that exist")
		}
	}
}

// BenchmarkHeartbeatAtParent measures a heartbeat without changes at a parent that
// knows 3,200 nodes, without the transport.
func BenchmarkHeartbeatAtParent(b *testing.B) {
	m, client := startControlWith(b, 3200)
	h := &heartbeat{Self: serverOf("katalog-0001", 1, fleet.Ready), Applied: 1, ParentBoot: m.core.boot, Rev: m.core.reg.rev,
		Subscriptions: []string{"katalog"}, HasSubscriptions: true, SubscriptionHash: hashServices([]string{"katalog"})}
	send := func() *heartbeatReply {
		var r heartbeatReply
		if err := client.Call(context.Background(), "c", kindHeartbeat, h, &r); err != nil {
			b.Fatal(err)
		}
		return &r
	}
	r := send()
	h.Subscriptions, h.HasSubscriptions, h.Rev = nil, false, r.Rev
	b.ReportAllocs()
	for b.Loop() {
		r = send()
	}
	b.ReportMetric(float64(encodedSize(b, h)), "request-bytes")
	b.ReportMetric(float64(encodedSize(b, r)), "reply-bytes")
}

func encodedSize(b *testing.B, v any) int {
	out, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(out)
}

// BenchmarkIdleLoop measures one pass of the loop of an idle control instance that
// knows 3,200 nodes.
func BenchmarkIdleLoop(b *testing.B) {
	m, _ := startControlWith(b, 3200)
	c := m.clock.(*clock.Manual)
	for b.Loop() {
		m.collect()
		c.Advance(1)
	}
}

func startControlWith(b *testing.B, nodes int) (*Member, transport.Client) {
	m, net := startControl(b)
	now := m.clock.Now()
	for i := range nodes {
		s := serverOf(fleet.NodeID(fmt.Sprintf("katalog-%04d", i)), 1, fleet.Ready)
		m.core.mergeReport(s, false, "control-0", 1, now, now)
	}
	m.publish()
	return m, join(net, "katalog-0001", fleet.RoleNode)
}
