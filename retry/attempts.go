package retry

import "sync/atomic"

// DefaultAttempts is the number of further attempts, beyond the first one of each call, that
// a request from outside may cause in its whole call tree.
const DefaultAttempts = 3

// Attempts counts the further attempts that a request and the calls below it may still
// cause. Attempts that are lent to a call below are not available here until they are
// returned, so that the whole call tree never uses more than the first count. It is safe for
// concurrent use.
type Attempts struct{ left atomic.Int64 }

// NewAttempts returns a count of n, which is usually the AttemptsLeft of the received
// CallMeta.
func NewAttempts(n uint32) *Attempts {
	a := &Attempts{}
	a.left.Store(int64(n))
	return a
}

// Left returns the number of further attempts that are available here.
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

// Lend lends all but one of the available attempts to a call below and returns their
// number, which becomes the AttemptsLeft of the forwarded call. One is kept for a retry of
// the call itself.
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

// Return makes n attempts available again. Lent attempts are returned only if the call is
// proved not to have run, because a call that may have run may also have used them.
func (a *Attempts) Return(n uint32) { a.left.Add(int64(n)) }
