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

// attemptKey is a hash of the number of an attempt and the id of its claim,
// otherwise of its request. Two attempts with equal keys are taken for duplicates,
// so that a collision refuses an attempt and never lets one run twice. Among
// maxAttempts it has a probability of 2e-9.
type attemptKey uint64

// maxAttempts bounds the attempt numbers that are remembered. They take
// 9 MiB and allow 218 non-idempotent requests per second for 20 minutes, the
// longest time for which a number is kept.
const maxAttempts = 1 << 18

// duplicates keeps two generations of attempt numbers. A number is remembered
// for at least one generation, which is longer than any deadline.
type duplicates struct {
	next  Handler
	clock clock.Clock

	mu       sync.Mutex
	rotated  time.Time
	current  map[attemptKey]struct{}
	previous map[attemptKey]struct{}
}

// NewDuplicates returns the filter that admits each attempt number of a
// non-idempotent request once. Running an idempotent attempt twice is harmless,
// so that those numbers are not kept. An attempt that cannot be remembered is
// refused before it runs: forgetting another one could let that one run twice.
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
	space, id := "claim ", c.Meta.ClaimID
	if id == "" {
		space, id = "request ", c.Meta.RequestID
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(space)
	_, _ = d.WriteString(id)
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], c.Meta.Attempt)
	_, _ = d.Write(number[:])
	return attemptKey(d.Sum64())
}

// rejectDuplicate returns nil for an attempt that has not been received before.
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
		return errkind.New(errkind.QueueFull, "no room to remember another attempt")
	}
	f.current[k] = struct{}{}
	return nil
}
