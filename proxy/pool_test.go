package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pipePool returns a pool whose connections are pipes. Opening one waits for a
// value from allow: nil opens it, an error makes it fail.
func pipePool(t *testing.T, maxOpen, maxIdle int) (p *pool, allow chan error) {
	allow = make(chan error)
	p = newPool(func(ctx context.Context, _ string) (net.Conn, error) {
		select {
		case err := <-allow:
			if err != nil {
				return nil, err
			}
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return near, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}, maxOpen, maxIdle, 0)
	t.Cleanup(p.close)
	return p, allow
}

// startGet calls get in another goroutine and returns when that goroutine waits for a
// connection.
func startGet(ctx context.Context, t *testing.T, p *pool) <-chan openResult {
	t.Helper()
	before := waiters(p)
	out := make(chan openResult, 1)
	go func() {
		l, err := p.get(ctx, "a")
		out <- openResult{l, err}
	}()
	waitUntil(t, "a goroutine waits for a connection", func() bool { return waiters(p) > before })
	return out
}

// waitUntil blocks until f returns true.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for !f() {
		if t.Context().Err() != nil {
			t.Fatalf("condition still not met at the end of the test, want it met: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func waiters(p *pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts["a"]; h != nil {
		return len(h.waiters)
	}
	return 0
}

// Guards against more connections to a backend server than it accepts, and against a
// waiter that is not woken when a connection ends.
func TestPoolKeepsTheLimit(t *testing.T) {
	p, allow := pipePool(t, 1, 1)
	first := startGet(t.Context(), t, p)
	allow <- nil
	held := <-first
	second := startGet(t.Context(), t, p)
	p.mu.Lock()
	open := p.hosts["a"].open
	p.mu.Unlock()
	if open != 1 {
		t.Fatalf("open connections with a limit of 1 and a waiter = %d, want 1", open)
	}
	p.discard("a", held.link)
	allow <- nil // another one may be opened only now
	if got := <-second; got.err != nil || got.link == held.link {
		t.Fatalf("waiter after the only connection was closed: got %+v, want a new connection", got)
	}
}

// Guards against waiting for a new connection although another one has become idle,
// and against the loss of the new one.
func TestPoolPassesIdleConnectionToWaiter(t *testing.T) {
	p, allow := pipePool(t, 0, 2)
	first := startGet(t.Context(), t, p)
	allow <- nil
	held := <-first
	second := startGet(t.Context(), t, p)
	p.put("a", held.link)
	if got := <-second; got.link != held.link {
		t.Fatalf("waiter after a connection became idle: got %+v, want that connection", got)
	}
	allow <- nil
	waitUntil(t, "the new connection is kept", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.hosts["a"].idle) == 1
	})
}

// Guards against a failure to connect that is not reported to a waiter or that is
// reported to several, and against hosts that are kept without connections.
func TestPoolReportsFailedConnection(t *testing.T) {
	p, allow := pipePool(t, 0, 2)
	first, second := startGet(t.Context(), t, p), startGet(t.Context(), t, p)
	failure := errors.New("refused")
	allow <- failure
	allow <- nil
	a, b := <-first, <-second
	if errors.Is(a.err, failure) == errors.Is(b.err, failure) {
		t.Fatalf("two waiters, one failed connection: errors = %v and %v, want the failure for one of them and no error for the other", a.err, b.err)
	}
	for _, o := range []openResult{a, b} {
		if o.link != nil {
			p.discard("a", o.link)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hosts) != 0 {
		t.Fatalf("hosts in the pool after all connections were closed = %d, want 0", len(p.hosts))
	}
}

// Guards against the loss of a connection that was being opened for a caller that has
// disconnected.
func TestPoolKeepsConnectionOfDisconnectedCaller(t *testing.T) {
	p, allow := pipePool(t, 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	first := startGet(ctx, t, p)
	cancel()
	if got := <-first; !errors.Is(got.err, context.Canceled) {
		t.Fatalf("get with a cancelled context: got %+v, want context.Canceled", got)
	}
	allow <- nil
	l, err := p.get(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	p.close()
	p.put("a", l)
	if _, err := l.countedConn.Conn.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("write to a connection that was put into a closed pool: error = %v, want io.ErrClosedPipe", err)
	}
}

// Guards against the loss of a request when the backend server closes idle connections.
// No goroutine reads from them, so their end has to be detected before a request is
// written.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	for name, ending := range map[string]string{"closed": "", "with an error answer": "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			backend := newRawBackend(t, func(c net.Conn, r *http.Request, n int32) bool {
				if r.Method != http.MethodPost {
					return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				_, _ = io.Copy(io.Discard, r.Body)
				// One write, so that the answer arrives before the end.
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+ending)
				_ = c.Close()
				closed <- struct{}{}
				return false
			})
			c := newCluster(t)
			server := c.node("a", nil, backend.use)
			for i := range 20 {
				resp, err := http.Post(server.caller.URL+"/x", "text/plain", strings.NewReader(fmt.Sprint("order ", i)))
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || string(body) != "ok" {
					t.Fatalf("request %d: status = %s, body = %q, error = %v; want body \"ok\" and no error", i, resp.Status, body, err)
				}
				<-closed
			}
		})
	}
}

// Guards against headers of unlimited size, with which a backend server could exhaust
// the memory of its node.
func TestAnswerHeadersAreBounded(t *testing.T) {
	backend := newRawBackend(t, func(c net.Conn, r *http.Request, _ int32) bool {
		if r.URL.Path != "/x" {
			return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		write(c, "HTTP/1.1 200 OK\r\n")
		for i := 0; write(c, fmt.Sprintf("H-%d: %s\r\n", i, strings.Repeat("x", 8<<10))); i++ {
		}
		return false
	})
	c := newCluster(t)
	server := c.node("a", nil, backend.use)
	resp, err := http.Post(server.caller.URL+"/x", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout && resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("answer with headers of unlimited size: status = %s, want 502 or 504", resp.Status)
	}
}

// A connection that was opened for a disconnected caller stays in the pool unused, where
// the server may close it. Guards against sending a request on it, because the outcome of
// that request would be unknown.
func TestClosedUnusedConnectionsAreNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := newPool(func(context.Context, string) (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }, 0, 2, time.Hour)
	defer p.close()
	p.mu.Lock()
	h := &hostLinks{open: 1, opening: 1}
	p.hosts["a"] = h
	p.mu.Unlock()
	p.openOne("a", h)
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	unused := h.idle[0]
	if !p.fresh(unused) {
		t.Error("fresh() = false for a new connection, want true")
	}
	_ = far.Close()
	waitUntil(t, "the connection is not usable", func() bool { return !unused.usable() })
	if got, err := p.get(t.Context(), "a"); err != nil || got == unused {
		t.Errorf("get after the server closed the unused connection returned %v, error = %v; want a new connection and no error", got, err)
	}
}
