package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// acceptor is a server that counts its connections and discards their data.
type acceptor struct {
	listener net.Listener
	mu       sync.Mutex
	accepted int
	maxOpen  int // highest number of connections open at the same time
	open     map[net.Conn]bool
}

func newAcceptor(t *testing.T) *acceptor {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &acceptor{listener: l, open: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); a.closeAll() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.accepted++
			a.open[c] = true
			a.maxOpen = max(a.maxOpen, len(a.open))
			a.mu.Unlock()
			go func() {
				_, _ = io.Copy(io.Discard, c)
				a.mu.Lock()
				delete(a.open, c)
				a.mu.Unlock()
				_ = c.Close()
			}()
		}
	}()
	return a
}

func (a *acceptor) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		_ = c.Close()
		delete(a.open, c)
	}
}

func (a *acceptor) counts() (accepted, open, peak int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted, len(a.open), a.maxOpen
}

// awaitOpen blocks until n connections are open.
func (a *acceptor) awaitOpen(t *testing.T, n int) {
	t.Helper()
	for _, open, _ := a.counts(); open != n; _, open, _ = a.counts() {
		if t.Context().Err() != nil {
			t.Fatalf("open connections at the end of the test = %d, want %d", open, n)
		}
		time.Sleep(time.Millisecond)
	}
}

func runSpares(t *testing.T, a *acceptor, limit int) *spares {
	s := newSpares(a.listener.Addr().String(), limit, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { s.run(ctx, func() bool { return true }) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return s
}

func mustDial(t *testing.T, s *spares) net.Conn {
	t.Helper()
	c, err := s.dial(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a request that has to wait until a connection is open, and against
// spares that are not replaced after they were used or closed.
func TestConnectionsAreOpenedInAdvance(t *testing.T) {
	a := newAcceptor(t)
	s := runSpares(t, a, 100)
	a.awaitOpen(t, spareCount)
	before, _, _ := a.counts()
	c := mustDial(t, s)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if after, _, _ := a.counts(); after > before+1 {
		t.Errorf("connections opened for one request = %d, want at most 1", after-before)
	}
	a.awaitOpen(t, spareCount+1)
	_ = c.Close()
	a.awaitOpen(t, spareCount)
	a.closeAll()
	a.awaitOpen(t, spareCount)
}

// Guards against more connections than the backend server allows.
func TestSparesStayWithinTheLimit(t *testing.T) {
	const limit = 6
	a := newAcceptor(t)
	s := runSpares(t, a, limit)
	// The connections in use are counted at the client, because the server may detect
	// later that one was closed.
	var inUseMu sync.Mutex
	inUse := 0
	var workers sync.WaitGroup
	for range limit {
		workers.Go(func() {
			for range 50 {
				c := mustDial(t, s)
				inUseMu.Lock()
				inUse++
				if inUse > limit {
					t.Errorf("connections in use = %d, want at most 6", inUse)
				}
				inUse--
				inUseMu.Unlock()
				_ = c.Close()
			}
		})
	}
	workers.Wait()
	s.mu.Lock()
	inUseNow := s.inUse
	s.mu.Unlock()
	if inUseNow != 0 {
		t.Errorf("connections in use after all were closed = %d, want 0", inUseNow)
	}
	a.awaitOpen(t, spareCount)
	var all []net.Conn
	for range limit {
		all = append(all, mustDial(t, s))
	}
	a.awaitOpen(t, limit)
	for _, c := range all {
		_ = c.Close()
	}
	a.awaitOpen(t, spareCount)
}

// Guards against dialling in a tight loop if the server closes idle connections
// immediately.
func TestSparesBackOff(t *testing.T) {
	s := newSpares("", 10, nil)
	var waits []time.Duration
	for range 12 {
		s.closedEarly = true
		waits = append(waits, s.add(nil, io.EOF))
	}
	if waits[0] != spareDelay || waits[1] != 2*spareDelay || waits[11] != spareDelayMax {
		t.Errorf("delays between 12 failed spares = %v, want 50ms (spareDelay) first, 100ms second and 10s (spareDelayMax) last", waits)
	}
	s.resetBackOff(&spare{opened: time.Now().Add(-2 * spareSettledAge)})
	if d := s.add(nil, io.EOF); d != spareDelay {
		t.Errorf("delay after a spare has reached the age of 1s (spareSettledAge) = %v, want 50ms (spareDelay)", d)
	}
}

// Guards against a first burst of requests that has to open all of its connections.
func TestNodeOpensSparesBeforeFirstRequest(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	requests := map[string]int{}
	b := newRawBackend(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		mu.Lock()
		requests[conn.RemoteAddr().String()]++
		mu.Unlock()
		return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	n := c.node("a", nil, b.use)
	for {
		n.local.backend.spares.mu.Lock()
		ready := len(n.local.backend.spares.idle)
		n.local.backend.spares.mu.Unlock()
		if ready == spareCount {
			break
		}
		time.Sleep(time.Millisecond)
	}
	expect(t, 200, "", "ok", "GET", n.caller.URL+"/x")
}
