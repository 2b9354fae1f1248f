package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// replyTimeout is the time after which requests that wait for a reply ask another
	// control instance.
	replyTimeout = 40 * time.Millisecond
	// WaitLimit is the time after which a request gives up without a decision.
	WaitLimit = 150 * time.Millisecond
	// An instance that did not answer is probed with an empty message after minBackoff and
	// then at intervals that double up to maxBackoff. Requests ask it only if no other is left.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// refusedBackoff is the interval of probes of an instance that may not issue.
	refusedBackoff = 200 * time.Millisecond
	// maxReturns bounds the returns that wait for the next message to an instance.
	maxReturns = 4 * MaxItems
)

// peer is a control instance as a client knows it.
type peer struct {
	address string
	node    string
	zone    string
	rank    uint64 // random, so that the clients of a zone prefer different instances
	issuer  uint64 // start of its process; zero: it has not answered yet
	listed  bool   // it is a voter by the newest list, or there is no list yet

	inFlight *exchange
	late     *exchange // the last one that timed out; its reply is still accepted
	silent   bool      // it did not answer the last message in time
	refusing bool      // it had no right to issue when it last answered
	backoff  time.Duration
	probeAt  time.Duration // when a silent or refusing peer is asked again without wants
	lastSent time.Duration
	returns  []Return
	returnBy time.Duration // when returns are sent without a request
}

// exchange is a sent message.
type exchange struct {
	number uint64
	sent   time.Duration
	wants  []*account
}

func (p *peer) usable() bool { return p.listed && !p.silent && !p.refusing }

func (p *peer) timedOut(now time.Duration) {
	p.late, p.inFlight = p.inFlight, nil
	p.silent = true
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.probeAt = now + p.backoff
}

func (p *peer) answered(now time.Duration, r *Reply) {
	p.silent, p.backoff = false, 0
	if p.issuer != r.Issuer {
		p.issuer, p.returns = r.Issuer, nil
	}
	if r.Node != "" {
		p.node, p.zone = r.Node, r.Zone
	}
	if p.refusing = r.Refuse != ""; p.refusing {
		p.probeAt = now + refusedBackoff
	}
}

// name returns the name of the instance, or its address until it has answered.
func (p *peer) name() string { return cmp.Or(p.node, p.address) }

// addReturn keeps a return for the next message. Permits beyond the bound are lost.
func (p *peer) addReturn(now time.Duration, id ID, b batch) {
	if len(p.returns) == 0 {
		p.returnBy = now + returnDelay
	}
	for i := range p.returns {
		if r := &p.returns[i]; r.Customer == id && r.Slot == b.slot {
			r.Count += b.count
			return
		}
	}
	if len(p.returns) < maxReturns {
		p.returns = append(p.returns, Return{id, b.slot, b.count})
	}
}

// returnDelay is the time for which returns wait for a message that asks for permits.
const returnDelay = 30 * time.Millisecond

// takeReturns removes and returns as many returns as fit into a message.
func (p *peer) takeReturns() []Return {
	n := min(len(p.returns), MaxItems)
	out := p.returns[:n:n]
	p.returns = p.returns[n:]
	return out
}

// SetControls sets the addresses of the known control instances. They are used until an
// issuer has named the voters, and again when none of those answers.
func (c *Client) SetControls(addresses []string) {
	if slices.Equal(addresses, c.controls) {
		return
	}
	c.controls = slices.Clone(addresses)
	c.updatePeers()
}

func (c *Client) setVoters(addresses []string) {
	c.voters, c.digest = addresses, VotersDigest(addresses)
	c.updatePeers()
}

// updatePeers makes the peers those of the voters and the other control instances.
func (c *Client) updatePeers() {
	wanted := slices.Clone(c.voters)
	for _, a := range c.controls {
		if !slices.Contains(wanted, a) {
			wanted = append(wanted, a)
		}
	}
	for _, p := range c.peers {
		if !slices.Contains(wanted, p.address) {
			c.removePeer(p)
		}
	}
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool { return !slices.Contains(wanted, p.address) })
	for _, a := range wanted {
		if !slices.ContainsFunc(c.peers, func(p *peer) bool { return p.address == a }) {
			c.peers = append(c.peers, &peer{address: a, rank: c.random.Uint64()})
		}
	}
	for _, p := range c.peers {
		p.listed = len(c.voters) == 0 || slices.Contains(c.voters, p.address)
	}
	c.sortPeers()
}

func (c *Client) removePeer(p *peer) {
	for _, a := range c.accounts {
		if a.asking == p {
			a.asking = nil
		}
		a.denials = slices.DeleteFunc(a.denials, func(d denial) bool { return d.peer == p })
	}
}

// sortPeers sorts the peers of the own zone first.
func (c *Client) sortPeers() {
	other := func(p *peer) int {
		if p.zone == c.zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(c.peers, func(a, b *peer) int { return cmp.Or(other(a)-other(b), cmp.Compare(a.rank, b.rank)) })
}
