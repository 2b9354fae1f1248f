package proxy

import (
	"net/http"
	"sync"
	"time"

	"bramleymill/clock"
)

// Rules for hints at draining. Whoever can make a backend server give such an
// answer must not be able to stop its work: other answers in between void the
// hints, a good health answer makes them ignored, and a stop ends by itself.
const (
	hintsNeeded = 3 // in a row, without another answer in between
	hintHold    = time.Second
	hintsIgnore = 10 * time.Second // after the health answer contradicted them
)

// drainHints guesses from answers whether the backend server is draining.
type drainHints struct {
	clock  clock.Clock
	onHold func() // asks for a health check

	mu      sync.Mutex
	inRow   int
	until   time.Time // new work is held until then
	ignored time.Time // hints are ignored until then
	health  bool      // the health answer says draining
	last    time.Time // newest answer
}

func newDrainHints(k clock.Clock, onHold func()) *drainHints {
	return &drainHints{clock: k, onHold: onHold}
}

// answered records an answer. It reports whether the answer itself is a hint:
// status 503 on a connection that the server closes, or marked as draining.
func (d *drainHints) answered(status int, closing bool) bool {
	hint := status == http.StatusServiceUnavailable && closing
	now := d.clock.Now()
	d.mu.Lock()
	d.last = now
	if !hint {
		d.inRow = 0
		d.mu.Unlock()
		return false
	}
	d.inRow++
	hold := d.inRow >= hintsNeeded && !now.Before(d.ignored)
	if hold {
		d.until = now.Add(hintHold)
	}
	d.mu.Unlock()
	if hold {
		d.onHold()
	}
	return true
}

// healthy records a health answer.
func (d *drainHints) healthy(draining bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last, d.health = now, draining
	if !draining && now.Before(d.until) {
		d.until, d.inRow, d.ignored = time.Time{}, 0, now.Add(hintsIgnore)
	}
}

// healthUnknown forgets the newest health answer, because none will follow.
func (d *drainHints) healthUnknown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health = false
}

// draining reports whether new work is held back now.
func (d *drainHints) draining() bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health || now.Before(d.until)
}

// lastAnswer returns the time of the newest answer.
func (d *drainHints) lastAnswer() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// reset forgets what an earlier life of the backend server has hinted at.
func (d *drainHints) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inRow, d.until, d.ignored, d.health = 0, time.Time{}, time.Time{}, false
}
