package retry

import (
	"time"

	"bramleymill/errkind"
)

// Config holds the parameters of a Policy. A field that is zero takes its default. A negative
// ratio gains no tokens, and a negative reserve means that there is no reserve.
type Config struct {
	RetryRatio   float64 // retry tokens gained with each request
	HedgeRatio   float64 // hedge tokens gained with each request
	RetryReserve int     // number of retries that are possible without recent traffic
	HedgeReserve int     // number of hedges that are possible without recent traffic
	// RefusalRatio is the share of a token that each request adds to a separate budget. That
	// budget is used for retries after the refusal of a backend server. Such retries can be
	// more frequent than others, because the work has not run and no nested calls are
	// repeated. Zero: such retries use the budget of RetryRatio.
	RefusalRatio float64
	// Burst is the largest number of tokens in each budget. Zero: 100.
	Burst int
	// RefillPeriod is the time in which one token of a reserve refills. Zero: 5 s.
	RefillPeriod time.Duration
	MinHedge     time.Duration // least delay of a hedge after the first attempt
	Sparse       bool          // the node receives few requests of the class, so fewer latency samples must suffice for an estimate
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
	if c.RefillPeriod <= 0 {
		c.RefillPeriod = refillPeriod
	}
	c.RetryRatio, c.HedgeRatio = max(c.RetryRatio, 0), max(c.HedgeRatio, 0)
	c.RetryReserve, c.HedgeReserve = max(c.RetryReserve, 0), max(c.HedgeReserve, 0)
	return c
}

// Budgets limits the further attempts of one selecting node. Several policies may share it;
// then it limits the further attempts of all their classes together. It is safe for
// concurrent use.
type Budgets struct {
	config         Config
	retries        *Budget
	refusalRetries *Budget // for retries after the refusal of a backend server; may equal retries
	hedges         *Budget
}

// NewBudgets returns Budgets for which no requests are recorded yet.
func NewBudgets(now time.Time, c Config) *Budgets {
	c = c.withDefaults()
	b := &Budgets{
		config:  c,
		retries: newBudget(now, c.RetryRatio, c.RetryReserve, c.Burst, c.RefillPeriod),
		hedges:  newBudget(now, c.HedgeRatio, c.HedgeReserve, c.Burst, c.RefillPeriod),
	}
	b.refusalRetries = b.retries
	if c.RefusalRatio > 0 {
		b.refusalRetries = newBudget(now, c.RefusalRatio, c.RetryReserve, c.Burst, c.RefillPeriod)
	}
	return b
}

// Policy decides on retries and hedges of one class at one selecting node. It is safe for
// concurrent use.
type Policy struct {
	*Budgets
	latency *Latency
}

// New returns a Policy with budgets of its own, for which no requests and no latency are
// recorded yet.
func New(now time.Time, c Config) *Policy { return NewShared(now, NewBudgets(now, c)) }

// NewShared returns a Policy that shares b with other policies.
func NewShared(now time.Time, b *Budgets) *Policy {
	latency := NewLatency(now)
	if b.config.Sparse {
		latency = NewSparseLatency(now)
	}
	return &Policy{Budgets: b, latency: latency}
}

// RequestStarted records a new request, which adds its share of a token to each budget.
func (b *Budgets) RequestStarted() {
	b.retries.Gain()
	if b.refusalRetries != b.retries {
		b.refusalRetries.Gain()
	}
	b.hedges.Gain()
}

// ChargeRepeated records a nested call of a run that repeats an earlier one. The call is
// load that its service would not have had without the repetition, so it uses a token of
// the fullest budget. The budget may go into debt, which the next requests repay.
func (b *Budgets) ChargeRepeated() {
	fullest := b.retries
	for _, other := range []*Budget{b.refusalRetries, b.hedges} {
		if other.Tokens() > fullest.Tokens() {
			fullest = other
		}
	}
	fullest.charge()
}

// maxReroutes bounds how often a request is rerouted after refusals at admission. When seven
// servers have refused it, all servers are probably busy and further attempts would only add
// load to the nodes.
const maxReroutes = 6

// ShouldReroute reports whether a request may be rerouted once more if its next attempt is
// refused. refused is the number of servers that have refused the request at admission. If
// ShouldReroute returns false, the next attempt is the last one and may wait in a queue.
func ShouldReroute(refused int) bool { return refused <= maxReroutes }

// RecordLatency records the duration of a request that a backend server answered.
func (p *Policy) RecordLatency(now time.Time, d time.Duration) { p.latency.Record(now, d) }

// Failure describes an attempt that ended without an answer for the caller.
type Failure struct {
	Kind       errkind.Kind
	Idempotent bool          // the class may run more than once
	BytesSent  bool          // a part of the answer has been sent to the caller
	Confined   bool          // the attempt was confined (see package suspect); it is never retried
	Remaining  time.Duration // time left until the deadline
}

// Verb is the action that a Decision requires.
type Verb uint8

// The verbs of a Decision.
const (
	GiveUp         Verb = iota + 1 // answer the caller with an error
	RetryElsewhere                 // send the request to another server
)

// Decision states what follows a Failure. Kind is the error kind for the caller if Verb is
// GiveUp.
type Decision struct {
	Verb Verb
	Kind errkind.Kind
}

// AfterFailure decides what follows a failed attempt. When it returns RetryElsewhere, it has
// used one of attempts and one token of a retry budget.
func (p *Policy) AfterFailure(now time.Time, f Failure, attempts *Attempts) Decision {
	if !retryable(f) {
		return Decision{GiveUp, finalKind(f)}
	}
	if !p.worthwhile(f.Remaining) || !attempts.Use() {
		return Decision{GiveUp, f.Kind}
	}
	if !p.useToken(now, f.Kind) {
		attempts.Return(1)
		return Decision{GiveUp, p.exhaustedKind(f)}
	}
	return Decision{Verb: RetryElsewhere}
}

// useToken uses a token for a retry after a failure of kind k. A failed attempt may also use
// what refusals and hedges have left: while a part of the servers fails, most of the requests
// need another attempt.
func (p *Policy) useToken(now time.Time, k errkind.Kind) bool {
	if k == errkind.BackendRefused {
		return p.refusalRetries.Use(now)
	}
	return p.retries.Use(now) || p.refusalRetries != p.retries && (p.refusalRetries.Use(now) || p.hedges.Use(now))
}

// rerouteReserve is added to RetryReserve. With fewer tokens than this sum, requests are not
// rerouted, so that the tokens remain for retries of failed attempts.
const rerouteReserve = 4

// CanReroute reports whether the retry budget allows sending a request to another server if
// its next attempt is refused. The server of that attempt may then refuse the request instead
// of queueing it. When few tokens are left, queueing is better, because the request could
// fail after a refusal.
func (p *Policy) CanReroute(attempts *Attempts) bool {
	return attempts.Left() > 0 && p.retries.Tokens() >= float64(p.config.RetryReserve+rerouteReserve)
}

// retryable reports whether a further attempt is safe and useful: it does not run work twice
// that must not run twice, and it may end differently.
func retryable(f Failure) bool {
	if f.BytesSent || f.Confined || f.Remaining <= 0 {
		return false
	}
	switch f.Kind {
	case errkind.DeadlineBeforeRun, errkind.DeadlineExceeded, errkind.CallerDisconnected, errkind.CrashSuspect:
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

// finalKind returns the error kind for the answer to the caller. Work that may have run keeps
// the outcome Unknown.
func finalKind(f Failure) errkind.Kind {
	if f.Remaining <= 0 && errkind.Lookup(f.Kind).Outcome == errkind.Unknown {
		return errkind.DeadlineExceeded
	}
	return f.Kind
}

// exhaustedKind returns the error kind for the answer to the caller when the budget has no
// token. An attempt that may have run keeps its kind, because RetryBudgetExhausted states
// that the work did not run.
func (p *Policy) exhaustedKind(f Failure) errkind.Kind {
	if errkind.Lookup(f.Kind).Outcome == errkind.Unknown {
		return f.Kind
	}
	return errkind.RetryBudgetExhausted
}

// worthwhileShare is the least time left until the deadline for a further attempt, as a
// share of the recent p95 latency. With less time the attempt would probably miss the
// deadline.
const worthwhileShare = 0.5

func (p *Policy) worthwhile(remaining time.Duration) bool {
	p95, known := p.latency.P95()
	return !known || float64(remaining) >= worthwhileShare*float64(p95)
}

// HedgeDelay returns how long to wait for the first attempt before it is hedged. It returns
// false for classes that are never hedged (not idempotent, or internal only), while the
// latency of the class is unknown, and when the deadline leaves no time for a hedge.
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

// Multiples of the median latency that determine when a request with a latency target is
// hedged.
const (
	hedgeMargin  = 1.25 // time left until the target when the hedge is sent
	hedgeOverdue = 1.4  // least age at which the first attempt counts as slow
)

// HedgeForTarget returns how long to wait for the first attempt of a request before it is
// hedged, given the times left until its latency target and its deadline. A hedge that is
// sent then probably meets the target, or at least the deadline. HedgeForTarget returns false
// for classes that may run only once, while the latency of the class is unknown, and when the
// deadline leaves no time for a hedge.
func (p *Policy) HedgeForTarget(idempotent bool, target, deadline time.Duration) (time.Duration, bool) {
	median, known := p.latency.Median()
	if !idempotent || !known {
		return 0, false
	}
	m := float64(median)
	delay := max(target-time.Duration(hedgeMargin*m), time.Duration(hedgeOverdue*m))
	return delay, delay+median < deadline
}

// ReturnHedge puts the token of a hedge that reached no backend server back into the budget.
func (p *Policy) ReturnHedge() { p.hedges.Return() }

// Hedge reports whether a hedge may be sent. The caller calls it when the delay of the hedge
// has passed. When Hedge returns true, it has used one of attempts and one token of the hedge
// budget.
func (p *Policy) Hedge(now time.Time, attempts *Attempts) bool {
	if !attempts.Use() {
		return false
	}
	if !p.hedges.Use(now) {
		attempts.Return(1)
		return false
	}
	return true
}

// State is the state of a Policy for metrics.
type State struct {
	RetryTokens float64
	HedgeTokens float64
	P95         time.Duration // 95th percentile of the durations given to RecordLatency; zero: unknown
}

// State returns the state of p for metrics.
func (p *Policy) State() State {
	p95, _ := p.latency.P95()
	return State{p.retries.Tokens(), p.hedges.Tokens(), p95}
}
