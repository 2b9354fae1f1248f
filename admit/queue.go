package admit

import (
	"slices"
	"sort"
	"time"

	"bramleymill/fleet"
)

// waiting is a queued request.
type waiting struct {
	id       uint64
	request  Request
	rank     fleet.Urgency
	arrived  time.Time
	refuseAt time.Time // when the request is refused if it is still queued; not after its deadline
	sequence uint64    // order of arrival
	start    float64   // virtual start, see fairness
	charged  float64   // what the customer was charged for the request
}

// before reports whether w comes before other in the queue.
func (w *waiting) before(other *waiting) bool {
	if w.rank != other.rank {
		return w.rank > other.rank
	}
	if w.start != other.start {
		return w.start < other.start
	}
	if w.request.OtherZone != other.request.OtherZone {
		return other.request.OtherZone
	}
	if !w.request.Deadline.Equal(other.request.Deadline) {
		return w.request.Deadline.Before(other.request.Deadline)
	}
	return w.sequence < other.sequence
}

// queue is sorted by rank, then virtual start, then zone, then deadline, then arrival. Queues are
// short, so a sorted slice is cheaper than a heap. It also yields the position of a request.
type queue []waiting

// position returns the index at which w would be inserted.
func (q queue) position(w *waiting) int {
	return sort.Search(len(q), func(i int) bool { return w.before(&q[i]) })
}

func (q *queue) insert(i int, w waiting) { *q = slices.Insert(*q, i, w) }

func (q *queue) remove(i int) waiting {
	w := (*q)[i]
	*q = slices.Delete(*q, i, i+1)
	return w
}

func (q queue) index(id uint64) int {
	return slices.IndexFunc(q, func(w waiting) bool { return w.id == id })
}
