package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// panickingWriter panics once when an answer with the given status begins.
type panickingWriter struct {
	*httptest.ResponseRecorder
	status   int
	panicked bool
}

func (w *panickingWriter) WriteHeader(status int) {
	if status == w.status && !w.panicked {
		w.panicked = true
		panic("broken")
	}
	w.ResponseRecorder.WriteHeader(status)
}

// inUse describes what the requests of n hold that have not given it back. It is empty if no
// request holds anything.
func (n *node) inUse() string {
	var held []string
	hold := func(what string, count int) {
		if count != 0 {
			held = append(held, what)
		}
	}
	pools := []*pool{n.remote.pool}
	if n.local != nil {
		load := n.local.gate.Load()
		hold("slots", load.InFlight)
		hold("places in the queue", load.Queued)
		n.tokens.mu.RLock()
		hold("call tokens", len(n.tokens.inFlight))
		n.tokens.mu.RUnlock()
		pools = append(pools, n.local.backend.pool)
	}
	for _, p := range pools {
		p.mu.Lock()
		for _, h := range p.hosts {
			hold("connections", h.open-len(h.idle))
			hold("waits for a connection", len(h.waiters))
		}
		p.mu.Unlock()
	}
	for _, v := range n.Views("shop") {
		hold("outstanding requests", v.Outstanding)
	}
	n.tasks.mu.Lock()
	hold("tasks", len(n.tasks.active))
	n.tasks.mu.Unlock()
	return strings.Join(held, ", ")
}

// expectNothingInUse waits until no request of n holds anything.
func (n *node) expectNothingInUse() {
	n.cluster.t.Helper()
	for end := time.Now().Add(10 * time.Second); n.inUse() != ""; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			n.cluster.t.Errorf("node %s still holds %s after all requests have ended, want nothing", n.name, n.inUse())
			return
		}
	}
}

// Guards against a panic while an answer is passed on that keeps the slot, the connection or
// a count of its request.
func TestPanicWhileAnswerIsPassedOn(t *testing.T) {
	for name, status := range map[string]int{"informational answer": 103, "final answer": 200} {
		for _, at := range []string{"n1", "n2"} { // n1 is the server's node, n2 only the entry node
			for _, path := range []string{"/order/1", "/read/1"} {
				t.Run(name+" at "+at+path, func(t *testing.T) {
					c := platformCluster(t)
					script := func(conn net.Conn, r *http.Request, _ int32) bool {
						return write(conn, "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n") && writeAnswer(conn, r, 200, "ran")
					}
					nodes := map[string]*node{"n1": c.platformNode("n1", script),
						"n2": c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })}
					for range 2 * nodes["n1"].Admission().Slots {
						w := &panickingWriter{ResponseRecorder: httptest.NewRecorder(), status: status}
						r := httptest.NewRequestWithContext(t.Context(), "POST", "http://127.0.0.1"+path, strings.NewReader("payload"))
						r.Header.Set("X-Id", "abc")
						func() {
							defer func() {
								if v := recover(); v != nil && v != http.ErrAbortHandler {
									t.Errorf("the panic reached the HTTP server: %v", v)
								}
							}()
							nodes[at].CallerHandler().ServeHTTP(w, r)
						}()
						if kind := w.Result().Header.Get(fleet.HeaderKind); status < 200 && kind != string(errkind.Internal) {
							t.Errorf("answer after the panic: status %d, kind %q; want a failure of the kind internal", w.Code, kind)
						}
					}
					for _, n := range nodes {
						n.expectNothingInUse()
					}
					expect(t, 200, "", "ran", "POST", nodes["n2"].caller.URL+"/order/1", "X-Id", "abc")
				})
			}
		}
	}
}

// Guards against an exchange that ends early and keeps the slot, the connection or a count of
// its request.
func TestUnplannedEndsGiveEverythingBack(t *testing.T) {
	for name, script := range map[string]func(conn net.Conn, r *http.Request) bool{
		"connection closed": func(net.Conn, *http.Request) bool { return false },
		"no answer":         func(conn net.Conn, _ *http.Request) bool { return block(conn) },
		"part of a head": func(conn net.Conn, r *http.Request) bool {
			return write(conn, beginAnswer(r, "X-Part: ")[:30]) && block(conn)
		},
		"part of a body": func(conn net.Conn, r *http.Request) bool {
			return write(conn, beginAnswer(r, "Content-Length: 9\r\n")+"abc") && block(conn)
		},
		"part of a large body": func(conn net.Conn, r *http.Request) bool {
			return write(conn, beginAnswer(r, "Content-Length: 200000\r\n")+strings.Repeat("x", 100000)) && block(conn)
		},
		"part of a chunk": func(conn net.Conn, r *http.Request) bool {
			return write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\n")+"9\r\nabc") && block(conn)
		},
		"part of a trailer": func(conn net.Conn, r *http.Request) bool {
			return write(conn, beginAnswer(r, "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n")+"3\r\nabc\r\n0\r\nX-En") && block(conn)
		},
		"informational answer only": func(conn net.Conn, _ *http.Request) bool { return write(conn, "HTTP/1.1 103 x\r\n\r\n") && block(conn) },
		"switched protocols": func(conn net.Conn, _ *http.Request) bool {
			return write(conn, "HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n") && block(conn)
		},
		"another request's answer": func(conn net.Conn, _ *http.Request) bool {
			return write(conn, "HTTP/1.1 200 x\r\nX-Id: other\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nold") && block(conn)
		},
		"no bytes of an answer": func(conn net.Conn, _ *http.Request) bool {
			return write(conn, "\x00\x01 nonsense\r\n\r\n") && block(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			s := func(conn net.Conn, r *http.Request, _ int32) bool { return script(conn, r) }
			nodes := []*node{c.platformNode("n1", s), c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })}
			for _, n := range nodes {
				for _, path := range []string{"/order/1", "/read/1"} {
					for _, leave := range []bool{false, true} {
						ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
						req, err := http.NewRequestWithContext(ctx, "POST", n.caller.URL+path, strings.NewReader("payload"))
						if err != nil {
							t.Fatal(err)
						}
						req.Header.Set("X-Id", "abc")
						req.Header.Set("X-Wait", "100")
						if leave {
							time.AfterFunc(30*time.Millisecond, cancel)
						}
						if resp, err := http.DefaultClient.Do(req); err == nil {
							_ = resp.Body.Close()
						}
						cancel()
					}
				}
			}
			for _, n := range nodes {
				n.expectNothingInUse()
			}
		})
	}
}

// block reads from conn until the node closes it.
func block(conn net.Conn) bool {
	var one [1]byte
	_, _ = conn.Read(one[:])
	return false
}
