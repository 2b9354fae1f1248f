package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against mixing the answers of two attempts, and against an attempt that
// continues to run after the other one has answered.
func TestSlowerHedgeAttemptIsCancelledAndNotMixed(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	var slow atomic.Bool
	slow.Store(true)
	cancelled := make(chan struct{}, 1)
	handler := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Only the first attempt of the request for /slow blocks. The earlier requests
			// for /x may be hedged too. A cancelled hedge for /x may arrive late and must not
			// be the attempt that blocks.
			if r.URL.Path == "/slow" && slow.CompareAndSwap(true, false) {
				<-r.Context().Done()
				_, _ = io.WriteString(w, "answer of the cancelled attempt")
				cancelled <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, strings.Repeat(name, 1000))
		})
	}
	c.node("a", handler("a"))
	c.node("b", handler("b"))
	for range 40 { // hedging needs latency measurements of the class
		expect(t, 200, "", "", "GET", entry.caller.URL+"/x")
	}
	c.clock.Advance(6 * time.Second) // refills the hedge budget, which the requests above may have used
	resp, body, err := request(t, "GET", entry.caller.URL+"/slow", nil)
	if err != nil || resp.StatusCode != 200 || body != strings.Repeat(body[:1], 1000) {
		t.Fatalf("hedged request: answer = %v, error = %v, body = %q; want 200 with the body of one server", resp, err, body)
	}
	<-cancelled
	r := entry.record(resp.Header.Get(fleet.HeaderRequestID))
	if len(r.Attempts) != 2 || !r.Attempts[0].Lost && !r.Attempts[1].Lost {
		t.Errorf("attempts of the hedged request = %+v, want 2 with Lost set for one of them", r.Attempts)
	}
}

// Guards against hedging requests that may run at most once.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	var runs atomic.Int32
	arrived, proceed := make(chan struct{}, 64), make(chan struct{}, 64)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		arrived <- struct{}{}
		<-proceed
	})
	c.node("a", h)
	c.node("b", h)
	for i := range 40 {
		done := make(chan struct{})
		go func() {
			defer close(done)
			expect(t, 200, "", "", "POST", fmt.Sprintf("%s/%d", entry.caller.URL, i))
		}()
		<-arrived
		proceed <- struct{}{}
		<-done
	}
	if runs.Load() != 40 {
		t.Errorf("runs of 40 non-idempotent requests = %d, want 40", runs.Load())
	}
}
