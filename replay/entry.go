package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/probe"
	"bramleymill/retry"
)

// request is a request of the trace while an entry node processes it.
type request struct {
	arrival
	deadline time.Duration
	exclude  pick.NodeSet
	attempts *retry.Attempts
	pending  map[uint64]*attempt
	done     bool
	draws    int // failure draws that executions of the request have used
}

// nextFailureDraw returns the failure draw of the next execution, in [0, 1). The executions
// of a request fail independently of each other.
func (r *request) nextFailureDraw() float64 {
	n := r.draws
	r.draws++
	if n == 0 {
		return r.failureDraw
	}
	return rand.New(rand.NewPCG(math.Float64bits(r.failureDraw), uint64(n))).Float64()
}

// attempt is one transmission of a request to a server. Its times are times of the trace.
type attempt struct {
	id         uint64
	request    *request
	entry      *entry
	server     *server
	tracked    pick.Attempt  // the attempt as the balancer tracks it; empty unless the policy is Current
	hop        time.Duration // one-way network delay between entry node and server
	sent       time.Duration // when the entry node sent it
	arrived    time.Duration // when it reached the server
	started    time.Duration // when its execution began
	end        time.Duration // when its execution ends unless it is canceled
	atServer   time.Duration // time between its arrival and the reply of the server
	running    bool
	reroutable bool // may be sent to another server, so a busy server refuses it instead of queueing it
	hedge      bool
}

// entry is an entry node: it receives requests from callers and selects servers for them.
type entry struct {
	run          *runner
	localServer  *server // the backend server of the same node
	zone         string
	rng          *rand.Rand
	balancers    map[string]*pick.Balancer
	queryLimiter *probe.LoadQueryLimiter
	policies     []*retry.Policy          // by index of the class
	ready        map[string][]*server     // by service: servers that this node has on record as ready
	lastUse      map[string]time.Duration // by service: time of the last request
	nextIndex    map[string]int           // by service: counter of RoundRobin
	inFlight     map[*server]int          // attempts of this node that have not ended
}

// localHop is the one-way network delay within an availability zone.
const localHop = 100 * time.Microsecond

// hop returns the one-way network delay to a server.
func (e *entry) hop(s *server) time.Duration {
	if s.line.Zone == e.zone {
		return localHop
	}
	return localHop + e.run.trace.Deployment.ZoneDelay.Std()
}

// startRequest sends a newly arrived request and schedules its hedge.
func (e *entry) startRequest(a arrival) {
	c := &e.run.trace.Classes[a.class]
	r := &request{
		arrival: a, deadline: a.at + c.Deadline.Std(),
		attempts: retry.NewAttempts(retry.DefaultAttempts), pending: map[uint64]*attempt{},
	}
	e.lastUse[c.Service] = e.run.now
	p := e.policies[a.class]
	p.RequestStarted()
	e.send(r, false)
	if !e.run.options.Hedge {
		return
	}
	if delay, ok := p.HedgeDelay(c.Idempotent, c.Internal, r.deadline-e.run.now); ok {
		e.run.after(delay, func() { e.hedge(r) })
	}
}

// hedge sends a second attempt of a request whose only attempt is still pending, if the hedge
// policy allows it. The second attempt goes to another node.
func (e *entry) hedge(r *request) {
	if r.done || len(r.pending) != 1 || !e.policies[r.class].Hedge(e.run.time(), r.attempts) {
		return
	}
	for _, a := range r.pending {
		r.exclude.Add(a.server.line.Node)
	}
	e.run.result.Hedges++
	e.send(r, true)
}

// send starts an attempt on a selected server. If no server is available, the request fails
// unless another attempt of it is pending.
func (e *entry) send(r *request, hedge bool) {
	s, tracked := e.choose(r)
	if s == nil {
		if len(r.pending) == 0 {
			e.finish(r, errkind.NoBackendServer)
		}
		return
	}
	e.run.nextID++
	a := &attempt{id: e.run.nextID, request: r, entry: e, server: s, tracked: tracked, hop: e.hop(s), sent: e.run.now, hedge: hedge}
	a.reroutable = e.run.options.Policy == Current && e.run.trace.Classes[r.class].Idempotent && e.policies[r.class].CanReroute(r.attempts)
	r.pending[a.id] = a
	e.inFlight[s]++
	e.run.inTransit[s] = append(e.run.inTransit[s], a)
	var report *fleet.LoadReport
	if e.localServer != s && e.run.options.Policy == Current {
		report = e.localServer.report()
	}
	e.run.after(a.hop, func() {
		e.run.removeInTransit(s, a)
		s.observeReport(e.localServer, report)
		s.offer(a)
	})
}

// receive handles the answer to an attempt. An empty kind means success.
func (e *entry) receive(a *attempt, kind errkind.Kind, report *fleet.LoadReport) {
	e.recordEnd(a, kind, report)
	r := a.request
	if r.done {
		return
	}
	p := e.policies[r.class]
	if kind == "" {
		p.RecordLatency(e.run.time(), e.run.now-r.at)
		e.finish(r, "")
		return
	}
	if len(r.pending) > 0 {
		return // a hedge is still running
	}
	d := p.AfterFailure(e.run.time(), retry.Failure{
		Kind: kind, Idempotent: e.run.trace.Classes[r.class].Idempotent, Remaining: r.deadline - e.run.now,
	}, r.attempts)
	if d.Verb == retry.GiveUp {
		e.finish(r, d.Kind)
		return
	}
	e.run.result.Retries++
	r.exclude.Add(a.server.line.Node)
	e.send(r, false)
}

// recordEnd removes an attempt that has ended and passes its result and the load report of
// the answer to the balancer. If the trace delays reports, the report follows later.
func (e *entry) recordEnd(a *attempt, kind errkind.Kind, report *fleet.LoadReport) {
	delete(a.request.pending, a.id)
	e.inFlight[a.server]--
	if e.run.options.Policy != Current {
		return
	}
	outcome := pick.OutcomeOf(kind)
	b := e.balancers[e.run.trace.Classes[a.request.class].Service]
	if delay := e.run.reportDelay(); delay > 0 {
		node, delayedReport := a.server.line.Node, report
		e.run.after(delay, func() { b.Observe(node, e.run.time(), delayedReport) })
		report = nil
	}
	b.Finished(a.tracked, e.run.time(), pick.Result{Duration: e.run.now - a.sent, AtServer: a.atServer, Outcome: outcome, Report: report})
}

// finish records the end of a request and cancels its attempts that are still pending.
func (e *entry) finish(r *request, kind errkind.Kind) {
	r.done = true
	e.run.result.add(Record{Class: r.class, At: r.at, Latency: e.run.now - r.at, Kind: kind})
	for _, a := range r.pending {
		s := a.server
		e.run.after(a.hop, func() { s.cancel(a) })
		if e.run.options.Policy == Current {
			b := e.balancers[e.run.trace.Classes[r.class].Service]
			b.Finished(a.tracked, e.run.time(), pick.Result{Duration: e.run.now - a.sent, Outcome: pick.Canceled})
		}
		e.inFlight[s]--
	}
	clear(r.pending)
}
