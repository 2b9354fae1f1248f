package pick

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/fleet"
)

// KeyedServers is the number of servers among which PickKeyed chooses for a key.
const KeyedServers = 2

// PickKeyed chooses between the KeyedServers servers that rank first for a key. It returns
// the one with the lower cost, or nil when neither accepts work. Every selecting node ranks
// the servers in the same order (rendezvous hashing), so that copies of a request that
// arrive at many nodes go to the same few servers. Servers in any state are ranked, so that
// no third server replaces one that is down. hasOther reports whether the server that was
// not chosen accepts work too. PickKeyed allocates nothing.
func (b *Balancer) PickKeyed(now time.Time, exclude *NodeSet, key uint64) (e *Endpoint, hasOther bool) {
	p := b.pool.Load()
	first, second := p.topTwo(key)
	firstOK, secondOK := first.eligible(exclude), second.eligible(exclude)
	switch t := p.sinceEpoch(now); {
	case firstOK && secondOK && b.cost(second, t) < b.cost(first, t):
		return second, true
	case firstOK:
		return first, secondOK
	case secondOK:
		return second, false
	}
	return nil, false
}

// spilloverFactor bounds the cost of the server that PickKeyed chose. Above this multiple of
// the cost of the server that Pick chose, the request goes to the server of Pick. With a
// factor of 1.1 to 2, a straggler among the servers of a key raises the p99 latency of a
// class by at most 6%. A factor of 4 allows 11%, and no bound 27%.
const spilloverFactor = 2

// PickWithSpillover selects a server for a request of which the selecting node knows no other
// copy. It returns the server of PickKeyed except in three cases, in which it returns the
// server of Pick: neither server of the key accepts work, the cost of the better one exceeds
// spilloverFactor times the cost of the server of Pick, or Pick has started a trial request.
func (b *Balancer) PickWithSpillover(now time.Time, rng *rand.Rand, exclude *NodeSet, key uint64, d *Demand) (e *Endpoint, hasOther bool, r Reason) {
	e, hasOther = b.PickKeyed(now, exclude, key)
	best, r := b.PickFor(now, rng, exclude, d)
	if best == nil {
		return e, hasOther, e.Placed()
	}
	// When Pick chooses an ejected server for a trial request, it has recorded the trial as
	// started. If the request went elsewhere, the record would block further trials.
	trial := best.load.ejectedUntil.Load() != 0
	if t := b.pool.Load().sinceEpoch(now); e == nil || trial || b.cost(e, t) > spilloverFactor*b.cost(best, t) {
		return best, b.hasAlternative(best, exclude), r
	}
	return e, hasOther, e.Placed()
}

// topTwo returns the two announced endpoints that rank highest for a key. With fewer than
// two announced endpoints, the missing ones are nil.
func (p *pool) topTwo(key uint64) (first, second *Endpoint) {
	var firstRank, secondRank uint64
	for _, e := range p.announced {
		switch rank := mix(e.hash ^ key); {
		case first == nil || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = e, rank
		case second == nil || rank > secondRank:
			second, secondRank = e, rank
		}
	}
	return first, second
}

// eligible reports whether e accepts work and is neither ejected nor in exclude. A nil
// Endpoint is not eligible.
func (e *Endpoint) eligible(exclude *NodeSet) bool {
	return e != nil && e.Server.State == fleet.Ready && e.load.ejectedUntil.Load() == 0 && e.isCandidate(exclude)
}

func hashNode(n fleet.NodeID) uint64 { return xxhash.Sum64String(string(n)) }

// mix hashes x, so that each bit of x affects all bits of the result. It is the finalizer of
// splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
