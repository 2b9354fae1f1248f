package filter

import (
	"context"
	"time"

	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/errkind"
)

type admission struct {
	next    Handler
	gate    *admit.Gate
	clock   clock.Clock
	refresh func(context.Context)
}

// NewAdmission returns the filter that waits for a slot of the backend server.
// refresh, which may be nil, brings what is known of the pace of the server up to
// date before a request that could run elsewhere is admitted.
func NewAdmission(next Handler, g *admit.Gate, k clock.Clock, refresh func(context.Context)) Handler {
	return &admission{next, g, k, refresh}
}

func (f *admission) Serve(c *Call) error {
	arrived := f.clock.Now()
	var target time.Time
	if c.Meta.TargetLeft > 0 {
		target = c.Deadline.Add(c.Meta.TargetLeft - c.Meta.Remaining)
		if c.Meta.Movable && f.refresh != nil {
			f.refresh(c.Ctx)
		}
	}
	slot, refused := f.gate.Acquire(c.Ctx, admit.Request{
		Target:  target,
		Urgency: c.Meta.Urgency, Internal: c.Meta.Internal, Deadline: c.Deadline, Class: c.Meta.Class,
		Movable: c.Meta.Movable, Sole: c.Meta.Sole, Hedge: c.Meta.Hedge,
	})
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
		slot.Release(f.duration(c, start))
	}
	err := f.next.Serve(c)
	c.Admitted, c.BeforeEnd = false, nil
	switch {
	case released:
	case err != nil:
		slot.Release(0) // the duration of a failure says nothing about the server
	default:
		slot.Release(f.duration(c, start))
	}
	return err
}

// duration returns the service time of a request that has been answered.
func (f *admission) duration(c *Call, start time.Time) time.Duration {
	end := c.HeadAt
	if end.IsZero() {
		end = f.clock.Now()
	}
	return end.Sub(start)
}
