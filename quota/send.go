package quota

import "time"

// send sends the message to p that is due, if any: for the customers that ask it, for
// returns, or as a probe.
func (c *Client) send(now time.Duration, p *peer) {
	var wants []*account
	for _, a := range c.active {
		switch {
		case a.asking != p:
		case len(wants) < MaxItems:
			wants = append(wants, a)
		default:
			a.asking = nil // with the next message
		}
	}
	probe := p.listed && len(c.accounts) > 0 && (p.issuer == 0 && !p.silent || (p.silent || p.refusing) && now >= p.probeAt)
	if len(wants) == 0 && !probe && (len(p.returns) == 0 || now < p.returnBy || p.silent) {
		return
	}
	c.number++
	r := &Request{Client: c.id, Number: c.number, Issuer: p.issuer, Voters: c.digest, Returns: p.takeReturns()}
	for _, a := range wants {
		r.Wants = append(r.Wants, c.want(now, p, a))
		a.refill = false
	}
	p.inFlight = &exchange{number: c.number, sent: now, wants: wants}
	p.lastSent = now
	c.stats.Messages++
	c.actions.Send = append(c.actions.Send, Outgoing{p.address, r})
}

func (c *Client) want(now time.Duration, p *peer, a *account) Want {
	a.measure(now)
	w := Want{Customer: a.id, Now: uint32(len(a.waiters)), Last: true}
	for _, other := range c.peers {
		if other != p && other.usable() && !a.deniedBy(other, now) {
			w.Last = false
		}
	}
	if stock := a.stocked(); a.ahead > stock {
		w.Ahead = a.ahead - stock
	}
	return w
}
