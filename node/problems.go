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
	// problemsAge is how long the answers are used again, because a wait for a
	// version reads the status many times.
	problemsAge = time.Second
)

// problems collects what keeps control instances from working.
type problems struct {
	mu    sync.Mutex
	at    time.Time
	known map[fleet.NodeID]string
}

// of returns the problems of this and the other live control instances in view.
func (p *problems) of(view []member.NodeView, self fleet.NodeID, host *replica.Host) map[fleet.NodeID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known != nil && time.Since(p.at) < problemsAge {
		return p.known
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
	p.at, p.known = time.Now(), found
	return found
}

// noteDisk records that the disk hangs or answers again.
func (c *control) noteDisk(e replica.DiskEvent) {
	kind := explain.DiskAnswers
	if e.Hangs {
		kind = explain.DiskHangs
		c.hangs.Add(1)
	}
	c.note(kind, fmt.Sprintf("%s, %v", e.Operation, e.Duration.Round(time.Millisecond)))
}
