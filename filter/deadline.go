package filter

import (
	"context"
	"strconv"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/retry"
)

type deadline struct {
	next     Handler
	clock    clock.Clock
	attempts uint32
	header   string
}

// NewDeadline returns the filter that sets the limits of a call: deadline, depth and number
// of further attempts. A nested call inherits the limits of its parent, and neither a caller
// nor a backend server can extend them. The argument attempts is the number of further
// attempts of a call that is not nested, unless its class states another number. header names
// the request header in which callers state how many milliseconds they wait.
func NewDeadline(next Handler, k clock.Clock, attempts uint32, header string) Handler {
	return &deadline{next, k, attempts, header}
}

func (f *deadline) Serve(c *Call) error {
	limit, err := f.limit(c)
	if err != nil {
		return err
	}
	c.Meta.Depth, c.Attempts = 1, nil
	c.Deadline = c.Started.Add(limit)
	if p := c.Parent; p != nil {
		c.Meta.Depth, c.Attempts = p.Depth+1, p.Attempts
		if p.Deadline.Before(c.Deadline) {
			c.Deadline = p.Deadline
		}
	}
	switch {
	case c.Attempts != nil:
	case c.Class.ConfiguredAsItem:
		c.Attempts = retry.NewAttempts(c.Class.MaxAttempts - 1)
	default:
		c.Attempts = retry.NewAttempts(f.attempts)
	}
	c.Record.Depth = c.Meta.Depth
	if c.Meta.Depth > fleet.MaxDepth {
		return errkind.New(errkind.DepthExceeded, "call depth %d exceeds %d", c.Meta.Depth, fleet.MaxDepth)
	}
	remaining := c.Deadline.Sub(f.clock.Now())
	if remaining <= 0 {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(c.Ctx, remaining)
	defer cancel()
	c.Ctx = ctx
	if w, ok := c.Answer.(*Writer); ok {
		defer w.BoundWrites(ctx)()
	}
	return f.next.Serve(c)
}

// answerGrace extends the deadline of classes that are configured as items, for callers
// that wait longer. Work that is nearly done is worth more to them than an answer that
// arrives on time but only states that the outcome is unknown.
const answerGrace = 150 * time.Millisecond

func (f *deadline) limit(c *Call) (time.Duration, error) {
	limit := c.Class.Deadline
	if c.Class.ConfiguredAsItem {
		limit += answerGrace
	}
	timeout := c.Request.Header.Get(f.header)
	if timeout == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(timeout, 10, 32)
	if err != nil || ms == 0 {
		return 0, errkind.New(errkind.BadRequest, "%s %q is not a positive number of milliseconds", f.header, timeout)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}
