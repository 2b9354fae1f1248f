package filter

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/retry"
)

// AttemptObserver is told of each attempt that ended. The kind is empty if the
// attempt was answered.
type AttemptObserver interface {
	Attempted(c *Call, kind errkind.Kind)
}

type attempts struct {
	next     Handler
	clock    clock.Clock
	observer AttemptObserver
	policies sync.Map // class name -> *retry.Policy
}

// NewAttempts returns the filter that makes further attempts: a retry after a
// positive refusal or, for an idempotent class, after any failure before the
// first byte was passed on; and a hedge when an idempotent request is slow.
func NewAttempts(next Handler, k clock.Clock, o AttemptObserver) Handler {
	return &attempts{next: next, clock: k, observer: o}
}

func (f *attempts) policy(class string, item bool) *retry.Policy {
	if p, ok := f.policies.Load(class); ok {
		return p.(*retry.Policy)
	}
	p, _ := f.policies.LoadOrStore(class, retry.New(f.clock.Now(), f.retryConfig(item)))
	return p.(*retry.Policy)
}

// Shares of further attempts for classes that are configured as items. All nodes
// together stay below a fifth of the requests of a service within any ten seconds:
// little is saved up, because many nodes would spend it at the same time.
const (
	itemRetryRatio   = 0.04
	itemRefusalRatio = 0.10
	itemHedgeRatio   = 0.05
	itemReserve      = 1
)

func (f *attempts) retryConfig(item bool) retry.Config {
	if !item {
		return retry.Config{}
	}
	return retry.Config{RetryRatio: itemRetryRatio, RefusalRatio: itemRefusalRatio, HedgeRatio: itemHedgeRatio,
		RetryReserve: itemReserve, HedgeReserve: itemReserve, Burst: itemReserve, Sparse: true}
}

func (f *attempts) Serve(c *Call) error {
	p := f.policy(c.Class.Name, c.Class.Item)
	p.Began()
	if c.history == nil { // a confined attempt continues the numbers of the first
		c.history = &attemptHistory{}
	}
	r := &race{answer: c.Answer}
	err := f.firstAttempt(c, p, r)
	for err != nil {
		again, kind := f.shouldRetry(c, p, r, err)
		if !again {
			return withKind(err, kind)
		}
		previous := err
		err = f.makeAttempt(c, r, false)
		if isNoBackendServer(err) && !c.lastReroute && isServerBusy(errkind.Of(previous).Kind) {
			c.prepareLastReroute() // every server has been asked
			err = f.makeAttempt(c, r, false)
		}
		if isNoBackendServer(err) {
			c.Attempts.Return(1)
			return previous // tells more than that no other server is left
		}
	}
	return nil
}

// firstAttempt makes the firstAttempt attempt and its hedge. The hedge starts from a timer, so
// that a request that is not slow costs no goroutine.
func (f *attempts) firstAttempt(c *Call, p *retry.Policy, r *race) error {
	delay, ok := f.hedgeDelay(c, p)
	if !ok || c.Meta.Confined || !c.Body.Buffered() {
		return f.makeAttempt(c, r, false)
	}
	h := newHedge(delay, func() error {
		if !r.undecided() || !p.Hedge(f.clock.Now(), c.Attempts) {
			return errNoHedge
		}
		err := f.makeAttempt(c, r, true)
		if c.Class.Item && err != nil && backendNotCalled(errkind.Of(err).Kind) {
			p.HedgeUnsent()
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
	if c.Class.Item {
		return p.HedgeForTarget(c.Class.Idempotent, c.Started.Add(c.Class.LatencyTarget).Sub(now), c.Deadline.Sub(now))
	}
	return p.HedgeDelay(c.Class.Idempotent, c.Class.InternalOnly, c.Deadline.Sub(now))
}

// raceError returns nil if either attempt answered. The error of an attempt that
// began to answer comes first, because its bytes were passed on.
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
		// A confined attempt that was refused has not been made.
		Confined:  c.Meta.Confined && !e.ProvedNotRun(),
		Remaining: c.Deadline.Sub(now),
	}
	if isNoBackendServer(err) || !c.Body.Replayable() || c.Ctx.Err() != nil || r.targetWasOnlyServer() && isServerFull(e.Kind) {
		return false, failure.Kind
	}
	if c.Class.Item && backendNotCalled(e.Kind) {
		// No backend server was reached: such an attempt counts neither against the
		// budget nor against those of the class.
		if c.lastReroute || failure.Remaining <= 0 {
			return false, failure.Kind
		}
		c.refusals++
		if !retry.ShouldReroute(c.refusals) {
			c.prepareLastReroute()
		}
		return true, failure.Kind
	}
	d := p.After(now, failure, c.Attempts)
	return d.Verb == retry.RetryElsewhere, d.Kind
}

// backendNotCalled reports whether a server node refused an attempt, or could not be
// reached, before the backend server was called.
func backendNotCalled(k errkind.Kind) bool {
	switch k {
	case errkind.ServerSlow, errkind.QueueFull, errkind.SlotsReserved, errkind.Draining, errkind.StaleTarget,
		errkind.BackendDown, errkind.DeadlineBeforeRun:
		return true
	}
	return false
}

// isServerFull reports whether a server refused an attempt for lack of room. If no
// other server accepts work, there is nowhere to send it instead.
func isServerFull(k errkind.Kind) bool { return k == errkind.QueueFull || k == errkind.SlotsReserved }

// isServerBusy reports whether a server node refused an attempt that it may let in
// when no other server does.
func isServerBusy(k errkind.Kind) bool { return k == errkind.ServerSlow || isServerFull(k) }

// lostRace reports whether the attempt ended because another one has answered.
func lostRace(a *Call, err error) bool {
	return errors.Is(err, ErrOtherAttemptAnswered) || errors.Is(context.Cause(a.Ctx), ErrOtherAttemptAnswered)
}

func isNoBackendServer(err error) bool {
	return err != nil && errkind.Of(err).Kind == errkind.NoBackendServer
}

// withKind returns err as kind, unless it is of that kind already.
func withKind(err error, kind errkind.Kind) error {
	if kind == "" || errkind.Of(err).Kind == kind {
		return err
	}
	return &errkind.Error{Kind: kind, Cause: err}
}

// makeAttempt makes one attempt.
func (f *attempts) makeAttempt(c *Call, r *race, hedge bool) error {
	ctx, cancel := context.WithCancelCause(c.Ctx)
	defer cancel(nil)
	lane := &raceAnswer{race: r}
	a := c.attempt(ctx, lane)
	a.Meta.Hedge = hedge
	a.Meta.Reroutable = f.reroutable(c)
	lane.number = a.Meta.Attempt
	r.add(lane.number, cancel)
	start := f.clock.Now()
	err := f.next.Serve(a)
	if err == nil && !a.HeadAt.IsZero() {
		// The time that the caller takes for the body is no latency of the class.
		f.policy(c.Class.Name, c.Class.Item).Answered(a.HeadAt, a.HeadAt.Sub(start))
	}
	f.recordAttempt(c, a, r, start, err)
	return err
}

// reroutable reports whether another attempt would follow a refusal by the server node.
func (f *attempts) reroutable(c *Call) bool {
	switch {
	case c.Meta.Confined || !c.Body.Replayable():
		return false
	case c.Class.Item:
		return !c.lastReroute
	}
	return c.Class.Idempotent && f.policy(c.Class.Name, false).CanReroute(c.Attempts)
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
		Status: a.Status, Hedge: a.Meta.Hedge, Lost: lost}, start, f.clock.Now())
	r.mu.Unlock()
	if f.observer != nil {
		f.observer.Attempted(a, kind)
	}
}
