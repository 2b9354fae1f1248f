package proxy

import (
	"net/http"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against refusing or rerouting requests because of overload when there is only
// one backend server and they would meet their deadlines there. A reroute has no effect
// then.
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
	const running, waiting, refused = 1, 16, 8
	c := newCluster(t)
	entry := c.node("entry", nil)
	release := make(chan struct{})
	n := c.node("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), func(c *Config) {
		c.Backend.Slots, c.Backend.QueueLength = 2, 1
	})
	kinds := make(chan string, running+waiting)
	send := func() string {
		resp, _, err := request(t, "GET", entry.caller.URL+"/x", nil)
		if err != nil {
			return err.Error()
		}
		return resp.Header.Get(fleet.HeaderKind)
	}
	for range running + waiting {
		go func() { kinds <- send() }()
	}
	for l := n.Admission(); l.Queued+l.InFlight < running+waiting; l = n.Admission() {
		time.Sleep(time.Millisecond)
	}
	for range refused {
		if kind := send(); kind != "slots_reserved" {
			t.Errorf("request to the full only server: error kind = %q, want slots_reserved", kind)
		}
	}
	close(release)
	for range running + waiting {
		if kind := <-kinds; kind != "" {
			t.Errorf("running or waiting request of the full server: refused with error kind %q, want an answer", kind)
		}
	}
}
