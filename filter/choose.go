package filter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/probe"
)

// ServerSelection is the filter that chooses the target of an attempt and learns from
// how the attempt ended.
type ServerSelection struct {
	// AnyPlacement lets copies of a request that has not finished run on any
	// server. Where no more is asked for than to stop a request after some crashes,
	// a free choice keeps the load of distinct requests even.
	AnyPlacement bool
	// LocalCapacity reports whether a request would start at once at the backend server of
	// the node Self. That server then comes before all others for classes that are
	// configured as items: its load is known exactly, and no link carries the request.
	// Nil: it is a server like the others.
	LocalCapacity func() bool
	Self          fleet.NodeID

	next      Handler
	directory Directory
	zone      string
	clock     clock.Clock
	events    *explain.Store

	services      sync.Map // name -> *pool
	seeds         atomic.Uint64
	firstAttempts atomic.Uint64
	random        sync.Pool
	finished      finishedTable
	running       runningCounts
}

// pool is a balancer with the list of servers it was updated with.
type pool struct {
	balancer   *pick.Balancer
	service    string
	subscribed atomic.Bool // the directory was asked to complete the list
	mu         sync.Mutex
	servers    atomic.Pointer[[]fleet.Server]
	lastUsed   atomic.Int64          // Unix nanoseconds of the last use, to the precision of usePrecision
	ejected    map[fleet.NodeID]bool // as recorded in the events
	anyEjected atomic.Bool           // ejected is not empty
}

// usePrecision keeps the time of the last use from being written by each request.
const usePrecision = 50 * time.Millisecond

func (p *pool) markUsed(now time.Time) {
	if t := now.UnixNano(); t-p.lastUsed.Load() >= int64(usePrecision) {
		p.lastUsed.Store(t)
	}
}

// StaleReports calls f for each ready server of a service in use whose load is
// worth asking for, because no message has told it lately.
func (f *ServerSelection) StaleReports(c probe.Config, visit func(service string, s *fleet.Server)) {
	now := f.clock.Now()
	f.services.Range(func(_, v any) bool {
		p := v.(*pool)
		unused := time.Duration(now.UnixNano() - p.lastUsed.Load())
		for _, s := range f.directory.Servers(p.service) {
			e := p.balancer.Endpoint(s.Node)
			if e != nil && s.State == fleet.Ready && c.ReportWanted(e.ReportAge(now), unused) {
				visit(p.service, &s)
			}
		}
		return true
	})
}

// NewServerSelection returns the filter for a node in zone. The seed decides its random
// choices.
func NewServerSelection(next Handler, d Directory, zone string, k clock.Clock, seed uint64, events *explain.Store) *ServerSelection {
	f := &ServerSelection{next: next, directory: d, zone: zone, clock: k, events: events}
	f.random.New = func() any { return rand.New(rand.NewPCG(seed, f.seeds.Add(1))) }
	return f
}

// Balancer returns the balancer of a service, brought up to date with the directory.
func (f *ServerSelection) Balancer(service string) *pick.Balancer { return f.pool(service).balancer }

// Observe records a load report that came with a message. Reports of services
// that this node has not used are ignored, because looking up the balancer of a
// service makes the node follow it.
func (f *ServerSelection) Observe(service string, node fleet.NodeID, r *fleet.LoadReport) {
	if p, ok := f.services.Load(service); ok {
		p.(*pool).balancer.Observe(node, f.clock.Now(), r)
	}
}

func (f *ServerSelection) pool(service string) *pool {
	p := f.ensurePool(service)
	servers := f.directory.Servers(service)
	if known := p.servers.Load(); known == nil || !equalLists(*known, servers) {
		f.update(p, servers)
	}
	return p
}

func (f *ServerSelection) ensurePool(service string) *pool {
	found, ok := f.services.Load(service)
	if !ok {
		found, _ = f.services.LoadOrStore(service, &pool{balancer: pick.New(pick.Config{}), service: service, ejected: map[fleet.NodeID]bool{}})
	}
	return found.(*pool)
}

// subscribe waits for the servers of a service on its first use, and again when
// none is known. Without it the first requests after the start met a pool of one
// server or none. A request that waits in vain goes on with what is known.
func (f *ServerSelection) subscribe(ctx context.Context, service string) {
	p := f.ensurePool(service)
	if p.subscribed.Load() && len(f.directory.Servers(service)) > 0 {
		return
	}
	if err := f.directory.Subscribe(ctx, service); err == nil {
		p.subscribed.Store(true)
	}
}

func (f *ServerSelection) update(p *pool, servers []fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Update(f.clock.Now(), servers, f.zone)
	p.servers.Store(&servers)
}

// equalLists reports whether two lists are equal. The directory returns the same
// slice until something changes, so that a request seldom compares elements.
func equalLists(a, b []fleet.Server) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// Serve chooses a target that the call has not tried yet.
func (f *ServerSelection) Serve(c *Call) error {
	f.subscribe(c.Ctx, c.Class.Service)
	p := f.pool(c.Class.Service)
	b := p.balancer
	now := f.clock.Now()
	p.markUsed(now)
	exclude := c.history.excluded()
	var copies int32
	if !f.AnyPlacement && f.restrictsPlacement(c, now) {
		copies = f.running.enter(c.Meta.Fingerprint)
		defer f.running.leave(c.Meta.Fingerprint)
	}
	e := f.pick(c, b, now, &exclude, copies)
	if e == nil {
		return errkind.New(errkind.NoBackendServer, "service %s has no backend server to try", c.Class.Service)
	}
	c.history.addTarget(e.Server.Node)
	c.Target = e.Server
	c.Meta.Target, c.Meta.Incarnation = e.Server.Node, e.Server.Incarnation
	c.Meta.OnlyServer = b.IsOnlyServer(e)
	f.recordCandidates(c, b, e, now)
	a := b.Started(e, now)
	err := f.next.Serve(c)
	r := pickResult(c, err)
	end := f.clock.Now()
	b.Finished(a, end, r)
	f.recordOutcome(c, end, err)
	if r.Outcome == pick.Failed || p.anyEjected.Load() {
		f.recordEjections(p, end)
	}
	return err
}

// pick chooses a server and sets whether the attempt may be moved to another one.
// copies is the number of attempts of a bounded request that run through this
// node, or zero.
func (f *ServerSelection) pick(c *Call, b *pick.Balancer, now time.Time, exclude *pick.ExcludedNodes, copies int32) *pick.Endpoint {
	rng := f.random.Get().(*rand.Rand)
	defer f.random.Put(rng)
	var e *pick.Endpoint
	other := b.Len() > 1
	switch {
	case !c.lastReroute:
		e = f.pickLocal(c, b, exclude)
	case !c.Meta.Hedge:
		e = b.PickAmong(now, &c.attemptedNodes)
	}
	switch {
	case e != nil && copies == 0:
	case copies == 0:
		e, other = b.PickReroutable(now, rng, exclude)
	case copies == 1 && !c.Meta.Confined:
		e, other = b.PickWithSpillover(now, rng, exclude, c.Meta.Fingerprint)
	default:
		e, other = b.PickKeyed(now, exclude, c.Meta.Fingerprint)
		if e == nil && !c.Meta.Hedge {
			e, other = b.PickReroutable(now, rng, exclude)
		}
	}
	// A request that was refused elsewhere may go back there for its last attempt.
	c.Meta.Reroutable = c.Meta.Reroutable && (other || c.refusals > 0)
	return e
}

// pickLocal returns the own server when it is to come before all others, or nil.
func (f *ServerSelection) pickLocal(c *Call, b *pick.Balancer, exclude *pick.ExcludedNodes) *pick.Endpoint {
	if !c.Class.Item || f.LocalCapacity == nil || exclude.Has(f.Self) {
		return nil
	}
	if e := b.Eligible(f.Self); e != nil && f.LocalCapacity() {
		return e
	}
	return nil
}

// restrictsPlacement reports whether the copies of a request have to meet on few servers,
// because it may crash each server that runs it: no copy of it has finished
// lately, or it is suspect. A request with a key needs no such bound, because its
// claim allows one running attempt.
func (f *ServerSelection) restrictsPlacement(c *Call, now time.Time) bool {
	return c.Meta.Confined || c.Key == "" && !f.finished.has(now, c.Meta.Fingerprint)
}

// recordOutcome records whether a backend server survived the request.
func (f *ServerSelection) recordOutcome(c *Call, now time.Time, err error) {
	if err == nil {
		if !f.AnyPlacement {
			f.finished.add(now, c.Meta.Fingerprint)
		}
		return
	}
	switch errkind.Of(err).Kind {
	case errkind.ConnectionLost, errkind.CrashSuspect:
		f.finished.remove(c.Meta.Fingerprint)
	}
}

// recordEjections records as events which servers were ejected or readmitted. It
// runs after failures, and after each attempt while a server is ejected.
func (f *ServerSelection) recordEjections(p *pool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[fleet.NodeID]bool{}
	for _, v := range p.balancer.Views(now) {
		if v.Ejected {
			out[v.Server.Node] = true
		}
		switch {
		case v.Ejected && !p.ejected[v.Server.Node]:
			f.events.AddEvent(now, explain.Ejected, v.Server.Node, p.service, fmt.Sprintf("failure rate %.2f", v.FailureRate))
		case !v.Ejected && p.ejected[v.Server.Node]:
			f.events.AddEvent(now, explain.Readmitted, v.Server.Node, p.service, "")
		}
	}
	p.ejected = out
	p.anyEjected.Store(len(out) > 0)
}

// Computing the costs of all candidates again for the record takes 1 µs to 2.5 µs
// for 3 to 8 servers, which is more than a record may add to each request.
const (
	maxExplainedPool = 8  // size of a pool from which only the chosen server is recorded
	explainEvery     = 16 // first attempts, of which one is recorded with all candidates
)

// recordCandidates records the servers of the pool as they were seen. They are recorded
// for every retry and hedge and for one in explainEvery first attempts; any other
// attempt is recorded with the chosen server only.
func (f *ServerSelection) recordCandidates(c *Call, b *pick.Balancer, e *pick.Endpoint, now time.Time) {
	if b.Len() > maxExplainedPool || c.Meta.Attempt == 1 && f.firstAttempts.Add(1)%explainEvery != 0 {
		c.Candidates = []explain.Candidate{candidate(b.View(e, now), e)}
		return
	}
	views := b.Views(now)
	c.Candidates = make([]explain.Candidate, 0, len(views))
	for _, v := range views {
		c.Candidates = append(c.Candidates, candidate(v, e))
	}
}

func candidate(v pick.View, chosen *pick.Endpoint) explain.Candidate {
	return explain.Candidate{Node: v.Server.Node, Outstanding: v.Outstanding, Reported: v.Reported, Age: v.ReportAge,
		Cost: v.Cost, Ejected: v.Ejected, Chosen: v.Server.Node == chosen.Server.Node}
}

// pickResult tells the balancer how an attempt ended. The time of the claim and the
// time that the receiver takes for the body are no part of the duration.
func pickResult(c *Call, err error) pick.Result {
	r := pick.Result{Outcome: pick.Succeeded, Report: c.Load}
	if !c.SentAt.IsZero() && !c.HeadAt.IsZero() {
		r.Duration = c.HeadAt.Sub(c.SentAt)
	}
	switch {
	case err == nil && c.Status >= http.StatusInternalServerError:
		r.Outcome = pick.Failed
	case err == nil:
	case c.SentAt.IsZero() || lostRace(c, err):
		r.Outcome = pick.Canceled
	default:
		r.Outcome = pick.OutcomeOf(errkind.Of(err).Kind)
	}
	return r
}
