package filter

import (
	"context"
	"time"

	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

type admission struct {
	next     Handler
	gate     *admit.Gate
	clock    clock.Clock
	refresh  func(context.Context)
	reserved ReservedSlots
}

// ReservedSlots holds the slots that entry nodes reserved for attempts before sending them.
type ReservedSlots interface {
	// Take removes and returns the slot reserved for c, and false if there is none. The slot
	// must be released after the attempt.
	Take(c *Call) (admit.Slot, bool)
}

// AdmissionRequest returns the request to admit an attempt, with the attributes on which the
// decision depends.
func AdmissionRequest(m *fleet.CallMeta, deadline time.Time) admit.Request {
	r := admit.Request{
		Urgency: m.Urgency, Internal: m.Internal, Deadline: deadline, Class: m.Class,
		Reroutable: m.Reroutable, OnlyServer: m.OnlyServer, Hedge: m.Hedge,
	}
	if m.TargetLeft > 0 {
		r.Target = deadline.Add(m.TargetLeft - m.Remaining)
	}
	return r
}

// NewAdmission returns the filter that waits for a slot of the backend server. refresh
// updates the slowdown of the server before a request that could be rerouted is admitted.
// reserved holds the slots that were reserved for attempts. Both may be nil.
func NewAdmission(next Handler, g *admit.Gate, k clock.Clock, refresh func(context.Context), reserved ReservedSlots) Handler {
	return &admission{next, g, k, refresh, reserved}
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
	released := false
	// The slot is released before the caller receives the end of the answer. Otherwise the
	// next request of a caller that sends one at a time would find the slot occupied.
	c.BeforeEnd = func() {
		released = true
		slot.Release(f.serviceTime(c, start))
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
	return f.gate.Acquire(c.Ctx, AdmissionRequest(&c.Meta, c.Deadline))
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
