package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against the rest of a body that is read as requests after an early answer: the next
// request on the connection would get an answer that is not its own.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	const inside = "POST /order/inside HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: inside\r\nContent-Length: 0\r\n\r\n"
	for name, script := range map[string]func(conn net.Conn, r *http.Request) bool{
		"early answer": func(conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 413, "") && block(conn)
		},
		"early answer without a length": func(conn net.Conn, r *http.Request) bool {
			return write(conn, "HTTP/1.1 413 x\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n1\r\nx\r\n0\r\nX-End: 1\r\n\r\n") && block(conn)
		},
		"reset": func(conn net.Conn, _ *http.Request) bool {
			_ = conn.(*net.TCPConn).SetLinger(0) // the connection is closed in any case
			return false
		},
	} {
		for _, length := range []string{"Transfer-Encoding: chunked\r\n\r\n200000\r\n", "Content-Length: 2097152\r\n\r\n"} {
			for _, at := range []string{"n1", "n2"} { // n1 is the server's node, n2 only the entry node
				t.Run(name+" "+length[:7]+" at "+at, func(t *testing.T) {
					c := platformCluster(t)
					nodes := map[string]*node{
						"n1": c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
							if r.URL.Path != "/order/long" {
								return writeAnswer(conn, r, 200, "ran")
							}
							return script(conn, r)
						}),
						"n2": c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })}
					for range 5 {
						sendLongAndNext(t, nodes[at].caller.Listener.Addr().String(), "X-Id: first\r\n"+length, inside)
					}
					for _, n := range nodes {
						n.expectNothingInUse()
					}
				})
			}
		}
	}
}

// sendLongAndNext sends a request of which it holds back the rest of the body until the answer
// has begun, and then another request on the same connection. Each answer must belong to one
// of the two.
func sendLongAndNext(t *testing.T, address, head, inside string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := strings.Repeat(inside, 0x200000/len(inside)+1)[:0x200000]
	sent := 0x30000 / len(inside) * len(inside) // the rest begins with a request
	if !write(conn, "POST /order/long HTTP/1.1\r\nHost: 127.0.0.1\r\n"+head+body[:sent]) {
		return
	}
	in := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a TCP connection supports it
	if _, err := in.Peek(1); err != nil {
		t.Fatalf("no answer before the end of the body: %v", err)
	}
	go func() {
		time.Sleep(16 * time.Millisecond)
		rest := body[sent:]
		if strings.HasPrefix(head, "X-Id: first\r\nTransfer") {
			rest += "\r\n0\r\n\r\n"
		}
		write(conn, rest+"POST /order/next HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: next\r\nContent-Length: 0\r\n\r\n")
	}()
	for expected, number := []string{"first", "next"}, 0; ; number++ {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || number == 0 {
				t.Errorf("answer %d: %v, want an answer or a closed connection", number, err)
			}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if id := resp.Header.Get("X-Id"); number >= len(expected) || id != expected[number] {
			t.Errorf("answer %d: %s with the id %q, want an answer to one of %v", number, resp.Status, id, expected)
			return
		}
		if err != nil || resp.Close {
			return
		}
	}
}

// Guards against a caller that sends its whole body before it reads the answer, and that gets
// a reset connection in place of the early answer.
func TestEarlyAnswerReachesASlowSender(t *testing.T) {
	c := platformCluster(t)
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
		return writeAnswer(conn, r, 413, "") && block(conn)
	})
	conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const size, parts = 8 << 20, 64
	write(conn, fmt.Sprintf("POST /order/long HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: first\r\nContent-Length: %d\r\n\r\n", size))
	for i := range parts {
		if !write(conn, strings.Repeat("x", size/parts)) {
			t.Fatalf("part %d of the body could not be sent, want the body read to its end", i)
		}
		time.Sleep(2 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 413 {
		t.Errorf("answer %+v, error %v; want status 413", resp, err)
	}
}
