package pick

import (
	"math/rand/v2"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// MaxNodeSet is the number of nodes that a NodeSet remembers.
const MaxNodeSet = 8

// NodeSet is a small set of nodes, for example of those to which a request must not be sent
// again. The zero value is empty. Adding a node to a full set removes the node that was
// added first.
type NodeSet struct {
	nodes [MaxNodeSet]fleet.NodeID
	added int
}

// Add puts a node into x.
func (x *NodeSet) Add(node fleet.NodeID) {
	x.nodes[x.added%MaxNodeSet] = node
	x.added++
}

// Has reports whether node is in x. A nil x is empty.
func (x *NodeSet) Has(node fleet.NodeID) bool {
	if x == nil {
		return false
	}
	for _, n := range x.nodes[:min(x.added, MaxNodeSet)] {
		if n == node {
			return true
		}
	}
	return false
}

// Pick returns the server with the least expected completion time among a few random
// candidates. It prefers servers in the zone of the selecting node, see PickFor. It returns an
// ejected server when a trial request to it is due. If no server accepts work, it returns nil
// and errkind.NoBackendServer. Pick allocates nothing.
func (b *Balancer) Pick(now time.Time, rng *rand.Rand, exclude *NodeSet) (*Endpoint, errkind.Kind) {
	e, _ := b.PickFor(now, rng, exclude, &Demand{})
	if e == nil {
		return nil, errkind.NoBackendServer
	}
	return e, ""
}

// PickFor is like Pick for a request with the given demand, and also returns why the request
// stays in the zone of the selecting node or leaves it. If no server accepts work, it returns
// nil.
func (b *Balancer) PickFor(now time.Time, rng *rand.Rand, exclude *NodeSet, d *Demand) (*Endpoint, Reason) {
	p := b.pool.Load()
	if len(p.endpoints) == 0 {
		return nil, LeftNoServer
	}
	t := p.sinceEpoch(now)
	e := b.bestOfSample(p, t, rng, exclude, d.DryRun)
	if e == nil {
		e = b.bestOfPool(p, t, rng, exclude, d.DryRun)
	}
	if e == nil {
		return nil, LeftNoServer
	}
	return b.preferOwnZone(p, e, t, rng, exclude, d)
}

// ownZoneAttempts is the number of earlier attempts after which the selecting node's zone
// is no longer preferred. Each earlier attempt has added its server to the excluded ones.
// That many refusals or failures suggest that the zone is busy.
const ownZoneAttempts = 5

// preferOwnZone returns e, the best candidate, or the best of a few random servers in the
// selecting node's zone, as decided by leaving.
func (b *Balancer) preferOwnZone(p *pool, e *Endpoint, t int64, rng *rand.Rand, exclude *NodeSet, d *Demand) (*Endpoint, Reason) {
	switch {
	case e.inOwnZone:
		return e, Stayed
	case len(p.ownZone) == 0:
		return e, LeftNoServer
	case exclude != nil && exclude.added >= ownZoneAttempts:
		return e, LeftRerouted
	case e.load.ejectedUntil.Load() != 0:
		return e, LeftTrial
	case len(p.ownZone) < manyServers && d.Bytes < fewBytes:
		return e, LeftCheaper
	}
	l := leaving{servers: len(p.ownZone), perByte: b.config.waitPerByte()}
	var best *Endpoint
	if best, l.home = b.bestOfOwnZone(p, t, rng, exclude); best == nil {
		return e, LeftNoServer
	}
	l.abroad = b.cost(e, t)
	l.inUse = best.load.expectedRequests(t, int64(b.config.ReportHalfLife)) / float64(best.load.slots.Load())
	l.refused = b.homeRefusals.share(t)
	if reason := l.decide(d, rng); reason != Stayed {
		return e, reason
	}
	return best, Stayed
}

// bestOfOwnZone returns the server with the least cost among a few random servers in the
// selecting node's zone, and its cost. It returns nil if none of them is eligible.
func (b *Balancer) bestOfOwnZone(p *pool, t int64, rng *rand.Rand, exclude *NodeSet) (best *Endpoint, bestCost float64) {
	n := len(p.ownZone)
	first := rng.IntN(n)
	for i := range min(n, b.config.Candidates) {
		e := p.ownZone[(first+i)%n]
		if n > b.config.Candidates && i > 0 {
			e = p.ownZone[rng.IntN(n)]
		}
		if e == best || !e.eligible(exclude) {
			continue
		}
		if c := b.cost(e, t); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	return best, bestCost
}

// drawsPerCandidate bounds the random draws of a Pick. More draws than candidates can be
// needed, because a draw can repeat or hit a server that is not eligible.
const drawsPerCandidate = 3

// bestOfSample returns the server with the least cost among a few random candidates, or an
// ejected server whose trial is due. It returns nil when it found no eligible candidate or
// when the pool has no more than Candidates servers. In both cases bestOfPool is used.
func (b *Balancer) bestOfSample(p *pool, t int64, rng *rand.Rand, exclude *NodeSet, dryRun bool) *Endpoint {
	sampleSize := b.config.Candidates
	if len(p.endpoints) <= sampleSize {
		return nil
	}
	var seen [maxCandidates]int
	var best *Endpoint
	var bestCost float64
	found := 0
	for draw := 0; found < sampleSize && draw < sampleSize*drawsPerCandidate; draw++ {
		i := rng.IntN(len(p.endpoints))
		e := p.endpoints[i]
		if contains(seen[:found], i) || !e.isCandidate(exclude) {
			continue
		}
		if e.load.ejectedUntil.Load() != 0 {
			if b.startTrial(e, t, dryRun) {
				return e
			}
			continue
		}
		seen[found] = i
		found++
		if c := b.cost(e, t); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	return best
}

// isCandidate reports whether e is neither draining nor in exclude. An ejected server may
// be a candidate.
func (e *Endpoint) isCandidate(exclude *NodeSet) bool {
	return !e.load.draining.Load() && (exclude == nil || !exclude.Has(e.Server.Node))
}

// IsOnlyServer reports whether e is the only server of the service that accepts work.
func (b *Balancer) IsOnlyServer(e *Endpoint) bool { return !b.hasAlternative(e, nil) }

// PickReroutable is like PickFor and also reports whether a request that e refuses can be
// rerouted. That is possible if another server accepts work and is not in exclude.
func (b *Balancer) PickReroutable(now time.Time, rng *rand.Rand, exclude *NodeSet, d *Demand) (e *Endpoint, hasOther bool, r Reason) {
	e, r = b.PickFor(now, rng, exclude, d)
	return e, e != nil && b.hasAlternative(e, exclude), r
}

// hasAlternative reports whether a server other than e accepts work and is neither ejected
// nor in exclude.
func (b *Balancer) hasAlternative(e *Endpoint, exclude *NodeSet) bool {
	for _, other := range b.pool.Load().endpoints {
		if other.Server.Node != e.Server.Node && other.load.ejectedUntil.Load() == 0 && other.isCandidate(exclude) {
			return true
		}
	}
	return false
}

// Eligible returns the server of a node if it accepts work and is not ejected, or nil.
func (b *Balancer) Eligible(node fleet.NodeID) *Endpoint {
	if e := b.pool.Load().byNode[node]; e.eligible(nil) {
		return e
	}
	return nil
}

// PickAmong returns the server with the least expected completion time among the given
// nodes, or nil when none of them accepts work.
func (b *Balancer) PickAmong(now time.Time, among *NodeSet) *Endpoint {
	p := b.pool.Load()
	t := p.sinceEpoch(now)
	var best *Endpoint
	var bestCost float64
	for _, n := range among.nodes[:min(among.added, MaxNodeSet)] {
		e := p.byNode[n]
		if !e.eligible(nil) {
			continue
		}
		if c := b.cost(e, t); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	return best
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

// bestOfPool returns the server with the least cost in the whole pool, or an ejected server
// whose trial is due. When every candidate is ejected, it returns the ejected server with
// the least cost, because a server that may fail is better than none.
func (b *Balancer) bestOfPool(p *pool, t int64, rng *rand.Rand, exclude *NodeSet, dryRun bool) *Endpoint {
	var best, ejected *Endpoint
	var bestCost, ejectedCost float64
	first := rng.IntN(len(p.endpoints))
	for i := range p.endpoints {
		e := p.endpoints[(first+i)%len(p.endpoints)]
		if !e.isCandidate(exclude) {
			continue
		}
		c := b.cost(e, t)
		if e.load.ejectedUntil.Load() != 0 {
			if b.startTrial(e, t, dryRun) {
				return e
			}
			if ejected == nil || c < ejectedCost {
				ejected, ejectedCost = e, c
			}
		} else if best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	if best == nil {
		return ejected
	}
	return best
}

// cost returns the expected completion time of a further request at e in nanoseconds: the
// delay of the zone, the wait for the requests at the server and for a permit of its rate
// limit, and the service time itself.
// Servers that warm up or fail cost more.
func (b *Balancer) cost(e *Endpoint, t int64) float64 {
	c := &b.config
	l := e.load
	service := l.applySlowdown(b.expectedServiceTime(l, t), t)
	cost := float64(e.zone.nanos.Load()) + (l.expectedRequests(t, int64(c.ReportHalfLife))/float64(l.slots.Load())+1)*service
	if sinceReady := t - e.readyAt; sinceReady < int64(c.SlowStart) {
		cost *= 1 + (c.SlowStartFactor-1)*(1-float64(max(sinceReady, 0))/float64(c.SlowStart))
	}
	cost += l.permitWait(t) + l.linkBacklog(t)
	return cost + l.failureRate(t, c)*float64(c.FailurePenalty)
}

// slowdownHalfLife is the age of a reported slowdown at which its weight is one half.
const slowdownHalfLife = int64(150 * time.Millisecond)

// applySlowdown returns the service time that is expected under the reported slowdown.
// service is the usual service time. The effect falls with the age of the report.
func (l *load) applySlowdown(service float64, t int64) float64 {
	slowdown := l.slowdown.Load()
	if slowdown <= 1 {
		return service
	}
	slowed := float64(admit.SlowPhaseServiceTime(time.Duration(service), slowdown))
	return service + (slowed-service)*decay(t-l.slowdownAt.Load(), slowdownHalfLife)
}

// outstandingFactor is the lower bound of the expected service time of a server, in multiples
// of the age of its oldest outstanding request. It exceeds 1 because that request still runs.
const outstandingFactor = 1.5

// expectedServiceTime returns the expected service time at the server of l in nanoseconds.
// As the estimate of l ages, the mean of the pool gradually replaces it, and does so fully
// after MemoryTime, so that a straggler receives requests again. The age of the oldest
// outstanding request raises the result, so that a slow server is avoided before its first
// slow answer.
func (b *Balancer) expectedServiceTime(l *load, t int64) float64 {
	mean := b.meanServiceTime.Load()
	service := l.serviceTime.Load()
	if service == 0 {
		service = mean
	} else {
		service = mean + (service-mean)*b.config.remembered(t-l.serviceTimeAt.Load(), b.config.EstimateHalfLife)
	}
	return max(service, outstandingFactor*float64(l.oldestAge(t)))
}
