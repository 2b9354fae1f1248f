package filter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/evacuate"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/probe"
)

// ServerSelection is the filter that selects the target of an attempt and updates the
// estimates of the servers with the result of the attempt.
type ServerSelection struct {
	// AnyPlacement allows copies of a request to run on any server although none of them has
	// finished yet. Otherwise they run on few servers, which limits the damage of a request
	// that crashes servers. Set it where it is sufficient to refuse such a request after some
	// crashes. Unrestricted selection distributes distinct requests evenly.
	AnyPlacement bool
	// HasLocalCapacity reports whether a request would start immediately at the backend server
	// of the node Self. That server is then preferred for classes that are configured as
	// items, because its load is known exactly and no network hop is needed. If it is nil,
	// the local server is treated like the others.
	HasLocalCapacity func() bool
	Self             fleet.NodeID
	// WaitPerMegabyte is the waiting time that is accepted for each megabyte that does not cross
	// zones. Zero: the default of package pick. It must be set before the first request.
	WaitPerMegabyte time.Duration

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
	sizes         classSizes

	zones   atomic.Pointer[evacuate.Zones]
	zonesMu sync.Mutex // serializes SetZonesOut
}

// pool is the balancer of a service with the list of servers that it was last updated with.
type pool struct {
	balancer   *pick.Balancer
	service    string
	subscribed atomic.Bool // the directory has provided the complete list
	mu         sync.Mutex
	servers    atomic.Pointer[[]fleet.Server]
	zones      atomic.Pointer[evacuate.Zones] // with which servers was last applied
	lastUsed   atomic.Int64                   // Unix nanoseconds of the last use, to the precision of usePrecision
	ejected    map[fleet.NodeID]bool          // servers whose ejection is recorded as an event
	anyEjected atomic.Bool                    // ejected is not empty
	traffic    zoneTraffic
}

// usePrecision limits how often requests write the time of the last use.
const usePrecision = 50 * time.Millisecond

func (p *pool) markUsed(now time.Time) {
	if t := now.UnixNano(); t-p.lastUsed.Load() >= int64(usePrecision) {
		p.lastUsed.Store(t)
	}
}

// StaleReports calls visit for each ready server that needs a load query according to c.
// This depends on the age of its newest load report and on how long its service was unused.
func (f *ServerSelection) StaleReports(c probe.Config, visit func(service string, s *fleet.Server)) {
	now := f.clock.Now()
	f.services.Range(func(_, v any) bool {
		p := v.(*pool)
		unused := time.Duration(now.UnixNano() - p.lastUsed.Load())
		for _, s := range f.directory.Servers(p.service) {
			e := p.balancer.Endpoint(s.Node)
			if e != nil && s.State == fleet.Ready && c.LoadQueryNeeded(e.ReportAge(now), unused) {
				visit(p.service, &s)
			}
		}
		return true
	})
}

// NewServerSelection returns the filter for a node in the availability zone zone. seed
// determines its random choices.
func NewServerSelection(next Handler, d Directory, zone string, k clock.Clock, seed uint64, events *explain.Store) *ServerSelection {
	f := &ServerSelection{next: next, directory: d, zone: zone, clock: k, events: events}
	f.random.New = func() any { return rand.New(rand.NewPCG(seed, f.seeds.Add(1))) }
	return f
}

// Balancer returns the balancer of a service, updated from the directory.
func (f *ServerSelection) Balancer(service string) *pick.Balancer { return f.pool(service).balancer }

// ObserveLoad records a load report that came with a message. Reports of services that this
// node has not used are ignored, because creating the balancer of a service would
// subscribe the node to it.
func (f *ServerSelection) ObserveLoad(service string, node fleet.NodeID, r *fleet.LoadReport) {
	if p, ok := f.services.Load(service); ok {
		p.(*pool).balancer.Observe(node, f.clock.Now(), r)
	}
}

func (f *ServerSelection) pool(service string) *pool {
	p := f.ensurePool(service)
	servers := f.directory.Servers(service)
	if current := p.servers.Load(); current == nil || !equalLists(*current, servers) || p.zones.Load() != f.zones.Load() {
		f.update(p, servers)
	}
	return p
}

func (f *ServerSelection) ensurePool(service string) *pool {
	found, ok := f.services.Load(service)
	if !ok {
		found, _ = f.services.LoadOrStore(service, &pool{balancer: pick.New(pick.Config{WaitPerMegabyte: f.WaitPerMegabyte}), service: service, ejected: map[fleet.NodeID]bool{}})
	}
	return found.(*pool)
}

// subscribe waits for the servers of a service when it is first used, and again whenever
// no server is known. Without the wait, the first requests after the start of the node
// would find no server, or only one, because the directory does not have the others yet.
// If the wait fails, the request continues with the servers known so far.
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
	zones := f.zones.Load()
	p.balancer.Update(f.clock.Now(), zones.Apply(servers), f.zone)
	p.zones.Store(zones)
	p.servers.Store(&servers)
}

// equalLists reports whether two lists are equal. The directory returns the same slice
// until a server changes, so that elements are rarely compared.
func equalLists(a, b []fleet.Server) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// Serve selects a server that no earlier attempt of the call was sent to.
func (f *ServerSelection) Serve(c *Call) (err error) {
	f.subscribe(c.Ctx, c.Class.Service)
	p := f.pool(c.Class.Service)
	b := p.balancer
	now := f.clock.Now()
	p.markUsed(now)
	exclude := c.history.excludedNodes()
	var copies int32
	if !f.AnyPlacement && f.restrictsPlacement(c, now) {
		copies = f.running.enter(c.Meta.Fingerprint)
		defer f.running.leave(c.Meta.Fingerprint)
	}
	rng := f.random.Get().(*rand.Rand)
	e, reason := f.pick(rng, c, b, now, &exclude, copies)
	f.random.Put(rng)
	if e == nil {
		return f.errNoServer(c.Class.Service)
	}
	c.history.addTarget(e.Server.Node)
	c.Target = e.Server
	c.Meta.Target, c.Meta.Incarnation = e.Server.Node, e.Server.Incarnation
	c.Meta.OtherZone = f.inOtherZone(&e.Server)
	f.recordReason(c, p, reason)
	c.Meta.OnlyServer = b.IsOnlyServer(e)
	c.Meta.Told, c.Meta.ColdRate = b.Told(e, now), c.Class.ColdRate
	f.recordCandidates(c, b, e, now)
	a := b.Started(e, now)
	err = errPanicked
	defer func() {
		f.recordEnd(c, p, a, err)
		err = withColdWait(err, b, f.clock)
	}()
	return f.next.Serve(c)
}

// withColdWait adds the time until a permit is expected to the refusal of a server because of its
// load, if all servers of the service are cold.
func withColdWait(err error, b *pick.Balancer, k clock.Clock) error {
	if err == nil || errors.Is(err, ErrOtherAttemptAnswered) {
		return err
	}
	e := errkind.Of(err)
	if !isServerBusy(e.Kind) {
		return err
	}
	// Zero replaces the turn that the local server node has stated for itself.
	return &errkind.Error{Kind: e.Kind, Cause: e.Cause, RetryAfter: b.ColdWait(k.Now())}
}

// recordEnd updates the estimates of the server with the result of an attempt.
func (f *ServerSelection) recordEnd(c *Call, p *pool, a pick.Attempt, err error) {
	r := pickResult(c, err)
	now := f.clock.Now()
	p.balancer.Finished(a, now, r)
	f.recordOutcome(c, now, err)
	f.recordBytes(c, p, err)
	if r.Outcome == pick.Failed || p.anyEjected.Load() {
		f.recordEjections(p, now)
	}
}

// pick selects a server, returns why it is in the zone of this node or in another one, and sets
// Meta.Reroutable, which states whether the attempt may be rerouted after a refusal. copies is the number of attempts with this fingerprint that
// run through this node if the placement of the request is restricted, otherwise zero.
func (f *ServerSelection) pick(rng *rand.Rand, c *Call, b *pick.Balancer, now time.Time, exclude *pick.NodeSet, copies int32) (*pick.Endpoint, pick.Reason) {
	var e *pick.Endpoint
	var reason pick.Reason
	d := f.demand(c, now)
	hasOther := b.Len() > 1 // a server is left for another attempt
	switch {
	case !c.isLastReroute:
		e = f.pickLocal(c, b, exclude)
	case !c.Meta.Hedge:
		e = b.PickAmong(now, &c.attemptedNodes)
	}
	switch {
	case e != nil && copies == 0:
		reason = e.Placed()
	case copies == 0:
		e, hasOther, reason = b.PickReroutable(now, rng, exclude, &d)
	case copies == 1 && !c.Meta.Confined:
		e, hasOther, reason = b.PickWithSpillover(now, rng, exclude, c.Meta.Fingerprint, &d)
	default:
		e, hasOther = b.PickKeyed(now, exclude, c.Meta.Fingerprint)
		reason = e.Placed()
		if e == nil && !c.Meta.Hedge {
			e, hasOther, reason = b.PickReroutable(now, rng, exclude, &d)
		}
	}
	// A call that was refused before can always be rerouted, because its last reroute may
	// return to a server that refused it.
	c.Meta.Reroutable = c.Meta.Reroutable && (hasOther || c.refusals > 0)
	return e, reason
}

// pickLocal returns the local server if it is preferred to all others, otherwise nil.
func (f *ServerSelection) pickLocal(c *Call, b *pick.Balancer, exclude *pick.NodeSet) *pick.Endpoint {
	if !c.Class.ConfiguredAsItem || f.HasLocalCapacity == nil || exclude.Has(f.Self) {
		return nil
	}
	if e := b.Eligible(f.Self); e != nil && f.HasLocalCapacity() {
		return e
	}
	return nil
}

// restrictsPlacement reports whether all copies of a request must run on few servers. The
// request may crash each server that runs it if it is a crash suspect or if no copy of it
// has finished recently. A request with a key needs no restriction, because its claim
// allows only one running attempt.
func (f *ServerSelection) restrictsPlacement(c *Call, now time.Time) bool {
	return c.Meta.Confined || c.Key == "" && !f.finished.has(now, c.Meta.Fingerprint)
}

// recordOutcome records whether the request finished or may have crashed its server.
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

// recordEjections records an event for each server that was ejected or readmitted. It is
// called after failures, and after each attempt while a server is ejected.
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

// Limits for recording all candidates of a selection. Recording them computes their costs a
// second time, which takes 1 µs to 2.5 µs for 3 to 8 servers. This is too much for each
// request.
const (
	maxExplainedPool = 8  // in a larger pool only the selected server is recorded
	explainEvery     = 16 // one in this many first attempts is recorded with all candidates
)

// recordCandidates records the servers of the pool with the estimates at the time of the
// selection. All of them are recorded for each retry and hedge and for one in explainEvery
// first attempts, otherwise only the selected server.
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

// pickResult returns the result of an attempt for the balancer. Its duration excludes the
// time for the claim and the time that the receiver of the answer takes to read its body.
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
		kind := errkind.Of(err).Kind
		r.Outcome, r.NoRoom = pick.OutcomeOf(kind), isServerFull(kind)
	}
	return r
}
