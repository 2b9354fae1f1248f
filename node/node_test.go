package node

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/proxy"
)

// Guards against parts of the request path that do not work together: a request to any
// node must receive the complete answer of a backend server.
func TestRequestThroughEveryNode(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	for i := range f.nodes {
		resp, body := f.send(i, http.MethodGet, "/page", "w", "")
		if resp.StatusCode != http.StatusOK || body != strings.Repeat("w", 512) {
			t.Errorf("node %d: status %d, error kind %q, body %.60q, want status 200 and 512 times \"w\"", i, resp.StatusCode, resp.Header.Get(fleet.HeaderKind), body)
		}
	}
}

// Guards against a request with an idempotency key that runs twice because its caller
// resends it through another node, and against the loss of its answer.
func TestResentOrderIsReplayed(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	first, body := f.send(0, http.MethodPost, "/orders", "order-1", `"k1"`)
	if first.StatusCode != http.StatusOK {
		t.Fatalf("first request: status %d, error kind %q, body %q, want status 200", first.StatusCode, first.Header.Get(fleet.HeaderKind), body)
	}
	f.await("the replayed answer", func() bool {
		resent, resentBody := f.send(1, http.MethodPost, "/orders", "order-1", `"k1"`)
		return resent.Header.Get(fleet.HeaderReplayed) == "true" && resentBody == body
	})
	if n := f.executions("order-1"); n != 1 {
		t.Fatalf("the request ran %d times after it was sent again, want 1", n)
	}
	conflict, _ := f.send(2, http.MethodPost, "/orders?changed", "order-1", `"k1"`)
	if conflict.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("different request with the same idempotency key: status %d, want 422", conflict.StatusCode)
	}
}

// Guards against a graceful stop that fails or that leaves the other nodes without
// service.
func TestServiceContinuesAfterGracefulStop(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	if err := f.stop(0); err != nil {
		t.Fatalf("graceful stop: error %v, want no error", err)
	}
	for range 20 {
		resp, body := f.send(1, http.MethodGet, "/page", "w", "")
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request after the stop: status %d, error kind %q, body %q, want status 200", resp.StatusCode, resp.Header.Get(fleet.HeaderKind), body)
		}
	}
}

// Guards against two processes that serve under one name: the earlier process must stop
// when the later one has joined.
func TestLaterProcessWithSameNameSupersedesEarlier(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	f.addPlainNode()
	f.await("a configuration at the earlier process", func() bool { return f.nodes[3].config.Current() != nil })
	f.addPlainNode()
	select {
	case err := <-f.done[3]:
		f.cancels[3] = nil
		if !errors.Is(err, ErrSuperseded) {
			t.Errorf("the earlier process ended with error %v, want ErrSuperseded", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the earlier process still runs after the timeout, want it to end with ErrSuperseded")
	}
}

// Guards against a stop that closes connections on which callers are sending: a request
// that reaches a stopping node must be refused without being run before its connection closes.
func TestStoppingNodeRefusesRequestsBeforeClosingConnections(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	client := &http.Client{Transport: &http.Transport{}}
	post := func() (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.settings[2].CallerAddress+"/orders", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		return client.Do(req)
	}
	stopErr := make(chan error, 1)
	cancel := f.cancels[2]
	f.cancels[2] = nil
	go func() { cancel(); stopErr <- <-f.done[2] }()
	for {
		resp, err := post()
		if err != nil {
			t.Fatalf("request to a stopping node: error %v, want a refusal before the connection closes", err)
		}
		resp.Body.Close()
		if resp.Header.Get(fleet.HeaderKind) == string(errkind.Draining) {
			if !resp.Close {
				t.Error("the refusal does not announce that the connection closes, want Connection: close")
			}
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err := <-stopErr; err != nil {
		t.Error(err)
	}
}

// Guards against a node that cannot query the load of another node's backend server
// without sending work to it.
func TestLoadQueryToAnotherNode(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	f.apply("budget", 1, strings.Replace(testClasses, `{"classes"`, `{"measuring_bytes_per_second":10000,"classes"`, 1))
	n := f.nodes[0]
	p := n.proxy.Load()
	p.Views("shop") // creates the balancer that records load reports of the service
	for _, s := range n.member.Servers("shop") {
		f.await("a load report of "+string(s.Node), func() bool {
			sendLoadQuery(t.Context(), p, n.endpoint, proxy.LoadQuery{Service: "shop", Server: s}, n.logger)
			return slices.ContainsFunc(p.Views("shop"), func(v pick.View) bool { return v.Server.Node == s.Node && v.ReportAge >= 0 })
		})
	}
}
