package filter

import (
	"sync/atomic"
	"time"
)

// finishedSlots is a power of two. The table takes 64 KiB.
const finishedSlots = 1 << 13

// Layout of a slot: the upper bits of the fingerprint, then the period in which
// the request finished. The lower bits of the fingerprint are the index.
const (
	periodBits     = 12
	periodMask     = 1<<periodBits - 1
	finishedPeriod = 5 * time.Minute
)

// finishedTable remembers the fingerprints of requests that finishedTable on a backend
// server during this period or the previous one. It is a lossy table without
// locks: a fingerprint may displace another one, which then counts as not finishedTable.
type finishedTable struct {
	slots [finishedSlots]atomic.Uint64
}

func period(now time.Time) uint64 {
	return uint64(now.UnixNano()/int64(finishedPeriod)) & periodMask
}

func (f *finishedTable) slot(fingerprint uint64) *atomic.Uint64 {
	return &f.slots[fingerprint&(finishedSlots-1)]
}

func (f *finishedTable) add(now time.Time, fingerprint uint64) {
	value := fingerprint&^periodMask | period(now)
	if s := f.slot(fingerprint); s.Load() != value {
		s.Store(value)
	}
}

func (f *finishedTable) has(now time.Time, fingerprint uint64) bool {
	value := f.slot(fingerprint).Load()
	if value&^periodMask != fingerprint&^periodMask || value == 0 {
		return false
	}
	return (period(now)-value)&periodMask <= 1
}

// remove makes a fingerprint that crashed a server count as not finished.
func (f *finishedTable) remove(fingerprint uint64) {
	s := f.slot(fingerprint)
	if value := s.Load(); value&^periodMask == fingerprint&^periodMask {
		s.CompareAndSwap(value, 0)
	}
}

// runningCounts counts the attempts of bounded requests that run through this node. It
// is a table without locks: fingerprints that share an entry count together.
type runningCounts struct {
	counts [finishedSlots]atomic.Int32
}

// enter returns the number of attempts with the new one.
func (r *runningCounts) enter(fingerprint uint64) int32 {
	return r.counts[fingerprint&(finishedSlots-1)].Add(1)
}

func (r *runningCounts) leave(fingerprint uint64) {
	r.counts[fingerprint&(finishedSlots-1)].Add(-1)
}
