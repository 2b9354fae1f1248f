package filter

import (
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

type forward struct {
	next  Handler
	self  fleet.NodeID
	local Handler
	clock clock.Clock
}

// NewForward returns the filter that sends an attempt to its target. The server
// chain local is called directly if the own node is the target; any other
// target is reached through next.
func NewForward(next, local Handler, self fleet.NodeID, k clock.Clock) Handler {
	return &forward{next, self, local, k}
}

func (f *forward) Serve(c *Call) error {
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.BeforeSend != nil {
		if err := c.BeforeSend(c); err != nil {
			return err
		}
	}
	// Read after BeforeSend: this process may have been frozen meanwhile, and
	// an attempt must not leave it after the deadline.
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.Meta.Remaining <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the attempt was sent")
	}
	if c.Class.Item {
		// A target that has passed leaves the least time that is not zero.
		c.Meta.TargetLeft = max(c.Meta.Remaining-c.Deadline.Sub(c.Started.Add(c.Class.LatencyTarget)), 1)
	}
	c.SentAt = f.clock.Now()
	if c.Target.Node == f.self {
		c.Local = true
		return f.local.Serve(c)
	}
	return f.next.Serve(c)
}
