package pick

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against the selection of a server that has just reported a slow phase, and against
// avoiding the server when the report is old.
func TestSlowPhaseRaisesTheCost(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	b.Update(now, []fleet.Server{
		{Node: "a", Incarnation: 1, State: fleet.Ready, Slots: 10},
		{Node: "b", Incarnation: 1, State: fleet.Ready, Slots: 10},
	}, "")
	report := func(node fleet.NodeID, queue int, slowdown float64, age time.Duration) {
		b.Observe(node, now, &fleet.LoadReport{Incarnation: 1, Sequence: 1, InFlight: queue, Slots: 10,
			ServiceTime: 100 * time.Millisecond, Slowdown: slowdown, SlowdownAge: age})
	}
	report("a", 1, 4, 0)
	report("b", 6, 1, 0)
	cost := func(node fleet.NodeID, at time.Time) time.Duration { return b.View(b.Endpoint(node), at).Cost }
	if costA, costB := cost("a", now), cost("b", now); costA <= costB {
		t.Errorf("cost of a server in a slow phase = %v, want more than %v, the cost of a busy server", costA, costB)
	}
	later := now.Add(3 * time.Second)
	if costA, costB := cost("a", later), cost("b", later); costA >= costB {
		t.Errorf("cost 3 s after the report of a slow phase = %v, want less than %v, the cost of a busier server", costA, costB)
	}
}
