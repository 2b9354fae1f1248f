package guard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// door is an HTTP server behind a door, which answers with the size of the body.
type door struct {
	t      testing.TB
	guard  *Guard
	door   *Door
	server *http.Server
	addr   string
	limits atomic.Pointer[Limits]
	block  chan struct{} // requests below /wait return when it is closed
}

var calmLimits = Limits{HeadBytes: 16<<10 + 4<<10, HeadTime: 10 * time.Second, IdleTime: 10 * time.Second}

func openDoor(t testing.TB, memory int64, config DoorConfig) *door {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{t: t, guard: New(memory, nil, slog.New(slog.DiscardHandler)), addr: l.Addr().String(), block: make(chan struct{})}
	d.limits.Store(&calmLimits)
	config.Limits = func() Limits { return *d.limits.Load() }
	d.server = &http.Server{Handler: Handler(http.HandlerFunc(d.serve)), ConnContext: ConnContext, ConnState: ConnState,
		MaxHeaderBytes: 64 << 10, ErrorLog: log.New(io.Discard, "", 0)}
	d.door = d.guard.Door(l, config)
	go func() { _ = d.server.Serve(d.door) }()
	t.Cleanup(func() { _ = d.server.Close() })
	return d
}

func (d *door) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/wait") {
		<-d.block
	}
	body, err := ReadBody(r, 1<<20, 1)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, len(body))
}

func (d *door) dial() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends text on a new connection and returns the connection.
func (d *door) send(text string) net.Conn {
	c := d.dial()
	if _, err := io.WriteString(c, text); err != nil {
		d.t.Fatal(err)
	}
	return c
}

// status returns the status of the next answer on c, or zero if there is none.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	return resp.StatusCode
}

const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func (d *door) await(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against a bound that an ordinary client meets: a head of the permitted size that is
// made of the shortest lines, a head and a body that arrive byte by byte, and a connection that
// is used again after a pause.
func TestLegalRequestsAreServed(t *testing.T) {
	d := openDoor(t, 16<<20, DoorConfig{Connections: 10, AddressConnections: 10, HeadLines: 6000, BodyTime: 10 * time.Second, AnswerTime: 10 * time.Second})
	start := "GET / HTTP/1.1\r\nHost: a\r\n"
	if got := status(d.send(start + strings.Repeat("a:\n", (16<<10-len(start)-2)/3) + "\r\n")); got != http.StatusOK {
		t.Errorf("head of 16 KiB in lines of 3 bytes: status %d, want 200", got)
	}
	if got := status(d.send(start + "A: " + strings.Repeat("x", 16<<10-len(start)-7) + "\r\n\r\n")); got != http.StatusOK {
		t.Errorf("head of 16 KiB in one line: status %d, want 200", got)
	}
	c := d.dial()
	for range 2 { // the second request uses the connection again
		for _, b := range []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345") {
			if _, err := c.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if got := status(c); got != http.StatusOK {
			t.Errorf("request byte by byte: status %d, want 200", got)
		}
	}
	d.await("the release of the budget", func() bool { return d.guard.Budget().Used() <= 3*ConnCost })
}

// Guards against a limit that stays in force after the configuration has changed, also on a
// connection that was open before.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	d := openDoor(t, 16<<20, DoorConfig{})
	c := d.send(ordinary)
	if got := status(c); got != http.StatusOK {
		t.Fatalf("status %d, want 200", got)
	}
	d.limits.Store(&Limits{HeadBytes: 40, HeadTime: 10 * time.Second, IdleTime: 10 * time.Second})
	long := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100) + "\r\n\r\n"
	if _, err := io.WriteString(c, long); err != nil {
		t.Fatal(err)
	}
	if got := status(c); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head above the new limit: status %d, want 431", got)
	}
	d.limits.Store(&calmLimits)
	if got := status(d.send(long)); got != http.StatusOK {
		t.Errorf("head below the limit that is in force again: status %d, want 200", got)
	}
}

// Guards against a client that holds a connection by a head without end, and against a refusal
// that the client does not learn of.
func TestHeadTime(t *testing.T) {
	d := openDoor(t, 16<<20, DoorConfig{})
	d.limits.Store(&Limits{HeadBytes: 1 << 10, HeadTime: 50 * time.Millisecond, IdleTime: 10 * time.Second})
	if got := status(d.send("GET / HTTP/1.1\r\nHost:")); got != http.StatusRequestTimeout {
		t.Errorf("head without end: status %d, want 408", got)
	}
	d.limits.Store(&Limits{HeadBytes: 1 << 10, HeadTime: 10 * time.Second, IdleTime: 50 * time.Millisecond})
	if got := status(d.dial()); got != 0 {
		t.Errorf("idle connection: status %d, want it closed without an answer", got)
	}
	if d.guard.Reached(HeadTime) != 1 || d.guard.Reached(IdleTime) != 1 {
		t.Errorf("bounds reached: head_time %d, idle_time %d, want 1 and 1", d.guard.Reached(HeadTime), d.guard.Reached(IdleTime))
	}
}

// Guards against a client that uses up the budget, so that ordinary requests are refused. The
// one that holds the most is refused instead.
func TestLargestIsRefusedFirst(t *testing.T) {
	const memory = 300 << 10
	d := openDoor(t, memory, DoorConfig{})
	body := d.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 120<<10))
	d.await("the body in memory", func() bool { return d.guard.Budget().Used() > 150<<10 })
	var heads []net.Conn
	for range 3 {
		heads = append(heads, d.send("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 700)))
	}
	if got := status(body); got != http.StatusServiceUnavailable {
		t.Errorf("the largest: status %d, want 503", got)
	}
	for range 4 {
		if got := status(d.send(ordinary)); got != http.StatusOK {
			t.Errorf("ordinary request: status %d, want 200", got)
		}
	}
	if used := d.guard.Budget().Used(); used > memory {
		t.Errorf("%d bytes of the budget are used, want at most %d", used, memory)
	}
	for _, c := range heads {
		_ = c.Close()
	}
	d.await("the release of the budget", func() bool { return d.guard.Budget().Used() <= 5*ConnCost })
}

// Guards against silent connections that lock out a client, and against one address that takes
// all connections.
func TestConnectionBounds(t *testing.T) {
	d := openDoor(t, 16<<20, DoorConfig{Connections: 4})
	for range 8 {
		d.dial()
	}
	if got := status(d.send(ordinary)); got != http.StatusOK {
		t.Errorf("request while silent connections are open: status %d, want 200", got)
	}
	if n := d.guard.Connections(); n > 4 {
		t.Errorf("%d connections, want at most 4", n)
	}
	d = openDoor(t, 16<<20, DoorConfig{Connections: 10, AddressConnections: 2, RefusalKind: "full"})
	d.dial()
	d.dial()
	if got := status(d.send("GET / HTTP/1.0\r\n\r\n")); got != http.StatusOK {
		t.Errorf("request of an address with silent connections: status %d, want 200", got)
	}
	d.await("the end of the request", func() bool { return d.guard.Connections() < 2 })
	for range 2 {
		d.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	d.await("two requests in flight", func() bool { return d.guard.Budget().Used() == 2*(ConnCost+requestCost) })
	reached := d.guard.Reached(AddressConnections)
	resp, err := http.ReadResponse(bufio.NewReader(d.send(ordinary)), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(RefusalHeader) != "full" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("third connection of one address: answer %+v, error %v, want status 503 with the kind full and Retry-After", resp, err)
	}
	close(d.block)
	if n := d.guard.Reached(AddressConnections) - reached; n != 1 {
		t.Errorf("bound address_connections reached %d times, want once", n)
	}
}

// Guards against a request that is passed on although its connection was closed and answered
// as not run.
func TestClosedConnectionIsNotServed(t *testing.T) {
	d := openDoor(t, 16<<20, DoorConfig{})
	raw, other := net.Pipe()
	defer func() { _, _ = raw.Close(), other.Close() }()
	c := newConn(raw, d.guard.Door(nil, DoorConfig{Limits: func() Limits { return calmLimits }}), "a")
	c.setPhase(serving)
	c.BeginBody()
	if !c.evict(Memory, func() bool { return true }) {
		t.Fatal("evict of an open connection = false, want true")
	}
	if c.EndBody() || c.Grow(1) || c.evict(Memory, func() bool { return true }) {
		t.Error("EndBody, Grow or evict succeeded on a closed connection, want none to")
	}
	c.end()
	if used := d.guard.Budget().Used(); used != 0 {
		t.Errorf("%d bytes are reserved after the end, want 0", used)
	}
}

// FuzzExchange guards against requests that are answered in another way behind a door than
// without it, and against memory that is not released.
func FuzzExchange(f *testing.F) {
	post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n\r\n\r\n\r\n"
	for _, s := range []string{ordinary, post + ordinary, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + ordinary,
		"\r\n" + ordinary, ordinary + "GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 5000) + "\r\n\r\n" + post} {
		f.Add([]byte(s), 7)
	}
	d := openDoor(f, 16<<20, DoorConfig{HeadLines: 6000})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(d.serve), MaxHeaderBytes: 64 << 10, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(plain) }()
	f.Cleanup(func() { _ = s.Close() })
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		if len(data) > 16<<10 || bytes.Contains(data, []byte("/wait")) {
			return
		}
		step = max(1, step%(len(data)+1))
		got, want := exchangeWith(t, d.addr, data, step), exchangeWith(t, plain.Addr().String(), data, step)
		if got != want {
			t.Errorf("statuses behind a door: %s, without it: %s; want the same", got, want)
		}
		for end := time.Now().Add(10 * time.Second); d.guard.Budget().Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are reserved after the connection was closed, want 0", d.guard.Budget().Used())
			}
		}
	})
}

// Shows what the door adds to a request on a connection that is used again.
func BenchmarkRequest(b *testing.B) {
	guarded := openDoor(b, 16<<20, DoorConfig{Connections: 10, AddressConnections: 10, HeadLines: 6000, BodyTime: time.Minute, AnswerTime: time.Minute})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(guarded.serve), MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = s.Serve(plain) }()
	b.Cleanup(func() { _ = s.Close() })
	request := []byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + strings.Repeat("X-Header: value\r\n", 8) + "\r\nhello")
	for name, addr := range map[string]string{"plain": plain.Addr().String(), "door": guarded.addr} {
		b.Run(name, func(b *testing.B) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			answer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// exchangeWith sends data in parts and returns the statuses of the answers.
func exchangeWith(t *testing.T, addr string, data []byte, step int) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() {
		for at := 0; at < len(data); at += step {
			if _, err := c.Write(data[at:min(at+step, len(data))]); err != nil {
				return
			}
		}
		_ = c.(*net.TCPConn).CloseWrite() // the server may have closed the connection
	}()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	var statuses strings.Builder
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses.String()
		}
		fmt.Fprint(&statuses, resp.StatusCode, " ")
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses.String()
		}
	}
}
