package quota

import (
	"slices"
	"time"
)

const (
	// sweepInterval is the time between two searches for permits to return while there are
	// permits in stock.
	sweepInterval = 50 * time.Millisecond
	// idleSweepInterval applies while there are none.
	idleSweepInterval = time.Second
	// accountMemory is the time for which a customer without requests is remembered.
	accountMemory = 30 * time.Second
)

// Never is the result of Next if no call of Tick is needed.
const Never = time.Duration(1<<63 - 1)

// Next returns the time at which Tick must be called.
func (c *Client) Next() time.Duration {
	next := Never
	if len(c.accounts) == 0 {
		return next
	}
	next = c.sweepAt
	for _, p := range c.peers {
		switch {
		case p.inFlight != nil:
			next = min(next, p.inFlight.sent+replyTimeout)
		case p.silent || p.refusing:
			if p.listed {
				next = min(next, p.probeAt)
			}
		case len(p.returns) > 0:
			next = min(next, p.returnBy)
		}
	}
	for _, a := range c.active {
		if len(a.waiters) > 0 {
			next = min(next, a.waiters[0].since+WaitLimit)
		}
	}
	return next
}

// Tick handles the time-outs that are due at now.
func (c *Client) Tick(now time.Duration) Actions {
	c.begin()
	for _, p := range c.peers {
		if p.inFlight == nil || now < p.inFlight.sent+replyTimeout {
			continue
		}
		for _, a := range p.inFlight.wants {
			if a.asking == p {
				a.asking = nil
			}
		}
		c.stats.Timeouts++
		p.timedOut(now)
	}
	for _, a := range c.active {
		for len(a.waiters) > 0 && now >= a.waiters[0].since+WaitLimit {
			if a.waiters[0].denials > 0 {
				c.refuse(a, a.waiters[0], Exceeded, a.expected(now))
			} else {
				c.refuse(a, a.waiters[0], Unavailable, 0)
			}
			a.waiters = a.waiters[1:]
		}
	}
	if now >= c.sweepAt && len(c.accounts) > 0 {
		c.sweep(now)
	}
	return c.finish(now)
}

// sweep returns permits that will not be used and forgets customers without requests.
func (c *Client) sweep(now time.Duration) {
	interval := idleSweepInterval
	c.ordered = slices.DeleteFunc(c.ordered, func(a *account) bool {
		a.measure(now)
		a.surplus(now, func(b batch) { c.giveBack(now, a, b) })
		a.forgetDenials(now)
		if len(a.stock) > 0 {
			interval = sweepInterval
		}
		if a.active || len(a.stock) > 0 || a.asking != nil || now-a.lastUsed < accountMemory {
			return false
		}
		delete(c.accounts, a.name)
		return true
	})
	c.sweepAt = now + interval
}

func (c *Client) giveBack(now time.Duration, a *account, b batch) {
	if b.issuer == 0 {
		return
	}
	for _, p := range c.peers {
		if p.issuer == b.issuer {
			p.addReturn(now, a.id, b)
			return
		}
	}
}

// refuse records the decision on a waiter that gets no permit.
func (c *Client) refuse(a *account, w *Waiter, v Verdict, wait time.Duration) {
	w.Wait = wait
	if v == Exceeded {
		c.stats.Denied++
		for _, d := range a.denials {
			w.Asked = append(w.Asked, d.peer.name())
		}
	} else {
		c.stats.Unavailable++
		for _, p := range c.peers {
			w.Asked = append(w.Asked, p.name())
		}
	}
	c.decide(w, v)
}

// finish decides what to send and returns the actions of a call.
func (c *Client) finish(now time.Duration) Actions {
	c.active = slices.DeleteFunc(c.active, func(a *account) bool {
		c.assign(now, a)
		a.active = len(a.waiters) > 0 || a.refill
		return !a.active
	})
	for _, p := range c.peers {
		if p.inFlight == nil {
			c.send(now, p)
		}
	}
	return c.actions
}

// assign selects the peer that a customer's requests ask next, or refuses them.
func (c *Client) assign(now time.Duration, a *account) {
	if len(a.waiters) == 0 && !a.refill || a.asking != nil {
		return
	}
	p, wait, v := c.target(now, a)
	switch {
	case p != nil:
		if p.inFlight == nil {
			a.asking = p
		}
	case v != 0:
		for _, w := range a.waiters {
			c.refuse(a, w, v, wait)
		}
		a.waiters, a.refill = nil, false
	default:
		a.refill = false // permits ahead are not worth a message to a peer that may not answer
	}
}

// target returns the peer to ask. If none is left, it returns the verdict and the time after
// which a permit is expected, or no verdict if the requests have to wait.
func (c *Client) target(now time.Duration, a *account) (p *peer, wait time.Duration, v Verdict) {
	if a.refusedUntil > now {
		return nil, a.refusedUntil - now, Exceeded
	}
	usable, unknown := false, true
	wait = Never
	for _, p := range c.peers {
		if !p.usable() {
			continue
		}
		d := a.denialOf(p)
		if d == nil || d.until <= now {
			return p, 0, 0
		}
		usable = true
		if !d.unknown {
			unknown = false
			wait = min(wait, d.until-now)
		}
	}
	switch {
	case usable && unknown:
		return nil, 0, Unavailable
	case usable:
		return nil, wait, Exceeded
	}
	return c.lastResort(a)
}

// lastResort returns the silent peer that was asked the longest time ago. If every voter has
// stated that it may not issue, the requests are refused.
func (c *Client) lastResort(a *account) (*peer, time.Duration, Verdict) {
	var best *peer
	silent := false
	for _, p := range c.peers {
		if p.refusing && !p.silent {
			continue
		}
		silent = true
		if p.inFlight == nil && (best == nil || p.lastSent < best.lastSent) {
			best = p
		}
	}
	if !silent {
		return nil, 0, Unavailable
	}
	if len(a.waiters) == 0 {
		return nil, 0, 0
	}
	return best, 0, 0
}
