package proxy

import (
	"slices"
	"time"
)

const (
	// maxDelay is the largest delay of an announcement in the network. A process that
	// announces itself later than this after its supposed end still runs.
	maxDelay = 2 * time.Second
	// maxReplaced bounds the processes whose late announcements are recognized.
	maxReplaced = 16
)

// processEnd decides which announcements of an instance come from the successor of its current
// process. The start times alone do not show it: the clock of the machine may have been set back
// before the server was started again.
type processEnd struct {
	at       time.Time   // when the current process ended; zero: it runs
	replaced []time.Time // start times of replaced processes of the current instance
}

// processEnded is called when the process of the backend server has ended: another one may
// start under the same instance. It removes the current announcement if the start of its
// process is not known.
func (a *announcedState) processEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.foreign = ""
	a.ended.at = a.config.Clock.Now()
	if a.current != nil && a.current.StartedAt.IsZero() {
		a.current, a.fromHealth = nil, false
	}
}

// announced is called with each announcement of the current process. The caller holds mu.
func (e *processEnd) announced(a *announcedState) {
	if !e.at.IsZero() && a.config.Clock.Now().Sub(e.at) > maxDelay {
		e.at = time.Time{}
	}
}

// allows reports whether n comes from the successor of the process c of the same instance.
func (e *processEnd) allows(n, c *Announcement) bool {
	if slices.ContainsFunc(e.replaced, n.StartedAt.Equal) {
		return false
	}
	return n.StartedAt.After(c.StartedAt) || !e.at.IsZero()
}

// replace records that another process takes the place of c.
func (e *processEnd) replace(c, n *Announcement) {
	e.at = time.Time{}
	if c.Instance != n.Instance {
		e.replaced = nil
		return
	}
	if len(e.replaced) == maxReplaced {
		e.replaced = slices.Delete(e.replaced, 0, 1)
	}
	e.replaced = append(e.replaced, c.StartedAt)
}
