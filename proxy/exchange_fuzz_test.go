package proxy

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// idMark stands for the id of the request in the bytes that the backend server answers with.
	idMark = "@id"
	// numberMark stands for the number of the exchange in the bytes of the caller, so that a
	// request of an earlier exchange is not taken for one of this exchange.
	numberMark = "@n"
)

// exchanger is a backend server that answers with given bytes and records what it received.
type exchanger struct {
	mu     sync.Mutex
	answer string
	got    []string // method and target of each request
	bodies []string // of the answers with success that were given, as a strict reader sees them
}

func (e *exchanger) serve(conn net.Conn, r *http.Request, _ int32) bool {
	_, _ = io.Copy(io.Discard, r.Body) // the caller may have left
	e.mu.Lock()
	answer := strings.ReplaceAll(e.answer, idMark, r.Header.Get("X-Id"))
	e.got = append(e.got, r.Method+" "+r.URL.RequestURI())
	e.bodies = append(e.bodies, completeBodies(answer, r)...)
	e.mu.Unlock()
	write(conn, answer)
	return false
}

// completeBodies returns the bodies of the complete answers with success in text.
func completeBodies(text string, r *http.Request) []string {
	var bodies []string
	in := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(in, r)
		if err != nil {
			return bodies
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return bodies
		}
		if resp.StatusCode/100 == 2 {
			bodies = append(bodies, string(body))
		}
	}
}

// targets returns the methods and targets of the requests in the bytes of a caller.
func targets(data []byte) map[string]bool {
	found := map[string]bool{}
	in := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return found
		}
		found[r.Method+" "+r.URL.RequestURI()] = true
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return found
		}
	}
}

// Guards against a caller and a backend server that send anything: a request that no caller
// sent reaches the backend server, an answer with success is not one that the backend server
// gave, or the exchange does not end.
func FuzzCallerAndBackend(f *testing.F) {
	get, post := "GET /read/@n HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: a\r\nX-Wait: 300\r\n\r\n", "POST /order/@n HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: b\r\nX-Wait: 300\r\n"
	sized := "HTTP/1.1 200 OK\r\nX-Id: @id\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nabc"
	chunked := "HTTP/1.1 200 OK\r\nX-Id: @id\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	refused := "HTTP/1.1 503 x\r\nX-Id: @id\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, caller := range []string{get, get + get, post + "Content-Length: 5\r\n\r\nhello", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get,
		post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n", post + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", post + "Content-Length: 50\r\n\r\nhello",
		post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get} {
		for _, server := range []string{sized, chunked, refused, sized[:len(sized)-1], "HTTP/1.1 200 OK\r\nX-Id: @id\r\nX-Stamp: s\r\n\r\nabc", "HTTP/1.1 103 x\r\n\r\n" + sized,
			sized + refused, strings.Replace(sized, idMark, "other", 1) + sized, "HTTP/1.1 000 x\r\nX-Id: @id\r\nX-Stamp: s\r\n\r\n", "\x00"} {
			f.Add([]byte(caller), []byte(server))
		}
	}
	e := &exchanger{}
	c := platformCluster(f)
	c.platformNode("s", e.serve)
	done := make(chan struct{})
	f.Cleanup(func() { close(done) })
	address := openDoor(f, c.entryNodes(1)[0], done)
	number, sent := 0, map[string]bool{} // also of earlier exchanges, whose requests may arrive late
	f.Fuzz(func(t *testing.T, caller, server []byte) {
		if len(caller) > 16<<10 || len(server) > 16<<10 || bytes.Contains(caller, []byte("HEAD")) {
			return // completeBodies does not know which answers belong to HEAD
		}
		number++
		caller = bytes.ReplaceAll(caller, []byte(numberMark), strconv.AppendInt(nil, int64(number), 10))
		maps.Copy(sent, targets(caller))
		e.mu.Lock()
		e.answer, e.got, e.bodies = string(server), nil, nil
		e.mu.Unlock()
		answers := successes(t, address, caller)
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, got := range e.got {
			if !sent[got] {
				t.Errorf("the backend server received %q, which the caller did not send", got)
			}
		}
		for _, body := range answers {
			if !slices.Contains(e.bodies, body) {
				t.Errorf("the caller received an answer with success and body %q; the backend server gave %q", body, e.bodies)
			}
		}
	})
}

// exchangeTime is far longer than the deadlines of the requests and the idle time of the door.
const exchangeTime = 30 * time.Second

// successes sends data and returns the bodies of the complete answers with success.
func successes(t *testing.T, address string, data []byte) []string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(exchangeTime)) // a failure shows below
	go func() {
		_, _ = conn.Write(data) // the node may have closed the connection
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	text, err := io.ReadAll(conn)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the exchange has not ended after %v", exchangeTime)
	}
	return completeBodies(string(text), nil)
}
