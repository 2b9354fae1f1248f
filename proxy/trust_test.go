package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against headers of this product that callers or backend servers forge, and
// against passing on headers that apply to one connection only.
func TestForgedAndHopByHopHeaders(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	var got http.Header
	c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		h := w.Header()
		for _, name := range []string{fleet.HeaderKind, fleet.HeaderOutcome, fleet.HeaderLoad, fleet.HeaderCallMeta, headerAttemptsLeft} {
			h.Set(name, "draining")
		}
		h["bramleymill-kind"] = []string{"queue_full"}
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("Keep-Alive", "timeout=5")
		h.Set("X-End", "2")
	}))
	for _, n := range []*node{entry, c.nodes[1]} {
		resp := expect(t, 200, "", "", "POST", n.caller.URL+"/x",
			fleet.HeaderCallMeta, "forged", fleet.HeaderCall, "forged", "bramleymill-kind", "forged", fleet.HeaderDeadlineMillis, "1",
			headerExpect, "1", "Connection", "x-hop, keep-alive", "X-Hop", "1", "Te", "trailers", "Proxy-Authorization", "secret", "X-End", "2")
		if resp.Header.Get(fleet.HeaderLoad) != "" || resp.Header.Get(fleet.HeaderCallMeta) != "" || resp.Header.Get(headerAttemptsLeft) != "" ||
			resp.Header.Get("X-Hop") != "" || resp.Header.Get("Keep-Alive") != "" || resp.Header.Get("X-End") != "2" {
			t.Errorf("node %s: headers of the answer = %v, want X-End 2, no hop-by-hop headers and none of the headers between nodes", n.name, resp.Header)
		}
		for _, name := range []string{fleet.HeaderCallMeta, fleet.HeaderKind, headerExpect, "X-Hop", "Keep-Alive", "Proxy-Authorization"} {
			if got.Get(name) != "" {
				t.Errorf("node %s: header %s reached the backend server with the value %q, want it removed", n.name, name, got.Get(name))
			}
		}
		if got.Get(fleet.HeaderCall) == "forged" || got.Get(fleet.HeaderDeadlineMillis) == "1" || got.Get("X-End") != "2" || got.Get("Te") != "trailers" {
			t.Errorf("node %s: headers of the request = %v, want X-End 2, Te trailers, and no forged call token or deadline", n.name, got)
		}
	}
}

// Guards against a request id of the caller that replaces the one that the node
// assigns.
func TestCallerRequestIDIsAnAttribute(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", answer("ok"))
	for sent, kept := range map[string]string{"abc-1": "abc-1", "bad id\t": ""} {
		id := expect(t, 200, "", "ok", "GET", n.caller.URL+"/x", fleet.HeaderRequestID, sent).Header.Get(fleet.HeaderRequestID)
		n.record(id)
		records := n.Explain().Find(id)
		if id == sent || len(records) != 1 || records[0].CallerID != kept {
			t.Errorf("request sent with the id %q: assigned id = %q, records = %+v; want an assigned id that differs from the sent one, and 1 record whose CallerID is abc-1 for abc-1 and empty for the invalid id", sent, id, records)
		}
	}
}

// nestedCall sends a call on behalf of the request r that the handler of the backend
// server is running. The call has the token of r.
func nestedCall(t *testing.T, n *node, r *http.Request, path string) *http.Response {
	t.Helper()
	resp, _, err := request(t, "GET", n.service.URL+path, nil, fleet.HeaderCall, r.Header.Get(fleet.HeaderCall))
	if err != nil {
		t.Error(err)
		return &http.Response{Header: http.Header{}}
	}
	return resp
}

// Guards against internal-only classes that are served without a valid token, against a
// token that remains valid after its request has ended, and against an empty service
// token that matches any call without a token.
func TestInternalOnlyNeedsToken(t *testing.T) {
	c := newCluster(t)
	var n *node
	var token string
	n = c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/check" {
			return
		}
		token = r.Header.Get(fleet.HeaderCall)
		if resp := nestedCall(t, n, r, "/check"); resp.StatusCode != 200 {
			t.Errorf("call with the token of a request in flight: status = %d, want 200", resp.StatusCode)
		}
		expect(t, 403, "internal_only", "", "GET", n.caller.URL+"/check", fleet.HeaderCall, token)
	}))
	expect(t, 200, "", "", "GET", n.caller.URL+"/x")
	expect(t, 403, "internal_only", "", "GET", n.service.URL+"/check", fleet.HeaderCall, token)
	expect(t, 403, "internal_only", "", "GET", n.service.URL+"/check")
	expect(t, 200, "", "", "GET", n.service.URL+"/check", fleet.HeaderCall, "service-secret")
	expect(t, 403, "internal_only", "", "GET", n.caller.URL+"/check", fleet.HeaderCall, "service-secret")
	withoutToken := c.node("b", answer("ok"), func(c *Config) { c.ServiceToken = "" })
	expect(t, 403, "internal_only", "", "GET", withoutToken.service.URL+"/check", fleet.HeaderCall, "")
}

// Guards against nested calls of unlimited depth, and against nested calls that have more
// time than the request for which they are made.
func TestNestedCallsInheritLimits(t *testing.T) {
	c := newCluster(t)
	var n *node
	status := make(chan int, 1)
	var remainingMillis int64
	n = c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/leaf" {
			remainingMillis, _ = strconv.ParseInt(r.Header.Get(fleet.HeaderDeadlineMillis), 10, 64)
			return
		}
		status <- nestedCall(t, n, r, "/leaf").StatusCode
	}))
	for depth, want := range map[uint8]int{fleet.MaxDepth - 1: 200, fleet.MaxDepth: 508} {
		m := n.meta("entry")
		m.RequestID += strconv.Itoa(int(depth))
		m.Depth, m.Remaining = depth, 3*time.Second
		n.forward(t, "entry", "POST", m)
		if got := <-status; got != want {
			t.Errorf("nested call of a request with depth %d: status = %d, want %d", depth, got, want)
		}
	}
	if remainingMillis <= 0 || remainingMillis > 3000 {
		t.Errorf("remaining time of the nested call = %d ms, want more than 0 and at most 3000", remainingMillis)
	}
}

// Guards against retries of nested calls after the attempts of their request are used up,
// and against unused attempts that the answer does not report.
func TestNestedCallsShareAttempts(t *testing.T) {
	c := newCluster(t)
	var n *node
	bad := newRawBackend(t, closeWithoutAnswer)
	codes := make(chan int, 1)
	n = c.node("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, _, err := request(t, "GET", n.service.URL+"/x", nil, fleet.HeaderCall, r.Header.Get(fleet.HeaderCall))
		if err == nil {
			codes <- resp.StatusCode
		}
	}))
	c.configure(`{"classes":[{"name":"browse","service":"other","match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,"latency_target":"1s","deadline":"20s","urgency":"normal"}]}`)
	for _, name := range []string{"x", "y", "z"} {
		c.node(name, nil, bad.use, func(c *Config) { c.Backend.Service = "other" })
	}
	for _, tt := range []struct {
		attemptsLeft uint32
		attempts     int32
		unused       string
	}{{0, 1, "0"}, {1, 2, "0"}, {3, 3, "1"}} {
		before := bad.requests.Load()
		m := n.meta("entry")
		m.RequestID += strconv.Itoa(int(tt.attemptsLeft))
		m.AttemptsLeft = tt.attemptsLeft
		resp := n.forward(t, "entry", "POST", m)
		if code := <-codes; code != 502 || bad.requests.Load()-before != tt.attempts {
			t.Errorf("test case %+v: attempts = %d, status = %d; want the attempts listed there and status 502", tt, bad.requests.Load()-before, code)
		}
		if unused := resp.Header.Get(headerAttemptsLeft); unused != tt.unused {
			t.Errorf("test case %+v: reported unused attempts = %s, want the number listed there", tt, unused)
		}
	}
}
