package probe

import (
	"fmt"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against load queries to one node that follow each other quickly because they are
// refused or their answers are lost. Also guards against queries to all nodes of a large
// service at once.
func TestLoadQueriesAreBounded(t *testing.T) {
	a := NewLoadQueryLimiter(Config{})
	start := time.Unix(1000, 0)
	total, perNode := 0, map[fleet.NodeID]int{}
	const period = 10 * time.Second
	for at := time.Duration(0); at < period; at += LoadQueryInterval {
		for i := range 200 {
			node := fleet.NodeID(fmt.Sprintf("n%d", i%(1+int(at/time.Second)*20)))
			if a.Allow(start.Add(at), node) {
				total++
				perNode[node]++
			}
		}
	}
	if most := queriesPerSecond*int(period/time.Second) + queriesBurst; total > most || total < most/2 {
		t.Errorf("load queries to all nodes = %d in %v, want at most %d and at least half as many", total, period, most)
	}
	for node, n := range perNode {
		if n > int(period/DefaultReportAge) {
			t.Errorf("%s: %d load queries in %v, want at most one per DefaultReportAge", node, n, period)
		}
	}
	if len(a.queried) > queriesPerSecond+queriesBurst {
		t.Errorf("nodes with a recorded query = %d, want at most 28 (queriesPerSecond + queriesBurst)", len(a.queried))
	}
}
