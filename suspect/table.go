package suspect

import (
	"sync"
	"time"

	"bramleymill/fleet"
)

// Config holds the limits of a Table. The zero value of a field selects its default.
type Config struct {
	Crashes int // number of crashes after which a fingerprint is refused
	// SuspectAfter is the number of crashes after which a fingerprint is suspect; default
	// 1. If it is Crashes or more, a fingerprint is refused without being suspect first.
	SuspectAfter int
	SuspectFor   time.Duration // time after its last crash for which a fingerprint is suspect
	RefuseFor    time.Duration // time after its last crash for which a fingerprint is refused
	MaxEntries   int           // maximum number of entries; also bounds the records of confined and cleared crashes
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

// Verdict states whether and how a request may run.
type Verdict uint8

// The verdicts of Check.
const (
	Clear   Verdict = iota + 1 // the request may run without restriction
	Suspect                    // the request may run only in a confined attempt
	Refuse                     // the request must not run
)

// Key identifies the requests of a service that have the same fingerprint.
type Key struct {
	Service     string `cbor:"1,keyasint" json:"service"`
	Fingerprint uint64 `cbor:"2,keyasint" json:"fingerprint"`
}

// Crash identifies the crash of one backend server process.
type Crash struct {
	Node              fleet.NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation       fleet.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	BackendGeneration uint64            `cbor:"3,keyasint" json:"life"`
}

func crashOf(r fleet.CrashReport) Crash { return Crash{r.Node, r.Incarnation, r.BackendGeneration} }

func keyOf(r fleet.CrashReport) Key { return Key{r.Service, r.Fingerprint} }

// entry holds the crashes that are attributed to one key.
type entry struct {
	class   string         // class in the newest report, for operators
	path    string         // path in the newest report, for operators
	crashes map[Crash]bool // true: the attempt that crashed the server was confined
	last    time.Time      // when the newest report arrived; counts as the time of the last crash
}

// Table holds the crashes that are known to one node. It is safe for concurrent use.
type Table struct {
	config Config

	mu       sync.Mutex
	entries  map[Key]*entry
	confined map[Crash]attribution      // keys of the confined attempts that caused a crash
	cleared  map[clearedCrash]time.Time // when each cleared crash was cleared
	dropped  uint64                     // entries that were evicted or not added because the table was full
}

// attribution is the key to which a crash is attributed, and the time at which that was
// recorded.
type attribution struct {
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
		confined: map[Crash]attribution{},
		cleared:  map[clearedCrash]time.Time{},
	}
}

// Check returns the verdict on a request with key k that is to run at now.
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

// AttributeCrash returns the reports to send, given the reports of all requests that were in
// flight when a backend server crashed. If one of them ran in a confined attempt, the crash
// is attributed to it alone.
func AttributeCrash(inFlight []fleet.CrashReport) []fleet.CrashReport {
	for i, r := range inFlight {
		if r.Confined {
			return inFlight[i : i+1]
		}
	}
	return inFlight
}

// Report merges a crash report and returns whether it was new. A node forwards only new
// reports to its peers.
func (t *Table) Report(now time.Time, r fleet.CrashReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	key, crash := keyOf(r), crashOf(r)
	if c, ok := t.confined[crash]; ok && c.key != key {
		return false
	}
	if r.Confined {
		t.attributeOnlyTo(now, key, crash) // also if the crash was cleared for key
	}
	if _, isCleared := t.cleared[clearedCrash{key, crash}]; isCleared {
		return false
	}
	e := t.entries[key]
	if e != nil {
		if wasConfined, known := e.crashes[crash]; known && (wasConfined || !r.Confined) {
			return false
		}
	}
	if e == nil {
		if e = t.add(now, key); e == nil {
			return false
		}
	}
	e.class, e.path, e.last = r.Class, ShortPath(r.Path), now
	e.crashes[crash] = r.Confined
	return true
}

// attributeOnlyTo attributes a crash during a confined attempt to the key of that attempt, and
// removes the crash from every other key. Reports of other requests that were in flight can
// arrive before the report of the confined request.
func (t *Table) attributeOnlyTo(now time.Time, key Key, crash Crash) {
	if _, known := t.confined[crash]; known {
		return
	}
	if len(t.confined) >= t.config.MaxEntries {
		evictOldest(t.confined, func(c attribution) time.Time { return c.at })
	}
	t.confined[crash] = attribution{key, now}
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
