package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Guards against an answer without a valid status that takes the slot of its request for good.
func TestAnswerWithoutStatusGivesBackItsSlot(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+99"} {
		t.Run(status, func(t *testing.T) {
			c := platformCluster(t)
			n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool {
				if r.URL.Path == "/order/spoiled" {
					return write(conn, "HTTP/1.1 "+status+" \r\nContent-Length: 0\r\n\r\n")
				}
				return writeAnswer(conn, r, 200, "ran")
			})
			entry := c.platformNode("n2", nil, func(config *Config) { config.Backend = nil })
			for i := range 2 * n.Admission().Slots {
				caller := []*node{n, entry}[i%2].caller.URL
				resp, _, err := request(t, "POST", caller+"/order/spoiled", nil, "X-Id", "abc")
				if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(fleet.HeaderKind) != string(errkind.ConnectionLost) {
					t.Fatalf("request %d: response %+v, error %v, want status 502 of kind connection_lost", i, resp, err)
				}
			}
			if in := n.Admission().InFlight; in != 0 {
				t.Errorf("slots in use after the answers = %d, want 0", in)
			}
			expect(t, 200, "", "ran", "POST", n.caller.URL+"/order/1", "X-Id", "abc")
		})
	}
}

// Guards against a health answer without a valid status that counts as a passed check.
func TestHealthAnswerWithoutStatusShowsNothing(t *testing.T) {
	c := platformCluster(t)
	var status atomic.Int32
	status.Store(200)
	raw := newRawBackend(t, func(conn net.Conn, _ *http.Request, _ int32) bool {
		return write(conn, fmt.Sprintf("HTTP/1.1 %03d \r\nX-Instance: i\r\nX-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", status.Load()))
	})
	n := c.node("n", nil, raw.use, func(config *Config) {
		config.Dialect = &testDialect
		config.Backend.Announces, config.Backend.HealthPath = true, "/well"
	})
	status.Store(0)
	if h, err := n.local.announced.health(t.Context()); err == nil {
		t.Errorf("health answer with status 000: %+v and no error, want an error", h)
	}
	if status, _, err := n.local.health.get(t.Context()); err == nil {
		t.Errorf("health answer with status 000: status %d and no error, want an error", status)
	}
}
