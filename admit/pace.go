package admit

import "time"

// Parameters of the slowdown.
const (
	// slowPhaseThreshold is the slowdown from which a server counts as being in a slow
	// phase. A server that was just started has a slowdown of about 2. It must not count,
	// because after a power failure all servers are in that state.
	slowPhaseThreshold = 2.5
	// slowPhaseMaxAge is the age at which a report of a slow phase is no longer used.
	slowPhaseMaxAge = 150 * time.Millisecond
	// warmupMaxAge is the age at which a report of a slowdown below slowPhaseThreshold is
	// no longer used. Such a slowdown comes from a warm-up, which takes seconds.
	warmupMaxAge = time.Second
	// slowPhase is the mean time that a slow phase still lasts once it is known.
	slowPhase = 250 * time.Millisecond
)

// slowdownState tracks the slowdown that a backend server reports. The speed of a server
// varies because other programs run on its machine. The work clock measures work in units of
// the usual service time: during a slowdown of 4 it advances by 1 s in 4 s.
type slowdownState struct {
	slowdown float64       // newest reported slowdown; zero: unknown
	at       time.Time     // time of the newest report; zero: none
	work     time.Duration // work clock at the newest report
	origin   time.Time     // time at which the work clock was zero
}

// set records a reported slowdown.
func (p *slowdownState) set(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	p.work = p.clock(now)
	p.slowdown, p.at = max(v, 0.1), now
}

// clock returns the work clock. Between two reports the slowdown of the earlier one is
// assumed, and before the first report none.
func (p *slowdownState) clock(now time.Time) time.Duration {
	if p.origin.IsZero() {
		p.origin = now
	}
	if p.at.IsZero() {
		return now.Sub(p.origin)
	}
	return p.work + time.Duration(float64(now.Sub(p.at))/p.slowdown)
}

// usual returns the service time that r would have had without a slowdown, given the
// service time that was measured.
func (p *slowdownState) usual(now time.Time, measured time.Duration, r running) time.Duration {
	elapsed := now.Sub(r.started)
	if p.at.IsZero() || elapsed <= 0 {
		return measured
	}
	return time.Duration(float64(measured) * float64(p.clock(now)-r.workAtStart) / float64(elapsed))
}

// newest returns the newest reported slowdown and its age, or zeros if none was reported.
func (p *slowdownState) newest(now time.Time) (float64, time.Duration) {
	if p.at.IsZero() {
		return 0, 0
	}
	return p.slowdown, now.Sub(p.at)
}

// slow reports whether the newest report says that the server is in a slow phase and is
// recent enough to be used.
func (p *slowdownState) slow(now time.Time) bool {
	return p.slowdown >= slowPhaseThreshold && now.Sub(p.at) < slowPhaseMaxAge
}

// expected returns the expected service time of work that usually takes base.
func (p *slowdownState) expected(now time.Time, base time.Duration) time.Duration {
	switch {
	case p.slow(now):
		return SlowPhaseDuration(base, p.slowdown)
	case p.slowdown > 1 && p.slowdown < slowPhaseThreshold && now.Sub(p.at) < warmupMaxAge:
		return time.Duration(float64(base) * p.slowdown)
	}
	return base
}

// SlowPhaseDuration returns the expected service time of work that usually takes base and
// starts during a slow phase with the given slowdown. The slow phase is assumed to last for
// a further slowPhase; what is left of the work then takes its usual time.
func SlowPhaseDuration(base time.Duration, slowdown float64) time.Duration {
	slowed := time.Duration(float64(base) * slowdown)
	if slowed <= slowPhase {
		return slowed
	}
	return slowPhase + base - time.Duration(float64(slowPhase)/slowdown)
}
