package filter

import (
	"bramleymill/clock"
	"bramleymill/errkind"
)

// Backend sends a call to the backend server of this node.
type Backend interface {
	Dispatch(c *Call) error
}

type dispatch struct {
	backend Backend
	clock   clock.Clock
}

// NewDispatch returns the last filter of the server chain, which sends the call to b unless
// its deadline has passed.
func NewDispatch(b Backend, k clock.Clock) Handler { return &dispatch{b, k} }

func (f *dispatch) Serve(c *Call) error {
	// The attempt may have waited in the queue, or the process may have been suspended.
	if !f.clock.Now().Before(c.Deadline) || c.Ctx.Err() != nil {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed, or the caller disconnected, before the backend server was called")
	}
	return f.backend.Dispatch(c)
}
