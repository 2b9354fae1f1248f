package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"bramleymill/clock"
	"bramleymill/guard"
)

// Parameters of the spare connections to the backend server.
const (
	// spareCount is the number of connections that are opened in advance. A burst of
	// requests that needs more connections has to wait until they are open.
	spareCount = 4
	// Delays before the next spare is opened, after one could not be opened or was
	// closed early. The maximum prevents dialling in a tight loop if the server closes
	// idle connections immediately.
	spareDelay    = 50 * time.Millisecond
	spareDelayMax = 10 * time.Second
	// spareSettledAge is the age from which the end of a spare counts as an idle time-out
	// of the server.
	spareSettledAge = time.Second
)

// spares opens connections to the backend server in advance and returns them from
// dial instead of new ones. Spares that the server closes are replaced. The number of
// spares and connections in use together stays within limit, unless the connections
// in use alone exceed it.
type spares struct {
	address string
	limit   int
	sockets *guard.Sockets // bounds the buffers of the connections
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)

	mu          sync.Mutex
	changed     *sync.Cond
	idle        []*spare      // oldest first
	inUse       int           // number of connections returned by dial and not yet closed
	opening     bool          // a spare is being opened
	closedEarly bool          // the server has closed a spare younger than spareSettledAge
	delay       time.Duration // delay after the next failure or early end; it doubles up to spareDelayMax
	wake        chan struct{} // makes run check again whether a spare is to be opened
}

func newSpares(address string, limit int, sockets *guard.Sockets) *spares {
	d := backendDialer(sockets)
	s := &spares{address: address, limit: limit, sockets: sockets, dialer: d.DialContext, delay: spareDelay, wake: make(chan struct{}, 1)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// dial returns a spare connection that is still open, otherwise a new one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	s.inUse++
	s.mu.Unlock()
	for sp := s.pop(); sp != nil; sp = s.pop() {
		s.kick()
		if sp.stop() {
			s.resetBackOff(sp)
			return &usedConn{Socket: sp.conn, spares: s}, nil
		}
		_ = sp.conn.Close()
	}
	conn, err := s.connect(ctx, network, address)
	if err != nil {
		s.recordClosed()
		return nil, err
	}
	return &usedConn{Socket: conn, spares: s}, nil
}

// backendDialer returns the dialer for connections to the backend server.
func backendDialer(sockets *guard.Sockets) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error { return sockets.Control(raw) }}
}

func (s *spares) connect(ctx context.Context, network, address string) (*guard.Socket, error) {
	conn, err := s.dialer(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.New("the opened connection is not a TCP connection")
	}
	return s.sockets.WrapTCP(tcp), nil
}

// resetBackOff resets the delay between spares if sp has reached the age spareSettledAge.
func (s *spares) resetBackOff(sp *spare) {
	if time.Since(sp.opened) >= spareSettledAge {
		s.mu.Lock()
		s.delay = spareDelay
		s.mu.Unlock()
	}
}

func (s *spares) pop() *spare {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) == 0 && s.opening && s.inUse >= s.limit {
		s.changed.Wait() // the limit allows no connection besides the one being opened
	}
	if len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1 // the most recently opened one is the last to reach the idle time-out
	sp := s.idle[last]
	s.idle = s.idle[:last]
	return sp
}

// recordClosed records that a connection in use has been closed.
func (s *spares) recordClosed() {
	s.mu.Lock()
	s.inUse--
	s.mu.Unlock()
	s.kick()
}

// kick makes run check again whether a spare is to be opened.
func (s *spares) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run opens spares while the backend server is alive, until ctx ends.
func (s *spares) run(ctx context.Context, alive func() bool) {
	defer s.close()
	for ctx.Err() == nil {
		if !alive() || !s.startOpening() {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		conn, err := s.connect(ctx, "tcp", s.address)
		if delay := s.add(conn, err); delay > 0 {
			clock.Sleep(ctx, delay)
		}
	}
}

// startOpening reports whether another spare is to be opened, and if so records that it is
// being opened.
func (s *spares) startOpening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = len(s.idle) < spareCount && s.inUse+len(s.idle) < s.limit
	return s.opening
}

// add adds a new spare and returns the delay before the next one is opened.
func (s *spares) add(conn *guard.Socket, err error) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = false
	s.changed.Broadcast()
	if err == nil {
		sp := &spare{conn: conn, opened: time.Now(), done: make(chan struct{})}
		s.idle = append(s.idle, sp)
		go sp.watch(s.removeClosed)
		if !s.closedEarly {
			return 0
		}
	}
	s.closedEarly = false
	delay := s.delay
	s.delay = min(2*delay, spareDelayMax)
	return delay
}

// removeClosed removes a spare that the server has closed.
func (s *spares) removeClosed(sp *spare) {
	s.mu.Lock()
	i := slices.Index(s.idle, sp)
	if i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
		s.closedEarly = s.closedEarly || time.Since(sp.opened) < spareSettledAge
	}
	s.mu.Unlock()
	if i >= 0 {
		s.resetBackOff(sp)
		_ = sp.conn.Close()
		s.kick()
	}
}

func (s *spares) close() {
	for sp := s.pop(); sp != nil; sp = s.pop() {
		_ = sp.conn.Close()
	}
}

// spare is an open connection without a request.
type spare struct {
	conn   *guard.Socket
	opened time.Time
	done   chan struct{}
	err    error // result of the read in watch
}

// watch blocks in a read until the server closes the connection or stop interrupts
// it.
func (sp *spare) watch(onClose func(*spare)) {
	var one [1]byte
	_, sp.err = sp.conn.Read(one[:])
	close(sp.done)
	if !errors.Is(sp.err, os.ErrDeadlineExceeded) {
		onClose(sp)
	}
}

// stop ends watch and reports whether the connection is open and has received no
// data.
func (sp *spare) stop() bool {
	if sp.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-sp.done
	return errors.Is(sp.err, os.ErrDeadlineExceeded) && sp.conn.SetReadDeadline(time.Time{}) == nil
}

// usedConn is a connection in use. It counts against the limit until it is closed.
type usedConn struct {
	*guard.Socket
	spares *spares
	once   sync.Once
}

// Close closes the connection. Only the first call reduces the number of connections in
// use.
func (h *usedConn) Close() error {
	h.once.Do(h.spares.recordClosed)
	return h.Socket.Close()
}
