package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"bramleymill/clock"
)

// Spare connections to the backend server.
const (
	// spareTarget is the number of connections that are opened in advance. A
	// burst that needs more of them at once waits for their opening.
	spareTarget = 4
	// Delays before a spare is opened again after one could not be opened or ended
	// soon. The longest keeps a server that closes idle connections at once from
	// being dialled in a loop.
	spareDelay    = 50 * time.Millisecond
	spareDelayMax = 10 * time.Second
	// spareSettled is the age from which the end of a spare is taken for an idle
	// timeout of the server.
	spareSettled = time.Second
)

// spares opens connections to the backend server in advance and hands them out
// in place of a dial. Those that the server closes are replaced. The connections
// that were handed out and the spares together stay within a limit, as long as no
// more are in use than the limit.
type spares struct {
	address string
	limit   int
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	changed *sync.Cond
	idle    []*spare // oldest first
	out     int      // handed out and not closed
	opening bool     // a spare is being opened
	young   bool     // the server has closed a spare that was not settled
	delay   time.Duration
	wake    chan struct{}
}

func newSpares(address string, limit int) *spares {
	d := &net.Dialer{Timeout: dialTimeout}
	s := &spares{address: address, limit: limit, dialer: d.DialContext, delay: spareDelay, wake: make(chan struct{}, 1)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// dial returns a spare connection that is still open, otherwise a new one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	s.out++
	s.mu.Unlock()
	for sp := s.pop(); sp != nil; sp = s.pop() {
		s.kick()
		if sp.stop() {
			s.settled(sp)
			return &handedOut{TCPConn: sp.conn, spares: s}, nil
		}
		_ = sp.conn.Close()
	}
	conn, err := s.connect(ctx, network, address)
	if err != nil {
		s.returned()
		return nil, err
	}
	return &handedOut{TCPConn: conn, spares: s}, nil
}

func (s *spares) connect(ctx context.Context, network, address string) (*net.TCPConn, error) {
	conn, err := s.dialer(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.New("not a TCP connection")
	}
	return tcp, nil
}

// settled ends the back-off after a spare has lasted.
func (s *spares) settled(sp *spare) {
	if time.Since(sp.opened) >= spareSettled {
		s.mu.Lock()
		s.delay = spareDelay
		s.mu.Unlock()
	}
}

func (s *spares) pop() *spare {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) == 0 && s.opening && s.out >= s.limit {
		s.changed.Wait() // the connection that is being opened is the last one allowed
	}
	if len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1 // the one that was opened last has the longest to live
	sp := s.idle[last]
	s.idle = s.idle[:last]
	return sp
}

// returned records that a connection that was handed out is closed.
func (s *spares) returned() {
	s.mu.Lock()
	s.out--
	s.mu.Unlock()
	s.kick()
}

func (s *spares) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run keeps the spares until ctx ends, while the backend server is alive.
func (s *spares) run(ctx context.Context, alive func() bool) {
	defer s.close()
	for ctx.Err() == nil {
		if !alive() || !s.start() {
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

// start reports whether a spare is wanted, and counts it as being opened if so.
func (s *spares) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = len(s.idle) < spareTarget && s.out+len(s.idle) < s.limit
	return s.opening
}

// add keeps a new spare and returns how long to wait before the next one is opened.
func (s *spares) add(conn *net.TCPConn, err error) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = false
	s.changed.Broadcast()
	if err == nil {
		sp := &spare{conn: conn, opened: time.Now(), done: make(chan struct{})}
		s.idle = append(s.idle, sp)
		go sp.watch(s.gone)
		if !s.young {
			return 0
		}
	}
	s.young = false
	delay := s.delay
	s.delay = min(2*delay, spareDelayMax)
	return delay
}

// gone removes a spare that the server has closed.
func (s *spares) gone(sp *spare) {
	s.mu.Lock()
	i := slices.Index(s.idle, sp)
	if i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
		s.young = s.young || time.Since(sp.opened) < spareSettled
	}
	s.mu.Unlock()
	if i >= 0 {
		s.settled(sp)
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
	conn   *net.TCPConn
	opened time.Time
	done   chan struct{}
	err    error // of the read that watches the connection
}

// watch sees the server close the connection.
func (sp *spare) watch(gone func(*spare)) {
	var one [1]byte
	_, sp.err = sp.conn.Read(one[:])
	close(sp.done)
	if !errors.Is(sp.err, os.ErrDeadlineExceeded) {
		gone(sp)
	}
}

// stop ends the watching and reports whether the connection is open and silent.
func (sp *spare) stop() bool {
	if sp.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-sp.done
	return errors.Is(sp.err, os.ErrDeadlineExceeded) && sp.conn.SetReadDeadline(time.Time{}) == nil
}

// handedOut is a connection that counts against the limit until it is closed.
type handedOut struct {
	*net.TCPConn
	spares *spares
	once   sync.Once
}

// Close closes the connection.
func (h *handedOut) Close() error {
	h.once.Do(h.spares.returned)
	return h.TCPConn.Close()
}
