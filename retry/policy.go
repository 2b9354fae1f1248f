package retry

import (
	"time"

	"bramleymill/errkind"
)

// Config holds the parameters of a Policy. The zero value of a field selects
// its default; a negative ratio allows none.
type Config struct {
	RetryRatio   float64 // retries for each request
	HedgeRatio   float64 // hedges for each request
	RetryReserve int     // retries available without recent traffic
	HedgeReserve int
	// RefusalRatio is the retries for each request after a backend server's positive
	// refusal, out of a budget of their own: the work has not run, so that no calls
	// below it are repeated either. Zero: RetryRatio covers them.
	RefusalRatio float64
	// Burst bounds the tokens that are saved up in each budget. Zero: budgetLimit.
	Burst    int
	MinHedge time.Duration // shortest delay of a hedge
	Sparse   bool          // the node sees few requests of the class
}

// Defaults of Config.
const (
	DefaultRetryRatio   = 0.10
	DefaultHedgeRatio   = 0.05
	DefaultRetryReserve = 3
	DefaultHedgeReserve = 1
	DefaultMinHedge     = time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.RetryRatio == 0 {
		c.RetryRatio = DefaultRetryRatio
	}
	if c.HedgeRatio == 0 {
		c.HedgeRatio = DefaultHedgeRatio
	}
	if c.RetryReserve == 0 {
		c.RetryReserve = DefaultRetryReserve
	}
	if c.HedgeReserve == 0 {
		c.HedgeReserve = DefaultHedgeReserve
	}
	if c.MinHedge <= 0 {
		c.MinHedge = DefaultMinHedge
	}
	if c.Burst <= 0 {
		c.Burst = budgetLimit
	}
	c.RetryRatio, c.HedgeRatio = max(c.RetryRatio, 0), max(c.HedgeRatio, 0)
	c.RetryReserve, c.HedgeReserve = max(c.RetryReserve, 0), max(c.HedgeReserve, 0)
	return c
}

// Policy decides on further attempts of one class at one selecting node. It is
// safe for concurrent use.
type Policy struct {
	config  Config
	retries *Budget
	refused *Budget // for retries after a backend server's positive refusal
	hedges  *Budget
	latency *Latency
}

// New returns a Policy without history.
func New(now time.Time, c Config) *Policy {
	c = c.withDefaults()
	latency := NewLatency(now)
	if c.Sparse {
		latency = NewSparseLatency(now)
	}
	p := &Policy{
		config:  c,
		retries: newBudget(now, c.RetryRatio, c.RetryReserve, c.Burst),
		hedges:  newBudget(now, c.HedgeRatio, c.HedgeReserve, c.Burst),
		latency: latency,
	}
	p.refused = p.retries
	if c.RefusalRatio > 0 {
		p.refused = newBudget(now, c.RefusalRatio, c.RetryReserve, c.Burst)
	}
	return p
}

// Began records a request of the class. It earns shares of further attempts.
func (p *Policy) Began() {
	p.retries.Earn()
	if p.refused != p.retries {
		p.refused.Earn()
	}
	p.hedges.Earn()
}

// maxMoves bounds the moves of a request from server to server before one lets it
// in. When seven servers are busy, further questions only load the nodes.
const maxMoves = 6

// ShouldReroute reports whether a request that was refused the given number of times
// before it reached a backend server should ask one more server. If not, its next
// attempt is the last one and may wait in a queue.
func ShouldReroute(refused int) bool { return refused <= maxMoves }

// Answered records the duration of a request that a backend server answered.
func (p *Policy) Answered(now time.Time, d time.Duration) { p.latency.Record(now, d) }

// Failure describes an attempt that ended without an answer to pass on.
type Failure struct {
	Kind       errkind.Kind
	Idempotent bool          // of the class
	BytesSent  bool          // a part of the answer has been passed on
	Confined   bool          // a confined attempt is the only one
	Remaining  time.Duration // time left until the deadline
}

// Verb is what follows an attempt.
type Verb uint8

// The verbs of a Decision.
const (
	GiveUp Verb = iota + 1
	RetryElsewhere
)

// Decision is the answer to a Failure. Kind is the kind to answer with when
// the verb is GiveUp.
type Decision struct {
	Verb Verb
	Kind errkind.Kind
}

// After decides what follows a failed attempt. When it returns RetryElsewhere
// it has taken one of the attempts and one token of the retry budget.
func (p *Policy) After(now time.Time, f Failure, attempts *Attempts) Decision {
	if !retryable(f) {
		return Decision{GiveUp, finalKind(f)}
	}
	if !p.worthwhile(f.Remaining) || !attempts.Take() {
		return Decision{GiveUp, f.Kind}
	}
	budget := p.retries
	if f.Kind == errkind.BackendRefused {
		budget = p.refused
	}
	if !budget.Spend(now) {
		attempts.Return(1)
		return Decision{GiveUp, p.exhaustedKind(f)}
	}
	return Decision{Verb: RetryElsewhere}
}

// moveReserve is the number of tokens above RetryReserve that are left to
// failures.
const moveReserve = 4

// CanReroute reports whether a positive refusal of the next attempt would be
// followed by a retry, so that its server may refuse it instead of queueing it.
// Without a good stock of tokens the attempt is better queued.
func (p *Policy) CanReroute(attempts *Attempts) bool {
	return attempts.Left() > 0 && p.retries.Tokens() >= float64(p.config.RetryReserve+moveReserve)
}

// retryable reports whether a further attempt is safe and may end differently.
func retryable(f Failure) bool {
	if f.BytesSent || f.Confined || f.Remaining <= 0 {
		return false
	}
	switch f.Kind {
	case errkind.DeadlineBeforeRun, errkind.DeadlineExceeded, errkind.CallerGone, errkind.CrashSuspect:
		return f.Kind == errkind.DeadlineBeforeRun
	}
	switch errkind.Lookup(f.Kind).Outcome {
	case errkind.NotRun, errkind.Overloaded:
		return true
	case errkind.Unknown:
		return f.Idempotent && f.Kind != errkind.DuplicateAttempt && f.Kind != errkind.InProgress
	}
	return false
}

// finalKind returns the kind to answer with. Work that may have run is never
// answered as anything else than unknown.
func finalKind(f Failure) errkind.Kind {
	if f.Remaining <= 0 && errkind.Lookup(f.Kind).Outcome == errkind.Unknown {
		return errkind.DeadlineExceeded
	}
	return f.Kind
}

// exhaustedKind keeps the kind of an attempt that may have run, because
// RetryBudgetExhausted states that the work did not run.
func (p *Policy) exhaustedKind(f Failure) errkind.Kind {
	if errkind.Lookup(f.Kind).Outcome == errkind.Unknown {
		return f.Kind
	}
	return errkind.RetryBudgetExhausted
}

// worthwhileShare is the share of the recent p95 that must remain for another
// attempt to have a fair chance.
const worthwhileShare = 0.5

func (p *Policy) worthwhile(remaining time.Duration) bool {
	p95, known := p.latency.P95()
	return !known || float64(remaining) >= worthwhileShare*float64(p95)
}

// HedgeDelay returns how long to wait for the first attempt before it is hedged.
// It reports false for classes that are never hedged, before the latency of the
// class is known, and when the deadline leaves no time for a hedge.
func (p *Policy) HedgeDelay(idempotent, internalOnly bool, remaining time.Duration) (time.Duration, bool) {
	if !idempotent || internalOnly {
		return 0, false
	}
	p95, known := p.latency.P95()
	if !known {
		return 0, false
	}
	delay := max(p95, p.config.MinHedge)
	return delay, delay < remaining
}

// Multiples of the median latency that decide when a request with a latency
// target is hedged.
const (
	hedgeMargin  = 1.25 // left until the target when the hedge is sent
	hedgeOverdue = 1.4  // age from which the first attempt is taken for slow
)

// HedgeForTarget returns how long to wait for the first attempt of a request with
// the given times left until its latency target and its deadline. A hedge that is
// sent then has a fair chance to meet the target, or else the deadline.
func (p *Policy) HedgeForTarget(idempotent bool, target, deadline time.Duration) (time.Duration, bool) {
	median, known := p.latency.Median()
	if !idempotent || !known {
		return 0, false
	}
	m := float64(median)
	delay := max(target-time.Duration(hedgeMargin*m), time.Duration(hedgeOverdue*m))
	return delay, delay+median < deadline
}

// HedgeUnsent gives back the token of a hedge that reached no backend server.
func (p *Policy) HedgeUnsent() { p.hedges.Return() }

// Hedge reports whether a hedge may be sent now that its delay has passed. When
// it returns true it has taken one of the attempts and one token.
func (p *Policy) Hedge(now time.Time, attempts *Attempts) bool {
	if !attempts.Take() {
		return false
	}
	if !p.hedges.Spend(now) {
		attempts.Return(1)
		return false
	}
	return true
}

// Budgets is the state of the budgets for metrics.
type Budgets struct {
	RetryTokens float64
	HedgeTokens float64
	P95         time.Duration // zero: not known
}

// Budgets returns the state of the budgets.
func (p *Policy) Budgets() Budgets {
	p95, _ := p.latency.P95()
	return Budgets{p.retries.Tokens(), p.hedges.Tokens(), p95}
}
