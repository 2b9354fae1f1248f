package proxy

import (
	"net/http"
	"sync"
	"time"

	"bramleymill/clock"
)

// Rules for hints, which are answers that suggest that the backend server is draining.
// A caller that can make a backend server return such answers must not be able to keep
// requests away from it. So any other answer resets the count of hints, a healthy answer
// of the health endpoint makes the node ignore hints for hintIgnoreTime, and new requests
// are stopped for hintHold only.
const (
	hintsNeeded    = 3                // consecutive hints that stop new requests
	hintHold       = time.Second      // time for which new requests are stopped
	hintIgnoreTime = 10 * time.Second // time for which hints are ignored after a contradiction
)

// drainHints infers from answers whether the backend server is draining.
type drainHints struct {
	clock  clock.Clock
	onHold func() // called when hints stop new requests

	mu             sync.Mutex
	consecutive    int       // number of hints since the last other answer
	heldUntil      time.Time // new requests are stopped until then
	ignoredUntil   time.Time // hints are ignored until then
	healthDraining bool      // the latest health answer states that the server is draining
	latest         time.Time // time of the latest answer
}

func newDrainHints(k clock.Clock, onHold func()) *drainHints {
	return &drainHints{clock: k, onHold: onHold}
}

// recordAnswer records an answer. It reports whether the answer is a hint that the
// backend server is draining. closing is true if the headers of the answer state that
// the server closes the connection or is draining.
func (d *drainHints) recordAnswer(status int, closing bool) bool {
	hint := status == http.StatusServiceUnavailable && closing
	now := d.clock.Now()
	d.mu.Lock()
	d.latest = now
	if !hint {
		d.consecutive = 0
		d.mu.Unlock()
		return false
	}
	d.consecutive++
	hold := d.consecutive >= hintsNeeded && !now.Before(d.ignoredUntil)
	if hold {
		d.heldUntil = now.Add(hintHold)
	}
	d.mu.Unlock()
	if hold {
		d.onHold()
	}
	return true
}

// recordHealth records an answer of the health endpoint.
func (d *drainHints) recordHealth(draining bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest, d.healthDraining = now, draining
	if !draining && now.Before(d.heldUntil) {
		d.heldUntil, d.consecutive, d.ignoredUntil = time.Time{}, 0, now.Add(hintIgnoreTime)
	}
}

// clearHealth discards the latest health answer, because no more checks follow.
func (d *drainHints) clearHealth() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.healthDraining = false
}

// draining reports whether the backend server counts as draining and therefore gets no
// new requests.
func (d *drainHints) draining() bool {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.healthDraining || now.Before(d.heldUntil)
}

// lastAnswer returns the time of the latest answer to a request or health check.
func (d *drainHints) lastAnswer() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// reset discards the hints of an earlier generation of the backend server.
func (d *drainHints) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.consecutive, d.heldUntil, d.ignoredUntil, d.healthDraining = 0, time.Time{}, time.Time{}, false
}
