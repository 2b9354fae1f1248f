package proxy

import (
	"time"

	"bramleymill/admit"
)

const (
	// coldSilence is the time after which a backend server that has neither announced itself
	// nor answered a health query counts as cold. Announcements come each 1.5 s, so that two
	// of them were lost.
	coldSilence = 3500 * time.Millisecond
	// coldNewsDelay is the time that an announcement may be on its way. The backend server
	// waits for one second before it sends it again.
	coldNewsDelay = time.Second
	// coldProofTime is the time within which a server that closed the watched connection has to
	// say something. A health query takes some milliseconds.
	coldProofTime = 250 * time.Millisecond
	// maxColdTime bounds a stated time. Another writer may announce values that the backend
	// server never sends.
	maxColdTime = MaxAnnouncedWarmup
)

// coldness determines when the backend server beside the node is cold from what the server
// says and from what the node sees of it. It is not safe for concurrent use. The server is
// cold while it says so, and unless proved otherwise from the start of the node, while it is
// not reachable or another process has taken its place, and while it says nothing.
type coldness struct {
	process *Announcement // process that has announced itself last; nil: none
	until   time.Time     // the server is cold before this time, as it has said
	saidAt  time.Time     // when it has last said that it is cold; zero: never
	known   bool          // the server has said something since lostAt
	lostAt  time.Time     // when the process was last not reachable or replaced
	heardAt time.Time     // latest announcement or health answer
}

func newColdness(now time.Time) coldness { return coldness{lostAt: now} }

// lost records that the process is not reachable or has been replaced.
func (s *coldness) lost(now time.Time) { s.known, s.lostAt = false, now }

// replaced records that another process has taken the place of the one before.
func (s *coldness) replaced(now time.Time) { *s = newColdness(now) }

// announced records an announcement. coldTime is the time for which a server of the service
// is cold after the start of its process.
func (s *coldness) announced(now time.Time, a *Announcement, coldTime time.Duration) {
	other := s.process != nil && !s.process.sameProcess(a)
	if other {
		s.replaced(now)
	}
	s.process, s.heardAt = a, now
	if !a.WarmupStated {
		if !s.known {
			s.assume(now, a.StartedAt, coldTime)
		}
		return
	}
	end := now.Add(min(a.Warmup, maxColdTime))
	switch {
	case a.Warmup > 0 && (!s.known || !end.Before(s.until)):
		s.until, s.saidAt, s.known = end, now, true
	case other, now.Sub(s.lostAt) >= coldNewsDelay && now.Sub(s.saidAt) >= coldNewsDelay:
		// Newer than what the server said before, and not from before a restart.
		s.until, s.known = end, true
	}
}

// unknownColdTime stands for the cold time of a service while the node has no configuration.
const unknownColdTime = -1

// assume applies the cold time of the service, because the server speaks without saying
// whether it is cold. With unknownColdTime nothing is known yet.
func (s *coldness) assume(now, startedAt time.Time, coldTime time.Duration) {
	if coldTime == unknownColdTime {
		return
	}
	from := s.lostAt
	if startedAt.After(from) {
		from = startedAt
	}
	if from.After(now) {
		from = now
	}
	s.until, s.known = from.Add(min(coldTime, maxColdTime)), true
}

// answered records an answer of the health endpoint of instance to a query that was sent at
// sentAt. stated is false if the answer does not say whether the server is cold.
func (s *coldness) answered(now, sentAt time.Time, instance string, remaining time.Duration, stated bool, coldTime time.Duration) {
	if s.process != nil && s.process.Instance != instance {
		s.replaced(sentAt)
		s.process = &Announcement{Instance: instance}
	}
	s.heardAt = now
	if sentAt.Before(s.lostAt) {
		return // the answer may be from an earlier process
	}
	end := now.Add(min(remaining, maxColdTime))
	switch {
	case !stated:
		if !s.known {
			s.assume(now, time.Time{}, coldTime)
		}
	case remaining > 0 && (!s.known || !end.Before(s.until)):
		s.until, s.saidAt, s.known = end, now, true
	case sentAt.Sub(s.saidAt) >= coldNewsDelay:
		s.until, s.known = end, true
	}
}

// doubt records that the process may have been replaced. The server counts as cold unless it
// says something within coldProofTime.
func (s *coldness) doubt(now time.Time) {
	if latest := now.Add(coldProofTime - coldSilence); latest.Before(s.heardAt) {
		s.heardAt = latest
	}
}

// period returns when the server is cold, given the rate of its service.
func (s *coldness) period(rate float64) admit.ColdPeriod {
	if rate <= 0 {
		return admit.ColdPeriod{}
	}
	if !s.known {
		return admit.ColdPeriod{Rate: rate, From: s.lostAt}
	}
	return admit.ColdPeriod{Rate: rate, Until: s.until, From: s.heardAt.Add(coldSilence)}
}
