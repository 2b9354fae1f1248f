package filter

import (
	"bramleymill/admit"
	"bramleymill/clock"
	"bramleymill/errkind"
)

type admission struct {
	next  Handler
	gate  *admit.Gate
	clock clock.Clock
}

// NewAdmission returns the filter that waits for a slot of the backend server.
func NewAdmission(next Handler, g *admit.Gate, k clock.Clock) Handler {
	return &admission{next, g, k}
}

func (f *admission) Serve(c *Call) error {
	arrived := f.clock.Now()
	slot, refused := f.gate.Acquire(c.Ctx, admit.Request{
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
	err := f.next.Serve(c)
	c.Admitted = false
	if err != nil {
		slot.Release(0) // the duration of a failure says nothing about the server
		return err
	}
	end := c.HeadAt
	if end.IsZero() {
		end = f.clock.Now()
	}
	slot.Release(end.Sub(start))
	return nil
}
