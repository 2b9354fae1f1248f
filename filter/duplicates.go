package filter

import (
	"sync"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
)

// attemptKey identifies an attempt. The id is that of the claim, otherwise that
// of the request.
type attemptKey struct {
	id     string
	number uint32
}

// duplicates keeps two generations of attempt numbers. A number is remembered
// for at least one generation, which is longer than any deadline.
type duplicates struct {
	next  Handler
	clock clock.Clock

	mu       sync.Mutex
	rotated  time.Time
	current  map[attemptKey]struct{}
	previous map[attemptKey]struct{}
}

// NewDuplicates returns the filter that admits each attempt number of a
// non-idempotent request once. Running an idempotent attempt twice is harmless,
// so that those numbers are not kept.
func NewDuplicates(next Handler, k clock.Clock) Handler {
	return &duplicates{next: next, clock: k, rotated: k.Now(), current: map[attemptKey]struct{}{}}
}

func (f *duplicates) Serve(c *Call) error {
	if c.Once() && !f.first(keyOfAttempt(c)) {
		return errkind.New(errkind.DuplicateAttempt, "attempt %d was received before", c.Meta.Attempt)
	}
	return f.next.Serve(c)
}

func keyOfAttempt(c *Call) attemptKey {
	if c.Meta.ClaimID != "" {
		return attemptKey{"claim " + c.Meta.ClaimID, c.Meta.Attempt}
	}
	return attemptKey{c.Meta.RequestID, c.Meta.Attempt}
}

func (f *duplicates) first(k attemptKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.clock.Now(); now.Sub(f.rotated) > class.MaxDeadline {
		f.previous, f.current, f.rotated = f.current, map[attemptKey]struct{}{}, now
	}
	_, inCurrent := f.current[k]
	_, inPrevious := f.previous[k]
	if inCurrent || inPrevious {
		return false
	}
	f.current[k] = struct{}{}
	return true
}
