package proxy

import (
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleymill/fleet"
)

// Guards against an odd announcement from another writer after which the node no longer
// follows the announcements of its backend server, or holds a value that overflows.
func TestOddAnnouncementsLeaveTheOthersInForce(t *testing.T) {
	c := platformCluster(t)
	n := c.platformNode("n1", func(conn net.Conn, r *http.Request, _ int32) bool { return writeAnswer(conn, r, 200, "x") })
	address := n.config.Backend.Address
	now := c.clock.Now()
	good := Announcement{Instance: "i-n1", StartedAt: now.Add(-time.Minute), Sequence: 1, State: fleet.Ready, Slots: 4}
	for name, edit := range map[string]func(a *Announcement){
		"sequence of 64 bits":     func(a *Announcement) { a.Sequence = math.MaxUint64 },
		"sequence past 53 bits":   func(a *Announcement) { a.Sequence = 1 << 53 },
		"slots past 16 bits":      func(a *Announcement) { a.Slots = math.MaxInt },
		"negative slots":          func(a *Announcement) { a.Slots = -1 },
		"warmup of a century":     func(a *Announcement) { a.Warmup = math.MaxInt64 },
		"start in the future":     func(a *Announcement) { a.StartedAt = time.UnixMilli(math.MaxInt64 / 2) },
		"other process to start":  func(a *Announcement) { a.Instance, a.StartedAt = "other", now.Add(24*time.Hour) },
		"start before the epoch":  func(a *Announcement) { a.StartedAt = time.UnixMilli(math.MinInt64 / 2) },
		"no instance":             func(a *Announcement) { a.Instance = "" },
		"long instance":           func(a *Announcement) { a.Instance = strings.Repeat("x", 1<<16) },
		"instance with a newline": func(a *Announcement) { a.Instance = "i-n1\r\nX-Forged: 1" },
	} {
		odd := good
		odd.Sequence++
		edit(&odd)
		if err := n.Announce("shop", address, odd); err == nil {
			t.Errorf("%s: announcement %.200v was accepted, want an error", name, odd)
		}
		good.Sequence++
		good.Slots = 3 + good.Slots%2
		if err := n.Announce("shop", address, good); err != nil {
			t.Fatalf("%s: good announcement after the odd one: error %v, want none", name, err)
		}
		if got := n.local.announced.latest(); got.Instance != good.Instance || got.Sequence != good.Sequence || got.Slots != good.Slots {
			t.Errorf("%s: announcement in force = %+v, want the good one %+v", name, got, good)
		}
	}
}
