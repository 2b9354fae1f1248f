package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessAnswer is an answer without a length, which ends with its connection.
type endlessAnswer struct {
	head  string // after the status line
	proto string
	size  int // of the part that is sent
	// end ends the connection.
	end func(conn *net.TCPConn, r *http.Request)
}

func (a endlessAnswer) send(conn net.Conn, r *http.Request) bool {
	write(conn, a.proto+" 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Stamp: s\r\n"+a.head+"\r\n"+strings.Repeat("y", a.size))
	a.end(conn.(*net.TCPConn), r)
	return false
}

// uploadSlowly sends a request with a body of 1 MiB piece by piece, and reads the answer
// meanwhile. It returns the size of the body, or an error if the answer is not complete.
func uploadSlowly(t *testing.T, address, path string, chunked bool) (status, size int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const pieces, piece = 64, 16 << 10
	go func() { // ends when the connection is closed
		head, format := fmt.Sprintf("Content-Length: %d\r\n", pieces*piece), "%[2]s"
		if chunked {
			head, format = "Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n"
		}
		more := write(conn, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: abc\r\n"+head+"\r\n")
		for i := 0; more && i < pieces; i++ {
			more = write(conn, fmt.Sprintf(format, piece, strings.Repeat("x", piece)))
			time.Sleep(2 * time.Millisecond)
		}
		if chunked && more {
			write(conn, "0\r\n\r\n")
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a TCP connection supports it
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}

func reset(conn *net.TCPConn, _ *http.Request) {
	_ = conn.SetLinger(0) // a TCP connection supports it
	_ = conn.Close()
}

// Guards against a part of an answer without a length that is passed on as complete: the backend
// server resets the connection while the request is still being written to it, the write gets the
// error, and the answer then seems to end as at a regular close.
func TestAnswerWithoutLengthThatIsResetIsNotComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn, *http.Request){
		"reset at once":           reset,
		"reset after 30 ms":       func(conn *net.TCPConn, r *http.Request) { time.Sleep(30 * time.Millisecond); reset(conn, r) },
		"reset after it has read": func(conn *net.TCPConn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, 100_000); reset(conn, r) },
		"closed with unread body": func(conn *net.TCPConn, _ *http.Request) { time.Sleep(30 * time.Millisecond); _ = conn.Close() },
	}
	for endName, end := range ends {
		for _, size := range []int{10, 3000, 200_000} {
			for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", endName, size, proto), func(t *testing.T) {
					t.Parallel()
					a := endlessAnswer{proto: proto, size: size, end: end}
					if size == 3000 {
						a.head = "Connection: close\r\n"
					}
					c := platformCluster(t)
					beside := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool { return a.send(conn, r) })
					away := c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })
					for i := range 12 {
						n, path := beside, "/order/long"
						if i%2 == 1 {
							n = away
						}
						if i%4 > 1 {
							path = "/read/long"
						}
						if status, got, err := uploadSlowly(t, n.caller.Listener.Addr().String(), path, i%3 == 0); err == nil && status == http.StatusOK {
							t.Errorf("upload %d at %s: complete answer with %d bytes, want a failure or a broken connection", i, n.name, got)
						}
					}
					beside.expectNothingInUse()
				})
			}
		}
	}
}

// Guards against the loss of a whole answer without a length: the backend server ends it as the
// protocol says, and the connection is reset only after that, because the rest of the request
// arrives at a server that does not read it.
func TestAnswerWithoutLengthThatEndsBeforeAResetIsComplete(t *testing.T) {
	a := endlessAnswer{proto: "HTTP/1.1", size: 3000, end: func(conn *net.TCPConn, _ *http.Request) {
		_ = conn.CloseWrite() // a TCP connection supports it
		time.Sleep(30 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}}
	c := platformCluster(t)
	beside := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool { return a.send(conn, r) })
	away := c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })
	for i := range 8 {
		n := []*node{beside, away}[i%2]
		status, got, err := uploadSlowly(t, n.caller.Listener.Addr().String(), "/order/long", i%4 < 2)
		if err != nil || status != http.StatusOK || got != a.size {
			t.Errorf("upload %d at %s: status %d, %d bytes, error %v; want 200 with %d bytes", i, n.name, status, got, err, a.size)
		}
	}
}
