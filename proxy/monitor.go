package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the monitor.
const (
	redialDelay    = 50 * time.Millisecond // after a refused connection
	redialDelayMax = time.Second
	// evidenceWait bounds the wait for the end of the watched connection after
	// another connection broke. The kernel closes all connections of a process
	// that dies together.
	evidenceWait = 20 * time.Millisecond
	// evidenceAge is the time after its end for which the watched connection is
	// evidence of a death.
	evidenceAge = 200 * time.Millisecond
)

// monitor watches the backend server without putting load on it: it keeps one
// idle connection open and sees it close. A server that also closes idle
// connections is told from a dead one by connecting again, and by whether
// connections with requests break at the same time.
type monitor struct {
	address string
	hints   *drainHints
	onState func() // the state may have changed
	onDeath func(life uint64)
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	life    uint64
	alive   bool
	closed  time.Time     // end of the watched connection
	changed chan struct{} // closed and replaced on every change
	recheck chan struct{}
}

func newMonitor(address string, hints *drainHints, onState func(), onDeath func(uint64)) *monitor {
	return &monitor{address: address, hints: hints, onState: onState, onDeath: onDeath, dial: dialPlain,
		life: 1, changed: make(chan struct{}), recheck: make(chan struct{}, 1)}
}

func dialPlain(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// run watches until ctx ends.
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
		// A server that closes idle connections at once is not dialled in a loop.
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
	case <-m.recheck:
	case <-ctx.Done():
	}
}

// watch returns when the connection ends.
func (m *monitor) watch(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	var one [1]byte
	for {
		// A backend server sends nothing on a connection without a request,
		// except for an error answer before it closes it.
		if _, err := conn.Read(one[:]); err != nil {
			break
		}
	}
	if ctx.Err() == nil {
		m.update(func() { m.closed = time.Now() })
	}
}

// update changes the state under the lock and wakes those who wait for a change.
func (m *monitor) update(f func()) {
	m.mu.Lock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
}

func (m *monitor) up() {
	var rose bool
	m.update(func() { rose, m.alive = !m.alive, true })
	if rose {
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
	ended := m.endLife()
	m.mu.Unlock()
	m.onState()
	go m.onDeath(ended)
}

// endLife starts the next life and returns the one that ended. The caller holds mu.
func (m *monitor) endLife() uint64 {
	ended := m.life
	m.life++
	m.closed = time.Time{}
	close(m.changed)
	m.changed = make(chan struct{})
	return ended
}

// Generation returns the number of the current life of the backend server.
func (m *monitor) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// Alive reports whether the backend server accepts connections.
func (m *monitor) Alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

// Died reports whether a life has ended. It is asked after a connection with a
// request broke, which is one half of the evidence; the other half is the end
// of the watched connection.
func (m *monitor) Died(ctx context.Context, life uint64) bool {
	timer := time.NewTimer(evidenceWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.life > life {
			m.mu.Unlock()
			return true
		}
		if !m.closed.IsZero() && time.Since(m.closed) < evidenceAge {
			m.endLife()
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

// check makes the monitor connect again without delay.
func (m *monitor) check() {
	select {
	case m.recheck <- struct{}{}:
	default:
	}
}

// answered learns from an answer of the backend server and reports whether it
// hints at draining.
func (m *monitor) answered(resp *http.Response) bool {
	return m.hints.answered(resp.StatusCode, resp.Close || resp.Header.Get("Draining") != "")
}
