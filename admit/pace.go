package admit

import "time"

// Parameters of the slowdown.
const (
	// slowPhaseThreshold is the least slowdown at which a server counts as being in a slow
	// phase. It lies above the slowdown of about 2 of a server that was just started. After a
	// power failure all servers are in that state, and requests must not avoid them all.
	slowPhaseThreshold = 2.5
	// slowPhaseMaxAge is the age at which a report of a slow phase is no longer used.
	slowPhaseMaxAge = 150 * time.Millisecond
	// warmupMaxAge is the age at which a report of a slowdown below slowPhaseThreshold is
	// no longer used. Such a slowdown comes from a warm-up, which takes seconds.
	warmupMaxAge = time.Second
	// slowPhaseRemaining is the mean remaining time of a slow phase.
	slowPhaseRemaining = 250 * time.Millisecond
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
func (s *slowdownState) set(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	s.work = s.workClock(now)
	s.slowdown, s.at = max(v, 0.1), now
}

// workClock returns the reading of the work clock at now. Between two reports it assumes the
// slowdown of the earlier one, and before the first report no slowdown.
func (s *slowdownState) workClock(now time.Time) time.Duration {
	if s.origin.IsZero() {
		s.origin = now
	}
	if s.at.IsZero() {
		return now.Sub(s.origin)
	}
	return s.work + time.Duration(float64(now.Sub(s.at))/s.slowdown)
}

// usualServiceTime returns the service time that r would have had without a slowdown, given
// the service time that was measured.
func (s *slowdownState) usualServiceTime(now time.Time, measured time.Duration, r running) time.Duration {
	elapsed := now.Sub(r.started)
	if s.at.IsZero() || elapsed <= 0 {
		return measured
	}
	return time.Duration(float64(measured) * float64(s.workClock(now)-r.workAtStart) / float64(elapsed))
}

// newestReport returns the newest reported slowdown and its age, or zeros if none was reported.
func (s *slowdownState) newestReport(now time.Time) (float64, time.Duration) {
	if s.at.IsZero() {
		return 0, 0
	}
	return s.slowdown, now.Sub(s.at)
}

// inSlowPhase reports whether the newest report says that the server is in a slow phase and
// is recent enough to be used.
func (s *slowdownState) inSlowPhase(now time.Time) bool {
	return s.slowdown >= slowPhaseThreshold && now.Sub(s.at) < slowPhaseMaxAge
}

// expectedServiceTime returns the expected service time of work that usually takes base.
func (s *slowdownState) expectedServiceTime(now time.Time, base time.Duration) time.Duration {
	switch {
	case s.inSlowPhase(now):
		return SlowPhaseServiceTime(base, s.slowdown)
	case s.slowdown > 1 && s.slowdown < slowPhaseThreshold && now.Sub(s.at) < warmupMaxAge:
		return time.Duration(float64(base) * s.slowdown)
	}
	return base
}

// SlowPhaseServiceTime returns the expected service time of work that usually takes base and
// starts during a slow phase with the given slowdown. The slow phase is assumed to last for
// a further slowPhaseRemaining; what is left of the work then takes its usual time.
func SlowPhaseServiceTime(base time.Duration, slowdown float64) time.Duration {
	slowed := time.Duration(float64(base) * slowdown)
	if slowed <= slowPhaseRemaining {
		return slowed
	}
	return slowPhaseRemaining + base - time.Duration(float64(slowPhaseRemaining)/slowdown)
}
