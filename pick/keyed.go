package pick

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/fleet"
)

// KeyedServers is the number of servers to which PickKeyed sends a key.
const KeyedServers = 2

// PickKeyed returns the better of the KeyedServers servers that rank first for a
// key, or nil when neither accepts work. Every selecting node ranks the servers
// in the same order (rendezvous hashing), so that the copies of a request that
// arrive at many nodes meet on few servers. All announced servers are ranked, in
// any state, so that the death of one does not bring another one in. other tells
// whether the one that was not chosen accepts work too. It allocates nothing.
func (b *Balancer) PickKeyed(now time.Time, exclude *ExcludedNodes, key uint64) (e *Endpoint, other bool) {
	p := b.pool.Load()
	first, second := p.firstTwo(key)
	firstOK, secondOK := first.usable(exclude), second.usable(exclude)
	switch t := p.at(now); {
	case firstOK && secondOK && b.cost(second, t) < b.cost(first, t):
		return second, true
	case firstOK:
		return first, secondOK
	case secondOK:
		return second, false
	}
	return nil, false
}

// spillFactor is the cost of the servers of a key, in multiples of the cost of
// the server that Pick would choose, above which a key leaves them. Without it the
// replayed p99 of classes under a straggler rises by up to 27%, with factors of
// 1.1 to 2 by at most 6%, and with 4 by up to 11%.
const spillFactor = 2

// PickWithSpillover is PickKeyed for a request of which the selecting node knows no
// other copy. It leaves the servers of the key when neither accepts work, or when
// their expected completion time is far above that of another server.
func (b *Balancer) PickWithSpillover(now time.Time, rng *rand.Rand, exclude *ExcludedNodes, key uint64) (e *Endpoint, other bool) {
	e, other = b.PickKeyed(now, exclude, key)
	free, _ := b.Pick(now, rng, exclude)
	if free == nil {
		return e, other
	}
	// An ejected server is chosen for its trial, which is not to be given up.
	trial := free.load.ejectedUntil.Load() != 0
	if t := b.pool.Load().at(now); e == nil || trial || b.cost(e, t) > spillFactor*b.cost(free, t) {
		return free, b.hasOther(free, exclude)
	}
	return e, other
}

// firstTwo returns the two endpoints that rank first for a key, or nil.
func (p *pool) firstTwo(key uint64) (first, second *Endpoint) {
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

// usable reports whether e accepts work and is neither ejected nor in exclude.
func (e *Endpoint) usable(exclude *ExcludedNodes) bool {
	return e != nil && e.Server.State == fleet.Ready && e.load.ejectedUntil.Load() == 0 && e.eligible(exclude)
}

func hashNode(n fleet.NodeID) uint64 { return xxhash.Sum64String(string(n)) }

// mix spreads the bits of x. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
