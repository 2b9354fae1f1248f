package suspect

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxPath is the length of the part of a path that is kept. Callers choose paths of up to the
// size of a head, and a table keeps thousands.
const maxPath = 200

// ShortPath returns the part of a path that is kept.
func ShortPath(path string) string {
	if len(path) <= maxPath {
		return path
	}
	return strings.Clone(path[:maxPath]) // a part of a string keeps all of it in memory
}

// add returns a new entry for key. If the table is full, it first evicts another entry. It
// returns nil if every entry of the full table is refused.
func (t *Table) add(now time.Time, key Key) *entry {
	if len(t.entries) >= t.config.MaxEntries && !t.evict() {
		t.dropped++
		return nil
	}
	e := &entry{crashes: map[Crash]bool{}, last: now}
	t.entries[key] = e
	return e
}

// evict removes the entry whose last crash is oldest among those that are not refused, and
// reports whether there was one. A refused entry stays until its time limit passes.
func (t *Table) evict() bool {
	var oldest Key
	var found *entry
	for k, e := range t.entries {
		if t.verdict(e) == Refuse {
			continue
		}
		if found == nil || e.last.Before(found.last) || e.last.Equal(found.last) && before(k, oldest) {
			oldest, found = k, e
		}
	}
	if found == nil {
		return false
	}
	delete(t.entries, oldest)
	t.dropped++
	return true
}

func before(a, b Key) bool { return compare(a, b) < 0 }

func compare(a, b Key) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint, b.Fingerprint)
}

// prune removes the entries and the records of crashes whose time limits have passed.
func (t *Table) prune(now time.Time) {
	for k, e := range t.entries {
		if t.expired(now, e) {
			delete(t.entries, k)
		}
	}
	for crash, c := range t.confined {
		if now.Sub(c.at) >= t.config.RefuseFor {
			delete(t.confined, crash)
		}
	}
	for k, at := range t.cleared {
		if now.Sub(at) >= t.config.RefuseFor {
			delete(t.cleared, k)
		}
	}
}

// Entry describes a fingerprint with crashes, for operators.
type Entry struct {
	Key
	Class   string    `json:"class"`
	Path    string    `json:"path"`
	Refused bool      `json:"refused"`
	Crashes []Crash   `json:"crashes"`
	Last    time.Time `json:"last_crash"`
	Until   time.Time `json:"until"`
}

// List returns the entries that have not expired, sorted by service and fingerprint.
func (t *Table) List(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Entry{}
	for k, e := range t.entries {
		if t.expired(now, e) {
			continue
		}
		row := Entry{Key: k, Class: e.class, Path: e.path, Refused: t.verdict(e) == Refuse, Last: e.last, Until: t.expiry(e)}
		for crash := range e.crashes {
			row.Crashes = append(row.Crashes, crash)
		}
		slices.SortFunc(row.Crashes, func(a, b Crash) int {
			return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.BackendGeneration, b.BackendGeneration))
		})
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Entry) int { return compare(a.Key, b.Key) })
	return out
}

// Dropped returns how many entries were evicted or not added because the table was full.
func (t *Table) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}
