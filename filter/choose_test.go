package filter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// pool3 is a Directory with three servers.
type pool3 struct{}

func (pool3) Follow(context.Context, string) error { return nil }

func (pool3) Servers(service string) []fleet.Server {
	var out []fleet.Server
	for i := range 3 {
		out = append(out, fleet.Server{Node: fleet.NodeID(fmt.Sprintf("n%d", i)), Incarnation: 1, Service: service, State: fleet.Ready, Slots: 10})
	}
	return out
}

func (c *Call) begin() *Call {
	c.tried = &tried{}
	return c
}

// Guards against ejections that nobody can explain afterwards.
func TestEjectionsAreRecorded(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	events := explain.NewStore("e", 16, 64)
	failing := true
	f := NewChoose(HandlerFunc(func(c *Call) error {
		c.SentAt = k.Now()
		k.Advance(time.Millisecond)
		if failing {
			return errkind.New(errkind.ConnectionLost, "broken")
		}
		c.HeadAt = k.Now()
		return nil
	}), pool3{}, "", k, 1, events)
	awaitEvent := func(kind explain.EventKind, node fleet.NodeID) fleet.NodeID {
		t.Helper()
		for range 10_000 {
			_ = f.Serve(newCall(t, "GET", "", k).begin())
			k.Advance(100 * time.Millisecond)
			for _, e := range events.Events(1) {
				if e.Kind == kind && (node == "" || e.Node == node) && e.Service == "shop" {
					return e.Node
				}
			}
		}
		t.Fatalf("no event %s in %v", kind, events.Events(10))
		return ""
	}
	node := awaitEvent(explain.Ejected, "")
	failing = false
	awaitEvent(explain.Readmitted, node)
}

// Guards against choosing a server that the call has tried, and against an error
// that claims more than that no server is left.
func TestChooseExcludesWhatWasTried(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	seen := map[fleet.NodeID]int{}
	f := NewChoose(HandlerFunc(func(c *Call) error { seen[c.Target.Node]++; return nil }), pool3{}, "", k, 1, explain.NewStore("e", 1, 1))
	c := newCall(t, "GET", "", k).begin()
	for range 3 {
		if err := f.Serve(c.attempt(t.Context(), c.Answer)); err != nil {
			t.Fatal(err)
		}
	}
	if kind := kindOf(f.Serve(c.attempt(t.Context(), c.Answer))); kind != errkind.NoBackendServer || len(seen) != 3 {
		t.Errorf("kind %q, targets %v", kind, seen)
	}
	c.tried.restart()
	if a := c.attempt(t.Context(), c.Answer); f.Serve(a) != nil || a.Meta.Attempt != 5 {
		t.Errorf("attempt %d after the restart", a.Meta.Attempt)
	}
}
