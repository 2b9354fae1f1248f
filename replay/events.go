package replay

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time of the trace.
type event struct {
	at       time.Duration
	sequence uint64 // orders events of the same time
	do       func()
}

// events is the event queue and simulated clock. Events run in order of time; events of the
// same time run in the order in which they were scheduled.
type events struct {
	now      time.Duration
	sequence uint64
	heap     eventHeap
}

// at schedules an event. An event for a time in the past runs at the current time.
func (q *events) at(t time.Duration, do func()) {
	q.sequence++
	heap.Push(&q.heap, event{max(t, q.now), q.sequence, do})
}

func (q *events) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// run processes events until the queue is empty.
func (q *events) run() {
	for len(q.heap) > 0 {
		e := heap.Pop(&q.heap).(event)
		q.now = e.at
		e.do()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
