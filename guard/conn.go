package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ConnCost is the memory that is reserved for each connection: the goroutine and the buffers
// of the HTTP server.
const ConnCost = 16 << 10

// requestCost is the memory that is reserved for each request in flight: stack, copy buffer,
// small body and records.
const requestCost = 24 << 10

// phase is what a connection does.
type phase = int32

const (
	waiting   phase = iota // for the first byte of a head
	reading                // a head
	serving                // the head is complete
	finishing              // the handler has returned, and the rest of the answer is sent
)

// Conn is a connection of a Door.
type Conn struct {
	net.Conn
	door    *Door
	guard   *Guard
	address string
	phase   atomic.Int32
	since   atomic.Int64 // begin of the phase in Unix nanoseconds; not set for serving
	body    atomic.Int64 // since when a read of the body has waited, in Unix nanoseconds; zero: none
	writing atomic.Int64 // since when a write has waited, in Unix nanoseconds; zero: none
	used    atomic.Bool  // a request was served before

	pipelined atomic.Bool // requests arrived before the answer of another
	left      atomic.Bool // the client has left, and its requests are cancelled
	lingers   atomic.Bool // closed, but read until the client has the last answer

	// Used by the goroutine that reads.
	head    HeadReader
	charged int64 // for the head
	ended   bool  // a bound was reached, and nothing more is read

	mu      sync.Mutex
	held    int64 // of the budget
	buffers bool  // a body is being read into memory, and nothing of it was passed on
	closed  bool
	cancel  context.CancelFunc // cancels the requests; nil before ConnContext
}

func newConn(raw net.Conn, d *Door, address string) *Conn {
	c := &Conn{Conn: raw, door: d, guard: d.guard, address: address, held: ConnCost}
	c.guard.budget.Force(ConnCost) // the number of connections is bounded
	c.since.Store(time.Now().UnixNano())
	c.guard.mu.Lock()
	c.guard.conns[c] = struct{}{}
	c.guard.mu.Unlock()
	if !d.config.Opaque {
		l := d.config.Limits()
		_ = c.Conn.SetReadDeadline(time.Now().Add(l.firstByteTime())) // a broken connection fails at its first read
	}
	return c
}

// Read reads from the connection and follows the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if c.door.config.Opaque {
		return n, err
	}
	if ph := c.phase.Load(); ph != waiting && ph != reading {
		c.notePipelined(len(p), n)
		return n, err
	}
	if n > 0 {
		if bound := c.follow(p[:n]); bound != "" {
			c.ended = true
			c.refuse(bound)
			return 0, io.EOF
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
		if c.head.Begun() {
			c.refuse(HeadTime)
		} else {
			c.guard.report(IdleTime, c.door, c.address)
		}
		return n, io.EOF
	}
	return n, err
}

// follow follows the head and draws on the budget for it. It returns the bound that was reached.
func (c *Conn) follow(p []byte) Bound {
	limits := c.door.config.Limits()
	first := !c.head.Begun()
	if _, bound := c.head.Feed(p, HeadLimits{Bytes: limits.HeadBytes, Lines: c.door.config.HeadLines, EmptyLines: maxEmptyLines}); bound != "" {
		return bound
	}
	if cost := c.head.Cost(); cost > c.charged {
		if !c.Grow(cost - c.charged) {
			return Memory
		}
		c.charged = cost
	}
	if c.head.Complete() {
		c.enterServing()
	} else if first {
		now := time.Now()
		c.since.Store(now.UnixNano())
		c.setPhase(reading)
		_ = c.Conn.SetReadDeadline(now.Add(limits.HeadTime)) // a broken connection fails at its next read
	}
	return ""
}

func (c *Conn) enterServing() {
	c.setPhase(serving)
	_ = c.Conn.SetReadDeadline(time.Time{}) // a broken connection fails at its next read
}

// setPhase holds the lock so that a connection is closed either before it enters the phase or
// as one that is in it.
func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(p)
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads of a body. The limits of the door apply to a head.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if ph := c.phase.Load(); !c.door.config.Opaque && (ph == waiting || ph == reading) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if t := tcpConn(c.Conn); t != nil {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds of the budget. With unread requests it
// does both as soon as the client has received the last answer.
func (c *Conn) Close() error {
	if t := tcpConn(c.Conn); t != nil && c.pipelined.Load() && !c.left.Load() && !c.lingers.Swap(true) {
		go c.linger(t)
		return nil
	}
	c.release(nil)
	return c.Conn.Close()
}

// release returns what the connection holds. It reports false if that was done before, or if
// permitted is not nil and returns false.
func (c *Conn) release(permitted func() bool) bool {
	c.mu.Lock()
	if c.closed || permitted != nil && !permitted() {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	held, cancel := c.held, c.cancel
	c.held = 0
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	c.guard.budget.Release(held)
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	c.door.leave(c.address)
	return true
}

// begin reserves the memory of a request in flight. It reports false if the budget does not
// hold it.
func (c *Conn) begin() bool {
	switch {
	case c.phase.Load() == serving:
	case c.door.config.Opaque:
		c.setPhase(serving)
	default:
		c.enterServing() // the whole head was read together with the request before it
	}
	return c.Grow(requestCost)
}

// end returns the memory of a request. The rest of its answer may still have to be sent.
func (c *Conn) end() {
	c.used.Store(true)
	c.body.Store(0)
	c.mu.Lock()
	c.buffers = false
	c.phase.Store(finishing)
	extra := c.held - ConnCost
	if c.closed {
		extra = 0
	}
	c.held -= extra
	c.mu.Unlock()
	c.guard.budget.Release(extra)
}

// await begins to wait for the next request.
func (c *Conn) await() {
	now := time.Now()
	c.since.Store(now.UnixNano())
	if c.door.config.Opaque {
		c.setPhase(waiting)
		return
	}
	c.head, c.charged = HeadReader{}, 0
	c.setPhase(waiting)
	_ = c.Conn.SetReadDeadline(now.Add(c.door.config.Limits().IdleTime)) // a broken connection fails at its next read
}

// Grow reserves n more bytes for the request until it ends. If the budget does not hold them,
// Grow closes connections that hold more. It reports false if that is not enough; the request
// must then be refused.
func (c *Conn) Grow(n int64) bool {
	if c == nil || n <= 0 {
		return true
	}
	for !c.guard.budget.Take(n) {
		if !c.guard.makeRoom(c, n) {
			c.guard.report(Memory, c.door, c.address)
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.guard.budget.Release(n)
		return false
	}
	c.held += n
	return true
}

// Shrink returns n bytes that Grow has reserved.
func (c *Conn) Shrink(n int64) {
	if c == nil || n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.held -= n
		c.guard.budget.Release(n)
	}
}

// BeginBody states that a body is read into memory before anything of it is passed on.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since.Store(time.Now().UnixNano())
	c.buffers = true
}

// EndBody states that the body is read into memory as far as necessary. It reports false if
// the connection was closed meanwhile; the request must then not be passed on, because it may
// have been answered as not run.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffers = false
	return !c.closed
}

// BeginRead states that a read of the body begins, which must yield a byte within the limit
// of the door.
func (c *Conn) BeginRead() {
	if c != nil {
		c.body.Store(time.Now().UnixNano())
	}
}

// EndRead states that the read has returned.
func (c *Conn) EndRead() {
	if c != nil {
		c.body.Store(0)
	}
}

// holder returns what the connection holds beyond its fixed part, and whether the connection
// may be closed to make room. That is the case while it receives a request that was not passed
// on, and while its client lets a read or write wait.
func (c *Conn) holder(now int64) (Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderLocked(now)
}

// holderLocked is holder for a caller that holds mu.
func (c *Conn) holderLocked(now int64) (Holder, bool) {
	h := Holder{Bytes: c.held - ConnCost}
	if c.closed {
		return h, false
	}
	if c.receiving() {
		h.Nanos = now - c.since.Load()
		return h, true
	}
	h.Nanos = max(waitSince(&c.body, now), waitSince(&c.writing, now))
	return h, c.slow(now)
}

// Times after which a client is slow that does not send its body or does not read its answer.
// A client that sends a byte a second is not slow. A write ends only when much has been read,
// which may take a few seconds on a busy link.
const (
	slowBody   = 2 * time.Second
	slowAnswer = 5 * time.Second
)

// slow reports whether the client lets a read of its body or a write of its answer wait.
func (c *Conn) slow(now int64) bool {
	return waitSince(&c.body, now) > int64(slowBody) || waitSince(&c.writing, now) > int64(slowAnswer)
}

func waitSince(at *atomic.Int64, now int64) int64 {
	if v := at.Load(); v != 0 {
		return now - v
	}
	return 0
}

// receiving reports whether the connection receives a request that was not passed on. The
// caller holds mu.
func (c *Conn) receiving() bool {
	ph := c.phase.Load()
	return ph == reading || ph == serving && c.buffers
}

// withoutRequest reports whether no request has been received completely.
func (c *Conn) withoutRequest() bool {
	ph := c.phase.Load()
	return ph == waiting || ph == reading
}

// stalled returns the bound that a client has reached which sends nothing of its body or does
// not read its answer.
func (c *Conn) stalled(now int64) Bound {
	config := &c.door.config
	switch {
	case config.BodyTime > 0 && waitSince(&c.body, now) > int64(config.BodyTime):
		return BodyTime
	case config.AnswerTime > 0 && waitSince(&c.writing, now) > int64(config.AnswerTime):
		return AnswerTime
	}
	return ""
}

// evict closes the connection because of a bound, if permitted returns true. It answers a
// request that was not passed on. It reports whether it closed the connection.
func (c *Conn) evict(b Bound, permitted func() bool) bool {
	notRun := false
	if !c.release(func() bool { notRun = c.receiving(); return permitted() }) {
		return false
	}
	c.guard.report(b, c.door, c.address)
	if notRun && !c.door.config.Opaque {
		c.answer(b)
	}
	_ = c.Conn.Close()
	return true
}
