package retry

import (
	"sync/atomic"
	"time"
)

// token is one token in the integer unit of Budget. It is a large number, so that shares of a
// token are integers too and can be changed atomically.
const token = 1_000_000

// Budget is a token bucket that gains a share of a token with each request; a further attempt
// uses one token. A small reserve also refills with time, so that a class with little
// traffic can retry too. It is safe for concurrent use.
type Budget struct {
	gain  int64 // added with each request
	limit int64 // level up to which requests fill the bucket
	// debtLimit is the largest debt. It bounds the time for which a burst of charged load
	// keeps the budget empty.
	debtLimit int64
	reserve   int64         // level up to which the bucket refills with time
	refill    time.Duration // time in which one token refills

	tokens   atomic.Int64
	refillAt atomic.Int64 // start of the current refill period, in nanoseconds since epoch
	epoch    time.Time    // when the Budget was made
}

// Parameters of a Budget that are common to retries and hedges.
const (
	budgetLimit  = 100             // maximum number of tokens in a budget
	refillPeriod = 5 * time.Second // time in which one token of the reserve refills
	maxDebt      = 20              // tokens
)

// NewBudget returns a Budget that gains ratio of a token with each request and starts with
// reserve tokens. With a ratio and a reserve of zero it allows no attempts.
func NewBudget(now time.Time, ratio float64, reserve int) *Budget {
	return newBudget(now, ratio, reserve, budgetLimit, refillPeriod)
}

func newBudget(now time.Time, ratio float64, reserve, limit int, refill time.Duration) *Budget {
	b := &Budget{
		gain:      int64(ratio * token),
		limit:     int64(limit) * token,
		debtLimit: maxDebt * token,
		reserve:   int64(reserve) * token,
		refill:    refill,
		epoch:     now,
	}
	b.tokens.Store(b.reserve)
	return b
}

// Gain records a request, which adds its share of a token.
func (b *Budget) Gain() { b.add(b.gain, b.limit) }

// Use uses one token for a further attempt and reports whether one was available.
func (b *Budget) Use(now time.Time) bool {
	b.refillReserve(now)
	for {
		current := b.tokens.Load()
		if current < token {
			return false
		}
		if b.tokens.CompareAndSwap(current, current-token) {
			return true
		}
	}
}

// charge takes a token for load that was not decided on here. The bucket may go into debt,
// down to its limit below zero.
func (b *Budget) charge() {
	for {
		current := b.tokens.Load()
		next := max(current-token, -b.debtLimit)
		if b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}

// Return adds the token back that Use took for an attempt that was then not sent.
func (b *Budget) Return() { b.add(token, b.limit) }

// Tokens returns the number of tokens in the bucket. It does not include the refill since the
// last call of Use.
func (b *Budget) Tokens() float64 { return float64(b.tokens.Load()) / token }

func (b *Budget) add(n, limit int64) {
	for {
		current := b.tokens.Load()
		next := min(current+n, limit)
		if next <= current || b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}

func (b *Budget) refillReserve(now time.Time) {
	t := int64(now.Sub(b.epoch))
	at := b.refillAt.Load()
	periods := (t - at) / int64(b.refill)
	if periods <= 0 || !b.refillAt.CompareAndSwap(at, at+periods*int64(b.refill)) {
		return
	}
	b.add(min(periods, budgetLimit)*token, b.reserve)
}
