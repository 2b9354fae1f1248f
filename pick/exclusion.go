package pick

import (
	"time"

	"bramleymill/fleet"
)

// Exclusion states why a server is not selected.
type Exclusion string

// The exclusions. The empty Exclusion means that the server may be selected.
const (
	NotReady Exclusion = "not_ready" // its announced state is not Ready
	Draining Exclusion = "draining"  // its newest load report says that it drains
	Ejected  Exclusion = "ejected"   // it failed too often; a trial request may be sent to it
	Excluded Exclusion = "excluded"  // for another reason
)

// exclusion returns why e is not selected by a request without earlier attempts.
func (e *Endpoint) exclusion() Exclusion {
	switch {
	case e.eligible(nil):
		return ""
	case e.Server.State != fleet.Ready:
		return NotReady
	case e.load.draining.Load():
		return Draining
	case e.load.ejectedUntil.Load() != 0:
		return Ejected
	}
	return Excluded
}

// Candidate is the selecting node's information about one announced server, with what matters
// for the next request.
type Candidate struct {
	View
	OwnZone     bool
	Exclusion   Exclusion
	TrialDue    bool          // the next request may be a trial of the ejected server
	Slots       int           // from the newest load report, or from the announcement
	Requests    float64       // expected requests in flight and queued
	Full        bool          // the slots are in use, which sends requests out of the zone
	PermitWait  time.Duration // until the rate limit, which a cold server has too, lets a further request start
	Cold        bool          // according to the newest load report
	LinkBacklog time.Duration // until the link of the server has sent its answers
}

// Candidates returns the state of every announced server. It changes nothing.
func (b *Balancer) Candidates(now time.Time) []Candidate {
	p := b.pool.Load()
	t := p.sinceEpoch(now)
	out := make([]Candidate, 0, len(p.announced))
	for _, e := range p.announced {
		l := e.load
		c := Candidate{View: b.view(e, t, now), OwnZone: e.inOwnZone, Exclusion: e.exclusion(), Slots: int(l.slots.Load()),
			Requests: l.expectedRequests(t, int64(b.config.ReportHalfLife)), PermitWait: time.Duration(l.permitWait(t)), LinkBacklog: time.Duration(l.linkBacklog(t))}
		c.Cold = l.cold.Load()
		c.Full = c.Requests/float64(c.Slots) >= fullUse
		c.TrialDue = c.Exclusion == Ejected && b.startTrial(e, t, true)
		out = append(out, c)
	}
	return out
}
