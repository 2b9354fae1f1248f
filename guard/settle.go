package guard

import (
	"context"
	"time"
)

const (
	settleInterval = 5 * time.Millisecond
	// nextTime is the time within which the HTTP server begins to serve a request that it has
	// read together with the one before.
	nextTime = 20 * time.Millisecond
)

// Settle waits until the connections that are now serving a request have answered it and those
// that were read behind it, or until ctx ends. The HTTP server closes a connection without an
// answer to these when it shuts down.
func (d *Door) Settle(ctx context.Context) {
	d.guard.mu.Lock()
	var active []*Conn
	for c := range d.guard.conns {
		if c.door == d && c.active() {
			active = append(active, c)
		}
	}
	d.guard.mu.Unlock()
	t := time.NewTicker(settleInterval)
	defer t.Stop()
	for _, c := range active {
		for c.active() {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}
}

// active reports whether the connection serves a request, or has just served one and may
// have read another.
func (c *Conn) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.lingers.Load():
		return false
	case c.phase.Load() == waiting:
		return c.used.Load() && time.Now().UnixNano()-c.since.Load() < int64(nextTime)
	}
	return c.phase.Load() != reading
}
