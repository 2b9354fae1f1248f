package admit

import (
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Replays clients that begin bodies and never end them, beside ordinary requests. Guards against
// slots that are all held by such clients, against a bound that still counts a body that has
// arrived, and against one that a request without a body meets.
func TestUnfinishedBodiesLeaveSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(Config{Slots: 10, QueueLength: 20, NoReserve: true})
	offer := func(id uint64, uploading bool) (Verdict, errkind.Kind) {
		v, kind, _ := c.Offer(now, id, Request{Urgency: fleet.UrgencyNormal, Deadline: now.Add(time.Minute), Class: "a", Uploading: uploading})
		return v, kind
	}
	for id := range uint64(5) {
		if v, kind := offer(id, true); v != Admitted {
			t.Fatalf("upload %d of 5 at 10 slots: verdict %d, kind %q, want admitted", id+1, v, kind)
		}
	}
	if v, kind := offer(5, true); v != Refused || kind != errkind.QueueFull {
		t.Errorf("upload beside 5 at 10 slots: verdict %d, kind %q, want refused with queue_full", v, kind)
	}
	for id := uint64(10); id < 15; id++ {
		if v, kind := offer(id, false); v != Admitted {
			t.Errorf("request %d beside 5 uploads at 10 slots: verdict %d, kind %q, want admitted", id-9, v, kind)
		}
	}
	if v, _ := offer(15, false); v != Queued {
		t.Errorf("request without a free slot: verdict %d, want queued", v)
	}
	c.BodyReceived(now, 0)
	c.BodyReceived(now, 0) // the end of a body counts once
	if v, _ := offer(20, true); v != Queued {
		t.Errorf("upload after the end of another body: verdict %d, want queued", v)
	}
	if v, _ := offer(21, true); v != Refused {
		t.Errorf("second upload after the end of one body: verdict %d, want refused, because a queued one counts", v)
	}
	c.Done(now, 0, 0)
	for id := uint64(1); id < 5; id++ {
		c.Done(now, id, 0)
	}
	if c.uploading != 1 { // the queued one runs
		t.Errorf("%d uploads count after the others have ended, want 1", c.uploading)
	}
	single := NewController(Config{Slots: 1, NoReserve: true})
	if v, _, _ := single.Offer(now, 1, Request{Deadline: now.Add(time.Minute), Uploading: true}); v != Admitted {
		t.Errorf("upload at a server with one slot: verdict %d, want admitted", v)
	}
}
