package suspect

import (
	"time"

	"bramleymill/fleet"
)

// Clearance states that crashes are no longer attributed to the requests of a Key, because
// such a request finished after them or because an operator released the Key.
type Clearance struct {
	Key     Key     `cbor:"1,keyasint"`
	Crashes []Crash `cbor:"2,keyasint"`
	// Operator is set when an operator released the Key. Only such a clearance ends a refusal.
	Operator bool `cbor:"3,keyasint,omitempty"`
}

// Finished records that an attempt of k, sent at the time started, finished on a backend
// server. If k is suspect and the attempt was sent after its last crash, Finished clears k and
// returns the clearance for the other nodes. It does not end a refusal.
func (t *Table) Finished(now time.Time, k Key, started time.Time) (Clearance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil || t.verdict(e) == Refuse || !started.After(e.last) {
		return Clearance{}, false
	}
	return t.clear(now, k, e, false), true
}

// Release clears k, also when it is refused, at the request of an operator. It returns the
// clearance for the other nodes, or false if the table has no entry for k.
func (t *Table) Release(now time.Time, k Key) (Clearance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return Clearance{}, false
	}
	return t.clear(now, k, e, true), true
}

func (t *Table) clear(now time.Time, k Key, e *entry, operator bool) Clearance {
	c := Clearance{Key: k, Operator: operator}
	for crash := range e.crashes {
		c.Crashes = append(c.Crashes, crash)
		t.rememberCleared(now, k, crash)
	}
	delete(t.entries, k)
	return c
}

// Clear merges a clearance from another node and reports whether it changed anything. Crashes
// that the clearance does not contain still count.
func (t *Table) Clear(now time.Time, c Clearance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	e := t.entries[c.Key]
	if e != nil && t.verdict(e) == Refuse && !c.Operator {
		return false
	}
	changed := false
	for _, crash := range c.Crashes {
		if _, known := t.cleared[clearedCrash{c.Key, crash}]; known {
			continue
		}
		changed = true
		t.rememberCleared(now, c.Key, crash)
		if e != nil {
			delete(e.crashes, crash)
		}
	}
	if e != nil && len(e.crashes) == 0 {
		delete(t.entries, c.Key)
	}
	return changed
}

// rememberCleared records a cleared crash, so that a delayed copy of its report does not make
// k suspect again.
func (t *Table) rememberCleared(now time.Time, k Key, crash Crash) {
	if len(t.cleared) >= t.config.MaxEntries {
		evictOldest(t.cleared, func(at time.Time) time.Time { return at })
	}
	t.cleared[clearedCrash{k, crash}] = now
}

func evictOldest[K comparable, V any](m map[K]V, at func(V) time.Time) {
	var oldest K
	var first time.Time
	for k, v := range m {
		if t := at(v); first.IsZero() || t.Before(first) {
			oldest, first = k, t
		}
	}
	delete(m, oldest)
}

// Reports returns a crash report for each crash in the table, for a node that has just joined.
func (t *Table) Reports(now time.Time) []fleet.CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.CrashReport
	for k, e := range t.entries {
		if t.expired(now, e) {
			continue
		}
		for crash, confined := range e.crashes {
			out = append(out, fleet.CrashReport{
				Service: k.Service, Fingerprint: k.Fingerprint,
				Node: crash.Node, Incarnation: crash.Incarnation, BackendGeneration: crash.BackendGeneration,
				Confined: confined, Class: e.class, Path: e.path,
			})
		}
	}
	return out
}
