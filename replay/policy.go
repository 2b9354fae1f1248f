package replay

import (
	"slices"
	"time"

	"bramleymill/pick"
)

// Policy names a rule for selecting a server.
type Policy string

// The policies that a trace can be replayed with. Current is the selection of package pick,
// which the nodes use. Random, RoundRobin and LeastOfTwo are baselines; LeastOfTwo compares the
// attempts in flight from the same entry node at two random servers. AllKnowing uses the true
// state of every server, which no node has, and shows how close Current comes to a
// selection with full information.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round-robin"
	LeastOfTwo Policy = "least-of-two"
	Current    Policy = "current"
	AllKnowing Policy = "all-knowing"
)

// Policies returns all policies in the order in which reports list them.
func Policies() []Policy { return []Policy{Random, RoundRobin, LeastOfTwo, Current, AllKnowing} }

// choose selects a server for r, or returns nil if none is available. The second result is
// the attempt that the balancer tracks; it is empty with policies other than Current.
func (e *entry) choose(r *request) (*server, pick.Attempt) {
	service := e.run.trace.Classes[r.class].Service
	if e.run.options.Policy == Current {
		b := e.balancers[service]
		p, _ := b.Pick(e.run.time(), e.rng, &r.exclude)
		if p == nil {
			return nil, pick.Attempt{}
		}
		return e.run.byNode[p.Server.Node], b.Started(p, e.run.time())
	}
	candidates := slices.DeleteFunc(slices.Clone(e.ready[service]), func(s *server) bool {
		return r.exclude.Has(s.line.Node)
	})
	if len(candidates) == 0 {
		return nil, pick.Attempt{}
	}
	return e.baseline(service, r, candidates), pick.Attempt{}
}

// baseline selects one of the candidates by a policy other than Current.
func (e *entry) baseline(service string, r *request, candidates []*server) *server {
	switch e.run.options.Policy {
	case RoundRobin:
		e.nextIndex[service]++
		return candidates[e.nextIndex[service]%len(candidates)]
	case LeastOfTwo:
		a, b := candidates[e.rng.IntN(len(candidates))], candidates[e.rng.IntN(len(candidates))]
		if e.inFlight[b] < e.inFlight[a] {
			return b
		}
		return a
	case AllKnowing:
		return e.allKnowing(r, candidates)
	}
	return candidates[e.rng.IntN(len(candidates))]
}

// allKnowing returns the candidate on which r would end first, leaving out servers that drain
// or fail. If all candidates drain or fail, it returns the first one.
func (e *entry) allKnowing(r *request, candidates []*server) *server {
	var best *server
	var bestAt time.Duration
	for _, s := range candidates {
		if s.drainAt >= 0 && e.run.now >= s.drainAt || s.failureShare(e.run.now) > 0 {
			continue
		}
		if at := s.completionTime(r, e.hop(s)); best == nil || at < bestAt {
			best, bestAt = s, at
		}
	}
	if best == nil {
		return candidates[0]
	}
	return best
}
