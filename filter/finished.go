package filter

import (
	"sync/atomic"
	"time"
)

// finishedSlots is the number of slots of a table; it must be a power of two. The slots of
// a finishedTable take 64 KiB.
const finishedSlots = 1 << 13

// A slot holds the upper bits of the fingerprint and, in its lower periodBits bits, the
// period in which the request finished. The lower bits of the fingerprint are the index.
const (
	periodBits     = 12
	periodMask     = 1<<periodBits - 1
	finishedPeriod = 5 * time.Minute
)

// finishedTable records the fingerprints of requests that finished on a backend server in
// the current period or the previous one. It is a lossy table without locks: a fingerprint
// may displace another one. The request whose fingerprint was displaced then counts as not
// finished.
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

// remove makes the request with the fingerprint count as not finished, because it may have
// crashed a server.
func (f *finishedTable) remove(fingerprint uint64) {
	s := f.slot(fingerprint)
	if value := s.Load(); value&^periodMask == fingerprint&^periodMask {
		s.CompareAndSwap(value, 0)
	}
}

// runningCounts counts the attempts of requests with restricted placement that run through
// this node. It is a table without locks: fingerprints with the same index are counted
// together.
type runningCounts struct {
	counts [finishedSlots]atomic.Int32
}

// enter adds an attempt and returns the new number of attempts.
func (r *runningCounts) enter(fingerprint uint64) int32 {
	return r.counts[fingerprint&(finishedSlots-1)].Add(1)
}

// count returns the present number of attempts.
func (r *runningCounts) count(fingerprint uint64) int32 {
	return r.counts[fingerprint&(finishedSlots-1)].Load()
}

func (r *runningCounts) leave(fingerprint uint64) {
	r.counts[fingerprint&(finishedSlots-1)].Add(-1)
}
