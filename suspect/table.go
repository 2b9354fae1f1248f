package suspect

import (
	"sync"
	"time"

	"bramleymill/fleet"
)

// Config holds the limits of a Table. The zero value of a field selects its default.
type Config struct {
	Crashes int // crashes after which a fingerprint is refused
	// SuspectAfter is the number of crashes after which a fingerprint is confined.
	// From Crashes on it is never confined.
	SuspectAfter int
	SuspectFor   time.Duration // suspicion ends this long after the last crash
	RefuseFor    time.Duration // refusal ends this long after the last crash
	MaxEntries   int
}

// Defaults of Config.
const (
	DefaultCrashes    = 2
	DefaultSuspectFor = 10 * time.Minute
	DefaultRefuseFor  = time.Hour
	DefaultMaxEntries = 4096
)

func (c Config) withDefaults() Config {
	if c.Crashes <= 0 {
		c.Crashes = DefaultCrashes
	}
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = 1
	}
	if c.SuspectFor <= 0 {
		c.SuspectFor = DefaultSuspectFor
	}
	if c.RefuseFor <= 0 {
		c.RefuseFor = DefaultRefuseFor
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	return c
}

// Verdict is what may be done with a request.
type Verdict uint8

// The verdicts of Check.
const (
	Clear   Verdict = iota + 1
	Suspect         // only in a confined attempt
	Refuse          // not at all
)

// Key identifies a suspected request.
type Key struct {
	Service     string `cbor:"1,keyasint" json:"service"`
	Fingerprint uint64 `cbor:"2,keyasint" json:"fingerprint"`
}

// Crash identifies the death of one backend server process.
type Crash struct {
	Node              fleet.NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation       fleet.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	BackendGeneration uint64            `cbor:"3,keyasint" json:"life"`
}

func crashOf(r fleet.CrashReport) Crash { return Crash{r.Node, r.Incarnation, r.BackendGeneration} }

func keyOf(r fleet.CrashReport) Key { return Key{r.Service, r.Fingerprint} }

// entry is the suspicion of one key.
type entry struct {
	class   string
	path    string
	crashes map[Crash]bool // true: the attempt was confined
	last    time.Time      // when the newest crash became known
}

// Table is the suspicion known to one node. It is safe for concurrent use.
type Table struct {
	config Config

	mu       sync.Mutex
	entries  map[Key]*entry
	confined map[Crash]remembered // crashes that a confined attempt is blamed for
	cleared  map[clearedCrash]time.Time
	dropped  uint64
}

type remembered struct {
	key Key
	at  time.Time
}

type clearedCrash struct {
	key   Key
	crash Crash
}

// New returns an empty Table.
func New(c Config) *Table {
	return &Table{
		config:   c.withDefaults(),
		entries:  map[Key]*entry{},
		confined: map[Crash]remembered{},
		cleared:  map[clearedCrash]time.Time{},
	}
}

// Check returns what may be done with a request now.
func (t *Table) Check(now time.Time, k Key) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil || t.expired(now, e) {
		return Clear
	}
	return t.verdict(e)
}

func (t *Table) verdict(e *entry) Verdict {
	if len(e.crashes) >= t.config.Crashes {
		return Refuse
	}
	if len(e.crashes) < t.config.SuspectAfter {
		return Clear
	}
	return Suspect
}

func (t *Table) expired(now time.Time, e *entry) bool { return !now.Before(t.expiry(e)) }

func (t *Table) expiry(e *entry) time.Time {
	if t.verdict(e) == Refuse {
		return e.last.Add(t.config.RefuseFor)
	}
	return e.last.Add(t.config.SuspectFor)
}

// AttributeCrash returns the reports to send for the requests that were in flight when a
// backend server died. A confined request takes the blame alone.
func AttributeCrash(inFlight []fleet.CrashReport) []fleet.CrashReport {
	for i, r := range inFlight {
		if r.Confined {
			return inFlight[i : i+1]
		}
	}
	return inFlight
}

// Report merges a crash report and tells whether it was new, so that a node
// passes on only what its peers may not know.
func (t *Table) Report(now time.Time, r fleet.CrashReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	key, crash := keyOf(r), crashOf(r)
	if c, ok := t.confined[crash]; ok && c.key != key {
		return false
	}
	if r.Confined {
		t.blameAlone(now, key, crash) // holds even when key was cleared of the crash
	}
	if _, done := t.cleared[clearedCrash{key, crash}]; done {
		return false
	}
	e := t.entries[key]
	if e != nil {
		if was, known := e.crashes[crash]; known && (was || !r.Confined) {
			return false
		}
	}
	if e == nil {
		if e = t.add(now, key); e == nil {
			return false
		}
	}
	e.class, e.path, e.last = r.Class, r.Path, now
	e.crashes[crash] = r.Confined
	return true
}

// blameAlone removes the crash from every other key. The report of the confined
// request may arrive after those of innocent requests.
func (t *Table) blameAlone(now time.Time, key Key, crash Crash) {
	if _, known := t.confined[crash]; known {
		return
	}
	if len(t.confined) >= t.config.MaxEntries {
		evictOldest(t.confined, func(c remembered) time.Time { return c.at })
	}
	t.confined[crash] = remembered{key, now}
	for k, e := range t.entries {
		if k == key {
			continue
		}
		delete(e.crashes, crash)
		if len(e.crashes) == 0 {
			delete(t.entries, k)
		}
	}
}
