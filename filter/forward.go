package filter

import (
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Reserver reserves slots at other nodes.
type Reserver interface {
	// Reserve returns nil if a slot at the target of c is reserved for c. If it returns an
	// error, nothing was sent to the backend server of the target.
	Reserve(c *Call) error
	// Cancel releases the slot that Reserve has reserved.
	Cancel(c *Call)
}

type forward struct {
	next     Handler
	self     fleet.NodeID
	local    Handler
	reserver Reserver
	clock    clock.Clock
}

// NewForward returns the filter that sends an attempt to its target. If this node is the
// target, it calls the server chain local directly; otherwise it calls next.
//
// For a class that is configured as an item it first reserves a slot at the target if the
// attempt can be rerouted. Any other attempt is sent without a reservation, because it
// starts sooner if it waits in the queue of the target. If r is nil, no slots are reserved.
func NewForward(next, local Handler, self fleet.NodeID, r Reserver, k clock.Clock) Handler {
	return &forward{next, self, local, r, k}
}

func (f *forward) Serve(c *Call) error {
	if f.reserver != nil && c.Class.ConfiguredAsItem && c.Meta.Reroutable && c.Target.Node != f.self {
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

// prepare sets the remaining times of c and calls BeforeSend.
func (f *forward) prepare(c *Call) error {
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.BeforeSend != nil {
		if err := c.BeforeSend(c); err != nil {
			return err
		}
	}
	// The times are computed again because BeforeSend takes time and the process may have been
	// suspended meanwhile. An attempt must not be sent after the deadline.
	return f.setRemaining(c)
}

// setRemaining sets the times left until the deadline and the latency target. It returns an
// error if the deadline has passed.
func (f *forward) setRemaining(c *Call) error {
	c.Meta.Remaining = c.Deadline.Sub(f.clock.Now())
	if c.Meta.Remaining <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the attempt was sent")
	}
	if c.Class.ConfiguredAsItem {
		// Zero would mean that there is no latency target. One that has passed is sent as 1 ns.
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
