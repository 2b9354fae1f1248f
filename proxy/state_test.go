package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/explain"
	"bramleymill/fleet"
)

// Guards against a health answer that has no effect, and against health checks
// beyond the measuring budget.
func TestHealthDecidesWithinTheBudget(t *testing.T) {
	c := newCluster(t)
	c.configure(strings.Replace(testClasses, `"name":"browse",`, `"name":"browse","probes_per_second":100,`, 1))
	var text atomic.Pointer[string]
	var checks atomic.Int32
	set := func(s string) { text.Store(&s) }
	set("ok")
	n := c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			checks.Add(1)
			if *text.Load() != "ok" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		_, _ = io.WriteString(w, *text.Load())
	}), func(c *Config) { c.Clock = clock.System{} })
	set("busy")
	n.local.health.requestCheck()
	for before := checks.Load(); checks.Load() == before; time.Sleep(time.Millisecond) {
	}
	if s := n.State(); s != fleet.Ready {
		t.Errorf("an error that does not say draining made the server %s", s)
	}
	set("draining")
	n.local.health.requestCheck()
	n.await(fleet.Draining)
	expect(t, 503, "draining", "", "GET", n.caller.URL+"/x")
	set("ok")
	n.local.health.requestCheck()
	n.await(fleet.Ready)
	expect(t, 200, "", "ok", "GET", n.caller.URL+"/x")
	c.configure(testClasses) // without a budget
	before := checks.Load()
	for range 20 {
		n.local.health.requestCheck()
		n.local.health.step(t.Context())
	}
	if checks.Load() != before {
		t.Errorf("%d checks without a budget", checks.Load()-before)
	}
}

// Guards against a caller that stops reading and keeps its slot.
func TestCallerThatDoesNotReadLosesItsSlot(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, &endless{})
	}))
	for _, n := range []*node{entry, server} {
		conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		write(conn, "GET /x HTTP/1.1\r\nHost: x\r\n"+fleet.HeaderTimeoutMillis+": 300\r\n\r\n")
		for server.Admission().InFlight == 0 {
			time.Sleep(time.Millisecond)
		}
		for server.Admission().InFlight > 0 {
			time.Sleep(time.Millisecond)
		}
		for len(n.Explain().Recent("", 1)) == 0 { // the entry node has let go of it too
			time.Sleep(time.Millisecond)
		}
		_ = conn.Close()
	}
}

// Guards against a slot that is still taken when the caller has its answer: its
// next request would be refused at a server without a queue.
func TestSlotIsFreeWhenTheAnswerEnds(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("a", answer("ok"))
	for _, n := range []*node{entry, server} {
		for i := range 100 {
			expect(t, 200, "", "ok", "GET", n.caller.URL+"/x")
			if held := server.Admission().InFlight; held != 0 {
				t.Fatalf("answer %d of node %s: %d slots are taken", i, n.name, held)
			}
		}
	}
}

// Guards against a record that does not explain what happened to a request.
func TestRecordsOfARequest(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("a", answer("a")).DrainBackend(true)
	b := c.node("b", answer("b"))
	var id string
	for retried := false; !retried; {
		id = expect(t, 200, "", "b", "POST", entry.caller.URL+"/x", key, "k"+id).Header.Get(fleet.HeaderRequestID)
		r := entry.record(id)
		retried = len(r.Attempts) == 2
		if r.Class != "order" || r.ConfigVersion != 3 || r.ClaimState != "granted" || r.ClaimID == "" || r.Status != 200 || r.Kind != "" || len(r.Candidates) == 0 {
			t.Fatalf("entry record %+v", r)
		}
		if retried && (r.Attempts[0].Target != "a" || r.Attempts[0].Kind != "draining" || r.Attempts[1].Target != "b" || r.Attempts[1].Status != 200) {
			t.Errorf("attempts %+v", r.Attempts)
		}
		c.clock.Advance(time.Minute) // the load report of the draining server grows old
		c.nodes[1].ready.Add(1)
	}
	server := b.record(id)
	if n := len(b.Explain().Find(id)); n != 1 || server.Side != explain.ServerSide || server.AttemptNumber != 2 || server.Status != 200 {
		t.Errorf("%d server records, %+v", n, server)
	}
}

// Guards against a server that stays announced as starting: an owner of the proxy
// that reads the first state itself may announce it after a later one.
func TestFirstStateIsReportedBeforeLaterOnes(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	var states []fleet.ServerState
	n := c.node("a", answer("a"), func(c *Config) {
		c.StateChanged = func(s fleet.ServerState) {
			mu.Lock()
			defer mu.Unlock()
			states = append(states, s)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if len(states) < 2 || states[0] != fleet.Starting || states[len(states)-1] != n.State() {
		t.Errorf("reported %v, the state is %v", states, n.State())
	}
}
