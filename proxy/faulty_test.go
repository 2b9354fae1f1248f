package proxy

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// writeEndlessly writes text again and again until the node closes the connection.
func writeEndlessly(conn net.Conn, text string) bool {
	for write(conn, strings.Repeat(text, 64)) {
	}
	return false
}

// beginAnswer is the beginning of an answer to r whose body follows in the given form.
func beginAnswer(r *http.Request, headers string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Stamp: s\r\n" + headers + "\r\n"
}

// endlessAnswers are answers that never end, by name.
var endlessAnswers = map[string]func(conn net.Conn, r *http.Request) bool{
	"status line": func(conn net.Conn, _ *http.Request) bool {
		return write(conn, "HTTP/1.1 200 ") && writeEndlessly(conn, "x")
	},
	"no line at all": func(conn net.Conn, _ *http.Request) bool { return writeEndlessly(conn, "\x00\xff") },
	"empty lines":    func(conn net.Conn, _ *http.Request) bool { return writeEndlessly(conn, "\r\n") },
	"header line": func(conn net.Conn, _ *http.Request) bool {
		return write(conn, "HTTP/1.1 200 OK\r\nX-Long: ") && writeEndlessly(conn, "x")
	},
	"headers": func(conn net.Conn, _ *http.Request) bool {
		return write(conn, "HTTP/1.1 200 OK\r\n") && writeEndlessly(conn, "X-Many: 1\r\n")
	},
	"informational answers": func(conn net.Conn, _ *http.Request) bool {
		return writeEndlessly(conn, "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n")
	},
	"continue": func(conn net.Conn, _ *http.Request) bool {
		return writeEndlessly(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	},
	"answers to other requests": func(conn net.Conn, _ *http.Request) bool {
		return writeEndlessly(conn, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nold")
	},
	"chunk size line": func(conn net.Conn, r *http.Request) bool {
		return write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\n")) && writeEndlessly(conn, "0")
	},
	"chunk extension": func(conn net.Conn, r *http.Request) bool {
		return write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\n")+"3;") && writeEndlessly(conn, "x")
	},
	"trailer": func(conn net.Conn, r *http.Request) bool {
		return write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n")+"3\r\nabc\r\n0\r\nX-End: ") && writeEndlessly(conn, "x")
	},
}

// Guards against an answer without end that holds a request until its deadline, that is
// taken for a refusal or a complete answer, or whose connection stays open.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, script := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			closed := make(chan struct{}, 8)
			n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
				defer func() { closed <- struct{}{} }()
				return script(conn, r)
			})
			resp, _, err := request(t, "POST", n.caller.URL+"/order/1", nil, "X-Id", "abc")
			if name == "trailer" && err != nil {
				// An answer with trailers is passed on while it is received, so that its
				// end can only be a broken connection.
			} else if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(fleet.HeaderKind) != string(errkind.ConnectionLost) {
				t.Errorf("answer without end: response %+v, error %v, want status 502 of kind connection_lost", resp, err)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection with the answer without end is still open, want it closed")
			}
		})
	}
}

// Guards against a body without end that looks complete to the caller or that is
// collected in memory. The deadline of the request ends it.
func TestBodyWithoutEndIsBroken(t *testing.T) {
	for name, header := range map[string]string{"chunked": "Transfer-Encoding: chunked\r\n", "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
				chunk := "x"
				if header != "" {
					chunk = "4\r\nabcd\r\n"
				}
				return write(conn, beginAnswer(r, header)) && writeEndlessly(conn, chunk)
			})
			resp, _, err := request(t, "POST", n.caller.URL+"/order/1", nil, "X-Id", "abc", "X-Wait", "300")
			if err == nil && resp.StatusCode < 500 {
				t.Errorf("answer with a body without end: status %d and no error, want a broken connection", resp.StatusCode)
			}
			if err == nil && resp.StatusCode == http.StatusServiceUnavailable {
				t.Error("answer with a body without end: status 503, want no claim that the request did not run")
			}
		})
	}
}

// Guards against bytes after an answer that are taken for the answer to the next request.
func TestBytesPastTheBody(t *testing.T) {
	c := platformCluster(t)
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
		return writeAnswer(conn, r, 200, "mine") && writeEndlessly(conn, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nold")
	})
	for range 5 {
		resp, body, err := request(t, "POST", n.caller.URL+"/order/1", nil, "X-Id", "abc")
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK && body != "mine" {
			t.Errorf("body = %q, want \"mine\" or a failure", body)
		}
	}
}

// Guards against a health endpoint whose answer never ends: it must neither fill the
// memory nor stop the queries that follow.
func TestHealthAnswerWithoutEnd(t *testing.T) {
	for name, begin := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX-Long: ", "body": "HTTP/1.1 200 OK\r\n\r\n",
		"informational answers": ""} {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			var faulty atomic.Bool
			var sent atomic.Int64
			raw := newRawBackend(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
				if !faulty.Load() {
					return write(conn, "HTTP/1.1 200 OK\r\nX-Instance: i\r\nX-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
				}
				text := "x"
				if begin == "" {
					text = "HTTP/1.1 103 Early Hints\r\n\r\n"
				}
				for write(conn, begin) && write(conn, strings.Repeat(text, 1024)) {
					begin = ""
					sent.Add(int64(1024 * len(text)))
				}
				return false
			})
			n := c.node("n", nil, raw.use, func(config *Config) {
				config.Dialect = &testDialect
				config.Backend.Announces, config.Backend.HealthPath = true, "/well"
			})
			faulty.Store(true)
			if h, err := n.local.announced.health(t.Context()); err == nil && name != "body" {
				t.Errorf("health answer without end: %+v and no error, want an error", h)
			}
			faulty.Store(false)
			for {
				if h, err := n.local.announced.health(t.Context()); err == nil && h.instance == "i" {
					break
				}
			}
			// Twice the largest size of the buffers of both sockets on the loopback interface.
			if limit := int64(16 << 20); sent.Load() > limit {
				t.Errorf("the node took %d bytes of a health answer without end, want at most %d", sent.Load(), limit)
			}
		})
	}
}

// Guards against a server that writes without end on the idle connection that the node
// watches: the node must not spend its processor time on reading that.
func TestWatchedConnectionWithoutEnd(t *testing.T) {
	taken := make(chan int64, 16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var n int64
				for write(conn, strings.Repeat("x", 1<<10)) {
					n += 1 << 10
				}
				taken <- n
			}()
		}
	}()
	m := newMonitor(listener.Addr().String(), nil, newDrainHints(newCluster(t).clock, func() {}), func() {}, func(uint64) {})
	go m.run(t.Context())
	select {
	case <-taken:
	case <-time.After(10 * time.Second):
		t.Error("the connection on which the server writes without end is still open, want it closed")
	}
}

// Guards against memory that grows with the number of servers that write without end:
// with all slots of a node held by such answers, it stays below the limit of a process.
func TestMemoryWithAnswersWithoutEnd(t *testing.T) {
	const slots = 40
	c := platformCluster(t)
	arrived := make(chan struct{}, slots)
	// All servers write the same bytes, so that they add nothing to the memory of the node.
	chunk := []byte("1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n")
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
		arrived <- struct{}{}
		if !write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\n")) {
			return false
		}
		for {
			if _, err := conn.Write(chunk); err != nil {
				return false
			}
		}
	}, func(config *Config) { config.Backend.Slots, config.Backend.Connections = slots, 2*slots })
	n.local.gate.SetSlots(slots)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, slots)
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(n.caller.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// The caller reads nothing, so that the answer can only be held in the node.
		write(conn, "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: abc\r\nContent-Length: 0\r\n\r\n")
		conns[i] = conn
	}
	for range conns {
		<-arrived
	}
	time.Sleep(200 * time.Millisecond) // the servers write all the time
	runtime.GC()
	runtime.ReadMemStats(&during)
	// 284 MB is the limit of a process on the platform; a tenth of it for this load.
	const limit = 28 << 20
	grown := int64(during.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("heap grew by %d bytes with %d answers without end", grown, slots)
	if grown > limit {
		t.Errorf("heap grew by %d bytes with %d answers without end, want at most %d", grown, slots, limit)
	}
}

// Guards against a refusal that is taken as proof that a request did not run although it
// belongs to an earlier request: the caller would repeat a request that runs.
func TestEarlierRefusalIsNoProof(t *testing.T) {
	const refusal = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	for name, tt := range map[string]struct {
		stale  string // written before the answer to the second request
		status int
		body   string
	}{
		"id of the earlier request":        {refusal + "X-Id: first\r\n\r\n", 200, "ran"},
		"no id":                            {refusal + "\r\n", 502, ""},
		"421 without an id":                {"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", 502, ""},
		"503 without a mark, id or stamp":  {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", 502, ""},
		"408 without a mark and stamp":     {"HTTP/1.1 408 x\r\nX-Id: second\r\nContent-Length: 0\r\n\r\n", 502, ""},
		"503 without a mark and stamp":     {"HTTP/1.1 503 x\r\nX-Id: second\r\nContent-Length: 0\r\n\r\n", 502, ""},
		"id of the earlier request, twice": {strings.Repeat(refusal+"X-Id: first\r\n\r\n", 2), 200, "ran"},
	} {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			var runs atomic.Int32
			script := func(conn net.Conn, r *http.Request, _ int32) bool {
				if r.Header.Get("X-Id") == "first" {
					return writeAnswer(conn, r, 503, "", "X-Not-Run: 1\r\n")
				}
				runs.Add(1)
				return write(conn, tt.stale) && writeAnswer(conn, r, 200, "ran")
			}
			n := c.platformNode("n1", script)
			c.platformNode("n2", script) // would run the second request once more
			expect(t, 503, string(errkind.BackendRefused), "", "POST", n.caller.URL+"/order/1", "X-Id", "first")
			resp, body, err := request(t, "POST", n.caller.URL+"/order/2", nil, "X-Id", "second")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || body != tt.body && tt.status == 200 {
				t.Errorf("status %d, body %q, want status %d, body %q", resp.StatusCode, body, tt.status, tt.body)
			}
			if runs.Load() != 1 {
				t.Errorf("the second request ran %d times, want once", runs.Load())
			}
		})
	}
}

// Guards against the refusal of an earlier attempt of the same request that is written
// once more while a later attempt runs: only the connection tells the two apart.
func TestRefusalOfAnEarlierAttemptIsNoProof(t *testing.T) {
	c := platformCluster(t)
	var runs, refusals atomic.Int32
	var refusedOn atomic.Pointer[net.Conn]
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
		if refusedOn.CompareAndSwap(nil, &conn) {
			return writeAnswer(conn, r, 503, "", "X-Not-Run: 1\r\n")
		}
		runs.Add(1)
		if *refusedOn.Load() == conn {
			refusals.Add(1)
			return writeAnswer(conn, r, 503, "", "X-Not-Run: 1\r\n") && writeAnswer(conn, r, 200, "ran")
		}
		return writeAnswer(conn, r, 200, "ran")
	})
	for range 2 {
		if resp, _, err := request(t, "POST", n.caller.URL+"/order/1", nil, "X-Id", "abc"); err != nil {
			t.Fatal(err)
		} else if resp.StatusCode == http.StatusServiceUnavailable && runs.Load() > 0 {
			t.Errorf("status 503 with kind %q for a request that ran, want no claim that it did not run", resp.Header.Get(fleet.HeaderKind))
		}
	}
	if refusals.Load() > 0 {
		t.Errorf("a later attempt used the connection of the refused one %d times, want another connection", refusals.Load())
	}
	if runs.Load() != 1 {
		t.Errorf("runs = %d, want 1", runs.Load())
	}
}

// Guards against a head that is held in memory although no request needs one of its size, and
// against a head of an allowed size that a node on the way refuses.
func TestSizeOfAnAnswersHead(t *testing.T) {
	c := platformCluster(t)
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
		size := maxAnswerHead - 1<<10
		if r.URL.Path == "/order/large" {
			size = maxAnswerHead + 1<<10
		}
		var lines strings.Builder
		for i := 0; lines.Len() < size; i++ {
			fmt.Fprintf(&lines, "h%d:\r\n", i)
		}
		return writeAnswer(conn, r, 200, "ran", lines.String())
	})
	entry := c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })
	for _, caller := range []*node{n, entry} {
		expect(t, 200, "", "ran", "POST", caller.caller.URL+"/order/1", "X-Id", "abc")
		expect(t, 502, string(errkind.ConnectionLost), "", "POST", caller.caller.URL+"/order/large", "X-Id", "abc")
	}
}

// Guards against additional bytes without an id that become the answer to the next request on
// the connection, which runs and has an answer of its own.
func TestAnswerWithoutAnIDIsNotPassedOn(t *testing.T) {
	for _, status := range []int{200, 302, 400, 401, 404, 409, 500, 504} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			c := platformCluster(t)
			var runs atomic.Int32
			n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
				runs.Add(1)
				return write(conn, fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)) && writeAnswer(conn, r, 200, "ran")
			})
			entry := c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })
			for i, caller := range []*node{n, entry} {
				expect(t, 502, string(errkind.ConnectionLost), "", "POST", caller.caller.URL+"/order/1", "X-Id", "abc")
				if runs.Load() != int32(i+1) {
					t.Errorf("request %d: %d runs, want %d", i, runs.Load(), i+1)
				}
			}
		})
	}
}
