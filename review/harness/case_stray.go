package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray-answer"] = strayAnswer }

// strayEvery is the number of answers of which one is followed by additional bytes: x = 0.03.
const strayEvery = 34

// strayBytes are the additional bytes. They come late, where the next answer is expected.
const strayBytes = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\nnot found\n"

type connKey struct{}

// connState is the state of a connection to a backend server.
type connState struct{ stray atomic.Bool } // additional bytes are on their way

func withConnState(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

// strays reports whether additional bytes come before the answer to r. It decides whether the
// answer is followed by such bytes.
func (b *backend) strays(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*connState)
	if !ok || !b.sendsStrays.Load() {
		return false
	}
	before := c.stray.Load()
	c.stray.Store(b.candidates.Add(1)%strayEvery == 0)
	return before
}

// runAfterStray runs a request on a connection on which additional bytes of the answer
// before have just been sent, and answers it.
func (b *backend) runAfterStray(w http.ResponseWriter, id string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		b.fleet.rec.add("cannot send additional bytes: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	b.fleet.rec.add("late additional bytes id=%s backend=%s", id, b.instance)
	_, _ = buffer.WriteString(strayBytes) // the node may have disconnected
	_ = buffer.Flush()
	time.Sleep(b.config.work)
	b.fleet.book.markDone(id)
	b.fleet.rec.add("ends id=%s backend=%s with 200", id, b.instance)
	body := answerTo(id)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, id, names.Stamp, b.instance, id, len(body), body)
	_ = buffer.Flush()
	time.Sleep(50 * time.Millisecond) // the node reads the answer before the connection ends
}

// strayAnswer checks MIXED: after some answers a backend server sends additional bytes, late.
func strayAnswer(f *fleet, trouble bool) (bool, error) {
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
		f.rec.add("disruption: backend %s sends additional bytes", servers[0].instance)
		servers[0].sendsStrays.Store(true)
	}
	time.Sleep(garbleFor)
	servers[0].sendsStrays.Store(false)
	f.rec.add("disruption ends")
	running.Wait()
	foreign := 0
	for id, a := range f.book.allAnswers() {
		if a.status == http.StatusNotFound {
			foreign++
			f.rec.add("id=%s got the additional bytes as its answer; it has run: %t", id, f.book.isDone(id))
		}
	}
	f.rec.add("answers that belong to no request or another: %d", foreign)
	if orders.served == 0 {
		return false, errTooFew
	}
	return foreign > 0, nil
}
