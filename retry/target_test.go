package retry

import (
	"testing"
	"time"
)

// Guards against hedges that are sent too late to meet the latency target, before the first
// attempt is slow, or for work that must not run twice.
func TestHedgeForTarget(t *testing.T) {
	p := New(start, Config{Sparse: true})
	if _, ok := p.HedgeForTarget(true, time.Second, time.Second); ok {
		t.Error("HedgeForTarget allows a hedge while the latency is unknown, want no hedge")
	}
	for range sparseMinimum + sparseRecompute {
		p.RecordLatency(start, 100*time.Millisecond)
	}
	ms := time.Millisecond
	for _, c := range []struct {
		target, deadline time.Duration
		low, high        time.Duration // bounds of the delay; zero: no hedge
	}{
		{500 * ms, 2000 * ms, 365 * ms, 380 * ms},
		{200 * ms, 500 * ms, 134 * ms, 150 * ms}, // 1.4 times the median, which has one significant digit
		{200 * ms, 230 * ms, 0, 0},               // the deadline leaves no time for a hedge
	} {
		delay, ok := p.HedgeForTarget(true, c.target, c.deadline)
		if ok != (c.high > 0) || ok && (delay < c.low || delay > c.high) {
			t.Errorf("HedgeForTarget with target %v and deadline %v = %v, %t, want %v to %v (0s: false)", c.target, c.deadline, delay, ok, c.low, c.high)
		}
	}
	if _, ok := p.HedgeForTarget(false, 500*ms, 2*time.Second); ok {
		t.Error("HedgeForTarget allows a hedge of work that must not run twice, want no hedge")
	}
}

// Guards against requests that are rerouted without end while all servers are busy, and
// against giving up on rerouting too early while most servers have free capacity.
func TestReroutesAreBounded(t *testing.T) {
	for refused, want := range map[int]bool{1: true, 6: true, 7: false, 100: false} {
		if got := ShouldReroute(refused); got != want {
			t.Errorf("ShouldReroute(%d) = %t, want %t", refused, got, want)
		}
	}
}
