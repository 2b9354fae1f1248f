package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"bramleymill/fleet"
)

// Guards against a truncated answer that is passed on as complete, and against a
// retry after the caller has received the first byte of the answer.
func TestTruncatedAnswerAbortsTheConnection(t *testing.T) {
	part := strings.Repeat("x", 70<<10)
	for name, text := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"length, long":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(part), part),
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"inside a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			entry := c.node("entry", nil)
			raw := newRawBackend(t, func(conn net.Conn, r *http.Request, _ int32) bool {
				write(conn, text)
				return false
			})
			c.node("a", nil, raw.use)
			c.node("b", nil, raw.use)
			resp, body, err := request(t, "GET", entry.caller.URL+"/x", nil)
			if err == nil && resp.StatusCode != 502 {
				t.Errorf("truncated answer was passed on as complete: status %d, body %q; want an aborted connection or status 502", resp.StatusCode, body)
			}
			if n := raw.requests.Load(); err != nil && n != 1 {
				t.Errorf("attempts for a request whose answer was passed on in part = %d, want 1", n)
			}
		})
	}
}

// Guards against the loss of trailers in either direction.
func TestTrailers(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "Sum")
		_, _ = w.Write(body)
		w.Header().Set("Sum", "got "+r.Trailer.Get("Sum"))
		w.Header().Set(http.TrailerPrefix+"Late", "unannounced")
		w.Header().Set(http.TrailerPrefix+"Bramleymill-Kind", "forged")
	}))
	for _, method := range []string{"POST", "PUT"} {
		req, _ := http.NewRequestWithContext(t.Context(), method, entry.caller.URL+"/x", io.MultiReader(strings.NewReader("data")))
		req.Trailer = http.Header{"Sum": {"42"}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "data" || resp.Trailer.Get("Sum") != "got 42" || resp.Trailer.Get("Late") != "unannounced" {
			t.Errorf("answer with trailers: body = %q, trailer = %v, error = %v; want body \"data\", trailers Sum \"got 42\" and Late \"unannounced\", and no error", body, resp.Trailer, err)
		}
		if resp.Trailer.Get("Bramleymill-Kind") != "" {
			t.Error("the caller received a reserved trailer that the backend server had set, want it removed")
		}
	}
}

// Guards against a body in an answer that must not have one, and against the loss of
// the Content-Length of an answer to HEAD.
func TestAnswersWithoutBody(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "12345")
			return
		}
		w.WriteHeader(map[string]int{"/204": 204, "/304": 304}[r.URL.Path])
	}))
	for _, status := range []int{204, 304} { // on one connection
		resp, _, err := request(t, "HEAD", entry.caller.URL+"/x", nil)
		if err != nil || resp.ContentLength != 12345 {
			t.Fatalf("answer to HEAD: error = %v, Content-Length = %d; want no error and 12345", err, resp.ContentLength)
		}
		expect(t, status, "", "", "GET", fmt.Sprintf("%s/%d", entry.caller.URL, status))
	}
}

// Guards against a 100 Continue that the backend server has not sent, and against the
// loss of one that it has sent.
func TestContinueComesFromTheBackendServer(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	raw := newRawBackend(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		if r.Header.Get("Expect") != "100-continue" {
			return write(conn, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		}
		if r.URL.Path == "/refuse" {
			write(conn, "HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		write(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		body, _ := io.ReadAll(r.Body)
		return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
	c.node("a", nil, raw.use)
	for path, want := range map[string]int{"/refuse": 417, "/accept": 200} {
		conn, err := net.Dial("tcp", entry.caller.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		if err == nil && want == 200 && resp.StatusCode == 100 {
			write(conn, "data")
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil || resp.StatusCode != want {
			t.Errorf("request for %s with Expect: 100-continue: answer = %v, error = %v; want the status of the backend server (/refuse: 417, /accept: 200)", path, resp, err)
		}
		_ = conn.Close()
	}
}

// Guards against the loss of informational answers other than 100 Continue.
func TestEarlyHints(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "done")
	}))
	var hints atomic.Int32
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if code == 103 && h.Get("Link") == "</style.css>" {
			hints.Add(1)
		}
		return nil
	}})
	req, _ := http.NewRequestWithContext(ctx, "GET", entry.caller.URL+"/x", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if string(body) != "done" || hints.Load() != 1 || resp.Header.Get("Link") != "" {
		t.Errorf("answer after early hints: body = %q, early hints received = %d, header = %v; want the body \"done\", 1 early hint, and no header Link", body, hints.Load(), resp.Header)
	}
}

// endless is a body without an end.
type endless struct{ read atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against delaying an answer that comes before the end of the request body.
func TestEarlyAnswerDuringUpload(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_, _ = io.WriteString(w, "too large\n")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	for _, n := range []*node{entry, c.nodes[1]} {
		// The body ends only when the answer has been read.
		rest, sender := io.Pipe()
		req, _ := http.NewRequestWithContext(t.Context(), "PUT", n.caller.URL+"/x", io.MultiReader(io.LimitReader(&endless{}, 1<<20), rest))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		if err != nil || resp.StatusCode != 413 || line != "too large\n" {
			t.Errorf("answer during an upload through node %s: answer = %v, error = %v, line = %q; want status 413 and line \"too large\\n\"", n.name, resp, err, line)
		}
		_ = sender.Close()
		_ = resp.Body.Close()
	}
}

// Guards against buffering a streamed answer: the caller waits for each part.
func TestStreamedAnswerIsFlushed(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	next := make(chan struct{})
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "event %d\n", i)
			_ = http.NewResponseController(w).Flush()
			<-next // the test sends after it has read the event
		}
	}))
	resp, err := http.Get(entry.caller.URL + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	for i := range 3 {
		if line, err := in.ReadString('\n'); err != nil || line != fmt.Sprintf("event %d\n", i) {
			t.Fatalf("line of the streamed answer = %q, error = %v; want the lines \"event 0\", \"event 1\" and \"event 2\" in turn", line, err)
		}
		next <- struct{}{}
	}
}

// Guards against the use of memory in proportion to the size of a streamed body.
func TestLargeBodyWithBoundedMemory(t *testing.T) {
	const size, limit = 64 << 20, 24 << 20
	c := newCluster(t)
	entry := c.node("entry", nil)
	var peak atomic.Uint64
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		buf := make([]byte, 1<<20)
		for {
			n, err := r.Body.Read(buf)
			if _, werr := w.Write(buf[:n]); werr != nil || err != nil {
				return
			}
			var m runtime.MemStats
			if n == len(buf) || peak.Load() == 0 {
				runtime.ReadMemStats(&m)
				peak.Store(max(peak.Load(), m.HeapInuse))
			}
		}
	}))
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, method := range []string{"POST", "PUT"} {
		req, _ := http.NewRequestWithContext(t.Context(), method, entry.caller.URL+"/x", io.LimitReader(&endless{}, size))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || n != size {
			t.Fatalf("%s with an echoed body of 64 MiB: received %d bytes, error = %v; want 67108864 bytes and no error", method, n, err)
		}
	}
	if peak.Load() > before.HeapInuse+limit {
		t.Errorf("heap in use grew from %d to %d bytes for a body of %d bytes, want growth of at most 24 MiB", before.HeapInuse, peak.Load(), size)
	}
}

// Guards against a request that keeps its slot after its caller has disconnected.
func TestCancellationReachesBackendServer(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	}))
	conn, err := net.Dial("tcp", entry.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	write(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	<-arrived
	_ = conn.Close()
	<-cancelled
}

// Guards against accepting a tunnel, because the nodes could not control the traffic in
// it.
func TestUpgradeAndConnectAreRejected(t *testing.T) {
	c := newCluster(t)
	b := &countingBackend{next: answer("no")}
	n := c.node("a", b)
	expect(t, 400, "bad_request", "", "GET", n.caller.URL+"/x", "Connection", "Upgrade", "Upgrade", "websocket")
	for _, line := range []string{"CONNECT example.org:443 HTTP/1.1\r\nHost: example.org:443", "TRACE /x HTTP/1.1\r\nHost: x"} {
		conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(conn, line+"\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 400 || resp.Header.Get(fleet.HeaderOutcome) != "rejected" {
			t.Errorf("request %q: answer = %v, error = %v, want status 400 and outcome rejected", line, resp, err)
		}
		_ = conn.Close()
	}
	if b.runs.Load() != 0 {
		t.Error("a request reached the backend server, want every request rejected by the node")
	}
}
