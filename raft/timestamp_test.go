package raft

import (
	"testing"
	"time"
)

// Guards against a jump of the wall clock that ends leases and the retention of
// idempotency claims too early or too late. The time of entries must advance at the
// rate of the monotonic clock.
func TestTimestampsDoNotFollowClockJumps(t *testing.T) {
	start := time.Unix(1_700_000_000, 0).UnixNano()
	for _, jump := range []time.Duration{24 * time.Hour, -24 * time.Hour, 0} {
		n := New(Config{ID: ID{Node: "a", Disk: "d"}, Timing: DefaultTiming, Seed: 1}, StoredState{}, ClockReading{Unix: start})
		if !n.Bootstrap("a", 1) {
			t.Fatal("Bootstrap of an empty replica = false, want true")
		}
		first := n.log.lastTime()
		n.advance(ClockReading{Mono: 10 * time.Second, Unix: start + int64(10*time.Second+jump)})
		got := time.Duration(n.timestamp() - first)
		if got < 9900*time.Millisecond || got > 10100*time.Millisecond {
			t.Errorf("wall clock jump of %v: time of entries advanced by %v, want 10s with 1%% tolerance", jump, got)
		}
	}
}
