package retry

import (
	"sync/atomic"
	"time"
)

// token is the unit of a Budget, so that a share of a token is an integer.
const token = 1_000_000

// Budget is a token bucket that earns a share of a token with each request. A
// small reserve refills with time, so that a class with little traffic can
// retry too. It is safe for concurrent use.
type Budget struct {
	earn    int64 // earned by each request
	limit   int64
	reserve int64 // refilled up to here by time
	refill  time.Duration

	tokens   atomic.Int64
	refillAt atomic.Int64 // start of the current refill period
	epoch    time.Time
}

// Parameters of a Budget that are common to retries and hedges.
const (
	budgetLimit  = 100             // tokens that may be saved up
	refillPeriod = 5 * time.Second // time in which one token of the reserve returns
)

// NewBudget returns a Budget that earns ratio of a token with each request and
// starts with reserve tokens. A ratio of zero and no reserve allow nothing.
func NewBudget(now time.Time, ratio float64, reserve int) *Budget {
	return newBudget(now, ratio, reserve, budgetLimit)
}

func newBudget(now time.Time, ratio float64, reserve, limit int) *Budget {
	b := &Budget{
		earn:    int64(ratio * token),
		limit:   int64(limit) * token,
		reserve: int64(reserve) * token,
		refill:  refillPeriod,
		epoch:   now,
	}
	b.tokens.Store(b.reserve)
	return b
}

// Earn records a request.
func (b *Budget) Earn() { b.add(b.earn, b.limit) }

// Spend takes a token for one further attempt and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.refillReserve(now)
	for {
		have := b.tokens.Load()
		if have < token {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-token) {
			return true
		}
	}
}

// Return gives back a token whose attempt was not sent.
func (b *Budget) Return() { b.add(token, b.limit) }

// Tokens returns the number of attempts that could be spent at once.
func (b *Budget) Tokens() float64 { return float64(b.tokens.Load()) / token }

func (b *Budget) add(n, limit int64) {
	for {
		have := b.tokens.Load()
		next := min(have+n, limit)
		if next <= have || b.tokens.CompareAndSwap(have, next) {
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
