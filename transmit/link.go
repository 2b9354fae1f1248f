package transmit

import (
	"context"
	"sync"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
)

// stallTime is the time after which an answer whose receiver does not read passes its turn on.
// It is longer than a round trip between availability zones.
const stallTime = 50 * time.Millisecond

// Link schedules the answers that a node sends to other nodes. A nil Link sends everything at
// once. It is safe for concurrent use.
type Link struct {
	clock clock.Clock

	mu        sync.Mutex
	scheduler *Scheduler
	estimate  *Estimate
	waiters   map[uint64]chan struct{} // answers that wait for their turns
}

// usableShare is the share of the bandwidth that is scheduled. The rest carries what is not
// counted: the headers of packets, repeated packets, reservations and requests. If all of it were
// scheduled, the queue of the link would grow for as long as large answers are waiting.
const usableShare = 0.88

// NewLink returns a Link with the given bandwidth in bytes a second, or nil if the bandwidth is
// not known.
func NewLink(bytesPerSecond float64, k clock.Clock) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Link{clock: k, scheduler: NewScheduler(usableShare * bytesPerSecond), estimate: NewEstimate(), waiters: map[uint64]chan struct{}{}}
}

// Load is what a request of a class adds to the link and finds there.
type Load struct {
	Wait     time.Duration // time until everything that is written, waits or will soon be written is sent
	Transfer time.Duration // expected time for the answer itself
}

// Load returns the load for a request of a class. A class with small answers does not wait.
func (l *Link) Load(class string) Load {
	if l == nil {
		return Load{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.estimate.Mean(class)
	if mean <= SmallAnswer {
		return Load{}
	}
	return Load{l.backlog(), l.scheduler.Transfer(mean)}
}

// Backlog returns the time until everything that is written, waits or will soon be written is
// sent.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog()
}

func (l *Link) backlog() time.Duration {
	return l.scheduler.Backlog(l.clock.Now()) + l.scheduler.Transfer(l.estimate.Running())
}

// Start records that a request runs whose answer will be sent on the link. The returned function
// must be called when the answer begins to be sent or the request has failed; further calls have
// no effect.
func (l *Link) Start(class string) (end func()) {
	if l == nil {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := l.estimate.Start(class)
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.estimate.End(expected)
	})
}

// Send writes the body of an answer. A body above SmallAnswer waits for its turn and is written
// in chunks at the rate of the link.
func (l *Link) Send(ctx context.Context, class string, urgency fleet.Urgency, body []byte, write func([]byte) error) error {
	if l == nil {
		return write(body)
	}
	if len(body) <= SmallAnswer {
		l.mu.Lock()
		l.estimate.Observe(class, int64(len(body)))
		l.scheduler.WriteSmall(l.clock.Now(), len(body))
		l.mu.Unlock()
		return write(body)
	}
	id, turn := l.add(class, urgency, len(body))
	left := body
	defer func() { l.remove(id, len(left)) }()
	select {
	case <-turn:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	stalled := time.AfterFunc(stallTime, func() { l.yield(id) })
	defer stalled.Stop()
	for len(left) > 0 {
		n := min(len(left), ChunkBytes)
		l.mu.Lock()
		wait := l.scheduler.Write(l.clock.Now(), n)
		l.mu.Unlock()
		chunk := left[:n]
		left = left[n:]
		if wait > 0 && !clock.Sleep(ctx, wait) {
			return context.Cause(ctx)
		}
		stalled.Reset(stallTime)
		if err := write(chunk); err != nil {
			return err
		}
		stalled.Reset(stallTime + wait)
	}
	return nil
}

func (l *Link) add(class string, urgency fleet.Urgency, bytes int) (id uint64, turn chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimate.Observe(class, int64(bytes))
	id, turn = l.scheduler.Add(int64(bytes), urgency), make(chan struct{})
	l.waiters[id] = turn
	l.wake()
	return id, turn
}

func (l *Link) remove(id uint64, unsent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Remove(id, int64(unsent))
	delete(l.waiters, id)
	l.wake()
}

func (l *Link) yield(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Yield(id)
	l.wake()
}

// wake lets the answer that has the turn proceed. The caller holds mu.
func (l *Link) wake() {
	id := l.scheduler.Turn()
	if turn, ok := l.waiters[id]; ok {
		delete(l.waiters, id)
		close(turn)
	}
}
