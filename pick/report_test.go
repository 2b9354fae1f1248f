package pick

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against an old service time that is treated as new each time it is reported. A
// straggler without requests would then be avoided permanently.
func TestReportedServiceTimeAges(t *testing.T) {
	b, _ := newBalancer(Config{}, servers(2))
	node := nodeName(0)
	report := fleet.LoadReport{Incarnation: 1, Sequence: 1, Slots: 10, ServiceTime: time.Second}
	b.Observe(node, start, &report)
	freshCost := b.View(b.Endpoint(node), start).Cost
	later := start.Add(10 * time.Second)
	report.Sequence, report.ServiceAge = 2, 10*time.Second
	b.Observe(node, later, &report)
	if oldCost := b.View(b.Endpoint(node), later).Cost; oldCost > freshCost/2 {
		t.Errorf("cost = %v with a service time measured 10 s ago, want at most half of %v, the cost with a new one", oldCost, freshCost)
	}
	report.Sequence, report.ServiceAge = 3, -time.Hour
	b.Observe(node, later, &report)
	if cost := b.View(b.Endpoint(node), later).Cost; cost != freshCost {
		t.Errorf("cost = %v with a service time of negative age, want %v", cost, freshCost)
	}
}
