package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against a backend server that accepts an incomplete body as complete after the
// caller has interrupted the upload.
func TestBrokenUploadIsNotComplete(t *testing.T) {
	readErrors := make(chan error, 1)
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("a", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			_, err := io.Copy(io.Discard, r.Body)
			readErrors <- err
		}
	}))
	for _, n := range []*node{entry, server} {
		for _, c := range []struct{ head, rest string }{
			{"Transfer-Encoding: chunked\r\n\r\n20000\r\n", ""},
			{"Transfer-Encoding: chunked\r\n\r\n20000\r\n", "\r\nno size\r\n"}, // the connection stays open
			{"Content-Length: 3000000\r\n\r\n", ""},
		} {
			conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			write(conn, "POST /x HTTP/1.1\r\nHost: x\r\n"+c.head+strings.Repeat("x", 0x20000))
			for server.Admission().InFlight == 0 {
				time.Sleep(time.Millisecond)
			}
			if write(conn, c.rest); c.rest == "" {
				_ = conn.Close()
			}
			if err := <-readErrors; err == nil {
				t.Errorf("interrupted upload through node %s, request %q: the backend server received a complete body, want a read error", n.name, c)
			}
			_ = conn.Close()
		}
	}
}

// Guards against connections that are closed after each streamed body, and against a
// deadlock between sending the body and reading the answer.
func TestConnectionsAreUsedAgainAfterUploads(t *testing.T) {
	var mu sync.Mutex
	from := map[string]bool{}
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/x" {
			return
		}
		mu.Lock()
		from[r.RemoteAddr] = true
		mu.Unlock()
		_, _ = io.WriteString(w, strings.Repeat("y", int(n)/1000))
	}))
	const uploads, size = 20, 2 << 20
	for range uploads {
		// io.LimitReader hides the length of the body from net/http.
		resp, body, err := request(t, "POST", entry.caller.URL+"/x", io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size))
		if err != nil || resp.StatusCode != 200 || len(body) != size/1000 {
			t.Fatalf("answer to an upload of 2 MiB = %v, body of %d bytes, error = %v, error kind = %q; want status 200, 2097 bytes and no error", resp, len(body), err, resp.Header.Get(fleet.HeaderKind))
		}
	}
	if len(from) == uploads {
		t.Errorf("connections to the backend server = %d for %d uploads in turn, want fewer than one for each upload", len(from), uploads)
	}
}
