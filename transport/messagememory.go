package transport

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/clock"
	"bramleymill/guard"
)

var errNoMemory = errors.New("the memory for control messages is used up")

// messageMemory bounds the memory of messages that peers send, of replies that they have not
// read, and of the receive windows that they are granted.
type messageMemory struct {
	budget *guard.Budget
	clock  clock.Clock

	mu       sync.Mutex
	messages map[*message]struct{}
	windows  map[*quic.Conn]int64 // bytes beyond the initial window of each open connection
	evicted  uint64               // messages that were given up
}

func newMessageMemory(bytes int64, k clock.Clock) *messageMemory {
	return &messageMemory{budget: guard.NewBudget(bytes), clock: k, messages: map[*message]struct{}{}, windows: map[*quic.Conn]int64{}}
}

// message is the memory of one message, which is being received, handled or answered.
type message struct {
	memory *messageMemory
	since  time.Time // begin of the transfer
	cancel func()    // gives up the transfer; nil while the message is handled
	bytes  int64
	ended  bool // nothing is held any more
}

// begin begins the transfer of a message. cancel gives it up.
func (m *messageMemory) begin(cancel func()) *message {
	r := &message{memory: m, since: m.clock.Now(), cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messages[r] = struct{}{}
	return r
}

// handle states that the message has arrived, so that it cannot be given up any more. It
// reports false if it was given up before.
func (r *message) handle() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.cancel = nil
	return !r.ended
}

// reply begins the transfer of a reply of the given size. It reports whether there is room for it.
func (r *message) reply(size int, cancel func()) bool {
	r.memory.mu.Lock()
	r.cancel, r.since = cancel, r.memory.clock.Now()
	r.memory.mu.Unlock()
	return r.grow(int64(size))
}

// grow reserves n more bytes. If the budget does not hold them, it gives up transfers that hold
// more or have taken longer. It reports false if that is not enough, or if this one was given up.
func (r *message) grow(n int64) bool {
	m := r.memory
	for !m.budget.Take(n) {
		if !m.makeRoom(r, n) {
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.ended {
		m.budget.Release(n)
		return false
	}
	r.bytes += n
	return true
}

// end returns what the message holds.
func (r *message) end() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.drop(r)
}

// drop is end for a caller that holds mu.
func (m *messageMemory) drop(r *message) {
	if !r.ended {
		r.ended = true
		m.budget.Release(r.bytes)
		delete(m.messages, r)
	}
}

// makeRoom gives up the heaviest transfer, if it is heavier than r with n more bytes. It reports
// whether there was one.
func (m *messageMemory) makeRoom(r *message, n int64) bool {
	now := m.clock.Now()
	m.mu.Lock()
	heaviest, victim := guard.Holder{Bytes: r.bytes + n, Nanos: int64(now.Sub(r.since))}, (*message)(nil)
	for other := range m.messages {
		h := guard.Holder{Bytes: other.bytes, Nanos: int64(now.Sub(other.since))}
		if other != r && other.cancel != nil && h.Heavier(heaviest) {
			heaviest, victim = h, other
		}
	}
	var cancel func()
	if victim != nil {
		cancel = victim.cancel
		m.drop(victim)
		m.evicted++
	}
	m.mu.Unlock()
	if victim == nil {
		return false
	}
	cancel()
	return true
}

// read reads a message of at most limit bytes.
func (r *message) read(from io.Reader, limit int64) ([]byte, error) {
	b, err := guard.ReadLimited(from, limit, r.grow)
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return nil, ErrTooLarge
	case errors.Is(err, guard.ErrMemory):
		return nil, errNoMemory
	case err != nil:
		return nil, err
	case !r.handle():
		return nil, errNoMemory
	}
	return b, nil
}

// track begins to count the receive window of a connection.
func (m *messageMemory) track(c *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.windows[c] = 0
}

// untrack returns what the receive window of a connection that has ended holds.
func (m *messageMemory) untrack(c *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(m.windows[c])
	delete(m.windows, c)
}

// growWindow reports whether the receive window of a connection may grow by delta bytes.
func (m *messageMemory) growWindow(c *quic.Conn, delta uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, open := m.windows[c]; !open || !m.budget.Take(int64(delta)) {
		return false
	}
	m.windows[c] += int64(delta)
	return true
}

// evictions returns the number of messages that were given up for lack of memory.
func (m *messageMemory) evictions() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evicted
}
