package proxy

import (
	"net/http"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against refusing or rerouting requests because of overload although they would
// still meet their deadlines. A reroute has no effect here, because there is only one
// backend server.
func TestRequestsWaitAtOnlyServer(t *testing.T) {
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
					t.Errorf("request in a queue longer than its limit: refused with error kind %q, want an answer", kind)
				}
			}
		})
	}
}

// Guards against retries when the only server is full. They have no effect, and the
// exhausted retry budget would hide the reason of the refusal.
func TestFullOnlyServerIsNotRetried(t *testing.T) {
	const runningRequests, waitingRequests, refusedRequests = 1, 16, 8
	c := newCluster(t)
	entry := c.node("entry", nil)
	release := make(chan struct{})
	n := c.node("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), func(c *Config) {
		c.Backend.Slots, c.Backend.QueueLength = 2, 1
	})
	kinds := make(chan string, runningRequests+waitingRequests)
	send := func() string {
		resp, _, err := request(t, "GET", entry.caller.URL+"/x", nil)
		if err != nil {
			return err.Error()
		}
		return resp.Header.Get(fleet.HeaderKind)
	}
	for range runningRequests + waitingRequests {
		go func() { kinds <- send() }()
	}
	for l := n.Admission(); l.Queued+l.InFlight < runningRequests+waitingRequests; l = n.Admission() {
		time.Sleep(time.Millisecond)
	}
	for range refusedRequests {
		if kind := send(); kind != "slots_reserved" {
			t.Errorf("request to the full only server: error kind = %q, want slots_reserved", kind)
		}
	}
	close(release)
	for range runningRequests + waitingRequests {
		if kind := <-kinds; kind != "" {
			t.Errorf("running or waiting request of the full server: refused with error kind %q, want an answer", kind)
		}
	}
}
