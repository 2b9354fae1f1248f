package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/member"
	"bramleymill/replica"
)

const (
	// problemsTimeout bounds the question to the other control instances. The
	// status of the fleet waits for it.
	problemsTimeout = 300 * time.Millisecond
	// problemsMaxAge is how long the answers are used again, because a wait for a
	// version reads the status many times.
	problemsMaxAge = time.Second
)

// problems collects what keeps control instances from working.
type problems struct {
	mu       sync.Mutex
	cachedAt time.Time
	cached   map[fleet.NodeID]string
}

// collect returns the problems collect this and the other live control instances in view.
func (p *problems) collect(view []member.NodeView, self fleet.NodeID, host *replica.Host) map[fleet.NodeID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cached != nil && time.Since(p.cachedAt) < problemsMaxAge {
		return p.cached
	}
	ctx, cancel := context.WithTimeout(context.Background(), problemsTimeout)
	defer cancel()
	found := map[fleet.NodeID]string{self: strings.Join(host.Problems(), "; ")}
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, v := range view {
		if !v.Server.Control || v.Lost || v.Server.State == fleet.Left || v.Server.Node == self {
			continue
		}
		asking.Go(func() {
			list, err := host.ProblemsAt(ctx, v.Server.PeerAddress)
			if err != nil {
				return // its lease tells whether it is reached
			}
			mu.Lock()
			defer mu.Unlock()
			found[v.Server.Node] = strings.Join(list, "; ")
		})
	}
	asking.Wait()
	p.cachedAt, p.cached = time.Now(), found
	return found
}

// recordDiskEvent records that the disk hangs or answers again.
func (c *control) recordDiskEvent(e replica.DiskEvent) {
	kind := explain.DiskAnswers
	if e.Hangs {
		kind = explain.DiskHangs
		c.diskStalls.Add(1)
	}
	c.recordEvent(kind, fmt.Sprintf("%s, %v", e.Operation, e.Duration.Round(time.Millisecond)))
}
