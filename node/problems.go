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
	// problemsTimeout limits the queries to the other control instances. It is short
	// because the status of the fleet waits for them.
	problemsTimeout = 300 * time.Millisecond
	// problemsMaxAge is how long the answers are reused. The status is read many times
	// while an operator waits for a version, and each read would otherwise query all
	// control instances.
	problemsMaxAge = time.Second
)

// problems queries and caches what keeps control instances from working, such as a
// stalled disk.
type problems struct {
	mu       sync.Mutex
	cachedAt time.Time
	cached   map[fleet.NodeID]string
}

// collect returns the problems of this control instance and of the other live ones in
// view. The text of an instance without problems is empty.
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
	var queries sync.WaitGroup
	for _, v := range view {
		if !v.Server.ControlInstance || v.Lost || v.Server.State == fleet.Left || v.Server.Node == self {
			continue
		}
		queries.Go(func() {
			list, err := host.ProblemsAt(ctx, v.Server.PeerAddress)
			if err != nil {
				return // the lease age in the status shows whether the instance is reachable
			}
			mu.Lock()
			defer mu.Unlock()
			found[v.Server.Node] = strings.Join(list, "; ")
		})
	}
	queries.Wait()
	p.cachedAt, p.cached = time.Now(), found
	return found
}

// recordDiskEvent records that the disk has stalled or responds again.
func (c *control) recordDiskEvent(e replica.DiskEvent) {
	kind := explain.DiskResponds
	if e.Stalled {
		kind = explain.DiskStalls
		c.diskStalls.Add(1)
	}
	c.recordEvent(kind, fmt.Sprintf("%s, %v", e.Operation, e.Duration.Round(time.Millisecond)))
}
