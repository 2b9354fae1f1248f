package faultlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// accept passes connections on. A cut in any direction closes connections and
// refuses new ones, because part of a TCP stream cannot be dropped.
func (l *Link) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		if l.faults.isCut(Forward) || l.faults.isCut(Backward) {
			c.Close()
			continue
		}
		l.goroutines.Go(func() { l.forwardConnection(c) })
	}
}

func (l *Link) forwardConnection(c net.Conn) {
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	if !l.track(c, t) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copyDirection(t, c, Forward) })
	both.Go(func() { l.copyDirection(c, t, Backward) })
	both.Wait()
	l.untrack(c, t)
}

// copyDirection copies one direction and passes the end of the stream on.
func (l *Link) copyDirection(to, from net.Conn, d Direction) {
	_, err := io.Copy(to, &heldReader{from, l.streams, d})
	if half, ok := to.(*net.TCPConn); ok && err == nil {
		half.CloseWrite()
		return
	}
	to.Close()
	from.Close()
}

// heldReader passes on what it reads when its direction lets it.
type heldReader struct {
	from      io.Reader
	streams   *streamFaults
	direction Direction
}

// Read reads from the connection and waits as the faults of its direction demand.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.streams.wait(r.direction)
	return n, err
}

// streamFaults holds the faults of the TCP connections of a link.
type streamFaults struct {
	mu     sync.Mutex
	changed *sync.Cond
	held   [2]bool
	delay  time.Duration
	closed bool
}

func newStreams() *streamFaults {
	s := &streamFaults{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *streamFaults) set(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *streamFaults) wait(d Direction) {
	s.mu.Lock()
	delay := s.delay
	for s.held[d] && !s.closed {
		s.changed.Wait()
	}
	s.mu.Unlock()
	time.Sleep(delay)
}

// isHeld reports whether a direction is held.
func (s *streamFaults) isHeld(d Direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[d]
}

// Hold silences a direction without an end that either side could see: what TCP
// connections carry arrives when the link is healed, and datagrams are lost.
func (l *Link) Hold(d Direction) { l.streams.set(func() { l.streams.held[d] = true }) }

// Delay lets each part that TCP connections carry arrive later by d.
func (l *Link) Delay(d time.Duration) { l.streams.set(func() { l.streams.delay = d }) }

// Reset closes all TCP connections of the link.
func (l *Link) Reset() { l.closeConnections() }

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			c.Close()
			continue
		}
		l.conns[c] = struct{}{}
	}
	return !l.closed
}

func (l *Link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

func (l *Link) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}
