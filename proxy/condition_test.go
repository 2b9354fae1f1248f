package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/settings"
)

// statingServer is a backend server that adds headers to its answers and records the
// requests that it gets. It outlives the nodes beside it.
type statingServer struct {
	raw *rawBackend

	mu       sync.Mutex
	headers  string      // of answers to requests
	arrivals []time.Time // by the clock of the cluster
}

func newStatingServer(c *cluster, instance, headers string) *statingServer {
	s := &statingServer{headers: headers}
	s.raw = newRawBackend(c.t, func(conn net.Conn, r *http.Request, _ int32) bool {
		s.mu.Lock()
		headers := s.headers
		if r.URL.Path != "/well" {
			s.arrivals = append(s.arrivals, c.clock.Now())
		}
		s.mu.Unlock()
		if r.URL.Path == "/well" {
			return write(conn, "HTTP/1.1 200 OK\r\nX-Instance: "+instance+"\r\nX-Load: 0,0,16,100\r\nContent-Length: 0\r\n\r\n")
		}
		return writeAnswer(conn, r, http.StatusOK, instance, headers)
	})
	return s
}

func (s *statingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// serverNode adds the node beside s.
func (c *cluster) serverNode(name string, s *statingServer, incarnation fleet.Incarnation) *node {
	return c.node(name, nil, func(config *Config) {
		config.Dialect, config.AnyPlacement, config.Incarnation = &testDialect, true, incarnation
		config.Backend = &settings.Backend{Service: "shop", Address: s.raw.listener.Addr().String(), Slots: 16, Connections: 64,
			QueueLength: 20, HealthPath: "/well", Announces: true}
	})
}

// remove stops a node and removes it from the directory.
func (c *cluster) remove(n *node) {
	n.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.nodes {
		if other == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			return
		}
	}
}

func (c *cluster) entryNodes(n int) []*node {
	var out []*node
	for i := range n {
		out = append(out, c.node(fmt.Sprintf("e%d", i), nil, func(config *Config) { config.Dialect = &testDialect }))
	}
	return out
}

// Guards against a backend server that gets more requests than the limit that it states,
// because each node sends it requests independently of the others, or because the node
// beside it has restarted. The bound is that of the platform for 4 s: one and a half times
// what the limit allows, and 5 more.
func TestStatedLimitHoldsOverAllNodes(t *testing.T) {
	const limit, window, step = 5, 4 * time.Second, 100 * time.Millisecond
	c := platformCluster(t)
	s := newStatingServer(c, "i-1", "X-Limit: 5.0\r\n")
	server := c.serverNode("s", s, 7)
	entries := c.entryNodes(6)
	for i := range 100 {
		if i == 60 {
			c.remove(server)
			server = c.serverNode("s", s, 8)
		}
		for k := range 3 {
			e := entries[(3*i+k)%len(entries)]
			if _, _, err := request(t, "GET", e.caller.URL+"/read/x", nil, "X-Id", fmt.Sprintf("r%d-%d", i, k), "X-Wait", "50"); err != nil {
				t.Fatalf("request %d-%d: error %v, want an answer", i, k, err)
			}
		}
		c.clock.Advance(step)
	}
	most := 0
	for i, from := range s.arrivals {
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	if bound := 1.5*limit*window.Seconds() + 5; float64(most) > bound {
		t.Errorf("requests within %v at a server that states a limit of %d a second = %d, want at most %v", window, limit, most, bound)
	}
	if got, least := s.count(), 30; got < least {
		t.Errorf("requests in 10 s = %d, want at least %d: the limit must not keep away what the server accepts", got, least)
	}
}
