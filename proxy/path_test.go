package proxy

import (
	"strings"
	"testing"

	"bramleymill/fleet"
)

// Guards against a fault anywhere on the path from the caller through an entry node
// and a server node to the backend server and back.
func TestForwardedCall(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	c.node("server", answer("hello"))
	resp := expect(t, 200, "", "hello", "GET", entry.caller.URL+"/x")
	if id := resp.Header.Get(fleet.HeaderRequestID); !strings.HasPrefix(id, "entry.7.") {
		t.Errorf("request id in the answer = %q, want the prefix \"entry.7.\"", id)
	}
	if by := resp.Header.Get(fleet.HeaderServedBy); by != "server" {
		t.Errorf("node that served the request = %q, want server", by)
	}
	if resp.Header.Get(fleet.HeaderLoad) != "" {
		t.Error("the answer to the caller has a load report, want no load report")
	}
}

// Guards against sending a call through the network although its server is beside the
// entry node.
func TestLocalCall(t *testing.T) {
	c := newCluster(t)
	n := c.node("only", answer("hello"))
	n.peer.Close()
	expect(t, 200, "", "hello", "POST", n.caller.URL+"/x", fleet.HeaderIdempotencyKey, "k1")
	expect(t, 200, "", "hello", "POST", n.caller.URL+"/x")
}
