package faultlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// accept forwards TCP connections to the node. While a direction is cut it closes new
// connections, because a part of a TCP stream cannot be dropped.
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

// copyDirection copies the data of a connection in one direction and forwards the end
// of the stream.
func (l *Link) copyDirection(to, from net.Conn, d Direction) {
	_, err := io.Copy(to, &heldReader{from, l.streams, d})
	if tcpConn, ok := to.(*net.TCPConn); ok && err == nil {
		tcpConn.CloseWrite()
		return
	}
	to.Close()
	from.Close()
}

// heldReader reads from a connection. It returns the data after the delay of the link. While
// its direction is held by Hold, it returns nothing.
type heldReader struct {
	from      io.Reader
	streams   *streamFaults
	direction Direction
}

// Read reads from the connection and then waits until the data may be passed on.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.streams.wait(r.direction)
	return n, err
}

// streamFaults contains the faults of the TCP connections of a link.
type streamFaults struct {
	mu      sync.Mutex
	changed *sync.Cond
	held    [2]bool // by Direction
	delay   time.Duration
	closed  bool
}

func newStreamFaults() *streamFaults {
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

// isHeld reports whether a direction is stalled by Hold.
func (s *streamFaults) isHeld(d Direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[d]
}

// Hold stalls a direction while its connections stay open for both sides. The data of
// TCP connections arrives after Heal, and datagrams are lost.
func (l *Link) Hold(d Direction) { l.streams.set(func() { l.streams.held[d] = true }) }

// DelayConnections delays each chunk of data that is read from a TCP connection by d.
func (l *Link) DelayConnections(d time.Duration) { l.streams.set(func() { l.streams.delay = d }) }

// Reset closes all TCP connections of the link.
func (l *Link) Reset() { l.closeConnections() }

// track adds connections to those that closeConnections closes. If the link is closed, it
// closes them and returns false.
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

// untrack closes connections and removes them from those that closeConnections closes.
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
