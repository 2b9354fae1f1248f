package admit

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// load is a stream of equal requests to a server with 8 ordinary slots of 2 ms
// each. Nothing is offered or completed during the stall after each period: what
// arrived comes at once.
type load struct {
	perSecond     int
	period, stall time.Duration
	sole          bool
}

const simulated = 5 * time.Second

// run returns the number of refused requests and the longest wait of the requests
// that started, after the first half of the time.
func (l load) run(t *testing.T) (offered, refused int, longest time.Duration) {
	t.Helper()
	const service = 2 * time.Millisecond
	c := NewController(Config{Slots: 10, QueueLength: 20})
	arrived, ends := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	started := func(now time.Duration, id uint64) {
		ends[id] = now + service
		if now > simulated/2 {
			longest = max(longest, now-arrived[id])
		}
	}
	perform := func(now time.Duration, actions []Action) {
		for _, a := range actions {
			if a.Kind != "" {
				refused++
			} else {
				started(now, a.ID)
			}
		}
	}
	id, due := uint64(0), 0.0
	for now := time.Duration(0); now < simulated; now += 100 * time.Microsecond {
		due += float64(l.perSecond) * (100 * time.Microsecond).Seconds()
		if l.stall > 0 && now > l.period && now%l.period < l.stall {
			continue
		}
		for id := range ends {
			if ends[id] <= now {
				delete(ends, id)
				perform(now, c.Done(start.Add(now), id, service))
			}
		}
		perform(now, c.Tick(start.Add(now)))
		for ; due >= 1; due-- {
			id++
			offered++
			arrived[id] = now
			verdict, _, actions := c.Offer(start.Add(now), id, Request{Urgency: fleet.UrgencyNormal,
				Deadline: start.Add(now + 2*time.Second), Class: "a", OnlyServer: l.sole})
			perform(now, actions)
			switch verdict {
			case Refused:
				refused++
			case Admitted:
				started(now, id)
			}
		}
	}
	return offered, refused, longest
}

// Guards against refusals at half load when the process gets no processor for a
// while, by a queue that is too short or by a rule meant for overload.
func TestSoleServerAtHalfLoadRefusesNothing(t *testing.T) {
	l := load{perSecond: 2000, period: time.Second, stall: 120 * time.Millisecond}
	if _, refused, _ := l.run(t); refused == 0 {
		t.Error("the load does not exceed an ordinary queue")
	}
	l.sole = true
	if offered, refused, _ := l.run(t); refused > 0 {
		t.Errorf("%d of %d requests were refused", refused, offered)
	}
}

// Guards against a queue that makes every request wait for its deadline while the
// overload lasts, although the same share is refused either way.
func TestSoleServerUnderOverloadKeepsWaitsShort(t *testing.T) {
	offered, refused, longest := load{perSecond: 8000, sole: true}.run(t)
	if done := offered - refused; float64(done) < 0.9*4000*simulated.Seconds() {
		t.Errorf("%d requests ran, the capacity is 20000", done)
	}
	if limit := 30 * time.Millisecond; longest > limit {
		t.Errorf("the longest wait is %v, more than %v", longest, limit)
	}
}
