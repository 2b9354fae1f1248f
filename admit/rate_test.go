package admit

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Guards against a rate limit that is exceeded within some seconds, whatever requests come,
// end, are abandoned or wait, and however often the limit changes.
func TestStartsKeepWithinTheRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 4 * time.Second
		rates := []float64{1, 4.6, 5, 40}
		c := NewController(Config{Slots: 8, QueueLength: 10})
		now := time.Unix(1000, 0)
		highest := rapid.SampledFrom(rates).Draw(t, "rate")
		c.SetRateLimit(now, highest)
		var starts []time.Time
		running, queued := map[uint64]bool{}, map[uint64]bool{}
		apply := func(actions []Action) {
			for _, a := range actions {
				delete(queued, a.ID)
				if a.Kind == "" {
					running[a.ID] = true
					starts = append(starts, now)
				}
			}
		}
		for id := uint64(1); id < 400; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			verdict, _, actions := c.Offer(now, id, Request{Urgency: fleet.UrgencyNormal, Class: "a", Deadline: now.Add(2 * time.Second),
				Target: now.Add(time.Second), Reroutable: rapid.Bool().Draw(t, "reroutable"), Internal: rapid.Bool().Draw(t, "internal")})
			apply(actions)
			switch verdict {
			case Admitted:
				running[id] = true
				starts = append(starts, now)
			case Queued:
				queued[id] = true
			}
			for r := range running {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					delete(running, r)
					apply(c.Done(now, r, 10*time.Millisecond))
				}
			}
			apply(c.Tick(now))
		}
		for i, from := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			if bound := 1.5*highest*window.Seconds() + 5; float64(n) > bound {
				t.Fatalf("starts within %v at %v a second = %d, want at most %v", window, highest, n, bound)
			}
		}
	})
}

// Guards against a permit that is lost when the request for which it was taken is never sent,
// and against hedges that take the permits of requests which run nowhere else.
func TestPermitsAreLeftToRequestsThatRun(t *testing.T) {
	c := NewController(Config{Slots: 8})
	now := time.Unix(1000, 0)
	c.SetRateLimit(now, 1)
	now = now.Add(time.Second)
	r := Request{Urgency: fleet.UrgencyNormal, Deadline: now.Add(time.Minute), Target: now.Add(time.Minute), Reroutable: true}
	hedge := r
	hedge.Hedge = true
	if v, kind, _ := c.Offer(now, 1, hedge); v != Refused || kind != errkind.RateLimited {
		t.Errorf("hedge at a limited server: verdict %d, kind %q; want it refused as %s", v, kind, errkind.RateLimited)
	}
	if v, _, _ := c.Offer(now, 2, r); v != Admitted {
		t.Fatalf("first request after a second: verdict %d, want it admitted", v)
	}
	if v, kind, _ := c.Offer(now, 3, r); v != Refused || kind != errkind.RateLimited {
		t.Errorf("second request at once: verdict %d, kind %q; want it refused as %s", v, kind, errkind.RateLimited)
	}
	c.Abandon(now, 2)
	if v, _, _ := c.Offer(now, 4, r); v != Admitted {
		t.Errorf("request after the first one was abandoned: verdict %d, want it admitted", v)
	}
	c.SetRateLimit(now, -1)
	if v, _, _ := c.Offer(now, 5, r); v != Admitted {
		t.Errorf("request after the end of the limit: verdict %d, want it admitted", v)
	}
}

// Guards against a queued request that is started only when another request arrives or ends,
// although the rate limit allows its start before.
func TestQueuedRequestStartsWithItsPermit(t *testing.T) {
	g := NewGate(Config{Slots: 2, QueueLength: 4}, clock.System{})
	for _, limited := range []bool{false, true} { // the first request makes the service time known
		if limited {
			g.SetRateLimit(20)
		}
		now := time.Now()
		slot, err := g.Acquire(context.Background(), Request{Urgency: fleet.UrgencyNormal, Deadline: now.Add(time.Hour), Target: now.Add(time.Hour)})
		if err != nil {
			t.Fatalf("request at a server that accepts 20 a second: error %v, want it to start when there is a permit", err)
		}
		slot.Release(time.Millisecond)
	}
}
