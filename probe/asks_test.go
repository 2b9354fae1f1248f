package probe

import (
	"fmt"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against questions that follow each other when the answers are refused or
// lost, and against a node that asks a large service all at once.
func TestAsksAreBounded(t *testing.T) {
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
	if most := asksPerSecond*int(period/time.Second) + asksBurst; total > most || total < most/2 {
		t.Errorf("%d questions in %v, want about %d", total, period, most)
	}
	for node, n := range perNode {
		if n > int(period/DefaultReportAge) {
			t.Errorf("%s was asked %d times in %v", node, n, period)
		}
	}
	if len(a.asked) > asksPerSecond+asksBurst {
		t.Errorf("%d nodes are remembered", len(a.asked))
	}
}
