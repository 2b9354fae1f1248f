package filter

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
)

// attemptKey is a hash of an attempt number and the id of the claim, or of the request if
// it has no claim. Attempts with equal keys are treated as duplicates, so that a collision
// refuses an attempt and never lets one run twice. The probability of any collision among
// maxAttempts keys is 2e-9.
type attemptKey uint64

// maxAttempts is the maximum number of attempt keys in memory. They use 9 MiB, which is
// enough for 218 non-idempotent requests per second for 20 minutes, the longest time for
// which a key is kept.
const maxAttempts = 1 << 18

// duplicates keeps attempt keys in two tables. A table is filled for class.MaxDeadline and
// then kept for as long again, so that a key is remembered for longer than any deadline.
type duplicates struct {
	next  Handler
	clock clock.Clock

	mu       sync.Mutex
	rotated  time.Time
	current  map[attemptKey]struct{}
	previous map[attemptKey]struct{}
}

// NewDuplicates returns the filter that admits each attempt of a non-idempotent request only
// once. Attempts of idempotent requests are not recorded, because running one twice is
// harmless. If the tables are full, a new attempt is refused before it runs: making space by
// removing another key could let that attempt run twice.
func NewDuplicates(next Handler, k clock.Clock) Handler {
	return &duplicates{next: next, clock: k, rotated: k.Now(), current: map[attemptKey]struct{}{}}
}

func (f *duplicates) Serve(c *Call) error {
	if c.AtMostOnce() {
		if err := f.rejectDuplicate(c); err != nil {
			return err
		}
	}
	return f.next.Serve(c)
}

func keyOfAttempt(c *Call) attemptKey {
	prefix, id := "claim ", c.Meta.ClaimID
	if id == "" {
		prefix, id = "request ", c.Meta.RequestID
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(prefix)
	_, _ = d.WriteString(id)
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], c.Meta.Attempt)
	_, _ = d.Write(number[:])
	return attemptKey(d.Sum64())
}

// rejectDuplicate records an attempt. It returns an error if the attempt was received before
// or cannot be recorded.
func (f *duplicates) rejectDuplicate(c *Call) error {
	k := keyOfAttempt(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.clock.Now(); now.Sub(f.rotated) > class.MaxDeadline {
		f.previous, f.current, f.rotated = f.current, map[attemptKey]struct{}{}, now
	}
	_, inCurrent := f.current[k]
	_, inPrevious := f.previous[k]
	if inCurrent || inPrevious {
		return errkind.New(errkind.DuplicateAttempt, "attempt %d was received before", c.Meta.Attempt)
	}
	if len(f.current)+len(f.previous) >= maxAttempts {
		return errkind.New(errkind.QueueFull, "the table of received attempts is full")
	}
	f.current[k] = struct{}{}
	return nil
}
