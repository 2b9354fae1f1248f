package filter

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/suspect"
)

// reportWait limits how long a failed request waits for other nodes to acknowledge its
// crash report.
const reportWait = 200 * time.Millisecond

// CrashPublisher reports to other nodes which requests crash backend servers.
type CrashPublisher interface {
	// ReportCrash returns when the nodes of the service have acknowledged the reports or when
	// ctx ends.
	ReportCrash(ctx context.Context, reports []fleet.CrashReport)
	// ReportClearance sends a clearance to the other nodes. It does not block.
	ReportClearance(c suspect.Clearance)
}

// Liveness reports on the generations of the local backend server.
type Liveness interface {
	// Generation returns the number of the current generation, counted from 1.
	Generation() uint64
	// Died reports whether a generation has ended. It is called after a connection with a
	// request broke, and waits a short time for further evidence that the process ended.
	Died(ctx context.Context, generation uint64) bool
}

// CrashGuard is the filter that tracks which requests are in flight at the backend server
// and reports them when the server dies.
type CrashGuard struct {
	next        Handler
	node        fleet.NodeID
	incarnation fleet.Incarnation
	service     string
	suspects    *suspect.Table
	publisher   CrashPublisher
	liveness    Liveness
	events      *explain.Store
	clock       clock.Clock

	mu        sync.Mutex
	inFlight  map[*trackedRequest]struct{}
	cancelled []*trackedRequest        // oldest first
	reported  map[uint64]chan struct{} // by generation; closed when the crash of the generation was reported
}

// trackedRequest is a request that may be running at one generation of the backend server.
type trackedRequest struct {
	report fleet.CrashReport
	until  time.Time // set for cancelled requests only: a crash from this time on is not attributed to the request
}

// Limits for tracking cancelled requests. A backend server that ignores the cancellation
// still runs such a request and may crash later because of it.
const (
	cancelledRetention = 10 * time.Second
	maxCancelled       = 128
)

// CrashGuardConfig holds the parameters of a CrashGuard.
type CrashGuardConfig struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Service     string
	Suspects    *suspect.Table
	Publisher   CrashPublisher
	Liveness    Liveness
	Events      *explain.Store
	Clock       clock.Clock
}

// NewCrashGuard returns the filter for the backend server of a node.
func NewCrashGuard(next Handler, c CrashGuardConfig) *CrashGuard {
	return &CrashGuard{next: next, node: c.Node, incarnation: c.Incarnation, service: c.Service, suspects: c.Suspects,
		publisher: c.Publisher, liveness: c.Liveness, events: c.Events, clock: c.Clock,
		inFlight: map[*trackedRequest]struct{}{}, reported: map[uint64]chan struct{}{}}
}

// Serve refuses a crash suspect unless the attempt is confined. The entry node of the request
// may not have received the crash report yet, because reports are sent to the nodes of the
// service first.
func (f *CrashGuard) Serve(c *Call) (err error) {
	if err := f.refusal(c); err != nil {
		return err
	}
	g := f.track(c)
	err = errPanicked
	defer func() {
		f.untrack(g, errors.Is(err, errPanicked) || c.Ctx.Err() != nil && !errkind.Of(err).ProvedNotRun())
	}()
	start := f.clock.Now()
	if err = f.next.Serve(c); err == nil {
		if clearance, ok := f.suspects.Finished(f.clock.Now(), f.key(c), start); ok {
			f.publisher.ReportClearance(clearance)
		}
		return nil
	}
	if errkind.Of(err).Kind == errkind.ConnectionLost && f.liveness.Died(c.Ctx, g.report.BackendGeneration) {
		f.Report(g.report.BackendGeneration)
	}
	return err
}

func (f *CrashGuard) key(c *Call) suspect.Key {
	return suspect.Key{Service: f.service, Fingerprint: c.Meta.Fingerprint}
}

// refusal returns the error for a request that must not run because it may crash the
// server, or nil.
func (f *CrashGuard) refusal(c *Call) error {
	switch v := f.suspects.Check(f.clock.Now(), f.key(c)); {
	case v == suspect.Refuse:
		return errkind.New(errkind.CrashSuspect, "the request has crashed %s servers before", f.service)
	case v == suspect.Suspect && !c.Meta.Confined:
		return errkind.New(errkind.CrashSuspect, "the request is suspected of crashing a %s server and is not confined", f.service)
	}
	return nil
}

func (f *CrashGuard) track(c *Call) *trackedRequest {
	g := &trackedRequest{report: fleet.CrashReport{Service: f.service, Fingerprint: c.Meta.Fingerprint, Node: f.node, Incarnation: f.incarnation,
		BackendGeneration: f.liveness.Generation(), Confined: c.Meta.Confined, Class: c.Meta.Class, Path: suspect.ShortPath(c.Request.URL.Path)}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[g] = struct{}{}
	return g
}

// untrack ends the tracking of a request. If the request was cancelled, the server may still
// run it.
func (f *CrashGuard) untrack(g *trackedRequest, cancelled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, g)
	if !cancelled {
		return
	}
	g.until = f.clock.Now().Add(cancelledRetention)
	if len(f.cancelled) >= maxCancelled {
		f.cancelled = append(f.cancelled[:0], f.cancelled[1:]...)
	}
	f.cancelled = append(f.cancelled, g)
}

// Report reports the requests that were in flight when a generation ended. Each generation is
// reported only once; a further call returns when the first one has ended. A failed request
// must not be answered before Report returns. Otherwise its caller could send a copy while the
// other nodes do not suspect the request yet.
func (f *CrashGuard) Report(generation uint64) {
	f.mu.Lock()
	if done, ok := f.reported[generation]; ok {
		f.mu.Unlock()
		<-done
		return
	}
	done := make(chan struct{})
	f.reported[generation] = done
	delete(f.reported, generation-keptGenerations)
	attributed := f.attribute(generation)
	f.mu.Unlock()
	defer close(done)
	f.events.AddEvent(f.clock.Now(), explain.CrashDetected, f.node, f.service, "the backend server died")
	for _, r := range attributed {
		RecordCrash(f.clock.Now(), f.suspects, f.events, r)
	}
	if len(attributed) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), reportWait)
		defer cancel()
		f.publisher.ReportCrash(ctx, attributed)
	}
}

type downReport struct {
	next  Handler
	guard *CrashGuard
}

// NewDownReport returns the filter that answers BackendDown only after the crash of the
// previous generation was reported. Otherwise a queued copy of the request that crashed the
// server would reach another server before the report. If the request must not run because
// of the report, the filter answers with CrashSuspect instead of BackendDown.
func NewDownReport(next Handler, g *CrashGuard) Handler { return &downReport{next, g} }

func (f *downReport) Serve(c *Call) error {
	err := f.next.Serve(c)
	if err == nil || errkind.Of(err).Kind != errkind.BackendDown {
		return err
	}
	if generation := f.guard.liveness.Generation(); generation > 1 {
		f.guard.Report(generation - 1)
	}
	if refused := f.guard.refusal(c); refused != nil {
		return refused
	}
	return err
}

// RecordCrash merges a crash report into the table and reports whether the report was new. If
// the request of a new report is refused from now on, RecordCrash records an event.
func RecordCrash(now time.Time, t *suspect.Table, events *explain.Store, r fleet.CrashReport) bool {
	if !t.Report(now, r) {
		return false
	}
	if t.Check(now, suspect.Key{Service: r.Service, Fingerprint: r.Fingerprint}) == suspect.Refuse {
		events.AddEvent(now, explain.Quarantined, r.Node, r.Service, "class "+r.Class+" path "+r.Path)
	}
	return true
}

// ReceiveCrash merges a crash report of another node into the table and records
// the crash as an event if the report is new.
func ReceiveCrash(now time.Time, t *suspect.Table, events *explain.Store, r fleet.CrashReport) {
	if RecordCrash(now, t, events, r) {
		events.AddEvent(now, explain.CrashDetected, r.Node, r.Service, "reported by the server's node for class "+r.Class)
	}
}

// keptGenerations is the number of ended generations whose reports are remembered.
const keptGenerations = 16

// attribute returns crash reports for the requests to which the end of a generation is
// attributed. The caller must hold mu.
func (f *CrashGuard) attribute(generation uint64) []fleet.CrashReport {
	var found []fleet.CrashReport
	seen := map[uint64]bool{}
	add := func(g *trackedRequest) {
		if g.report.BackendGeneration == generation && (!seen[g.report.Fingerprint] || g.report.Confined) {
			seen[g.report.Fingerprint] = true
			found = append(found, g.report)
		}
	}
	for g := range f.inFlight {
		add(g)
	}
	for now, i := f.clock.Now(), 0; i < len(f.cancelled); i++ {
		if now.Before(f.cancelled[i].until) {
			add(f.cancelled[i])
		}
	}
	return suspect.AttributeCrash(found)
}
