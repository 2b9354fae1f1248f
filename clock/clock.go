// Package clock defines the clock that the other packages read, so that tests can
// replace the system clock and control when time passes.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock is a source of the current time. Its readings include a monotonic clock reading,
// so that steps of the wall clock do not affect the difference between two readings.
type Clock interface {
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now returns the current time of the system clock.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock for tests that moves only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual whose current time is start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock has been advanced.
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

// Sleep waits for d on the system clock and returns true. If ctx ends first, it returns
// false immediately.
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
