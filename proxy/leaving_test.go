package proxy

import (
	"fmt"
	"testing"
)

// Guards against requests to a backend server after it has stated that it is leaving, also
// when the node beside it has restarted since and knows only its health answer.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	c := platformCluster(t)
	leaving := newStatingServer(c, "i-leaving", "X-Leaving: 1\r\n")
	server := c.serverNode("a", leaving, 7)
	entry := c.entryNodes(1)[0]
	expect(t, 200, "", "i-leaving", "GET", entry.caller.URL+"/read/x", "X-Id", "first")
	other := newStatingServer(c, "i-other", "")
	c.serverNode("b", other, 7)
	send := func(when string) {
		for i := range 20 {
			expect(t, 200, "", "i-other", "GET", entry.caller.URL+"/read/x", "X-Id", fmt.Sprintf("%s-%d", when, i))
		}
	}
	send("after the statement")
	c.remove(server)
	c.serverNode("a", leaving, 8)
	send("after the restart of its node")
	if got := leaving.count(); got != 1 {
		t.Errorf("requests at a server that states that it is leaving = %d, want only the first one", got)
	}
}
