package filter

import (
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

type peerCheck struct {
	next        Handler
	self        fleet.NodeID
	incarnation func() fleet.Incarnation
	clock       clock.Clock
}

// NewPeerCheck returns the filter that refuses attempts that are addressed to another node
// or to another incarnation of this node, or that arrive after their deadline. An attempt
// for an earlier incarnation may be a duplicate of one that only that incarnation has
// recorded. inc returns the current incarnation. It may rise once after the start, when
// the fleet reports that it has recorded a higher one.
func NewPeerCheck(next Handler, self fleet.NodeID, inc func() fleet.Incarnation, k clock.Clock) Handler {
	return &peerCheck{next, self, inc, k}
}

func (f *peerCheck) Serve(c *Call) error {
	m := &c.Meta
	if m.Target != f.self {
		return errkind.New(errkind.StaleTarget, "attempt is for %s, this is %s", m.Target, f.self)
	}
	if err := CheckIncarnation(m.Incarnation, f.self, f.incarnation()); err != nil {
		return err
	}
	if m.Depth == 0 || m.Depth > fleet.MaxDepth {
		return errkind.New(errkind.DepthExceeded, "call depth %d is not from 1 to %d", m.Depth, fleet.MaxDepth)
	}
	if m.Remaining <= 0 || !f.clock.Now().Before(c.Deadline) {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the attempt arrived")
	}
	return f.next.Serve(c)
}

// CheckIncarnation returns an error unless addressed, the incarnation to which an attempt or
// reservation is addressed, is the current incarnation of the node self.
func CheckIncarnation(addressed fleet.Incarnation, self fleet.NodeID, current fleet.Incarnation) error {
	if addressed == current {
		return nil
	}
	return errkind.New(errkind.StaleTarget, "attempt is for incarnation %d, this is %s incarnation %d", addressed, self, current)
}
