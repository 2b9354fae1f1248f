package proxy

import (
	"errors"
	"strings"
	"testing"
	"time"

	"bramleymill/fleet"
)

// loseReplies makes the claims group lose the reply to every command after the first n.
// The commands are still applied. A negative n ends the loss.
func (f *fakeClaims) loseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = func() error {
		if n--; n < 0 {
			return errors.New("reply lost")
		}
		return nil
	}
	if n < 0 {
		f.fail = nil
	}
}

// If the claims group grants an attempt but its replies are lost until the deadline, no
// request is sent. Guards against a key that then remains in progress and later has an
// unknown outcome.
func TestKeyIsReleasedAfterLostGrant(t *testing.T) {
	for _, tt := range []struct {
		name               string
		replies            int // number of replies before the loss
		unreachableServers int // number of unreachable servers; the first attempts are sent to them
	}{{"begin", 0, 0}, {"reassign", 1, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			entry := c.node("entry", nil)
			for _, name := range []string{"a", "b"}[:tt.unreachableServers] {
				c.node(name, answer("dead")).peer.Close()
			}
			b := &countingBackend{next: answer("done")}
			if tt.unreachableServers == 0 {
				c.node("c", b)
			}
			c.claims.loseReplies(tt.replies)
			expect(t, 503, "claims_unavailable", "", "POST", entry.caller.URL+"/x", key, "k", fleet.HeaderTimeoutMillis, "200")
			c.claims.loseReplies(-1)
			if tt.unreachableServers > 0 {
				c.node("c", b)
			}
			// The clock of the claims group does not advance, so the deadline of the
			// claim does not pass: without the release the key would remain in progress.
			for attempt := 1; ; attempt++ {
				resp, _, err := request(t, "POST", entry.caller.URL+"/x", strings.NewReader("payload"), key, "k")
				if err != nil {
					t.Fatal(err)
				}
				if resp.Header.Get(fleet.HeaderKind) != "in_progress" || attempt == 50 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			expect(t, 200, "", "done", "POST", entry.caller.URL+"/x", key, "k")
			if n := b.runs.Load(); n != 1 {
				t.Errorf("requests run after the key was released = %d, want 1", n)
			}
		})
	}
}
