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

// Guards against a whole path that breaks between its modules: a request to any
// node gets the whole answer of a backend server.
func TestRequestThroughEveryNode(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	for i := range f.nodes {
		resp, body := f.send(i, http.MethodGet, "/page", "w", "")
		if resp.StatusCode != http.StatusOK || body != strings.Repeat("w", 512) {
			t.Errorf("node %d: status %d kind %q body %.60q", i, resp.StatusCode, resp.Header.Get(fleet.HeaderKind), body)
		}
	}
}

// Guards against a second run of an order that is sent again through another
// node, and against losing its answer.
func TestResentOrderIsReplayed(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	first, body := f.send(0, http.MethodPost, "/orders", "order-1", `"k1"`)
	if first.StatusCode != http.StatusOK {
		t.Fatalf("first: status %d kind %q body %q", first.StatusCode, first.Header.Get(fleet.HeaderKind), body)
	}
	f.await("replayed answer", func() bool {
		again, replay := f.send(1, http.MethodPost, "/orders", "order-1", `"k1"`)
		return again.Header.Get(fleet.HeaderReplayed) == "true" && replay == body
	})
	if n := f.executions("order-1"); n != 1 {
		t.Fatalf("the order ran %d times", n)
	}
	other, _ := f.send(2, http.MethodPost, "/orders?changed", "order-1", `"k1"`)
	if other.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("same key with another request: status %d, want 422", other.StatusCode)
	}
}

// Guards against a stop that cuts work off or leaves the other nodes without service.
func TestServiceContinuesAfterGracefulStop(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	if err := f.stop(0); err != nil {
		t.Fatalf("stop: %v", err)
	}
	for range 20 {
		resp, body := f.send(1, http.MethodGet, "/page", "w", "")
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("after the stop: status %d kind %q body %q", resp.StatusCode, resp.Header.Get(fleet.HeaderKind), body)
		}
	}
}

// Guards against two processes that serve under one name: the earlier one stops
// when a later one has joined.
func TestLaterProcessWithSameNameSupersedesEarlier(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	f.addPlainNode()
	f.await("first process serving", func() bool { return f.nodes[3].config.Current() != nil })
	f.addPlainNode()
	select {
	case err := <-f.done[3]:
		f.cancels[3] = nil
		if !errors.Is(err, ErrSuperseded) {
			t.Errorf("the earlier process ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the earlier process goes on")
	}
}

// Guards against a stop that closes connections on which callers are just
// sending: a request that meets a leaving node is answered as not run.
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
	stopped := make(chan error, 1)
	cancel := f.cancels[2]
	f.cancels[2] = nil
	go func() { cancel(); stopped <- <-f.done[2] }()
	for {
		resp, err := post()
		if err != nil {
			t.Fatalf("no refusal before the connection was closed: %v", err)
		}
		resp.Body.Close()
		if resp.Header.Get(fleet.HeaderKind) == string(errkind.Draining) {
			if !resp.Close {
				t.Error("the refusal does not say that the connection is closed")
			}
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a node that cannot learn from another one how loaded its server
// is without sending it work.
func TestLoadQueryToAnotherNode(t *testing.T) {
	f := newTestFleet(t, 3)
	f.bootstrap()
	f.apply("budget", 1, strings.Replace(testClasses, `{"classes"`, `{"measuring_bytes_per_second":10000,"classes"`, 1))
	n := f.nodes[0]
	p := n.proxy.Load()
	p.Views("shop") // uses the service
	for _, s := range n.member.Servers("shop") {
		f.await("load of "+string(s.Node), func() bool {
			sendLoadQuery(t.Context(), p, n.endpoint, proxy.LoadQuery{Service: "shop", Server: s}, n.logger)
			return slices.ContainsFunc(p.Views("shop"), func(v pick.View) bool { return v.Server.Node == s.Node && v.ReportAge >= 0 })
		})
	}
}
