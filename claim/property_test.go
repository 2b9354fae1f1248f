package claim

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// attemptID identifies an attempt by its claim id and attempt number.
type attemptID struct {
	claim  string
	number uint32
}

// attempt records what happened to a granted attempt. The machine under test does not
// read or change it.
type attempt struct {
	key             string
	owner           string
	begun           time.Time // when its claim began
	refused         bool      // the server node refused the attempt, so it did not run
	refusalRecorded bool      // a command that reports the refusal was applied
	ended           time.Time // when the claim ended with this attempt; zero while it has not
}

type heldLock struct {
	owner, id string
	until     time.Time
}

// world applies the same commands to a machine that replays the log and to one that
// is also restored from its snapshots. It tracks what actually happened to every
// attempt and checks the replies against it.
type world struct {
	t             *rapid.T
	replayed      *Machine
	restored      *Machine
	index         uint64
	now           time.Time
	sent          []command // each of them may be applied again later
	attempts      map[attemptID]*attempt
	order         []attemptID
	locks         map[string]*heldLock
	abandonedKeys map[keyOwner]bool // the owner abandoned the key and sends no further attempt for it
}

type keyOwner struct{ key, owner string }

const (
	testRetention = time.Minute
	testRemaining = 3 * time.Second
)

var (
	keys         = rapid.SampledFrom([]string{"order/1", "order/2", "quote/1"})
	owners       = rapid.SampledFrom([]string{"a", "b", "c", "d"})
	fingerprints = rapid.SampledFrom([]byte{0, 0, 0, 1})
)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, replayed: New(), restored: New(), now: start, attempts: map[attemptID]*attempt{}, locks: map[string]*heldLock{}, abandonedKeys: map[keyOwner]bool{}}
	w.tick()
	w.apply(command{Limits: &Limits{MaxClaims: rapid.IntRange(1, 4).Draw(t, "max"), MaxBytes: 4 * recordBytes, Retention: testRetention}})
	return w
}

// tick advances both machines to the current time by a command that changes nothing.
func (w *world) tick() {
	data, _ := encodeCommand(command{Unlock: &UnlockRequest{}})
	w.replayed.Apply(w.index, w.now, data)
	w.restored.Apply(w.index, w.now, data)
}

// apply executes c on both machines, checks that they reply the same, and checks the
// reply and the invariants of the store.
func (w *world) apply(c command) {
	data, err := encodeCommand(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	// A timestamp older than the previous one must be treated as the previous one.
	at := w.now.Add(-rapid.SampledFrom([]time.Duration{0, 0, 0, testRetention}).Draw(w.t, "lag"))
	out := w.replayed.Apply(w.index, at, data)
	if other := w.restored.Apply(w.index, at, data); !bytes.Equal(out, other) {
		w.t.Fatalf("reply of the restored machine = %x, want %x as from the replaying one", other, out)
	}
	r, err := decodeResult(out)
	if err != nil {
		w.t.Fatal(err)
	}
	w.sent = append(w.sent, c)
	w.check(c, r)
	for i, r := range w.replayed.expiry.items {
		if int(r.heapIndex) != i || i > 0 && w.replayed.expiry.less(i, (i-1)/2) {
			w.t.Fatalf("record %d of the expiry heap is out of order or has a wrong index", i)
		}
	}
	if s := w.replayed.Stats(); s.Bytes > s.Limits.MaxBytes+int64(len(w.locks))*recordBytes {
		w.t.Fatalf("bytes of the store = %d, want at most %d plus recordBytes for each lock", s.Bytes, s.Limits.MaxBytes)
	}
}

func (w *world) check(c command, r Result) {
	switch {
	case c.Begin != nil:
		w.checkBegin(c.Begin, r)
	case c.Reassign != nil && r.State == Granted:
		w.refusalApplied(c.Reassign.ClaimID, c.Reassign.Owner, c.Reassign.RefusedAttempt)
		old := w.attempts[attemptID{c.Reassign.ClaimID, c.Reassign.RefusedAttempt}]
		w.granted(old.key, old.owner, old.begun, r)
	case c.Finish != nil && r.State == Recorded:
		w.finished(c.Finish)
	case c.Abandon != nil && r.State == Recorded:
		w.abandoned(c.Abandon)
	case c.Lock != nil:
		w.checkLock(c.Lock, r)
	case c.Unlock != nil && r.State == Recorded:
		for key, h := range w.locks {
			if h.id == c.Unlock.ClaimID {
				if h.owner != c.Unlock.Owner {
					w.t.Fatalf("owner %s released the lock of owner %s", c.Unlock.Owner, h.owner)
				}
				delete(w.locks, key)
			}
		}
	}
}

// granted records a grant and checks that every other attempt on the key did not
// run, except those whose retention has passed.
func (w *world) granted(key, owner string, begun time.Time, r Result) {
	id := attemptID{r.ClaimID, r.Attempt}
	for _, other := range w.order {
		a := w.attempts[other]
		if other != id && a.key == key && !a.refused && w.now.Before(a.keptUntil()) {
			w.t.Fatalf("key %s: attempt %v is granted while attempt %v of owner %s may have run", key, id, other, a.owner)
		}
	}
	a := w.attempts[id]
	if a == nil {
		a = &attempt{key: key, owner: owner, begun: begun, refused: rapid.Bool().Draw(w.t, "refused") || w.abandonedKeys[keyOwner{key, owner}]}
		w.attempts[id] = a
		w.order = append(w.order, id)
	}
	if a.owner != owner || a.refusalRecorded {
		w.t.Fatalf("attempt %v of owner %s is granted again to owner %s, refusal recorded: %v", id, a.owner, owner, a.refusalRecorded)
	}
}

func (a *attempt) keptUntil() time.Time {
	end := a.begun.Add(testRemaining + Grace)
	if !a.ended.IsZero() {
		end = a.ended
	}
	return end.Add(testRetention)
}

// current returns the newest attempt on key, or nil.
func (w *world) current(key string) *attempt {
	for i := len(w.order) - 1; i >= 0; i-- {
		if a := w.attempts[w.order[i]]; a.key == key {
			return a
		}
	}
	return nil
}

func (w *world) checkBegin(b *BeginRequest, r Result) {
	a := w.current(b.Key)
	pastGrace := a != nil && !w.now.Before(a.begun.Add(testRemaining+Grace))
	switch r.State {
	case Granted:
		begun := w.now
		if old := w.attempts[attemptID{r.ClaimID, r.Attempt}]; old != nil {
			begun = old.begun
		}
		w.granted(b.Key, b.Owner, begun, r)
	case InProgress:
		if pastGrace || !a.ended.IsZero() {
			w.t.Fatalf("claim of key %s is reported as in progress after it ended or after its deadline plus Grace", b.Key)
		}
	case Unknown:
		if !pastGrace && a.ended.IsZero() {
			w.t.Fatalf("claim of key %s has state Unknown before it ended and before its deadline plus Grace", b.Key)
		}
	}
}

func (w *world) refusalApplied(claimID, owner string, number uint32) {
	a := w.attempts[attemptID{claimID, number}]
	if a == nil || !a.refused || a.owner != owner {
		w.t.Fatalf("refusal of attempt %d reported by owner %s was accepted, actual attempt: %+v", number, owner, a)
	}
	a.refusalRecorded = true
}

func (w *world) finished(f *FinishRequest) {
	a := w.attempts[attemptID{f.ClaimID, f.Attempt}]
	if a == nil || a.owner != f.Owner {
		w.t.Fatalf("finish of attempt %d by owner %s was accepted, actual attempt: %+v", f.Attempt, f.Owner, a)
	}
	if f.Ending == Released {
		w.refusalApplied(f.ClaimID, f.Owner, f.Attempt)
	}
	if a.ended.IsZero() {
		a.ended = w.now
	}
}

// abandon sends an AbandonRequest for a random key and owner, unless the owner has an
// attempt on the key that may have run.
func (w *world) abandon(t *rapid.T) {
	k := keyOwner{keys.Draw(t, "key"), owners.Draw(t, "owner")}
	for _, a := range w.attempts {
		if a.key == k.key && a.owner == k.owner && !a.refused {
			return
		}
	}
	w.abandonedKeys[k] = true
	w.apply(command{Abandon: &AbandonRequest{Key: k.key, Owner: k.owner}})
}

// abandoned records that the claims of the owner on the key ended, and checks that a
// delayed copy of its BeginRequest is not granted.
func (w *world) abandoned(q *AbandonRequest) {
	for _, a := range w.attempts {
		if a.key != q.Key || a.owner != q.Owner {
			continue
		}
		if !a.refused {
			w.t.Fatalf("key %s of owner %s was released although an attempt may have run", a.key, a.owner)
		}
		a.refusalRecorded = true
		if a.ended.IsZero() {
			a.ended = w.now
		}
	}
	if b := w.current(q.Key); b != nil && b.owner == q.Owner {
		lost := beginOf(q.Key, q.Owner)
		lost.Remaining = testRemaining
		data, err := encodeCommand(command{Begin: lost})
		if err != nil {
			w.t.Fatal(err)
		}
		// A delayed copy of the lost Begin must not be granted.
		w.index++
		out := w.replayed.Apply(w.index, w.now, data)
		if other := w.restored.Apply(w.index, w.now, data); !bytes.Equal(out, other) {
			w.t.Fatalf("reply of the restored machine = %x, want %x as from the replaying one", other, out)
		}
		if r, err := decodeResult(out); err != nil || r.State == Granted {
			w.t.Fatalf("delayed Begin after its claim was abandoned: granted, or error %v; want no grant and no error", err)
		}
	}
}

func (w *world) checkLock(l *LockRequest, r Result) {
	h := w.locks[l.Key]
	if h != nil && !w.now.Before(h.until) {
		h = nil
	}
	switch {
	case r.State == Granted && h != nil && h.owner != l.Owner:
		w.t.Fatalf("the lock of owner %s is granted to owner %s during the lease", h.owner, l.Owner)
	case r.State == InProgress && h == nil:
		w.t.Fatalf("the lock is refused to owner %s although no lease is running, want it granted", l.Owner)
	case r.State == Granted && h == nil:
		w.locks[l.Key] = &heldLock{owner: l.Owner, id: r.ClaimID, until: w.now.Add(l.Lease)}
	}
}

// report applies a Finish or Reassign for a random attempt, sometimes with a wrong owner
// or attempt number.
func (w *world) report(t *rapid.T) {
	if len(w.order) == 0 {
		return
	}
	id := rapid.SampledFrom(w.order).Draw(t, "attempt")
	a := w.attempts[id]
	owner, number := a.owner, id.number
	if rapid.IntRange(0, 3).Draw(t, "forge") == 0 {
		owner = owners.Draw(t, "owner")
		number += uint32(rapid.IntRange(0, 1).Draw(t, "skip"))
		a = w.attempts[attemptID{id.claim, number}]
	}
	ending := Ending(rapid.IntRange(1, 2).Draw(t, "ending"))
	if a == nil || owner != a.owner || a.refused {
		ending = Released
	}
	c := command{Finish: &FinishRequest{ClaimID: id.claim, Owner: owner, Attempt: number, Ending: ending, Answer: &Answer{Status: 200}}}
	if ending == Released && rapid.Bool().Draw(t, "reassign") {
		c = command{Reassign: &ReassignRequest{ClaimID: id.claim, Owner: owner, RefusedAttempt: number, Target: "n2", Incarnation: 1}}
	}
	w.apply(c)
	if a == nil {
		// This attempt was not granted. Owners only report on granted attempts, so
		// this command must not be sent again after the attempt is granted later.
		w.sent = w.sent[:len(w.sent)-1]
	}
}

// Guards against a second run that is granted for a key, against commands of former
// owners and attempts that take effect, against two holders of a lock, and against
// replicas that differ after a restore. Owners, resent and delayed commands, and the
// passing of time are random.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				b := beginOf(keys.Draw(t, "key"), owners.Draw(t, "owner"))
				b.Fingerprint[0], b.Remaining = fingerprints.Draw(t, "print"), testRemaining
				w.apply(command{Begin: b})
			},
			"report":  w.report,
			"abandon": w.abandon,
			"resend":  func(t *rapid.T) { w.apply(rapid.SampledFrom(w.sent).Draw(t, "command")) },
			"lock": func(t *rapid.T) {
				w.apply(command{Lock: &LockRequest{Key: "suspect/katalog", Owner: owners.Draw(t, "owner"), Lease: time.Second}})
			},
			"unlock": func(t *rapid.T) {
				if h := w.locks["suspect/katalog"]; h != nil {
					w.apply(command{Unlock: &UnlockRequest{ClaimID: h.id, Owner: owners.Draw(t, "owner")}})
				}
			},
			"pass": func(t *rapid.T) {
				steps := []time.Duration{time.Millisecond, time.Second, testRemaining, Grace, testRetention}
				w.now = w.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
				w.tick()
			},
			"restore": func(t *rapid.T) { w.restore(t) },
		})
		a, _ := w.replayed.Snapshot()
		if b, _ := w.restored.Snapshot(); !bytes.Equal(a, b) {
			t.Fatal("the state after restores differs from the state after replaying the log")
		}
	})
}

func (w *world) restore(t *rapid.T) {
	s, err := w.restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.restored = New()
	if err := w.restored.Restore(s); err != nil {
		t.Fatal(fmt.Errorf("restore: %w", err))
	}
}
