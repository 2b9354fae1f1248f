package filter

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/retry"
)

// AttemptObserver is notified when an attempt ends. kind is empty if the attempt was
// answered.
type AttemptObserver interface {
	Attempted(c *Call, kind errkind.Kind)
}

type attempts struct {
	next     Handler
	clock    clock.Clock
	observer AttemptObserver
	policies sync.Map // policyKey -> *retry.Policy
	budgets  sync.Map // service name -> *retry.Budgets; of classes that are configured as items
}

// policyKey identifies a policy. A class that is shared among services has one for each of
// them.
type policyKey struct{ class, service string }

// NewAttempts returns the filter that makes further attempts. It retries after a refusal,
// and for an idempotent class after any failure before the first byte of the answer was
// passed on. It sends a hedge when an idempotent request is slow. o may be nil.
func NewAttempts(next Handler, k clock.Clock, o AttemptObserver) Handler {
	return &attempts{next: next, clock: k, observer: o}
}

func (f *attempts) policy(c *class.Resolved) *retry.Policy {
	key := policyKey{c.Name, c.Service}
	if p, ok := f.policies.Load(key); ok {
		return p.(*retry.Policy)
	}
	p, _ := f.policies.LoadOrStore(key, f.newPolicy(c))
	return p.(*retry.Policy)
}

// newPolicy returns a policy for c. Classes that are configured as items share the budgets
// of their service, because their further attempts are limited for each service. A
// configuration may contain hundreds of them.
func (f *attempts) newPolicy(c *class.Resolved) *retry.Policy {
	now := f.clock.Now()
	if !c.ConfiguredAsItem {
		return retry.New(now, retry.Config{})
	}
	b, ok := f.budgets.Load(c.Service)
	if !ok {
		b, _ = f.budgets.LoadOrStore(c.Service, retry.NewBudgets(now, itemRetryConfig))
	}
	return retry.NewShared(now, b.(*retry.Budgets))
}

// Budgets of further attempts for classes that are configured as items. They keep the
// further attempts of all nodes together below a fifth of the requests of a service within
// any ten seconds. The ratios leave room for the reserve, which is small and refills slowly
// because many nodes may use theirs at the same time.
const (
	itemRetryRatio   = 0.04
	itemRefusalRatio = 0.09
	itemHedgeRatio   = 0.04
	itemReserve      = 1
	itemRefillPeriod = 20 * time.Second
)

var itemRetryConfig = retry.Config{RetryRatio: itemRetryRatio, RefusalRatio: itemRefusalRatio, HedgeRatio: itemHedgeRatio,
	RetryReserve: itemReserve, HedgeReserve: itemReserve, Burst: itemReserve, RefillPeriod: itemRefillPeriod, Sparse: true}

func (f *attempts) Serve(c *Call) error {
	p := f.policy(c.Class)
	p.RequestStarted()
	if c.Parent != nil && c.Parent.Repeated {
		c.Meta.Repeated = true
		p.ChargeRepeated()
	}
	if c.history == nil { // set already for a confined attempt, which continues the numbering
		c.history = &attemptHistory{}
	}
	r := &race{answer: c.Answer, holdsFailures: c.Class.ConfiguredAsItem && c.Class.Idempotent && c.Body.Replayable()}
	err := f.firstAttempt(c, p, r)
	for err != nil {
		retryAllowed, kind := f.shouldRetry(c, p, r, err)
		if !retryAllowed {
			return r.finish(withKind(err, kind))
		}
		previous := err
		err = f.makeAttempt(c, r, false)
		if isNoBackendServer(err) && !c.isLastReroute && isServerBusy(errkind.Of(previous).Kind) {
			c.prepareLastReroute() // every server has refused the call
			err = f.makeAttempt(c, r, false)
		}
		if isNoBackendServer(err) {
			c.Attempts.Return(1)
			return r.finish(previous) // more specific than "no other server"
		}
	}
	return nil
}

// firstAttempt makes the first attempt and, if it is slow, a hedge. The hedge starts from a
// timer, so that a request that is not slow needs no extra goroutine.
func (f *attempts) firstAttempt(c *Call, p *retry.Policy, r *race) error {
	delay, ok := f.hedgeDelay(c, p)
	if !ok || c.Meta.Confined || !c.Body.FullyBuffered() {
		return f.makeAttempt(c, r, false)
	}
	h := newHedge(delay, func() error {
		if !r.undecided() || !p.Hedge(f.clock.Now(), c.Attempts) {
			return errNoHedge
		}
		err := f.makeAttempt(c, r, true)
		if c.Class.ConfiguredAsItem && err != nil && backendNotCalled(errkind.Of(err).Kind) {
			p.ReturnHedge()
			c.Attempts.Return(1)
		}
		return err
	})
	err := f.makeAttempt(c, r, false)
	if errors.Is(err, ErrOtherAttemptAnswered) || !h.stop() {
		if hedgeErr := h.wait(); !errors.Is(hedgeErr, errNoHedge) {
			err = raceError(err, hedgeErr)
		}
	}
	return err
}

func (f *attempts) hedgeDelay(c *Call, p *retry.Policy) (time.Duration, bool) {
	now := f.clock.Now()
	if c.Class.ConfiguredAsItem {
		return p.HedgeForTarget(c.Class.Idempotent, c.Started.Add(c.Class.LatencyTarget).Sub(now), c.Deadline.Sub(now))
	}
	return p.HedgeDelay(c.Class.Idempotent, c.Class.InternalOnly, c.Deadline.Sub(now))
}

// raceError returns the error of the first attempt and its hedge, or nil if either
// answered. The error of an attempt that began to answer takes precedence, because its
// bytes were passed on.
func raceError(first, hedge error) error {
	switch {
	case first == nil || hedge == nil:
		return nil
	case errors.Is(first, ErrOtherAttemptAnswered):
		return hedge
	default:
		return first
	}
}

// shouldRetry reports whether another attempt follows one that failed with err. If not, it
// returns the kind to answer with; an empty kind keeps that of err.
func (f *attempts) shouldRetry(c *Call, p *retry.Policy, r *race, err error) (bool, errkind.Kind) {
	if errors.Is(err, errReplay) || errors.Is(err, ErrOtherAttemptAnswered) {
		return false, ""
	}
	now := f.clock.Now()
	e := errkind.Of(err)
	failure := retry.Failure{
		Kind:       e.Kind,
		Idempotent: c.Class.Idempotent,
		BytesSent:  !r.undecided(),
		// A confined attempt that was refused did not run and may be repeated.
		Confined:  c.Meta.Confined && !e.ProvedNotRun(),
		Remaining: c.Deadline.Sub(now),
	}
	if isNoBackendServer(err) || !c.Body.Replayable() || c.Ctx.Err() != nil || r.targetWasOnlyServer() && isServerFull(e.Kind) {
		return false, failure.Kind
	}
	if c.Class.ConfiguredAsItem && backendNotCalled(e.Kind) {
		// The attempt reached no backend server, so it uses neither the retry budget nor the
		// attempts of the class.
		if c.isLastReroute || failure.Remaining <= 0 {
			return false, failure.Kind
		}
		c.refusals++
		if !retry.ShouldReroute(c.refusals) {
			c.prepareLastReroute()
		}
		return true, failure.Kind
	}
	d := p.AfterFailure(now, failure, c.Attempts)
	c.Meta.Repeated = true // the request has reached a backend server
	return d.Verb == retry.RetryElsewhere, d.Kind
}

// backendNotCalled reports whether kind k means that the server node refused an attempt,
// or could not be reached, before the backend server was called.
func backendNotCalled(k errkind.Kind) bool {
	switch k {
	case errkind.ServerSlow, errkind.QueueFull, errkind.RateLimited, errkind.SlotsReserved, errkind.Draining, errkind.StaleTarget,
		errkind.BackendDown, errkind.DeadlineBeforeRun, errkind.MemoryUsedUp:
		return true
	}
	return false
}

// isServerFull reports whether kind k means that a server refused an attempt because it
// had no free capacity. If it is the only server that accepts work, a retry is pointless.
func isServerFull(k errkind.Kind) bool {
	return k == errkind.QueueFull || k == errkind.SlotsReserved || k == errkind.RateLimited
}

// isServerBusy reports whether kind k is a refusal of a server node because of its load or
// slowdown. Such a server may admit another attempt that is not reroutable.
func isServerBusy(k errkind.Kind) bool { return k == errkind.ServerSlow || isServerFull(k) }

// lostRace reports whether an attempt ended because another one has answered.
func lostRace(a *Call, err error) bool {
	return errors.Is(err, ErrOtherAttemptAnswered) || errors.Is(context.Cause(a.Ctx), ErrOtherAttemptAnswered)
}

func isNoBackendServer(err error) bool {
	return err != nil && errkind.Of(err).Kind == errkind.NoBackendServer
}

// withKind returns err with the given kind. An empty kind leaves err as it is.
func withKind(err error, kind errkind.Kind) error {
	if kind == "" || errkind.Of(err).Kind == kind {
		return err
	}
	return &errkind.Error{Kind: kind, Cause: err, RetryAfter: errkind.Of(err).RetryAfter}
}

// makeAttempt sends one attempt and records its latency and result.
func (f *attempts) makeAttempt(c *Call, r *race, hedge bool) error {
	ctx, cancel := context.WithCancelCause(c.Ctx)
	defer cancel(nil)
	answer := &raceAnswer{race: r}
	a := c.attempt(ctx, answer)
	a.Meta.Hedge = hedge
	a.Meta.Repeated = c.Meta.Repeated || hedge
	a.Meta.Reroutable = f.reroutable(c)
	answer.number = a.Meta.Attempt
	r.add(answer.number, cancel)
	start := f.clock.Now()
	err := f.next.Serve(a)
	if err == nil && answer.failure != nil {
		err = errBackendFailed
	}
	if err == nil && !a.HeadAt.IsZero() {
		// The latency of the class ends with the head of the answer. The time for the body also
		// depends on how fast the caller reads.
		f.policy(c.Class).RecordLatency(a.HeadAt, a.HeadAt.Sub(start))
	}
	f.recordAttempt(c, a, r, start, err)
	return err
}

// reroutable reports whether another attempt would follow if the server node refused the
// next one.
func (f *attempts) reroutable(c *Call) bool {
	switch {
	case c.Meta.Confined || !c.Body.Replayable():
		return false
	case c.Class.ConfiguredAsItem:
		return !c.isLastReroute
	}
	return c.Class.Idempotent && f.policy(c.Class).CanReroute(c.Attempts)
}

func (f *attempts) recordAttempt(c, a *Call, r *race, start time.Time, err error) {
	var kind errkind.Kind
	lost := err != nil && lostRace(a, err)
	if err != nil && !lost {
		kind = errkind.Of(err).Kind
	}
	r.mu.Lock()
	if !a.Meta.Hedge {
		r.onlyServer = a.Meta.OnlyServer
	}
	c.Record.AddCandidates(a.Candidates)
	c.Record.AddAttempt(explain.Attempt{Number: a.Meta.Attempt, Target: a.Target.Node, Kind: kind,
		Status: a.Status, Hedge: a.Meta.Hedge, Lost: lost, LeftZone: a.leftZone()}, start, f.clock.Now())
	r.mu.Unlock()
	if f.observer != nil {
		f.observer.Attempted(a, kind)
	}
}
