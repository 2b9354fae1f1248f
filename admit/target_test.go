package admit

import (
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

var t0 = time.Unix(5000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// loaded returns a controller with one slot that is in use, whose class "work"
// usually takes 100 ms.
func loaded() *Controller {
	c := NewController(Config{Slots: 1, QueueLength: 10, NoReserve: true})
	c.Offer(at(0), 1, Request{Class: "work", Deadline: at(10000)})
	c.Done(at(100), 1, 100*time.Millisecond)
	c.Offer(at(100), 2, Request{Class: "work", Deadline: at(10000)})
	return c
}

// Guards against requests that wait although they are likely to miss their target
// or can be tried elsewhere, and against the refusal of one that will meet it.
func TestQueueGoesByTarget(t *testing.T) {
	for _, c := range []struct {
		name             string
		urgency          fleet.Urgency
		movable          bool
		target, deadline int
		want             errkind.Kind
	}{
		{"meets its target", fleet.UrgencyLow, false, 460, 1000, ""},
		{"may miss its target", fleet.UrgencyLow, false, 440, 1000, errkind.QueueFull},
		{"urgent and meets its target", fleet.UrgencyHigh, false, 460, 1000, ""},
		{"urgent and may miss its target", fleet.UrgencyHigh, false, 440, 1000, errkind.QueueFull},
		{"can be tried elsewhere", fleet.UrgencyHigh, true, 900, 1000, errkind.QueueFull},
		{"hopeless", fleet.UrgencyNormal, false, 150, 250, errkind.DeadlineBeforeRun},
	} {
		verdict, kind, _ := loaded().Offer(at(100), 3, Request{Class: "work", Urgency: c.urgency, Reroutable: c.movable, Target: at(c.target), Deadline: at(c.deadline)})
		if kind != c.want || (verdict == Queued) != (c.want == "") {
			t.Errorf("%s: verdict %d kind %q, want %q", c.name, verdict, kind, c.want)
		}
	}
}

// Guards against a queue that grows without bound until the first answer after a
// start, so that everything in it misses its target.
func TestQueueBeforeTheFirstAnswer(t *testing.T) {
	c := NewController(Config{Slots: 2, QueueLength: 20, NoReserve: true})
	queued := 0
	for id := range uint64(10) {
		verdict, _, _ := c.Offer(at(0), id, Request{Class: "work", Target: at(500), Deadline: at(2000)})
		if verdict == Queued {
			queued++
		}
	}
	if queued != 0 {
		t.Errorf("%d requests wait, want 0: two run for 250 ms by assumption, and 625 ms have to be left", queued)
	}
}

// Guards against admission at the usual service time to a server that warms up.
func TestWarmUpCountsInTheExpectedTime(t *testing.T) {
	for pace, want := range map[float64]Verdict{1: Queued, 2: Refused} {
		c := loaded()
		c.SetSlowdown(at(100), pace)
		verdict, _, _ := c.Offer(at(100), 3, Request{Class: "work", Target: at(500), Deadline: at(2000)})
		if verdict != want {
			t.Errorf("pace %v: verdict %d, want %d", pace, verdict, want)
		}
	}
}

// Guards against a slot for a request that has become late while one waits that
// can still meet its target, and against requests that are held for nothing.
func TestLateRequestsGiveUpTheirPlace(t *testing.T) {
	c := loaded()
	c.Offer(at(100), 3, Request{Class: "work", Urgency: fleet.UrgencyNormal, Target: at(460), Deadline: at(2000)})
	c.Offer(at(100), 4, Request{Class: "work", Urgency: fleet.UrgencyNormal, Target: at(700), Deadline: at(3000)})
	if actions := c.Tick(at(359)); len(actions) != 0 {
		t.Errorf("given up too early: %+v", actions)
	}
	actions := c.Done(at(361), 2, 0) // request 3 would end at 461 at the earliest
	if len(actions) != 2 || actions[0] != (Action{ID: 3, Kind: errkind.QueueFull}) || actions[1] != (Action{ID: 4}) {
		t.Errorf("actions %+v, want the refusal of 3 and the start of 4", actions)
	}
}

// Guards against a call that is refused for its target or put behind a request,
// which fails the request that it is made for.
func TestInternalCallGoesFirstAndMayMissItsTarget(t *testing.T) {
	c := loaded()
	c.Offer(at(100), 3, Request{Class: "work", Urgency: fleet.UrgencyHigh, Target: at(600), Deadline: at(2000)})
	verdict, kind, _ := c.Offer(at(100), 4, Request{Class: "check", Urgency: fleet.UrgencyCritical, Internal: true, Target: at(120), Deadline: at(500)})
	if verdict != Queued {
		t.Fatalf("the call: verdict %d kind %q, want it queued", verdict, kind)
	}
	if actions := c.Done(at(250), 2, 0); len(actions) != 1 || actions[0] != (Action{ID: 4}) {
		t.Errorf("actions %+v, want the start of the call", actions)
	}
}

// Guards against work that starts in a slow phase although it can run elsewhere,
// and against a report of a slow phase that is believed for ever.
func TestMovableRequestAvoidsSlowPhase(t *testing.T) {
	c := NewController(Config{Slots: 4, NoReserve: true})
	urgency := fleet.UrgencyNormal
	offer := func(now int, movable bool) errkind.Kind {
		_, kind, _ := c.Offer(at(now), uint64(now)*2+1, Request{Class: "work", Urgency: urgency, Reroutable: movable, Target: at(now + 500), Deadline: at(now + 900)})
		return kind
	}
	c.SetSlowdown(at(0), 4)
	if k := offer(1, true); k != errkind.ServerSlow {
		t.Errorf("movable request in a slow phase: %q", k)
	}
	if k := offer(2, false); k != "" {
		t.Errorf("request without another server: %q", k)
	}
	urgency = fleet.UrgencyLow
	if k := offer(3, false); k != errkind.ServerSlow {
		t.Errorf("request of low urgency without another server to ask: %q", k)
	}
	if _, k, _ := c.Offer(at(4), 100, Request{Class: "work", Urgency: urgency, OnlyServer: true, Target: at(504), Deadline: at(904)}); k != "" {
		t.Errorf("request of low urgency at the only server: %q", k)
	}
	if k := offer(int(paceTrust.Milliseconds())+1, true); k != "" {
		t.Errorf("after the report has aged: %q", k)
	}
	c.SetSlowdown(at(500), 1)
	if k := offer(501, true); k != "" {
		t.Errorf("at the usual pace: %q", k)
	}
}

// Guards against queued requests that start in a slow phase, where most of them
// miss their targets and keep slots from those that come after it, and against
// calls of backend servers that wait for its end.
func TestQueuedRequestsWaitForTheEndOfASlowPhase(t *testing.T) {
	c := loaded()
	c.Offer(at(100), 3, Request{Class: "work", Urgency: fleet.UrgencyHigh, Target: at(500), Deadline: at(2000)})
	c.Offer(at(100), 4, Request{Class: "work", Urgency: fleet.UrgencyCritical, Internal: true, Target: at(500), Deadline: at(2000)})
	c.SetSlowdown(at(150), 9)
	if actions := c.Done(at(160), 2, 0); len(actions) != 1 || actions[0] != (Action{ID: 4}) {
		t.Errorf("in the slow phase: actions %+v, want the start of the call", actions)
	}
	if actions := c.Done(at(200), 4, 0); len(actions) != 0 {
		t.Errorf("in the slow phase: actions %+v, want none", actions)
	}
	c.SetSlowdown(at(250), 1)
	if actions := c.Tick(at(260)); len(actions) != 1 || actions[0] != (Action{ID: 3}) {
		t.Errorf("after the slow phase: actions %+v, want the start of the request", actions)
	}
}

// Guards against service times that mix the length of the work with the pace of
// the machine.
func TestServiceTimeIsLearnedAtTheUsualPace(t *testing.T) {
	c := NewController(Config{Slots: 2, NoReserve: true})
	c.SetSlowdown(at(0), 4)
	c.Offer(at(0), 1, Request{Class: "work", Deadline: at(10000)})
	c.SetSlowdown(at(200), 1) // 200 ms in the slow phase do 50 ms of work
	c.Done(at(250), 1, 250*time.Millisecond)
	if got := c.Load(at(250)).ServiceTime; got != 100*time.Millisecond {
		t.Errorf("service time %v, want 100ms", got)
	}
}

// Guards against more requests at a server than the stated share of its slots,
// also after the number of slots has changed.
func TestFillBoundsTheSlots(t *testing.T) {
	c := NewController(Config{Slots: 6, UtilizationLimit: 0.8, NoReserve: true})
	if got := c.Load(at(0)).Slots; got != 4 {
		t.Errorf("%d of 6 slots used, want 4", got)
	}
	c.SetSlots(at(0), 11)
	if got := c.Load(at(0)).Slots; got != 8 {
		t.Errorf("%d of 11 slots used, want 8", got)
	}
}

// Guards against queued requests that do not start when slots are added.
func TestMoreSlotsStartQueuedRequests(t *testing.T) {
	c := loaded()
	c.Offer(at(100), 3, Request{Class: "work", Target: at(900), Deadline: at(1000)})
	if actions := c.SetSlots(at(110), 2); len(actions) != 1 || actions[0] != (Action{ID: 3}) {
		t.Errorf("actions %+v, want the start of 3", actions)
	}
}

// Guards against a server that is preferred although a request would wait there, be
// refused, or start in a slow phase.
func TestRoomMeansAnImmediateStart(t *testing.T) {
	c := NewController(Config{Slots: 2, QueueLength: 4, NoReserve: true})
	check := func(what string, now int, want bool) {
		t.Helper()
		if got := c.HasCapacity(at(now)); got != want {
			t.Errorf("%s: room %t, want %t", what, got, want)
		}
	}
	check("idle", 0, true)
	c.SetSlowdown(at(0), 4)
	check("in a slow phase", 1, false)
	c.SetSlowdown(at(2), 1)
	for id := range uint64(2) {
		check("a slot is free", 3, true)
		c.Offer(at(3), id, Request{Class: "work", Deadline: at(10000)})
	}
	check("all slots are in use", 4, false)
	c.Done(at(5), 1, 0)
	check("a slot is free again", 5, true)
	c.Close(errkind.Draining)
	check("draining", 6, false)
}
