package admit

import (
	"time"

	"bramleymill/errkind"
)

const (
	// rateBurstTime is the time for which unused permits of a rate limit accumulate. It is
	// short, because a server that states a limit needs relief and not bursts.
	rateBurstTime = time.Second
	// minRate is the least rate that is enforced, in requests a second. Only an answer shows
	// that a limit has ended, so a few requests are sent even to a server that accepts none.
	minRate = 0.2
)

// rateLimit is a rate of requests that a backend server accepts. It is a token bucket: each
// start of a request takes a permit.
type rateLimit struct {
	limited bool
	rate    float64 // permits a second
	burst   float64 // permits that accumulate while they are not used
	permits float64 // permits that may be taken now, as of at; negative: owed for earlier starts
	at      time.Time
}

// set starts a limit or changes its rate. A limit starts without permits, because the server
// still works on the requests that it got before.
func (l *rateLimit) set(now time.Time, rate, burst float64) {
	l.refill(now)
	if !l.limited {
		l.permits = 0
	}
	l.limited, l.rate, l.burst = true, max(rate, minRate), burst
	l.permits = min(l.permits, l.burst)
}

// statedBurst returns the burst of a limit that the backend server states.
func statedBurst(rate float64) float64 { return max(1, rate*rateBurstTime.Seconds()) }

func (l *rateLimit) refill(now time.Time) {
	if l.limited && now.After(l.at) {
		l.permits = min(l.burst, l.permits+l.rate*now.Sub(l.at).Seconds())
	}
	l.at = now
}

func (l *rateLimit) allows() bool { return !l.limited || l.permits >= 1 }

func (l *rateLimit) take() {
	if l.limited {
		l.permits--
	}
}

// giveBack returns the permit of a request that was not sent to the server.
func (l *rateLimit) giveBack() {
	if l.limited {
		l.permits = min(l.burst, l.permits+1)
	}
}

func (l *rateLimit) wait(n int) time.Duration {
	if missing := float64(n) - l.permits; l.limited && missing > 0 {
		return time.Duration(missing / l.rate * float64(time.Second))
	}
	return 0
}

// startLimit limits the starts of requests by the rate that the backend server states and by
// the one of its service while it is cold. The lower one applies.
type startLimit struct {
	stated rateLimit
	cold   coldLimit
}

func (l *startLimit) refill(now time.Time) {
	l.stated.refill(now)
	l.cold.refill(now)
}

// limited reports whether a limit applies. The caller has called refill.
func (l *startLimit) limited() bool { return l.stated.limited || l.cold.bucket.limited }

// allows reports whether a request may start. The caller has called refill.
func (l *startLimit) allows() bool { return l.stated.allows() && l.cold.bucket.allows() }

func (l *startLimit) take() {
	l.stated.take()
	l.cold.take()
}

func (l *startLimit) giveBack() {
	l.stated.giveBack()
	l.cold.bucket.giveBack()
}

// wait returns the time until n permits have become available. The caller has called refill.
func (l *startLimit) wait(n int) time.Duration { return max(l.stated.wait(n), l.cold.wait(n)) }

// rate returns the lower one of the limits that apply, or zero if none does. The caller has
// called refill.
func (l *startLimit) rate() float64 {
	switch {
	case l.stated.limited && l.cold.bucket.limited:
		return min(l.stated.rate, l.cold.bucket.rate)
	case l.cold.bucket.limited:
		return l.cold.bucket.rate
	case l.stated.limited:
		return l.stated.rate
	}
	return 0
}

// SetRateLimit limits the requests that start to rate a second, as the backend server states,
// and returns the queued requests to start or refuse. A negative rate means that there is no
// limit.
func (c *Controller) SetRateLimit(now time.Time, rate float64) []Action {
	c.actions = c.actions[:0]
	if rate < 0 {
		c.limit.stated.limited = false
	} else {
		c.limit.stated.set(now, rate, statedBurst(rate))
	}
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

// Abandon records that a running request ends without having been sent to the server. It
// returns the queued requests to start or refuse.
func (c *Controller) Abandon(now time.Time, id uint64) []Action {
	if _, ok := c.running[id]; ok {
		c.limit.giveBack()
	}
	return c.Done(now, id, 0)
}

// refusesHedge reports whether a hedge must not run because a limit applies to the server. Its
// permits are left to requests that run nowhere else.
func (c *Controller) refusesHedge(r Request) bool { return r.Hedge && c.limit.limited() }

// nextStart returns the earliest time at which the limits let a queued request start, and
// false without a limit.
func (c *Controller) nextStart(now time.Time) (time.Time, bool) {
	c.limit.refill(now)
	if !c.limit.limited() || len(c.queue) == 0 {
		return time.Time{}, false
	}
	return now.Add(c.limit.wait(1)), true
}

// limitKind returns RateLimited if a limit prevents the start of a request, otherwise an empty
// kind.
func (c *Controller) limitKind() errkind.Kind {
	if c.limit.allows() {
		return ""
	}
	return errkind.RateLimited
}
