package proxy

import (
	"math"
	"net/http"
	"strconv"
	"sync"

	"bramleymill/fleet"
)

// statement is what one answer of the backend server states about the server.
type statement struct {
	limited   bool
	rateLimit float64 // requests a second; used only if limited
	leaving   bool
}

// statement reads what an answer states about the backend server. It returns false if the
// stated limit is not a number that a limit can have; the answer then states nothing.
func (d *Dialect) statement(h http.Header) (s statement, ok bool) {
	if d.Leaving != "" {
		s.leaving = h.Get(d.Leaving) != ""
	}
	text := ""
	if d.RateLimit != "" {
		text = h.Get(d.RateLimit)
	}
	if text == "" {
		return s, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return statement{}, false
	}
	s.limited, s.rateLimit = true, rate
	return s, true
}

// conditionState holds the condition that the backend server beside the node has stated.
type conditionState struct {
	mu sync.Mutex
	// current is nil until the server has stated a limit or that it is leaving. It then
	// remains set, so that load reports also state the end of a limit.
	current *fleet.Condition
}

func (s *conditionState) latest() *fleet.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// record replaces the condition by one that an answer of the process a states. It returns
// the new condition, or nil if nothing has changed.
func (s *conditionState) record(a *Announcement, st statement) *fleet.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil && st == (statement{}) {
		return nil
	}
	next := &fleet.Condition{Instance: a.Instance, StartedAt: unixMillis(a), Limited: st.limited, RateLimit: st.rateLimit, Leaving: st.leaving}
	if s.current != nil {
		next.Leaving = next.Leaving || s.current.Leaving && s.current.SameProcess(next)
		if *s.current == *next {
			return nil
		}
	}
	s.current = next
	return next
}

// adopt sets the condition that another node was told by the process a before this node
// started. It reports whether the condition was adopted. An answer of the process that
// reached this node itself takes precedence.
func (s *conditionState) adopt(a *Announcement, told *fleet.Condition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil || !told.SameProcess(&fleet.Condition{Instance: a.Instance, StartedAt: unixMillis(a)}) {
		return false
	}
	adopted := *told
	s.current = &adopted
	return true
}

// reset discards the condition if it belongs to another process than a. It reports whether it
// did so.
func (s *conditionState) reset(a *Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.current.SameProcess(&fleet.Condition{Instance: a.Instance, StartedAt: unixMillis(a)}) {
		return false
	}
	s.current = nil
	return true
}

// unixMillis returns the start of the process of a, or zero if it is not known.
func unixMillis(a *Announcement) int64 {
	if a.StartedAt.IsZero() {
		return 0
	}
	return a.StartedAt.UnixMilli()
}

// recordStatement applies what an answer of the given instance states. An answer of an
// earlier instance is ignored.
func (l *localServer) recordStatement(instance string, h http.Header) {
	if l.announced == nil {
		return
	}
	a := l.announced.latest()
	if a == nil || a.Instance != instance {
		return
	}
	s, ok := l.config.Dialect.statement(h)
	if !ok {
		l.config.Log.Warn("the backend server states an invalid rate limit", "instance", instance, "limit", h.Get(l.config.Dialect.RateLimit))
		return
	}
	if c := l.condition.record(a, s); c != nil {
		l.applyCondition(c, "answer")
	}
}

// adopt applies what the entry node of an attempt states about the backend server.
func (l *localServer) adopt(m *fleet.CallMeta) {
	if l.cold != nil {
		l.cold.adoptRate(m.ColdRate)
	}
	l.adoptCondition(m.Told)
}

// adoptCondition applies the condition that an entry node was told by the backend server
// before this node started. Without it, each start of the node would exempt the server's
// limit until its first answer.
func (l *localServer) adoptCondition(told *fleet.Condition) {
	if l.announced == nil || told == nil {
		return
	}
	if a := l.announced.latest(); a != nil && l.condition.adopt(a, told) {
		l.applyCondition(told, "entry node")
	}
}

// applyCondition applies a condition of the running process to admission and to the state of
// the server. source names where it comes from.
func (l *localServer) applyCondition(c *fleet.Condition, source string) {
	l.config.Log.Info("backend server condition", "instance", c.Instance, "limited", c.Limited, "limit", c.RateLimit, "leaving", c.Leaving, "source", source)
	if c.Limited {
		l.gate.SetRateLimit(c.RateLimit)
	} else {
		l.gate.SetRateLimit(noRateLimit)
	}
	if c.Leaving {
		l.announced.markLeaving(c)
	}
}

// noRateLimit removes the rate limit of an admission gate.
const noRateLimit = -1
