package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

const (
	// sentAtOnce is the part of a long body that the client sends before it looks for an
	// early answer.
	sentAtOnce = 80_000
	earlyWait  = 150 * time.Millisecond // how long the client looks for an early answer
	// clientRoundTrip is the time that an answer takes to the client and the rest of the body
	// back: 8 ms one way.
	clientRoundTrip = 16 * time.Millisecond
	// earlyShare is the largest share of the answers of a backend server that come early: x
	// of the disruption garble.
	earlyShare   = 0.05
	uploadPrefix = "upload-"
	traceID      = "in-a-trace"
)

// earlyAnswer checks UNASKED and MIXED: a backend server rejects some long requests before
// they are in, keeps the connection and reads on.
func earlyAnswer(f *fleet, trouble bool) (bool, error) {
	var servers []*backend
	for range 2 {
		_, b, err := f.addSide("objednavky", backendConfig{slots: 11, work: 78 * time.Millisecond})
		if err != nil {
			return false, err
		}
		servers = append(servers, b)
	}
	err := f.start(patchOf(true, []service{{"objednavky", 7}}, []route{
		{Name: "r-order", Host: "orders.example", Prefix: "/orders/", Service: "objednavky", Version: 7, TimeoutMS: 600, TargetMS: 250, Priority: 1},
	}))
	if err != nil {
		return false, err
	}
	stop := f.rec.now() + 12*time.Second
	var running sync.WaitGroup
	var orders tally
	running.Go(func() {
		f.traffic(kind{name: "order", method: "POST", host: "orders.example", path: "/orders/", perSecond: 84, deadline: 600 * time.Millisecond}, stop, &orders)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		f.rec.add("disruption: backend %s at %s rejects long requests early", servers[0].instance, servers[0].machine.Name)
		servers[0].answers.Store(0) // the share of early answers counts from here on
		servers[0].early.Store(true)
	}
	mixed := 0
	disrupted := f.rec.now()
	for i := 0; f.rec.now() < disrupted+garbleFor-500*time.Millisecond; i++ {
		if !f.upload(f.sides[0], i) {
			mixed++
		}
		time.Sleep(400 * time.Millisecond)
	}
	servers[0].early.Store(false)
	f.rec.add("disruption ends")
	running.Wait()
	smuggled := 0
	for id, runs := range f.book.all() {
		if strings.HasPrefix(id, traceID) {
			smuggled += len(runs)
		}
	}
	f.rec.add("runs of requests that no client sent: %d; answers that belong to another request: %d", smuggled, mixed)
	if orders.served == 0 {
		return false, errTooFew
	}
	return smuggled > 0 || mixed > 0, nil
}

// trace is the recorded request that a long body contains again and again.
func trace(number int) string {
	return fmt.Sprintf("POST /orders/recorded HTTP/1.1\r\nHost: orders.example\r\n%s: %s-%d\r\n%s: 500\r\nContent-Length: 0\r\n\r\n",
		headerRequestID, traceID, number, headerDeadline)
}

// upload sends an order with a long body, which is a file of recorded requests, in one
// chunk, and then a short order on the same connection. It reports whether each answer
// belongs to its request.
func (f *fleet) upload(m *machine, number int) bool {
	conn, err := net.DialTimeout("tcp", m.address(f.ports.Outbound), time.Second)
	if err != nil {
		f.rec.add("cannot connect: %v", err)
		return true
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // a TCP connection supports it
	in := bufio.NewReader(conn)
	block := trace(number)
	first, rest := strings.Repeat(block, sentAtOnce/len(block)), strings.Repeat(block, 20)
	id, next := fmt.Sprintf("%s%d", uploadPrefix, number), fmt.Sprintf("%s%d-next", uploadPrefix, number)
	f.rec.add("sent id=%s to=%s POST /orders/file, %d bytes in one chunk", id, m.Name, len(first)+len(rest))
	_, err = fmt.Fprintf(conn, "POST /orders/file HTTP/1.1\r\nHost: orders.example\r\n%s: %s\r\n%s: 600\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
		headerRequestID, id, headerDeadline, len(first)+len(rest), first)
	if err != nil {
		f.rec.add("cannot send: %v", err)
		return true
	}
	early := peek(conn, in)
	if early {
		if belongs, closes := f.readAnswer(in, "POST", id); !belongs || closes {
			return belongs // the node asks the client to end the connection
		}
	}
	time.Sleep(clientRoundTrip)
	f.rec.add("sends the rest of id=%s, %d bytes; early answer: %t", id, len(rest), early)
	if _, err := io.WriteString(conn, rest+"\r\n0\r\n\r\n"); err != nil {
		f.rec.add("the node closed the connection: %v", err)
		return true
	}
	if !early {
		if belongs, closes := f.readAnswer(in, "POST", id); !belongs || closes {
			return belongs
		}
	}
	f.rec.add("sent id=%s to=%s POST /orders/short on the same connection", next, m.Name)
	_, err = fmt.Fprintf(conn, "POST /orders/short HTTP/1.1\r\nHost: orders.example\r\n%s: %s\r\n%s: 600\r\nContent-Length: 0\r\n\r\n", headerRequestID, next, headerDeadline)
	if err != nil {
		f.rec.add("the node closed the connection: %v", err)
		return true
	}
	belongs, _ := f.readAnswer(in, "POST", next)
	return belongs
}

// peek reports whether an answer begins within earlyWait.
func peek(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(earlyWait))
	_, err := in.Peek(1)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return err == nil
}

// readAnswer reads an answer. It reports whether the answer belongs to the request id, also if
// there is none, and whether the node closes the connection.
func (f *fleet) readAnswer(in *bufio.Reader, method, id string) (belongs, closes bool) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		f.rec.add("answered id=%s: none: %v", id, err)
		return true, true
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	got := resp.Header.Get(headerRequestID)
	f.rec.add("answered id=%s status=%d answer-id=%s stamp=%s bytes=%d closes=%t error=%v %.90q", id, resp.StatusCode, got, resp.Header.Get(names.Stamp), len(body), resp.Close, err, body)
	return got == id, resp.Close
}
