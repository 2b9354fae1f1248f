package filter

import (
	"context"
	"time"

	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transmit"
)

type admission struct {
	next     Handler
	gate     *admit.Gate
	clock    clock.Clock
	refresh  func(context.Context)
	reserved ReservedSlots
	link     *transmit.Link
}

// ReservedSlots holds the slots that entry nodes reserved for attempts before sending them.
type ReservedSlots interface {
	// Take removes and returns the slot reserved for c, and false if there is none. The slot
	// must be released after the attempt.
	Take(c *Call) (admit.Slot, bool)
}

// AdmissionRequest returns the request to admit an attempt, with the attributes on which the
// decision depends. link is the link on which its answer will be sent; nil: none.
func AdmissionRequest(m *fleet.CallMeta, deadline time.Time, link *transmit.Link) admit.Request {
	load := link.Load(m.Class)
	r := admit.Request{
		Urgency: m.Urgency, Internal: m.Internal, Deadline: deadline, Class: m.Class,
		Customer: m.Customer, Reroutable: m.Reroutable, OnlyServer: m.OnlyServer, Hedge: m.Hedge, LinkWait: load.Wait, Transfer: load.Transfer,
		OtherZone: m.OtherZone, Uploading: m.Uploading,
	}
	if m.TargetLeft > 0 {
		r.Target = deadline.Add(m.TargetLeft - m.Remaining)
	}
	return r
}

// NewAdmission returns the filter that waits for a slot of the backend server. refresh
// updates the slowdown of the server before a request that could be rerouted is admitted.
// reserved holds the slots that were reserved for attempts. link sends the answers to other
// nodes. All three may be nil.
func NewAdmission(next Handler, g *admit.Gate, k clock.Clock, refresh func(context.Context), reserved ReservedSlots, link *transmit.Link) Handler {
	return &admission{next, g, k, refresh, reserved, link}
}

func (f *admission) Serve(c *Call) (err error) {
	arrived := f.clock.Now()
	slot, refused := f.acquire(c)
	if refused != nil {
		if refused.Kind == errkind.CallerDisconnected {
			// Nothing has run yet. CallerDisconnected would report the outcome as unknown.
			return errkind.New(errkind.DeadlineBeforeRun, "the caller disconnected before admission: %w", refused.Cause)
		}
		return refused
	}
	start := f.clock.Now()
	if c.Record != nil {
		c.Record.Queued = start.Sub(arrived)
	}
	c.Admitted = true
	if c.Meta.Uploading {
		c.Body.OnEnd(slot.BodyReceived)
	}
	released := false
	expected := func() {}
	if link := f.linkOf(c); link != nil {
		expected = link.Start(c.Meta.Class)
	}
	defer func() { expected() }()
	// The slot is released before the caller receives the end of the answer. Otherwise the
	// next request of a caller that sends one at a time would find the slot occupied.
	c.BeforeEnd = func() {
		released = true
		slot.Release(f.serviceTime(c, start))
		expected()
	}
	err = errPanicked
	defer func() {
		c.Admitted, c.BeforeEnd = false, nil
		switch {
		case released:
		case err != nil:
			slot.Release(0) // the duration of a failed request is not a service time
		default:
			slot.Release(f.serviceTime(c, start))
		}
	}()
	return f.next.Serve(c)
}

func (f *admission) acquire(c *Call) (admit.Slot, *errkind.Error) {
	if f.reserved != nil {
		if slot, ok := f.reserved.Take(c); ok {
			return slot, nil
		}
	}
	if c.Meta.TargetLeft > 0 && c.Meta.Reroutable && f.refresh != nil {
		f.refresh(c.Ctx)
	}
	return f.gate.Acquire(c.Ctx, AdmissionRequest(&c.Meta, c.Deadline, f.linkOf(c)))
}

// linkOf returns the link on which the answer to c will be sent, or nil if its caller is on this
// machine.
func (f *admission) linkOf(c *Call) *transmit.Link {
	if c.Local {
		return nil
	}
	return f.link
}

// serviceTime returns the time from start to the head of the answer, or to now if there is
// no answer.
func (f *admission) serviceTime(c *Call, start time.Time) time.Duration {
	end := c.HeadAt
	if end.IsZero() {
		end = f.clock.Now()
	}
	return end.Sub(start)
}
