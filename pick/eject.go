package pick

// Parameters of the failure rate, which is an exponentially weighted mean.
const (
	failureWeight     = 0.1 // weight of a new answer
	minFailureSamples = 10  // answers that are needed before the failure rate ejects a server
)

// recordSuccess records a successful answer at t to a request sent at start. If the
// request was sent after the end of the ejection period, it was a trial and its success
// readmits the server. The caller holds mu.
func (l *load) recordSuccess(t, start int64) {
	l.consecutiveFailures = 0
	l.updateFailureRate(t, 0)
	until := l.ejectedUntil.Load()
	if until == 0 || start < until {
		return
	}
	l.ejectedUntil.Store(0)
	l.trialAt.Store(noTime)
	l.meanFailures.Store(0)
	l.samples = 0
	l.readmittedAt = t
}

// recordFailure records a failure at t of a request sent at start and reports whether the
// caller must eject the server. The failure of a trial ejects the server again. The
// caller holds mu.
func (l *load) recordFailure(t, start int64, c *Config) bool {
	l.consecutiveFailures++
	l.updateFailureRate(t, 1)
	if until := l.ejectedUntil.Load(); until != 0 {
		return start >= until
	}
	return l.consecutiveFailures >= c.ConsecutiveFailures ||
		l.samples >= minFailureSamples && l.meanFailures.Load() >= c.FailureRate
}

// allowNextTrial records that a request sent at start was refused or canceled. If it was a
// trial, its end does not show whether the server works, so another trial may start.
func (l *load) allowNextTrial(start int64) {
	if until := l.ejectedUntil.Load(); until != 0 && start >= until {
		l.trialAt.Store(noTime)
	}
}

func (l *load) updateFailureRate(t int64, failure float64) {
	l.samples++
	rate := l.meanFailures.Load()
	l.meanFailures.Store(rate + failureWeight*(failure-rate))
	l.meanFailuresAt.Store(t)
}

// eject excludes the server of l from selection for a period that doubles with each
// ejection. It does nothing when a third of the pool is already ejected. The period starts
// again at EjectionBase when more than EjectionMax has passed since the last readmission.
func (b *Balancer) eject(l *load, t int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ejectedUntil.Load() == 0 && p.countEjected() >= len(p.endpoints)/3 {
		return
	}
	if l.ejections > 0 && l.readmittedAt != 0 && t-l.readmittedAt > int64(b.config.EjectionMax) {
		l.ejections = 0
	}
	period := int64(b.config.EjectionBase)
	for i := 0; i < l.ejections && period < int64(b.config.EjectionMax); i++ {
		period *= 2
	}
	l.ejections++
	l.trialAt.Store(noTime)
	l.ejectedUntil.Store(t + min(period, int64(b.config.EjectionMax)))
}

func (p *pool) countEjected() int {
	n := 0
	for _, e := range p.endpoints {
		if e.load.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return n
}

// limitEjected readmits servers until at most a third of the pool is ejected, which is
// needed after the pool has shrunk. Servers whose ejection ends earliest are readmitted
// first.
func (p *pool) limitEjected(t int64) {
	for n := p.countEjected(); n > len(p.endpoints)/3; n-- {
		var first *load
		for _, e := range p.endpoints {
			until := e.load.ejectedUntil.Load()
			if until != 0 && (first == nil || until < first.ejectedUntil.Load()) {
				first = e.load
			}
		}
		first.mu.Lock()
		first.ejectedUntil.Store(0)
		first.consecutiveFailures, first.samples, first.readmittedAt = 0, 0, t
		first.mu.Unlock()
	}
}

// startTrial reports whether a trial request may be sent to an ejected server, and
// records its start unless the selection is a dry run. One trial is allowed at a time, after the ejection period has ended;
// a trial that has run for TrialTimeout no longer prevents the next one.
func (b *Balancer) startTrial(e *Endpoint, t int64, dryRun bool) bool {
	l := e.load
	if t < l.ejectedUntil.Load() {
		return false
	}
	at := l.trialAt.Load()
	if at != noTime && t-at < int64(b.config.TrialTimeout) {
		return false
	}
	return dryRun || l.trialAt.CompareAndSwap(at, t)
}
