package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Granted     Verdict = iota + 1
	Exceeded            // no issuer has a permit
	Unavailable         // no issuer decided in time
)

// Waiter is a request that waits for a permit. Client sets the fields of the decision and
// reports the waiter in Actions.Decided.
type Waiter struct {
	Done chan struct{} // for the use of the caller

	Verdict Verdict
	Permit  Permit
	Wait    time.Duration // with Exceeded, the time after which a permit is expected
	Asked   []string      // unless granted: control instances that did not issue a permit

	account *account
	since   time.Duration
	denials int // issuers that had no permit
}

// Outgoing is a message to send.
type Outgoing struct {
	Address string
	Request *Request
}

// Actions is what the caller of a Client has to do.
type Actions struct {
	Send    []Outgoing
	Decided []*Waiter
}

// ClientStats counts since the start of a Client.
type ClientStats struct {
	Granted     uint64 // requests that got a permit
	Waited      uint64 // those of them for which an issuer was asked
	Denied      uint64 // requests above the quota
	Unavailable uint64 // requests without a decision
	Returned    uint64 // permits
	Messages    uint64
	Timeouts    uint64 // messages without a reply in time
}

// Client obtains permits for the requests of an entry node. Its methods must not be called
// concurrently. All times are readings of one monotonic clock.
type Client struct {
	id       uint64
	number   uint64
	zone     string
	random   *rand.Rand
	controls []string
	voters   []string
	digest   uint64
	peers    []*peer // in the order in which they are asked
	accounts map[string]*account
	ordered  []*account // accounts in the order of their first request
	active   []*account // with waiters or a refill
	sweepAt  time.Duration
	actions  Actions
	stats    ClientStats
}

// NewClient returns the Client of an entry node in a zone. id is a random number that
// identifies the process.
func NewClient(id uint64, zone string, seed uint64) *Client {
	return &Client{id: id, zone: zone, random: rand.New(rand.NewPCG(seed, id)), accounts: map[string]*account{}}
}

// Stats returns the counters of the client.
func (c *Client) Stats() ClientStats { return c.stats }

// Take takes a permit of a customer from the stock. refill states that Refill has to be called.
func (c *Client) Take(now time.Duration, customer string) (p Permit, ok, refill bool) {
	a := c.accounts[customer]
	if a == nil || len(a.stock) == 0 {
		return Permit{}, false, false
	}
	b, ok := a.take(now)
	if !ok {
		return Permit{}, false, false
	}
	a.used++
	a.lastUsed = now
	c.stats.Granted++
	return Permit{a, b}, true, a.ahead > 0 && a.asking == nil && 2*a.stocked() < a.ahead
}

// Refill requests permits ahead for a customer.
func (c *Client) Refill(now time.Duration, customer string) Actions {
	c.begin()
	if a := c.accounts[customer]; a != nil {
		a.refill = true
		c.activate(a)
	}
	return c.finish(now)
}

// Ask registers a request of a customer with a rate for which Take had no permit.
func (c *Client) Ask(now time.Duration, w *Waiter, customer string, rate float64) Actions {
	c.begin()
	a := c.accounts[customer]
	if a == nil {
		a = &account{name: customer, id: IDOf(customer), measured: now, lease: initialLease}
		c.accounts[customer] = a
		c.ordered = append(c.ordered, a)
		if len(c.accounts) == 1 {
			c.sweepAt = now + sweepInterval
		}
	}
	a.rate, a.lastUsed = rate, now
	a.used++
	a.measure(now)
	w.account, w.since = a, now
	a.waiters = append(a.waiters, w)
	c.activate(a)
	return c.finish(now)
}

// Cancel removes a waiter. It returns false if the waiter has been decided; the permit that it
// may have must then be returned.
func (c *Client) Cancel(w *Waiter) bool {
	if w.Verdict != 0 {
		return false
	}
	a := w.account
	a.waiters = slices.DeleteFunc(a.waiters, func(x *Waiter) bool { return x == w })
	return true
}

// Return takes back the permit of a request that did not run.
func (c *Client) Return(now time.Duration, p Permit) Actions {
	c.begin()
	c.stats.Returned++
	if a := p.account; a != nil && p.batch.expires > now && c.accounts[a.name] == a {
		a.add(p.batch)
		c.serve(now, a)
		c.sweepAt = min(c.sweepAt, now+sweepInterval)
	}
	return c.finish(now)
}

// Receive processes a reply.
func (c *Client) Receive(now time.Duration, r *Reply) Actions {
	c.begin()
	if r.Client != c.id {
		return c.finish(now)
	}
	for _, p := range c.peers {
		switch {
		case p.inFlight != nil && p.inFlight.number == r.Number:
			x := p.inFlight
			p.inFlight = nil
			c.receive(now, p, x, r, false)
			return c.finish(now)
		case p.late != nil && p.late.number == r.Number:
			x := p.late
			p.late = nil
			c.receive(now, p, x, r, true)
			return c.finish(now)
		}
	}
	return c.finish(now)
}

func (c *Client) receive(now time.Duration, p *peer, x *exchange, r *Reply, late bool) {
	zone := p.zone
	p.answered(now, r)
	if p.zone != zone {
		c.sortPeers()
	}
	for i, a := range x.wants {
		if a.asking == p && !late {
			a.asking = nil
		}
		if i >= len(r.Grants) || r.Refuse != "" {
			continue
		}
		c.granted(now, p, a, x.sent, &r.Grants[i])
	}
	if len(r.Voters) > 0 {
		c.setVoters(r.Voters)
	}
}

func (c *Client) granted(now time.Duration, p *peer, a *account, sent time.Duration, g *Grant) {
	b := batch{count: g.Count, expires: sent + time.Duration(g.LeaseMillis)*time.Millisecond, issuer: p.issuer, slot: g.Slot}
	if g.Unlimited {
		b.issuer = 0
	} else if g.LeaseMillis > 0 {
		a.lease = time.Duration(g.LeaseMillis) * time.Millisecond
	}
	if g.Count > 0 && b.expires > now {
		a.add(b)
		c.sweepAt = min(c.sweepAt, now+sweepInterval)
	}
	switch {
	case g.Unknown:
		a.denied(p, now+unknownDenial, true)
	case g.WaitMillis > 0:
		until := now + max(time.Duration(g.WaitMillis)*time.Millisecond, minDenial)
		a.denied(p, until, false)
		if c.allDenied(now, a) {
			a.refusedUntil = until
		}
	}
	c.serve(now, a)
	if g.WaitMillis > 0 {
		c.refuseDenied(now, a)
	}
}

// refuseDenied counts a denial for the requests that wait and refuses those that as many
// issuers have denied as there are. Otherwise they could wait for a second round.
func (c *Client) refuseDenied(now time.Duration, a *account) {
	usable := 0
	for _, p := range c.peers {
		if p.usable() {
			usable++
		}
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w *Waiter) bool {
		if w.denials++; w.denials < usable {
			return false
		}
		c.refuse(a, w, Exceeded, a.expected(now))
		return true
	})
}

// allDenied reports whether every issuer has stated that it has no permit.
func (c *Client) allDenied(now time.Duration, a *account) bool {
	for _, p := range c.peers {
		if p.usable() && !a.deniedBy(p, now) {
			return false
		}
	}
	return true
}

// serve gives the permits in stock to the requests that wait.
func (c *Client) serve(now time.Duration, a *account) {
	for len(a.waiters) > 0 {
		b, ok := a.take(now)
		if !ok {
			return
		}
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		w.Permit = Permit{a, b}
		c.stats.Granted++
		c.stats.Waited++
		c.decide(w, Granted)
	}
}

func (c *Client) decide(w *Waiter, v Verdict) {
	w.Verdict = v
	c.actions.Decided = append(c.actions.Decided, w)
}

func (c *Client) activate(a *account) {
	if !a.active {
		a.active = true
		c.active = append(c.active, a)
	}
}

func (c *Client) begin() {
	c.actions = Actions{}
}
