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

// Guards against health answers without effect on the state, and against health checks
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
		t.Errorf("state after a health answer 503 without the text draining = %s, want ready", s)
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
		t.Errorf("health checks without a budget = %d, want 0", checks.Load()-before)
	}
}

// Guards against a request that keeps its slot after its caller has stopped reading the
// answer.
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
		for len(n.Explain().Recent("", 1)) == 0 { // waits until the entry node has ended the request too
			time.Sleep(time.Millisecond)
		}
		_ = conn.Close()
	}
}

// Guards against a slot that is still in use when the caller has received its answer:
// the next request of the caller would be refused by a server without a queue.
func TestSlotIsFreeWhenTheAnswerEnds(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	server := c.node("a", answer("ok"))
	for _, n := range []*node{entry, server} {
		for i := range 100 {
			expect(t, 200, "", "ok", "GET", n.caller.URL+"/x")
			if inUse := server.Admission().InFlight; inUse != 0 {
				t.Fatalf("answer %d of node %s: slots in use = %d, want 0", i, n.name, inUse)
			}
		}
	}
}

// Guards against records that do not show the claim, the attempts and the servers of a
// request.
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
			t.Fatalf("entry record = %+v, want class \"order\", configuration version 3, a granted claim, candidates and status 200", r)
		}
		if retried && (r.Attempts[0].Target != "a" || r.Attempts[0].Kind != "draining" || r.Attempts[1].Target != "b" || r.Attempts[1].Status != 200) {
			t.Errorf("attempts of the retried request = %+v, want the first refused by node \"a\" with error kind draining, the second answered by node \"b\" with status 200", r.Attempts)
		}
		c.clock.Advance(time.Minute) // makes the load report of the draining server outdated
		c.nodes[1].readyCount.Add(1)
	}
	server := b.record(id)
	if n := len(b.Explain().Find(id)); n != 1 || server.Side != explain.ServerSide || server.AttemptNumber != 2 || server.Status != 200 {
		t.Errorf("records of the request at the server node b: number = %d, first = %+v; want 1 for attempt 2 with status 200", n, server)
	}
}

// Guards against a server that remains announced as starting. OnStateChange
// has to report the first state too. Otherwise the owner of the proxy would have to read
// the first state itself, and could announce it after a later state.
func TestFirstStateIsReportedBeforeLaterOnes(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	var states []fleet.ServerState
	n := c.node("a", answer("a"), func(c *Config) {
		c.OnStateChange = func(s fleet.ServerState) {
			mu.Lock()
			defer mu.Unlock()
			states = append(states, s)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if len(states) < 2 || states[0] != fleet.Starting || states[len(states)-1] != n.State() {
		t.Errorf("reported states = %v, current state = %v; want starting first and the current state last", states, n.State())
	}
}
