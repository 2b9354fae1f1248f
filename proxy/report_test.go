package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/probe"
)

// Guards against ignoring the load reports in requests from other nodes, and against load
// reports that reach backend servers or are accepted from callers.
func TestRequestsCarryTheLoadOfTheSender(t *testing.T) {
	c := newCluster(t)
	leaked := make(chan string, 100)
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { leaked <- r.Header.Get(fleet.HeaderLoad) })
	a, b := c.node("a", h), c.node("b", h)
	b.Views("shop") // makes b record the load of the servers of shop
	for range 20 {
		expect(t, 200, "", "", "GET", a.caller.URL+"/x", fleet.HeaderLoad, "forged")
	}
	for range 20 {
		if v := <-leaked; v != "" {
			t.Fatalf("a backend server received the load report %q in a request, want no such header", v)
		}
	}
	for _, v := range b.Views("shop") {
		if v.Server.Node == "a" && v.ReportAge < 0 {
			t.Error("after 20 requests from node \"a\" to node \"b\": \"b\" has no load report for the server of \"a\", want one")
		}
	}
}

// A node receives no load report from a server to which it sends no requests. Guards
// against never querying the load of such a server, and against load queries beyond the
// measuring budget of the network.
func TestLoadQueriesForServersWithoutTraffic(t *testing.T) {
	c := newCluster(t)
	a, b := c.node("a", answer("a")), c.node("b", answer("b"))
	age := func(server fleet.NodeID) time.Duration {
		for _, v := range a.Views("shop") {
			if v.Server.Node == server {
				return v.ReportAge
			}
		}
		t.Fatalf("node \"a\" has no view of the server of node %s, want one", server)
		return 0
	}
	// attempts waits for the record of a request at its entry node and returns the
	// number of attempts in it.
	attempts := func(id string) int {
		for {
			for _, r := range a.Explain().Find(id) {
				if r.Side == explain.Entry {
					return len(r.Attempts)
				}
			}
			if t.Context().Err() != nil {
				t.Fatalf("node \"a\" has no entry record of request %s at the end of the test, want one", id)
			}
			time.Sleep(time.Millisecond)
		}
	}
	// useLocalServer sends requests until node a serves one itself without a hedge to
	// node b. A hedge would report the load of b too. The clock advances by a
	// minute before each request.
	useLocalServer := func() {
		for {
			c.clock.Advance(time.Minute)
			resp, text, err := request(t, "GET", a.caller.URL+"/x", strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			// The load report is recorded after the answer and before the record.
			if n := attempts(resp.Header.Get(fleet.HeaderRequestID)); text == "a" && n == 1 {
				return
			}
		}
	}
	if q := a.LoadQueries(); len(q) != 0 {
		t.Errorf("load queries for an unused service = %d, want 0", len(q))
	}
	useLocalServer()
	if q := a.LoadQueries(); len(q) != 0 || age("a") != 0 {
		t.Errorf("without a budget: load queries = %d, age of the local report = %v; want 0 and 0s", len(q), age("a"))
	}
	c.configure(strings.Replace(testClasses, `{"classes"`, `{"measuring_bytes_per_second":440,"classes"`, 1))
	b.local.health.step(t.Context()) // applies the new limits
	useLocalServer()
	if q := a.LoadQueries(); len(q) != 1 || q[0].Server.Node != "b" {
		t.Fatalf("load queries within the budget = %v, want one for node \"b\"", q)
	}
	if q := a.LoadQueries(); len(q) != 0 {
		t.Errorf("load queries directly after the first one = %v, want no query", q)
	}
	answeredQueries := 0
	for range 40 {
		if r, ok := b.AnswerLoadQuery(); ok {
			answeredQueries++
			a.ObserveReport(LoadQuery{"shop", b.announcement()}, &r)
		}
	}
	if answeredQueries == 0 || answeredQueries > probe.LargestProbe/probe.LoadQueryBytes || age("b") != 0 {
		t.Errorf("answered load queries = %d of 40, age of the report of node \"b\" = %v; want at least 1, at most LargestProbe/LoadQueryBytes, and age 0s", answeredQueries, age("b"))
	}
}
