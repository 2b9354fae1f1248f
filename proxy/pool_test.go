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

// pipePool returns a pool whose connections are pipes, opened when the test
// allows it.
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

// startGet starts a get and returns when it waits.
func startGet(ctx context.Context, t *testing.T, p *pool) <-chan openResult {
	t.Helper()
	before := waiters(p)
	out := make(chan openResult, 1)
	go func() {
		l, err := p.get(ctx, "a")
		out <- openResult{l, err}
	}()
	waitUntil(t, "a waiter", func() bool { return waiters(p) > before })
	return out
}

// waitUntil blocks waitUntil f holds.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for !f() {
		if t.Context().Err() != nil {
			t.Fatalf("waiting in vain for %s", what)
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

// Guards against more connections to a backend server than it accepts, and
// against a waiter that nobody wakes when a connection ends.
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
		t.Fatalf("%d connections are open, the limit is 1", open)
	}
	p.discard("a", held.link)
	allow <- nil // only now may another one be opened
	if got := <-second; got.err != nil || got.link == held.link {
		t.Fatalf("the waiter got %+v", got)
	}
}

// Guards against waiting for a new connection although one has become idle, and
// against losing the new one.
func TestPoolPassesIdleConnectionToWaiter(t *testing.T) {
	p, allow := pipePool(t, 0, 2)
	first := startGet(t.Context(), t, p)
	allow <- nil
	held := <-first
	second := startGet(t.Context(), t, p)
	p.put("a", held.link)
	if got := <-second; got.link != held.link {
		t.Fatalf("the waiter got %+v", got)
	}
	allow <- nil
	waitUntil(t, "the new connection is kept", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.hosts["a"].idle) == 1
	})
}

// Guards against a failed connection that is reported to nobody or to a waiter
// whose own connection is still being opened, and against hosts that are kept.
func TestPoolReportsFailedConnection(t *testing.T) {
	p, allow := pipePool(t, 0, 2)
	first, second := startGet(t.Context(), t, p), startGet(t.Context(), t, p)
	failure := errors.New("refused")
	allow <- failure
	allow <- nil
	a, b := <-first, <-second
	if errors.Is(a.err, failure) == errors.Is(b.err, failure) {
		t.Fatalf("got %v and %v, expected one failure", a.err, b.err)
	}
	for _, o := range []openResult{a, b} {
		if o.link != nil {
			p.discard("a", o.link)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hosts) != 0 {
		t.Fatalf("%d hosts are kept without a connection", len(p.hosts))
	}
}

// Guards against a connection that is opened for a caller who has left and is
// then in nobody's hands.
func TestPoolKeepsConnectionOfDisconnectedCaller(t *testing.T) {
	p, allow := pipePool(t, 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	first := startGet(ctx, t, p)
	cancel()
	if got := <-first; !errors.Is(got.err, context.Canceled) {
		t.Fatalf("got %+v", got)
	}
	allow <- nil
	l, err := p.get(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	p.close()
	p.put("a", l)
	if _, err := l.countedConn.Conn.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("a closed pool kept the connection: %v", err)
	}
}

// Guards against a lost request when the backend server closes idle connections:
// nothing reads from them, so that their end has to be found before writing.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	for name, ending := range map[string]string{"closed": "", "with an error answer": "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			backend := newRawBackend(t, func(c net.Conn, r *http.Request, n int32) bool {
				if r.Method != http.MethodPost {
					return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				_, _ = io.Copy(io.Discard, r.Body)
				// One write, so that the answer comes before the end.
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
					t.Fatalf("order %d: status %s, body %q, %v", i, resp.Status, body, err)
				}
				<-closed
			}
		})
	}
}

// Guards against a head of any size that a backend server could fill the memory
// of its node with.
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
		t.Fatalf("status %s", resp.Status)
	}
}

// Guards against a request on a connection that was opened for a caller who left
// and that the server has closed since: its outcome would be unknown.
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
		t.Error("a new connection is too old")
	}
	_ = far.Close()
	waitUntil(t, "the end of the connection", func() bool { return !unused.usable() })
	if got, err := p.get(t.Context(), "a"); err != nil || got == unused {
		t.Errorf("got %v, %v", got, err)
	}
}
