package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer whose backend server stopped in the middle of the status line or
// the headers, and which is passed on as a complete answer with a short or empty body. The
// answer is cut beside each separator.
func TestAnswerCutInItsHeadIsNotPassedOn(t *testing.T) {
	heads := map[string]string{
		"with a length":   "HTTP/1.1 200 OK\r\nX-Id: abc\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n",
		"until the close": "HTTP/1.1 200 OK\r\nX-Id: abc\r\nX-Stamp: s\r\nConnection: close\r\n\r\n",
		"chunked":         "HTTP/1.1 200 OK\r\nX-Id: abc\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare line feeds": "HTTP/1.1 200 OK\nX-Id: abc\nX-Stamp: s\nContent-Length: 0\n\n",
		"after a 103":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: abc\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			c := platformCluster(t)
			var sent string // the part of head that the server writes
			server := c.platformNode("n1", func(conn net.Conn, _ *http.Request, _ int32) bool {
				write(conn, sent)
				return false
			})
			entry := c.node("n2", nil, func(config *Config) { config.Dialect = &testDialect })
			for cut := 1; cut < len(head); cut++ {
				if !strings.ContainsAny(head[cut-1:cut+1], ":\r\n") {
					continue
				}
				sent = head[:cut]
				for path, n := range map[string]*node{"/read/x": server, "/order/x": entry} {
					resp, body, err := request(t, "POST", n.caller.URL+path, strings.NewReader("payload"), "X-Id", "abc")
					if err == nil && (resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable && path == "/order/x") {
						t.Fatalf("%s through %s, cut after %q: status %d, body %q; want a failure that does not claim that it has not run",
							path, n.name, sent, resp.StatusCode, body)
					}
				}
			}
		})
	}
}
