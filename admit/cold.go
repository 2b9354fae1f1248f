package admit

import (
	"time"

	"bramleymill/errkind"
)

const (
	// coldBurst is the number of permits that accumulate at a cold server. In any second at
	// most 1.5 times the rate of the service and 8 more requests may arrive there. A slot may
	// be held for 250 ms before its request arrives, and its permit may be returned and used
	// once more, so that in the worst case 1.5 times the rate and two bursts arrive together.
	coldBurst = 3
	// coldLookback is the time before the start of a cold period whose requests may arrive
	// in it: they started before the period was noticed, or hold a slot and were not sent yet.
	coldLookback = 300 * time.Millisecond
	// coldAllowance is the number of starts in coldLookback that the slack of the bound
	// covers. Further ones are deducted from the permits.
	coldAllowance = 7
	// coldCheckStarts is the number of starts after which it is due to check again whether
	// the server is cold. Without starts no check is needed.
	coldCheckStarts = 3
)

// ColdPeriod states when the backend server is cold. The zero value means never.
type ColdPeriod struct {
	Rate  float64   // requests a second that start while the server is cold; zero: no limit
	Until time.Time // the server is cold before this time
	// From is the time from which the server counts as cold again, because it will have said
	// nothing for a while. Zero: never.
	From time.Time
}

// Includes reports whether the server is cold at now.
func (p *ColdPeriod) Includes(now time.Time) bool {
	return p.Rate > 0 && (now.Before(p.Until) || p.unknown(now))
}

// unknown reports whether it is not known at now whether the server is cold.
func (p *ColdPeriod) unknown(now time.Time) bool {
	return p.Rate > 0 && !p.From.IsZero() && !now.Before(p.From)
}

// coldLimit limits the starts of requests while the backend server is cold.
type coldLimit struct {
	period    ColdPeriod
	bucket    rateLimit
	starts    [32]time.Time // times of the newest starts, a ring
	next      int           // index of the oldest element of starts
	unchecked int           // starts since the latest check whether the server is cold
	nextTurn  time.Time     // earliest turn of the next refused request, see Controller.TakeTurn
}

// refill applies the period at now and adds the permits until now.
func (l *coldLimit) refill(now time.Time) {
	if l.period.Rate <= 0 {
		l.bucket = rateLimit{}
		return
	}
	cold := l.period.Includes(now)
	if cold && !l.bucket.limited {
		l.bucket.set(now, l.period.Rate, coldBurst)
		l.bucket.permits = -max(0, float64(l.startsSince(now.Add(-coldLookback))-coldAllowance))
	}
	l.bucket.limited = cold
	l.bucket.refill(now)
}

// activeRate returns the rate of the limit, or zero while the server is not cold.
func (l *coldLimit) activeRate() float64 {
	if l.bucket.limited {
		return l.bucket.rate
	}
	return 0
}

func (l *coldLimit) startsSince(from time.Time) int {
	n := 0
	for _, at := range l.starts {
		if !at.IsZero() && !at.Before(from) {
			n++
		}
	}
	return n
}

func (l *coldLimit) take() {
	if l.period.Rate <= 0 {
		return
	}
	l.bucket.take()
	l.starts[l.next] = l.bucket.at
	l.next = (l.next + 1) % len(l.starts)
	l.unchecked++
}

// wait returns the time until n permits have become available or the server is warm.
func (l *coldLimit) wait(n int) time.Duration {
	w := l.bucket.wait(n)
	if at := l.bucket.at; w > 0 && !l.period.unknown(at) {
		w = min(w, l.period.Until.Sub(at))
	}
	return w
}

// SetCold sets the period in which the backend server is cold, and returns the queued requests
// to start or refuse.
func (c *Controller) SetCold(now time.Time, p ColdPeriod) []Action {
	c.actions = c.actions[:0]
	l := &c.limit.cold
	l.refill(now)
	if l.bucket.limited && p.Rate > 0 && p.Rate != l.period.Rate {
		l.bucket.set(now, p.Rate, coldBurst)
	}
	l.period = p
	c.expire(now)
	c.dispatch(now)
	return c.actions
}

func (c *Controller) hasColdRate() bool { return c.limit.cold.period.Rate > 0 }

// maxTurnWait bounds the time to a turn, because the server may become warm earlier.
const maxTurnWait = 4 * time.Second

// TakeTurn returns the time after which the node of a request that was refused because the server
// is cold should send it another one, or zero if the server is not cold. The turns of successive
// refusals are one permit apart. Without this all nodes would return for the next permit.
func (c *Controller) TakeTurn(now time.Time) time.Duration {
	c.limit.refill(now)
	l := &c.limit.cold
	if !l.bucket.limited {
		return 0
	}
	at := now.Add(l.wait(len(c.queue) + 1))
	if l.nextTurn.After(at) {
		at = l.nextTurn
	}
	at = earlier(at, now.Add(maxTurnWait))
	if !l.period.unknown(now) {
		at = earlier(at, l.period.Until)
	}
	l.nextTurn = at.Add(time.Duration(float64(time.Second) / l.bucket.rate))
	return at.Sub(now)
}

// TakeColdCheck reports whether it is due to check whether the backend server is cold: after
// some starts, and whenever it is not known. The next check is due after further starts.
func (c *Controller) TakeColdCheck(now time.Time) bool {
	l := &c.limit.cold
	if l.period.Rate <= 0 || l.unchecked < coldCheckStarts && !l.period.unknown(now) {
		return false
	}
	l.unchecked = 0
	return true
}

// refusal returns the error for a refused request. If the server is cold, it states the turn of
// the node that sent the request.
func (g *Gate) refusal(kind errkind.Kind, r Request, where string) *errkind.Error {
	e := errkind.New(kind, "class %s refused %s", r.Class, where)
	if errkind.Lookup(kind).Outcome == errkind.Overloaded {
		g.mu.Lock()
		defer g.mu.Unlock()
		e.RetryAfter = g.controller.TakeTurn(g.clock.Now())
	}
	return e
}

// SetCold sets the period in which the backend server is cold.
func (g *Gate) SetCold(p ColdPeriod) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.controller.SetCold(g.clock.Now(), p))
}

// OnColdCheck sets the function that is called when it is due to check whether the backend
// server is cold, see Controller.TakeColdCheck. It must not block or call the gate. It is set
// before the gate is used.
func (g *Gate) OnColdCheck(check func()) { g.coldCheck = check }
