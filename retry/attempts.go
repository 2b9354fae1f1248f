package retry

import "sync/atomic"

// DefaultAttempts is the number of further attempts that a request from outside
// may cause in its whole call tree.
const DefaultAttempts = 3

// Attempts counts the further attempts that a request and the calls below it may
// still cause. A count that is lent to a call below is not available here until
// it is returned, so that the whole tree never exceeds the first count. It is
// safe for concurrent use.
type Attempts struct{ left atomic.Int64 }

// NewAttempts returns a count of n, such as the AttemptsLeft of a CallMeta.
func NewAttempts(n uint32) *Attempts {
	a := &Attempts{}
	a.left.Store(int64(n))
	return a
}

// Left returns the count that is available here.
func (a *Attempts) Left() uint32 { return uint32(max(a.left.Load(), 0)) }

// Take uses one further attempt and reports whether there was one.
func (a *Attempts) Take() bool {
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

// Lend moves all but one of the available attempts to a call below and returns
// their number, which is the AttemptsLeft of the forwarded call.
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

// Return takes back attempts that were lent to a call that is proved not to
// have run. A call that may have run may have used them.
func (a *Attempts) Return(n uint32) { a.left.Add(int64(n)) }
