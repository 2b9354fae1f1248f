package node

import (
	"context"
	"net"
	"strings"
	"testing"

	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// Guards against a plan of another entry node that is not that of the node itself, or that loses
// what is missing on its way.
func TestPlanOfAnotherEntryNode(t *testing.T) {
	f := newTestFleet(t, 1)
	f.bootstrap()
	f.addPlainNode()
	entry := f.nodes[1]
	f.await("a configuration and an open listener at the entry node", func() bool {
		conn, err := net.Dial("tcp", f.settings[1].CallerAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil && entry.config.Current() != nil && entry.proxy.Load() != nil
	})
	plan := func(entry fleet.NodeID) (*explain.Plan, error) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return f.nodes[0].Plan(ctx, &explain.PlanRequest{Entry: entry, Method: "GET", Host: "shop.example", Path: "/x"})
	}
	self, plain := nodeID(f.settings[0]), nodeID(f.settings[1])
	if _, err := plan(plain); errkind.Of(err).Kind != errkind.NotFound || !strings.Contains(err.Error(), "no server of service shop") {
		t.Errorf("plan of a node that has not used the service: error %v, want that it knows no server", err)
	}
	f.send(1, "GET", "/x", "w", "")
	for _, want := range []fleet.NodeID{self, plain} {
		got, err := plan(want)
		if err != nil {
			t.Fatal(err)
		}
		if got.Entry != want || got.Class != "browse" || len(got.Refusals) != 0 || len(got.Targets) != 1 || got.Targets[0].Node != self {
			t.Errorf("plan of %s = %+v, want class browse and target %s", want, got, self)
			continue
		}
		if left := got.Targets[0].LeftZone; (left != "") != (want == plain) {
			t.Errorf("plan of %s: reason %q for leaving the zone; the only server is in the zone of %s", want, left, self)
		}
	}
	if _, err := plan("nobody"); errkind.Of(err).Kind != errkind.NotFound {
		t.Errorf("plan of an unknown node: error %v, want not_found", err)
	}
}
