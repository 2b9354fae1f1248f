package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"bramleymill/errkind"
)

// Guards against a failure that a caller receives although another server could have
// answered, and against repeating a request that must not run twice. All servers of the
// service may fail a part of their requests while their health check succeeds.
func TestFailedAnswerOfABackendServer(t *testing.T) {
	for _, tt := range []struct {
		name, class string
		scripts     [2]func(conn net.Conn, r *http.Request) bool // for the first and the second run
		status      int
		kind        errkind.Kind
		body        string
		runs        int32
	}{
		{"another server succeeds", "read", [2]func(net.Conn, *http.Request) bool{fails, succeeds}, 200, "", "good", 2},
		{"all servers fail", "read", [2]func(net.Conn, *http.Request) bool{fails, fails}, 500, "", "oops", 2},
		{"another server refuses", "read", [2]func(net.Conn, *http.Request) bool{fails, refuses}, 500, "", "oops", 2},
		{"another server breaks the connection", "read", [2]func(net.Conn, *http.Request) bool{fails, breaks}, 500, "", "oops", 2},
		{"work that must not run twice", "order", [2]func(net.Conn, *http.Request) bool{fails, succeeds}, 500, "", "oops", 1},
		{"a failure that every server would state", "read", [2]func(net.Conn, *http.Request) bool{notImplemented, succeeds}, 501, "", "never", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := platformCluster(t)
			var runs atomic.Int32
			script := func(conn net.Conn, r *http.Request, _ int32) bool {
				return tt.scripts[min(runs.Add(1), 2)-1](conn, r)
			}
			c.platformNode("n1", script)
			n := c.platformNode("n2", script)
			resp := expect(t, tt.status, string(tt.kind), tt.body, "POST", n.caller.URL+"/"+tt.class+"/1", "X-Id", "abc")
			if resp.Header.Get("X-Stamp") != "s" {
				t.Errorf("headers = %v, want the stamp of the backend server", resp.Header)
			}
			if runs.Load() != tt.runs {
				t.Errorf("runs = %d, want %d", runs.Load(), tt.runs)
			}
		})
	}
}

func fails(conn net.Conn, r *http.Request) bool    { return writeAnswer(conn, r, 500, "oops") }
func succeeds(conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 200, "good") }
func refuses(conn net.Conn, r *http.Request) bool {
	return writeAnswer(conn, r, 503, "", "X-Not-Run: 1\r\n")
}
func notImplemented(conn net.Conn, r *http.Request) bool { return writeAnswer(conn, r, 501, "never") }
func breaks(net.Conn, *http.Request) bool                { return false }
