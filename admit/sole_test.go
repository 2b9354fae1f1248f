package admit

import (
	"testing"
	"time"

	"bramleymill/fleet"
)

// requestStream simulates a stream of equal requests to a server with 8 slots for ordinary
// requests. Each request takes 2 ms. After each period the process stalls: no request is
// offered or completed during the stall. Requests that arrived in it are offered together at
// its end.
type requestStream struct {
	perSecond     int
	period, stall time.Duration
	onlyServer    bool
}

const simulatedTime = 5 * time.Second

// run returns the numbers of offered and refused requests, and the longest wait of the requests
// that started in the second half of the simulated time.
func (s requestStream) run(t *testing.T) (offered, refused int, longest time.Duration) {
	t.Helper()
	const serviceTime = 2 * time.Millisecond
	c := NewController(Config{Slots: 10, QueueLength: 20})
	arrived, ends := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	started := func(now time.Duration, id uint64) {
		ends[id] = now + serviceTime
		if now > simulatedTime/2 {
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
	for now := time.Duration(0); now < simulatedTime; now += 100 * time.Microsecond {
		due += float64(s.perSecond) * (100 * time.Microsecond).Seconds()
		if s.stall > 0 && now > s.period && now%s.period < s.stall {
			continue
		}
		for id := range ends {
			if ends[id] <= now {
				delete(ends, id)
				perform(now, c.Done(start.Add(now), id, serviceTime))
			}
		}
		perform(now, c.Tick(start.Add(now)))
		for ; due >= 1; due-- {
			id++
			offered++
			arrived[id] = now
			verdict, _, actions := c.Offer(start.Add(now), id, Request{Urgency: fleet.UrgencyNormal,
				Deadline: start.Add(now + 2*time.Second), Class: "a", OnlyServer: s.onlyServer})
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

// Guards against refusals by the only server of a service at half load. They happen after a
// stall of the process if the queue is too short or if the bounds for overload apply.
func TestOnlyServerAtHalfLoadRefusesNothing(t *testing.T) {
	s := requestStream{perSecond: 2000, period: time.Second, stall: 120 * time.Millisecond}
	if _, refused, _ := s.run(t); refused == 0 {
		t.Error("refused requests without OnlyServer = 0 after stalls, want more than 0: the load is too low for this test")
	}
	s.onlyServer = true
	if offered, refused, _ := s.run(t); refused > 0 {
		t.Errorf("only server at half load: refused requests = %d of %d, want 0", refused, offered)
	}
}

// Guards against a queue in which every request waits almost until its deadline during a
// lasting overload. Such waits are useless, because short waits serve as many requests.
func TestOnlyServerUnderOverloadKeepsWaitsShort(t *testing.T) {
	offered, refused, longest := requestStream{perSecond: 8000, onlyServer: true}.run(t)
	if accepted := offered - refused; float64(accepted) < 0.9*4000*simulatedTime.Seconds() {
		t.Errorf("requests accepted by the overloaded only server = %d, want at least 90%% of the capacity of 20000", accepted)
	}
	if limit := 30 * time.Millisecond; longest > limit {
		t.Errorf("longest wait at the overloaded only server = %v, want at most %v", longest, limit)
	}
}
