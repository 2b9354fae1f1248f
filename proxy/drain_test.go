package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/freeport"
)

// Guards against a drain that accepts new requests or cancels requests in flight.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	c := newCluster(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	n := c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		_, _ = fmt.Fprint(w, "done")
	}))
	first, drained := make(chan struct{}), make(chan DrainReport)
	go func() { expect(t, 200, "", "done", "POST", n.caller.URL+"/x"); close(first) }()
	<-arrived
	c.node("b", answer("b")) // could serve the requests that the draining node refuses
	go func() { drained <- n.Drain(t.Context(), time.Second) }()
	n.await(fleet.Draining)
	<-trackerClosed(&n.tasks)
	expect(t, 503, "draining", "", "POST", n.caller.URL+"/x")
	if resp := n.forward(t, "entry", "POST", n.meta("entry")); resp.Header.Get(fleet.HeaderKind) != "draining" {
		t.Errorf("request forwarded to the draining node: error kind = %q, want draining", resp.Header.Get(fleet.HeaderKind))
	}
	close(proceed)
	<-first
	if r := <-drained; len(r.Cancelled) != 0 {
		t.Errorf("requests cancelled by a drain without a time limit = %v, want no cancelled request", r.Cancelled)
	}
}

// trackerClosed returns a channel that is closed when w refuses new tasks.
func trackerClosed(w *taskTracker) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for refuses := false; !refuses; time.Sleep(time.Millisecond) {
			w.mu.Lock()
			refuses = w.closed
			w.mu.Unlock()
		}
	}()
	return done
}

// Guards against a drain that does not end or does not report the requests that it
// cancelled.
func TestDrainReportsCancelledRequests(t *testing.T) {
	c := newCluster(t)
	arrived := make(chan struct{})
	n := c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnected caller only after it has read the body
		close(arrived)
		<-r.Context().Done()
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		expect(t, 504, "outcome_unknown", "", "POST", n.caller.URL+"/slow", key, "k")
	}()
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := n.Drain(ctx, time.Second); len(r.Cancelled) != 1 || r.Cancelled[0].Path != "/slow" {
		t.Errorf("requests cancelled by a drain whose time has ended = %v, want 1 with the path /slow", r.Cancelled)
	}
	<-done
}

// Guards against a draining node that refuses the nested calls of a request in flight, so
// that the request cannot finish.
func TestDrainServesCallsOfRequestsInFlight(t *testing.T) {
	c := newCluster(t)
	var n *node
	c.node("b", answer("leaf"))
	arrived, proceed := make(chan struct{}), make(chan struct{})
	n = c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-proceed
		w.WriteHeader(nestedCall(t, n, r, "/leaf").StatusCode)
	}))
	answered := make(chan int)
	go func() { answered <- n.forward(t, "entry", "POST", n.meta("entry")).StatusCode }()
	<-arrived
	go n.Drain(t.Context(), time.Second)
	n.await(fleet.Draining)
	close(proceed)
	if status := <-answered; status != 200 {
		t.Errorf("nested call of a request in flight at a draining node: status = %d, want 200", status)
	}
}

// Guards against a nested call that arrives late in a drain, is sent to a server that has
// longer for it than the drain lasts, and is cut off without the answer of that server.
func TestCallDuringADrainEndsWithIt(t *testing.T) {
	const drain = 5 * time.Second // half of what the request that makes the call has left
	c := newCluster(t)
	var n *node
	var left atomic.Int64
	c.node("b", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.ParseInt(r.Header.Get(fleet.HeaderDeadlineMillis), 10, 64)
		left.Store(ms)
	}))
	arrived, proceed := make(chan struct{}), make(chan struct{})
	n = c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-proceed
		w.WriteHeader(nestedCall(t, n, r, "/leaf").StatusCode)
	}))
	answered := make(chan int)
	go func() { answered <- n.forward(t, "entry", "POST", n.meta("entry")).StatusCode }()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), drain)
	defer cancel()
	go n.Drain(ctx, time.Second)
	n.await(fleet.Draining)
	<-trackerClosed(&n.tasks)
	close(proceed)
	if status := <-answered; status != 200 {
		t.Fatalf("status of the request whose call came during the drain = %d, want 200", status)
	}
	if got := time.Duration(left.Load()) * time.Millisecond; got <= 0 || got > drain {
		t.Errorf("time that the server had for the call = %v, want at most %v, the rest of the drain", got, drain)
	}
}

// Guards against an outage caused by forged answers that suggest that the backend server
// is draining. Such hints count only if they are consecutive, are ignored after a healthy
// health answer, and expire.
func TestDrainHintsCannotBeForgedIntoAnOutage(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	var checks int
	d := newDrainHints(k, func() { checks++ })
	for range 5 {
		d.recordAnswer(503, true)
		d.recordAnswer(503, true)
		d.recordAnswer(200, false)
	}
	if d.draining() {
		t.Error("after drain hints that were not consecutive: draining() = true, want false")
	}
	for range hintsNeeded {
		d.recordAnswer(503, true)
	}
	if !d.draining() || checks != 1 {
		t.Errorf("after 3 consecutive drain hints (hintsNeeded): draining() = %v, requested health checks = %d; want true and 1", d.draining(), checks)
	}
	k.Advance(hintHold)
	if d.draining() {
		t.Error("1s (hintHold) after the latest hint: draining() = true, want false")
	}
	d.recordAnswer(503, true)
	d.recordHealth(false)
	for range 2 * hintsNeeded {
		d.recordAnswer(503, true)
	}
	if d.draining() {
		t.Error("hints after a healthy health answer: draining() = true, want false")
	}
	d.recordHealth(true)
	if !d.draining() {
		t.Error("after a health answer that states draining: draining() = false, want true")
	}
}

// Guards against sending requests to a backend server that drains although its node is
// not draining, and against the loss of idempotent requests that it refuses.
func TestBackendServerDrainsByItself(t *testing.T) {
	c := newCluster(t)
	raw := newRawBackend(t, func(conn net.Conn, r *http.Request, _ int32) bool {
		write(conn, "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 9\r\n\r\ndraining\n")
		return false
	})
	entry := c.node("entry", nil)
	c.node("a", nil, raw.use)
	c.node("b", answer("b"))
	for range 8 {
		expect(t, 200, "", "b", "GET", entry.caller.URL+"/x")
	}
}

// Guards against a backend server that counts as alive after it has ended, or that
// receives no requests after it has started again.
func TestBackendServerDiesAndReturns(t *testing.T) {
	c := newCluster(t)
	address, err := freeport.Address() // it is bound a second time below
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: answer("ok")}
	go func() { _ = server.Serve(l) }()
	n := c.node("a", nil, (&rawBackend{listener: l}).use)
	expect(t, 200, "", "ok", "POST", n.caller.URL+"/x")
	_ = server.Close()
	n.await(fleet.Down)
	expect(t, 503, "backend_down", "", "POST", n.caller.URL+"/x")
	newListener, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server = &http.Server{Handler: answer("ok")}
	go func() { _ = server.Serve(newListener) }()
	t.Cleanup(func() { _ = server.Close() })
	n.await(fleet.Ready)
	expect(t, 200, "", "ok", "POST", n.caller.URL+"/x")
	var crashes int
	for _, e := range n.Explain().Events(100) {
		if e.Kind == explain.CrashDetected {
			crashes++
		}
	}
	if crashes != 1 {
		t.Errorf("crash events after one end of the backend server = %d, want 1", crashes)
	}
}

// Guards against counting a server as ended because it closes idle connections.
func TestIdleConnectionClosedByAliveServer(t *testing.T) {
	closing, dials := make(chan struct{}), make(chan struct{}, 16)
	m := newMonitor("backend", nil, newDrainHints(clock.System{}, func() {}), func() {}, func(generation uint64) {
		t.Errorf("generation %d counts as ended although only idle connections were closed, want it to continue", generation)
	})
	m.dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { <-closing; _ = far.Close() }()
		dials <- struct{}{}
		return near, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); m.run(ctx) }()
	<-dials
	close(closing)
	<-dials
	<-dials
	if !m.Alive() || m.Generation() != 1 {
		t.Errorf("after idle connections were closed: Alive() = %v, Generation() = %d; want true and 1", m.Alive(), m.Generation())
	}
	cancel()
	<-done
}
