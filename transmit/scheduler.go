package transmit

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// SmallAnswer is the size up to which an answer is sent without waiting for its turn. Its
// transfer delays a large answer by about two chunks of that.
const SmallAnswer = 16 << 10

// ChunkBytes is the part of a large answer that is written at once. Small answers wait behind
// at most lead and one chunk.
const ChunkBytes = 8 << 10

// lead is the time by which a chunk may be written before the link has sent what precedes it.
// It covers late timers, so that the link does not run idle between two chunks.
const lead = 15 * time.Millisecond

// Scheduler decides when the parts of large answers are written to a link of known bandwidth.
// At any time one large answer has the turn; among those that wait, the most urgent is next,
// then the one that came first. It is not safe for concurrent use.
type Scheduler struct {
	bytesPerSecond float64
	free           time.Time // when the link will have sent everything that was written
	turn           uint64    // answer that has the turn; zero: none
	waiting        []waiting // in the order of their turns
	lastID         uint64
	unsent         int64 // bytes of large answers that were not written yet
}

type waiting struct {
	id      uint64
	urgency fleet.Urgency
}

// NewScheduler returns a Scheduler for a link with the given bandwidth, which must be positive.
func NewScheduler(bytesPerSecond float64) *Scheduler {
	return &Scheduler{bytesPerSecond: bytesPerSecond}
}

// Add adds a large answer and returns its id. The answer has the turn if Turn returns its id.
func (s *Scheduler) Add(bytes int64, urgency fleet.Urgency) uint64 {
	s.lastID++
	id := s.lastID
	s.unsent += bytes
	if s.turn == 0 {
		s.turn = id
		return id
	}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].urgency < urgency {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, waiting{id, urgency})
	return id
}

// Turn returns the id of the answer whose chunks may be written now, or zero.
func (s *Scheduler) Turn() uint64 { return s.turn }

// Remove ends an answer of which unsent bytes were not written, and passes the turn on if the
// answer has it.
func (s *Scheduler) Remove(id uint64, unsent int64) {
	s.unsent -= unsent
	s.Yield(id)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return w.id == id })
}

// Yield passes the turn of an answer on because its receiver does not read. The answer itself
// may be written further.
func (s *Scheduler) Yield(id uint64) {
	if s.turn != id {
		return
	}
	s.turn = 0
	if len(s.waiting) > 0 {
		s.turn = s.waiting[0].id
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// Write records that a chunk of a large answer is written, and returns how long the writer has
// to wait before it writes.
func (s *Scheduler) Write(now time.Time, bytes int) time.Duration {
	s.unsent -= int64(bytes)
	wait := s.free.Add(-lead).Sub(now)
	s.WriteSmall(now, bytes)
	return max(wait, 0)
}

// WriteSmall records that bytes are written without a turn.
func (s *Scheduler) WriteSmall(now time.Time, bytes int) {
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.Transfer(int64(bytes)))
}

// Transfer returns how long the link takes for a number of bytes when it is idle.
func (s *Scheduler) Transfer(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

// Backlog returns the time that the link needs for everything that was written or added.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	return max(s.free.Sub(now), 0) + s.Transfer(max(s.unsent, 0))
}
