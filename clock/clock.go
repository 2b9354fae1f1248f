// Package clock separates the code from the system clock, so that tests decide
// when time passes.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time. Its readings carry a monotonic part, so that the
// difference of two readings is unaffected by steps of the wall clock.
type Clock interface {
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual that reads start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current reading.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// Sleep waits for d on the system clock and reports whether ctx is still in force.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
