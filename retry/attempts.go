package retry

import "sync/atomic"

// DefaultAttempts is the number of further attempts that a request from outside and all its
// nested calls may make together, beyond the first attempt of each call.
const DefaultAttempts = 3

// Attempts is the number of retries and hedges that a request and its nested calls may still
// make. Attempts that are reserved for a nested call are not available to other calls until
// they are returned, so that all calls together never exceed the initial number. It is safe
// for concurrent use.
type Attempts struct{ left atomic.Int64 }

// NewAttempts returns Attempts with n available. n is usually the AttemptsLeft of the received
// CallMeta.
func NewAttempts(n uint32) *Attempts {
	a := &Attempts{}
	a.left.Store(int64(n))
	return a
}

// Left returns the number of further attempts that are available and not reserved.
func (a *Attempts) Left() uint32 { return uint32(max(a.left.Load(), 0)) }

// Use uses one further attempt and reports whether one was available.
func (a *Attempts) Use() bool {
	for {
		n := a.left.Load()
		if n <= 0 {
			return false
		}
		if a.left.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// Lend reserves all but one of the available attempts for a nested call and returns their
// number, which becomes the AttemptsLeft of the forwarded call. One attempt is kept for a
// retry of the call itself.
func (a *Attempts) Lend() uint32 {
	for {
		n := a.left.Load()
		if n <= 1 {
			return 0
		}
		if a.left.CompareAndSwap(n, 1) {
			return uint32(n - 1)
		}
	}
}

// Return makes n attempts available again. Reserved attempts may be returned only if the
// nested call did not use them: it did not run, or its answer reports them as unused.
func (a *Attempts) Return(n uint32) { a.left.Add(int64(n)) }
