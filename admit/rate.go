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

// rateLimit is the rate of requests that a backend server accepts. It is a token bucket:
// each start of a request takes a permit.
type rateLimit struct {
	limited bool
	rate    float64 // permits a second
	permits float64 // permits that may be taken now, as of at
	at      time.Time
}

// set starts a limit or changes its rate. A limit starts without permits, because the server
// still works on the requests that it got before.
func (l *rateLimit) set(now time.Time, rate float64) {
	l.refill(now)
	if !l.limited {
		l.permits = 0
	}
	l.limited, l.rate = true, max(rate, minRate)
	l.permits = min(l.permits, l.burst())
}

func (l *rateLimit) burst() float64 { return max(1, l.rate*rateBurstTime.Seconds()) }

func (l *rateLimit) refill(now time.Time) {
	if l.limited && now.After(l.at) {
		l.permits = min(l.burst(), l.permits+l.rate*now.Sub(l.at).Seconds())
	}
	l.at = now
}

// allows reports whether a request may start. The caller has called refill.
func (l *rateLimit) allows() bool { return !l.limited || l.permits >= 1 }

func (l *rateLimit) take() {
	if l.limited {
		l.permits--
	}
}

// giveBack returns the permit of a request that was not sent to the server.
func (l *rateLimit) giveBack() {
	if l.limited {
		l.permits = min(l.burst(), l.permits+1)
	}
}

// wait returns the time until n permits have become available. The caller has called refill.
func (l *rateLimit) wait(n int) time.Duration {
	if missing := float64(n) - l.permits; l.limited && missing > 0 {
		return time.Duration(missing / l.rate * float64(time.Second))
	}
	return 0
}

// SetRateLimit limits the requests that start to rate a second, and returns the queued
// requests to start or refuse. A negative rate means that there is no limit.
func (c *Controller) SetRateLimit(now time.Time, rate float64) []Action {
	c.actions = c.actions[:0]
	if rate < 0 {
		c.limit.limited = false
	} else {
		c.limit.set(now, rate)
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

// refusesHedge reports whether a hedge must not run because the server states a limit. Its
// permits are left to requests that run nowhere else.
func (c *Controller) refusesHedge(r Request) bool { return r.Hedge && c.limit.limited }

// nextStart returns the earliest time at which the rate limit lets a queued request start,
// and false without a limit.
func (c *Controller) nextStart(now time.Time) (time.Time, bool) {
	if !c.limit.limited || len(c.queue) == 0 {
		return time.Time{}, false
	}
	c.limit.refill(now)
	return now.Add(c.limit.wait(1)), true
}

// limitKind returns RateLimited if the rate limit prevents the start of a request, otherwise
// an empty kind.
func (c *Controller) limitKind() errkind.Kind {
	if c.limit.allows() {
		return ""
	}
	return errkind.RateLimited
}
