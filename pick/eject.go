package pick

// Weights and counts of the failure rate.
const (
	failureWeight  = 0.1
	minimumSamples = 10 // answers before the failure rate may eject
)

// succeeded records an answer. The success of a request that started after the
// ejection period is the trial that readmits the server. The caller holds mu.
func (l *load) succeeded(t, start int64) {
	l.consecutive = 0
	l.sample(t, 0)
	until := l.ejectedUntil.Load()
	if until == 0 || start < until {
		return
	}
	l.ejectedUntil.Store(0)
	l.trialAt.Store(never)
	l.failures.Store(0)
	l.samples = 0
	l.readmitted = t
}

// failed records a failure and reports whether the server is to be ejected. The
// caller holds mu.
func (l *load) failed(t, start int64, c *Config) bool {
	l.consecutive++
	l.sample(t, 1)
	if until := l.ejectedUntil.Load(); until != 0 {
		return start >= until
	}
	return l.consecutive >= c.ConsecutiveFailures ||
		l.samples >= minimumSamples && l.failures.Load() >= c.FailureRate
}

// undecided lets another trial follow one that was refused or canceled.
func (l *load) undecided(start int64) {
	if until := l.ejectedUntil.Load(); until != 0 && start >= until {
		l.trialAt.Store(never)
	}
}

func (l *load) sample(t int64, failure float64) {
	l.samples++
	rate := l.failures.Load()
	l.failures.Store(rate + failureWeight*(failure-rate))
	l.failureAt.Store(t)
}

// eject keeps requests from l for a period that doubles with each ejection. At
// most a third of the pool is ejected.
func (b *Balancer) eject(l *load, t int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ejectedUntil.Load() == 0 && p.ejected() >= len(p.endpoints)/3 {
		return
	}
	if l.ejections > 0 && l.readmitted != 0 && t-l.readmitted > int64(b.config.EjectionMax) {
		l.ejections = 0
	}
	period := int64(b.config.EjectionBase)
	for i := 0; i < l.ejections && period < int64(b.config.EjectionMax); i++ {
		period *= 2
	}
	l.ejections++
	l.trialAt.Store(never)
	l.ejectedUntil.Store(t + min(period, int64(b.config.EjectionMax)))
}

func (p *pool) ejected() int {
	n := 0
	for _, e := range p.endpoints {
		if e.load.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return n
}

// limitEjected readmits servers whose ejection ends first until at most a third
// of a pool that has shrunk is ejected.
func (p *pool) limitEjected(t int64) {
	for n := p.ejected(); n > len(p.endpoints)/3; n-- {
		var first *load
		for _, e := range p.endpoints {
			until := e.load.ejectedUntil.Load()
			if until != 0 && (first == nil || until < first.ejectedUntil.Load()) {
				first = e.load
			}
		}
		first.mu.Lock()
		first.ejectedUntil.Store(0)
		first.consecutive, first.samples, first.readmitted = 0, 0, t
		first.mu.Unlock()
	}
}

// takeTrial claims the single trial request of a server whose ejection period
// has ended.
func (b *Balancer) takeTrial(e *Endpoint, t int64) bool {
	l := e.load
	if t < l.ejectedUntil.Load() {
		return false
	}
	at := l.trialAt.Load()
	if at != never && t-at < int64(b.config.TrialTimeout) {
		return false
	}
	return l.trialAt.CompareAndSwap(at, t)
}
