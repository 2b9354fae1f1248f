package replay

import (
	"slices"
	"time"

	"bramleymill/pick"
)

// Policy is a way to choose a server.
type Policy string

// The policies. AllKnowing sees the true state of every server and is the limit
// of what a choice can reach.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round-robin"
	LeastOfTwo Policy = "least-of-two"
	Current    Policy = "current"
	AllKnowing Policy = "all-knowing"
)

// Policies returns every policy in the order of reports.
func Policies() []Policy { return []Policy{Random, RoundRobin, LeastOfTwo, Current, AllKnowing} }

// choose returns a server for r or nil.
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
	known := slices.DeleteFunc(slices.Clone(e.ready[service]), func(s *server) bool {
		return r.exclude.Has(s.line.Node)
	})
	if len(known) == 0 {
		return nil, pick.Attempt{}
	}
	return e.baseline(service, r, known), pick.Attempt{}
}

func (e *entry) baseline(service string, r *request, known []*server) *server {
	switch e.run.options.Policy {
	case RoundRobin:
		e.turn[service]++
		return known[e.turn[service]%len(known)]
	case LeastOfTwo:
		a, b := known[e.rng.IntN(len(known))], known[e.rng.IntN(len(known))]
		if e.inFlight[b] < e.inFlight[a] {
			return b
		}
		return a
	case AllKnowing:
		return e.allKnowing(r, known)
	}
	return known[e.rng.IntN(len(known))]
}

func (e *entry) allKnowing(r *request, known []*server) *server {
	var best *server
	var bestAt time.Duration
	for _, s := range known {
		if s.drainAt >= 0 && e.run.now >= s.drainAt || s.failing(e.run.now) > 0 {
			continue
		}
		if at := s.finish(r, e.hop(s)); best == nil || at < bestAt {
			best, bestAt = s, at
		}
	}
	if best == nil {
		return known[0]
	}
	return best
}
