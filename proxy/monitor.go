package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleymill/guard"
)

const (
	redialDelay    = 50 * time.Millisecond // delay before connecting again after a refused connection
	redialDelayMax = time.Second           // limit of the delay, which doubles while connections close early
	// evidenceWait bounds the wait for the end of the watched connection after another
	// connection broke. A short wait is enough, because the kernel closes all connections
	// of a process together when the process ends.
	evidenceWait = 20 * time.Millisecond
	// evidenceAge is the time for which the end of the watched connection counts as
	// evidence that the process has ended.
	evidenceAge = 200 * time.Millisecond
	// maxUnaskedBytes is the number of bytes that are read on the watched connection.
	maxUnaskedBytes = 64 << 10
)

// monitor detects the start and the end of the backend server process without
// putting load on it: it keeps one idle connection open and detects when it closes.
// A server may also close an idle connection while its process continues to run. To
// distinguish the two cases, the monitor connects again. Died concludes that the process
// has ended if the watched connection and a connection with a request both ended.
type monitor struct {
	address string
	hints   *drainHints
	onState func()                  // called when the server has started or ended
	onEnd   func(generation uint64) // called with the generation that has ended
	// onClosed is called when the watched connection has closed. It may be nil.
	onClosed func()
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu         sync.Mutex
	generation uint64
	alive      bool
	closedAt   time.Time     // when the watched connection closed
	changed    chan struct{} // closed and replaced on every change
	redial     chan struct{} // ends a pause before the next connection
}

func newMonitor(address string, sockets *guard.Sockets, hints *drainHints, onState func(), onEnd func(uint64)) *monitor {
	return &monitor{address: address, hints: hints, onState: onState, onEnd: onEnd, dial: monitorDial(sockets),
		generation: 1, changed: make(chan struct{}), redial: make(chan struct{}, 1)}
}

func monitorDial(sockets *guard.Sockets) func(ctx context.Context, address string) (net.Conn, error) {
	d := backendDialer(sockets)
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return sockets.Wrap(conn), nil
	}
}

// run monitors the backend server until ctx ends.
func (m *monitor) run(ctx context.Context) {
	delay := redialDelay
	for ctx.Err() == nil {
		conn, err := m.dial(ctx, m.address)
		if err != nil {
			m.down()
			m.pause(ctx, delay)
			continue
		}
		m.up()
		opened := time.Now()
		m.watch(ctx, conn)
		if time.Since(opened) > redialDelayMax {
			delay = redialDelay
			continue
		}
		// The delay prevents dialling in a tight loop if the server closes idle
		// connections immediately.
		if !m.reachable(ctx) {
			m.down()
		}
		m.pause(ctx, delay)
		delay = min(2*delay, redialDelayMax)
	}
}

func (m *monitor) reachable(ctx context.Context) bool {
	conn, err := m.dial(ctx, m.address)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

func (m *monitor) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.redial:
	case <-ctx.Done():
	}
}

// watch blocks until the connection closes, and records the time of the end.
func (m *monitor) watch(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	// On a connection without a request, a backend server sends at most an error answer
	// before it closes the connection. A connection on which it sends more is given up,
	// which shows nothing about the process.
	n, err := io.CopyN(io.Discard, conn, maxUnaskedBytes)
	if n < maxUnaskedBytes && err != nil && ctx.Err() == nil {
		m.update(func() { m.closedAt = time.Now() })
		if m.onClosed != nil {
			m.onClosed()
		}
	}
}

// update calls f with the lock held and notifies the goroutines that wait for a
// change.
func (m *monitor) update(f func()) {
	m.mu.Lock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
}

func (m *monitor) up() {
	var started bool
	m.update(func() { started, m.alive = !m.alive, true })
	if started {
		m.hints.reset()
		m.onState()
	}
}

func (m *monitor) down() {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	m.alive = false
	ended := m.endGeneration()
	m.mu.Unlock()
	m.onState()
	go m.onEnd(ended)
}

// endGeneration starts the next generation and returns the number of the one that
// ended. The caller holds mu.
func (m *monitor) endGeneration() uint64 {
	ended := m.generation
	m.generation++
	m.closedAt = time.Time{}
	close(m.changed)
	m.changed = make(chan struct{})
	return ended
}

// Generation returns the number of the current generation of the backend server.
func (m *monitor) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// Alive reports whether the backend server accepts connections.
func (m *monitor) Alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

// Died reports whether a generation has ended. It is called after a connection with
// a request broke, which is one half of the evidence. The other half is the end of
// the watched connection, for which Died waits for at most evidenceWait.
func (m *monitor) Died(ctx context.Context, generation uint64) bool {
	timer := time.NewTimer(evidenceWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.generation > generation {
			m.mu.Unlock()
			return true
		}
		if !m.closedAt.IsZero() && time.Since(m.closedAt) < evidenceAge {
			m.endGeneration()
			m.mu.Unlock()
			return true
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// redialNow makes the monitor connect again without delay.
func (m *monitor) redialNow() {
	select {
	case m.redial <- struct{}{}:
	default:
	}
}

// recordAnswer records an answer of the backend server and reports whether it is a hint
// that the server is draining.
func (m *monitor) recordAnswer(resp *http.Response) bool {
	return m.hints.recordAnswer(resp.StatusCode, resp.Close || resp.Header.Get("Draining") != "")
}
