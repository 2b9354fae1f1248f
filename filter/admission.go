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

// ReservedSlots gives the slots that are held for attempts on their way.
type ReservedSlots interface {
	// Take returns the slot that is held for c, which then belongs to the caller.
	Take(c *Call) (admit.Slot, bool)
}

// AdmissionRequest returns what admission needs to know of an attempt.
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

// NewAdmission returns the filter that waits for a slot of the backend server.
// refresh, which may be nil, brings what is known of the pace of the server up to
// date before a request that could run elsewhere is admitted. held, which may be
// nil, gives the slots that were reserved before.
func NewAdmission(next Handler, g *admit.Gate, k clock.Clock, refresh func(context.Context), held ReservedSlots) Handler {
	return &admission{next, g, k, refresh, held}
}

func (f *admission) Serve(c *Call) error {
	arrived := f.clock.Now()
	slot, refused := f.acquire(c)
	if refused != nil {
		if refused.Kind == errkind.CallerGone {
			// Nothing has run yet, which CallerGone would leave open.
			return errkind.New(errkind.DeadlineBeforeRun, "the caller left before admission: %w", refused.Cause)
		}
		return refused
	}
	start := f.clock.Now()
	if c.Record != nil {
		c.Record.Queued = start.Sub(arrived)
	}
	c.Admitted = true
	released := false
	// The slot is free before the caller has its answer, so that the next request
	// of a caller that sends one at a time does not find it taken.
	c.BeforeEnd = func() {
		released = true
		slot.Release(f.serviceTime(c, start))
	}
	err := f.next.Serve(c)
	c.Admitted, c.BeforeEnd = false, nil
	switch {
	case released:
	case err != nil:
		slot.Release(0) // the duration of a failure says nothing about the server
	default:
		slot.Release(f.serviceTime(c, start))
	}
	return err
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

// serviceTime returns the service time of a request that has been answered.
func (f *admission) serviceTime(c *Call, start time.Time) time.Duration {
	end := c.HeadAt
	if end.IsZero() {
		end = f.clock.Now()
	}
	return end.Sub(start)
}
