package proxy

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleymill/guard"
)

// pipelineServer is a backend server that records the paths of its requests. A request below
// /read/hang ends with its connection.
type pipelineServer struct {
	mu      sync.Mutex
	paths   []string
	hanging chan struct{}
	ended   chan time.Time
}

func (s *pipelineServer) serve(conn net.Conn, r *http.Request, _ int32) bool {
	s.mu.Lock()
	s.paths = append(s.paths, r.URL.Path)
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/read/hang") {
		s.hanging <- struct{}{}
		_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
		s.ended <- time.Now()
		return false
	}
	stamp := "X-Id: " + r.Header.Get("X-Id") + "\r\nX-Stamp: s\r\n"
	if strings.HasPrefix(r.URL.Path, "/read/broken") {
		part := strings.Repeat("x", 1<<20)
		_ = write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", stamp, len(part), part))
		return false
	}
	return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", stamp, len(r.URL.Path), r.URL.Path))
}

// count returns the number of requests whose path has the prefix.
func (s *pipelineServer) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.paths {
		if strings.HasPrefix(p, prefix) {
			n++
		}
	}
	return n
}

// dialDoor returns a connection to the caller listener of a node behind a door.
func dialDoor(t *testing.T, n *node) net.Conn {
	c, err := net.Dial("tcp", openDoor(t, n, t.Context().Done()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// openDoor opens the caller listener of a node behind a door and returns its address.
func openDoor(t testing.TB, n *node, done <-chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := guard.New(16<<20, nil, slog.New(slog.DiscardHandler))
	limits := guard.Limits{HeadBytes: 64 << 10, HeadTime: 10 * time.Second, IdleTime: 10 * time.Second}
	s := &http.Server{Handler: guard.Handler(n.CallerHandler()), ConnContext: guard.ConnContext, ConnState: guard.ConnState, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(g.Door(l, guard.DoorConfig{Limits: func() guard.Limits { return limits }})) }()
	go g.Watch(done)
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// pipelinedRequest returns a request of the class read.
func pipelinedRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: " + strings.ReplaceAll(path[1:], "/", "-") + "\r\n\r\n"
}

func (c *cluster) pipelineNodes() (*pipelineServer, *node) {
	s := &pipelineServer{hanging: make(chan struct{}, 1), ended: make(chan time.Time, 1)}
	c.platformNode("s", s.serve)
	return s, c.entryNodes(1)[0]
}

// Guards against requests that reach a backend server, and work that goes on there, more than
// 500 ms after their caller has left while they waited behind another on its connection.
func TestLeftCallersReachNoBackendServer(t *testing.T) {
	server, entry := platformCluster(t).pipelineNodes()
	conn := dialDoor(t, entry)
	write(conn, pipelinedRequest("/read/hang"))
	<-server.hanging
	for i := range 50 {
		write(conn, pipelinedRequest(fmt.Sprint("/read/next-", i)))
	}
	time.Sleep(20 * time.Millisecond)
	left := time.Now()
	_ = conn.Close()
	select {
	case at := <-server.ended:
		if late := at.Sub(left); late > 500*time.Millisecond {
			t.Errorf("the work ended %v after the caller had left, want at most 500 ms", late)
		}
	case <-time.After(10 * time.Second):
		t.Error("the work goes on 10 s after the caller has left")
	}
	time.Sleep(300 * time.Millisecond)
	if n := server.count("/read/next"); n != 0 {
		t.Errorf("%d requests of a caller that had left reached the backend server, want none", n)
	}
}

// Guards against requests behind an answer that closes the connection, or that breaks off, and
// reach a backend server: the caller sends them again, whatever their kind.
func TestRequestsBehindTheLastAnswer(t *testing.T) {
	server, entry := platformCluster(t).pipelineNodes()
	conn := dialDoor(t, entry)
	write(conn, pipelinedRequest("/read/1")+pipelinedRequest("/read/2")+pipelinedRequest("/read/broken")+strings.Repeat(pipelinedRequest("/read/late"), 100))
	r := bufio.NewReader(conn)
	for _, path := range []string{"/read/1", "/read/2"} {
		if got, err := readAnswer(r); got != path || err != nil {
			t.Errorf("answer %q, error %v, want %q", got, err, path)
		}
	}
	if got, err := readAnswer(r); err == nil {
		t.Errorf("broken answer of %d bytes looks complete, want an error", len(got))
	}
	entry.CloseCallerConnections()
	conn = dialDoor(t, entry)
	write(conn, pipelinedRequest("/read/3"))
	write(conn, strings.Repeat(pipelinedRequest("/read/late"), 100))
	r = bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || !resp.Close {
		t.Fatalf("answer of a stopping node %+v, error %v, want one that closes the connection", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "/read/3" || err != nil {
		t.Errorf("answer of a stopping node %q, error %v, want /read/3", body, err)
	}
	if rest, err := io.ReadAll(r); len(rest) != 0 || err != nil {
		t.Errorf("%d bytes after the last answer, error %v, want the end of the connection", len(rest), err)
	}
	if n := server.count("/read/late"); n != 0 {
		t.Errorf("%d requests behind the last answer reached the backend server, want none", n)
	}
}

func readAnswer(r *bufio.Reader) (string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
