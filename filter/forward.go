package filter

import (
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Reserver reserves slots at other nodes.
type Reserver interface {
	// Reserve returns nil when the target of c holds a slot for it, and an error
	// when nothing was sent to the target's backend server.
	Reserve(c *Call) error
	// Cancel gives up what Reserve has reserved.
	Cancel(c *Call)
}

type forward struct {
	next     Handler
	self     fleet.NodeID
	local    Handler
	reserver Reserver
	clock    clock.Clock
}

// NewForward returns the filter that sends an attempt to its target. The server
// chain local is called directly if the own node is the target; any other
// target is reached through next. An attempt of a class that is configured as an
// item is sent after the reservation of a slot while other servers can be tried:
// one that waits in a queue starts sooner if it is there already. A nil reserver
// sends every attempt without a reservation.
func NewForward(next, local Handler, self fleet.NodeID, r Reserver, k clock.Clock) Handler {
	return &forward{next, self, local, r, k}
}

func (f *forward) Serve(c *Call) error {
	if f.reserver != nil && c.Class.Item && c.Meta.Reroutable && c.Target.Node != f.self {
		if err := f.setRemaining(c); err != nil {
			return err
		}
		c.SentAt = f.clock.Now()
		if err := f.reserver.Reserve(c); err != nil {
			return err
		}
	}
	if err := f.prepare(c); err != nil {
		if c.Meta.Reservation != 0 {
			f.reserver.Cancel(c)
		}
		return err
	}
	return f.send(c)
}

// prepare makes c ready to be sent.
func (f *forward) prepare(c *Call) error {
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.BeforeSend != nil {
		if err := c.BeforeSend(c); err != nil {
			return err
		}
	}
	// Read after BeforeSend: this process may have been frozen meanwhile, and
	// an attempt must not leave it after the deadline.
	return f.setRemaining(c)
}

// setRemaining sets the times that are left.
func (f *forward) setRemaining(c *Call) error {
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.Meta.Remaining <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the attempt was sent")
	}
	if c.Class.Item {
		// A target that has passed leaves the least time that is not zero.
		c.Meta.TargetLeft = max(c.Meta.Remaining-c.Deadline.Sub(c.Started.Add(c.Class.LatencyTarget)), 1)
	}
	return nil
}

func (f *forward) send(c *Call) error {
	c.SentAt = f.clock.Now()
	if c.Target.Node == f.self {
		c.Local = true
		return f.local.Serve(c)
	}
	return f.next.Serve(c)
}
