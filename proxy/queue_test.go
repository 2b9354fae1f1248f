package proxy

import (
	"net/http"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against refusing work as overloaded, or moving it in vain, when no
// other backend server can take it although it would meet its deadline.
func TestWorkWaitsWhenThereIsNoOtherServer(t *testing.T) {
	const requests = 12
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			c := newCluster(t)
			entry := c.node("entry", nil)
			release := make(chan struct{})
			n := c.node("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), func(c *Config) {
				c.Backend.Slots, c.Backend.QueueLength = 2, 1
			})
			kinds := make(chan string, requests)
			for range requests {
				go func() {
					resp, _, err := request(t, method, entry.caller.URL+"/x", nil)
					if err != nil {
						kinds <- err.Error()
						return
					}
					kinds <- resp.Header.Get(fleet.HeaderKind)
				}()
			}
			for l := n.Admission(); l.Queued+l.InFlight < requests && len(kinds) == 0; l = n.Admission() {
				time.Sleep(time.Millisecond)
			}
			close(release)
			for range requests {
				if kind := <-kinds; kind != "" {
					t.Errorf("refused as %q", kind)
				}
			}
		})
	}
}
