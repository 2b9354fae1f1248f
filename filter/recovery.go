package filter

import (
	"runtime/debug"

	"bramleymill/errkind"
)

type recovery struct {
	next    Handler
	onPanic func(c *Call, value any, stack []byte)
}

// NewRecovery returns the filter that turns a panic of next into an error of the kind
// Internal, so that the call is answered and a panic on a goroutine of its own does not end
// the process. onPanic is called with the value of the panic and the stack.
//
// Filters between next and the origin of a panic run their deferred calls only. What a filter
// must give back at the end of a call is therefore given back in a deferred call.
func NewRecovery(next Handler, onPanic func(c *Call, value any, stack []byte)) Handler {
	return &recovery{next, onPanic}
}

func (f *recovery) Serve(c *Call) (err error) {
	defer func() {
		if v := recover(); v != nil {
			f.onPanic(c, v, debug.Stack())
			err = errkind.New(errkind.Internal, "panic: %v", v)
		}
	}()
	return f.next.Serve(c)
}

// errPanicked is the result of a handler as seen by the deferred calls of its callers, until
// the handler has returned.
var errPanicked = errkind.New(errkind.Internal, "the handler panicked")
