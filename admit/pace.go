package admit

import "time"

// Parameters of the pace.
const (
	// slowPace is the pace from which work is better done elsewhere. A server that
	// was just started is about twice as slow as usual, and after a loss of power
	// all are.
	slowPace = 2.5
	// paceTrust is the age at which what the server has told of its pace is no
	// longer acted upon.
	paceTrust = 150 * time.Millisecond
	// warmupTrust is the age at which a pace below slowPace is no longer acted
	// upon. It is that of a server that warms up, which takes seconds.
	warmupTrust = time.Second
	// slowPhase is the mean time for which a slow phase goes on.
	slowPhase = 250 * time.Millisecond
)

// pace follows the time that work takes at a server whose machine is shared. The
// work clock advances by the work done: slower than the time in slow phases.
type pace struct {
	now    float64 // zero: not known
	at     time.Time
	work   time.Duration // reading of the work clock at at
	origin time.Time     // at which the work clock began
}

// set takes what the server has told.
func (p *pace) set(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	p.work = p.clock(now)
	p.now, p.at = max(v, 0.1), now
}

// clock returns the reading of the work clock. Between two reports the pace of
// the former is assumed, and before the first one the usual pace.
func (p *pace) clock(now time.Time) time.Duration {
	if p.origin.IsZero() {
		p.origin = now
	}
	if p.at.IsZero() {
		return now.Sub(p.origin)
	}
	return p.work + time.Duration(float64(now.Sub(p.at))/p.now)
}

// usual returns the time that a run of the given duration would have taken at the
// usual pace.
func (p *pace) usual(now time.Time, took time.Duration, r running) time.Duration {
	elapsed := now.Sub(r.started)
	if p.at.IsZero() || elapsed <= 0 {
		return took
	}
	return time.Duration(float64(took) * float64(p.clock(now)-r.work) / float64(elapsed))
}

// told returns the pace and its age.
func (p *pace) told(now time.Time) (float64, time.Duration) {
	if p.at.IsZero() {
		return 0, 0
	}
	return p.now, now.Sub(p.at)
}

// slow reports whether the server is in a slow phase, as far as is known.
func (p *pace) slow(now time.Time) bool {
	return p.now >= slowPace && now.Sub(p.at) < paceTrust
}

// expected returns the duration of work that takes base at the usual pace.
func (p *pace) expected(now time.Time, base time.Duration) time.Duration {
	switch {
	case p.slow(now):
		return SlowPhaseDuration(base, p.now)
	case p.now > 1 && p.now < slowPace && now.Sub(p.at) < warmupTrust:
		return time.Duration(float64(base) * p.now)
	}
	return base
}

// SlowPhaseDuration returns the duration of work that begins in a slow phase, which goes on
// for slowPhase.
func SlowPhaseDuration(base time.Duration, pace float64) time.Duration {
	all := time.Duration(float64(base) * pace)
	if all <= slowPhase {
		return all
	}
	return slowPhase + base - time.Duration(float64(slowPhase)/pace)
}
