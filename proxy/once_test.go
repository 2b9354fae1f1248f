package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

const key = fleet.HeaderIdempotencyKey

func outcome(r *http.Response) errkind.Outcome {
	return errkind.Outcome(r.Header.Get(fleet.HeaderOutcome))
}

// Guards against an error for a request that did not run because no process listens at
// the address of the first server.
func TestUnsentRequestGoesToAnotherServer(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	unreachable := &countingBackend{next: answer("dead")}
	c.node("a", unreachable).peer.Close()
	reachable := &countingBackend{next: answer("alive")}
	c.node("b", reachable)
	for range 5 {
		expect(t, 200, "", "alive", "POST", entry.caller.URL+"/x")
	}
	if unreachable.runs.Load() != 0 || reachable.runs.Load() != 5 {
		t.Errorf("runs at the unreachable server a = %d, at b = %d; want 0 and 5", unreachable.runs.Load(), reachable.runs.Load())
	}
}

// closeWithoutAnswer reads each request and closes the connection without an answer.
func closeWithoutAnswer(_ net.Conn, r *http.Request, _ int32) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	return false
}

// Guards against a second run of a non-idempotent request whose connection broke after
// the request was written, and against an answer to the caller with the outcome not_run.
func TestWrittenRequestHasUnknownOutcome(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	one, two := newRawBackend(t, closeWithoutAnswer), newRawBackend(t, closeWithoutAnswer)
	c.node("a", nil, one.use)
	c.node("b", nil, two.use)
	resp := expect(t, 502, "connection_lost", "", "POST", entry.caller.URL+"/x")
	if outcome(resp) != errkind.Unknown {
		t.Errorf("request whose connection broke after it was written: outcome = %q, want unknown", outcome(resp))
	}
	if n := one.requests.Load() + two.requests.Load(); n != 1 {
		t.Errorf("requests received by both servers together = %d, want 1", n)
	}
}

// Guards against a failed idempotent request that is not retried at another server.
func TestIdempotentRequestIsRetried(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	bad := newRawBackend(t, closeWithoutAnswer)
	c.node("a", nil, bad.use)
	c.node("b", answer("good"))
	for range 4 {
		expect(t, 200, "", "good", "GET", entry.caller.URL+"/x")
	}
}

// Guards against the retries of http.Transport: on a reused connection it sends a
// request without a body again if the method or an idempotency key header suggests that
// the request is idempotent.
func TestNoHiddenRetryOnReusedConnection(t *testing.T) {
	for _, tt := range []struct {
		name, method string
		header       []string
	}{
		{"get", "GET", nil}, {"head", "HEAD", nil}, {"options", "OPTIONS", nil},
		{"key", "POST", []string{key}}, {"other key", "POST", []string{"X-Idempotency-Key"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			entry := c.node("entry", nil)
			raw := newRawBackend(t, func(conn net.Conn, r *http.Request, n int32) bool {
				return n == 1 && write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			c.node("a", nil, raw.use)
			for _, k := range []string{"k1", "k2"} {
				if resp, _, err := request(t, tt.method, entry.caller.URL+"/x", nil, append(tt.header, k)...); err != nil {
					t.Fatal(err)
				} else if n := raw.requests.Load(); n == 1 && resp.StatusCode != 200 {
					t.Fatalf("first request on the connection: status = %d, want 200", resp.StatusCode)
				}
			}
			if n := raw.requests.Load(); n != 2 {
				t.Errorf("requests at the backend server after two sends = %d, want 2, the second without a retry", n)
			}
		})
	}
}

// Guards against the loss of a request that a server refused before it ran.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	a, b := &countingBackend{next: answer("a")}, &countingBackend{next: answer("b")}
	c.node("a", a).DrainBackend(true)
	c.node("b", b)
	for i := range 6 {
		expect(t, 200, "", "b", "POST", entry.caller.URL+"/x", key, "k"+string(rune('0'+i)))
	}
	if a.runs.Load() != 0 || b.runs.Load() != 6 {
		t.Errorf("runs at the draining server a = %d, at b = %d; want 0 and 6", a.runs.Load(), b.runs.Load())
	}
}

// Guards against a request with an idempotency key that runs twice or not at all when the
// reply of the claims group is lost after the claim was committed.
func TestLostClaimReply(t *testing.T) {
	c := newCluster(t)
	b := &countingBackend{next: answer("done")}
	n := c.node("a", b)
	var lost int
	c.claims.fail = func() error {
		if lost++; lost == 1 {
			return errors.New("reply lost")
		}
		return nil
	}
	expect(t, 200, "", "done", "POST", n.caller.URL+"/x", key, "k")
	if resp := expect(t, 200, "", "done", "POST", n.caller.URL+"/x", key, "k"); resp.Header.Get(fleet.HeaderReplayed) != "true" {
		t.Error("second request with the same key: the answer is not marked as replayed, want it marked")
	}
	if b.runs.Load() != 1 {
		t.Errorf("runs of a request whose first claim reply was lost = %d, want 1", b.runs.Load())
	}
}

// Guards against sending an attempt without a committed claim.
func TestNoClaimNoAttempt(t *testing.T) {
	c := newCluster(t)
	b := &countingBackend{next: answer("done")}
	n := c.node("a", b)
	c.claims.fail = func() error { return errors.New("reply lost") }
	resp := expect(t, 503, "claims_unavailable", "", "POST", n.caller.URL+"/x", key, "k", fleet.HeaderTimeoutMillis, "200")
	if outcome(resp) != errkind.NotRun || b.runs.Load() != 0 {
		t.Errorf("request without a committed claim: outcome = %q, runs at the backend server = %d; want not_run and 0", outcome(resp), b.runs.Load())
	}
}

// Guards against two runs when the same key arrives at two nodes at the same time, and
// against the use of one key for different requests.
func TestTwoNodesRaceWithOneKey(t *testing.T) {
	c := newCluster(t)
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	b := &countingBackend{next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		_, _ = io.WriteString(w, "done")
	})}
	one, two := c.node("one", b), c.node("two", b)
	var wg sync.WaitGroup
	wg.Go(func() { expect(t, 200, "", "done", "POST", one.caller.URL+"/x", key, "k") })
	<-arrived
	expect(t, 409, "in_progress", "", "POST", two.caller.URL+"/x", key, "k")
	close(proceed)
	wg.Wait()
	expect(t, 200, "", "done", "POST", two.caller.URL+"/x", key, "k")
	expect(t, 422, "key_reused", "", "POST", two.caller.URL+"/other", key, "k")
	if b.runs.Load() != 1 {
		t.Errorf("runs of a request that was sent with the same key to two nodes = %d, want 1", b.runs.Load())
	}
}

// Guards against a second run of a request with an idempotency key whose first run was interrupted.
func TestKeyWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	c := newCluster(t)
	raw := newRawBackend(t, closeWithoutAnswer)
	n := c.node("a", nil, raw.use)
	expect(t, 502, "connection_lost", "", "POST", n.caller.URL+"/x", key, "k")
	resp := expect(t, 504, "outcome_unknown", "", "POST", n.caller.URL+"/x", key, "k")
	if outcome(resp) != errkind.Unknown || raw.requests.Load() != 1 {
		t.Errorf("second request with the key of an interrupted one: outcome = %q, requests at the backend server = %d; want unknown and 1", outcome(resp), raw.requests.Load())
	}
}

// Guards against a key that remains claimed although every attempt was refused.
func TestRefusedKeyIsReleased(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", answer("done"))
	n.DrainBackend(true)
	expect(t, 503, "draining", "", "POST", n.caller.URL+"/x", key, "k")
	n.DrainBackend(false)
	expect(t, 200, "", "done", "POST", n.caller.URL+"/x", key, "k")
}

// Guards against admitting the same attempt number twice, and against running attempts
// that are addressed to an earlier incarnation or to another node, have no time left, or
// come from a peer that is not their entry node.
func TestServerNodeChecksAttempts(t *testing.T) {
	c := newCluster(t)
	b := &countingBackend{next: answer("done")}
	n := c.node("a", b)
	check := func(status int, kind errkind.Kind, m fleet.CallMeta) {
		t.Helper()
		resp := n.forward(t, "entry", "POST", m)
		if got := resp.Header.Get(fleet.HeaderKind); resp.StatusCode != status || got != string(kind) {
			t.Errorf("forwarded attempt: status = %d, error kind = %q; want %d and %q", resp.StatusCode, got, status, kind)
		}
		if resp.Header.Get(fleet.HeaderLoad) == "" {
			t.Error("forwarded attempt: the answer has no load report, want one")
		}
	}
	m := n.meta("entry")
	check(200, "", m)
	check(409, errkind.DuplicateAttempt, m)
	m.Attempt = 2
	check(200, "", m)
	claimed := m
	claimed.ClaimID = "c1"
	check(200, "", claimed)
	claimed.RequestID = "entry.1.2"
	check(409, errkind.DuplicateAttempt, claimed)
	for _, change := range []func(*fleet.CallMeta){
		func(m *fleet.CallMeta) { m.Incarnation-- },
		func(m *fleet.CallMeta) { m.Target = "b" },
	} {
		m := n.meta("entry")
		m.RequestID = "entry.1.9"
		change(&m)
		check(503, errkind.StaleTarget, m)
	}
	m = n.meta("entry")
	m.RequestID, m.Remaining = "entry.1.8", 0
	check(503, errkind.DeadlineBeforeRun, m)
	m.RequestID, m.Remaining, m.Depth = "entry.1.7", time.Second, fleet.MaxDepth+1
	check(508, errkind.DepthExceeded, m)
	m.Depth, m.EntryNode = 1, "other"
	check(401, errkind.Unauthorized, m)
	if b.runs.Load() != 3 {
		t.Errorf("runs of 3 valid and 7 invalid attempts = %d, want 3", b.runs.Load())
	}
}

// Guards against an attempt that is sent after the deadline, because the process of the
// entry node was suspended after its claim.
func TestFrozenEntryNodeSendsNothing(t *testing.T) {
	c := newCluster(t)
	b := &countingBackend{next: answer("done")}
	n := c.node("entry", nil)
	c.node("a", b)
	var begun bool
	c.claims.fail = func() error {
		if !begun {
			begun = true
			c.clock.Advance(10 * time.Minute)
		}
		return nil
	}
	resp := expect(t, 503, "deadline_before_run", "", "POST", n.caller.URL+"/x", key, "k")
	if outcome(resp) != errkind.NotRun || b.runs.Load() != 0 {
		t.Fatalf("request whose deadline passed after its claim: outcome = %q, runs at the backend server = %d; want not_run and 0", outcome(resp), b.runs.Load())
	}
	expect(t, 200, "", "done", "POST", n.caller.URL+"/x", key, "k")
}

// Guards against a stored answer that differs from the original one, and against the
// replay of an answer that was too large to be stored completely.
func TestReplayedAnswer(t *testing.T) {
	c := newCluster(t)
	large := strings.Repeat("x", 64<<10)
	b := &countingBackend{next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "/orders/1")
		w.WriteHeader(201)
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(w, large)
		}
	})}
	n := c.node("a", b)
	for range 2 {
		if resp := expect(t, 201, "", "", "POST", n.caller.URL+"/x", key, "k"); resp.Header.Get("Location") != "/orders/1" {
			t.Error("original or replayed answer: no header Location with the value /orders/1, want it")
		}
	}
	expect(t, 201, "", large, "POST", n.caller.URL+"/large", key, "l")
	expect(t, 504, "outcome_unknown", "", "POST", n.caller.URL+"/large", key, "l")
	if b.runs.Load() != 2 {
		t.Errorf("runs of two requests, each sent twice = %d, want 2", b.runs.Load())
	}
}
