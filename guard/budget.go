package guard

import "sync/atomic"

// Budget is the memory that clients may make the process hold.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take reserves n bytes and reports whether the budget holds them.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Force reserves n bytes even if the budget does not hold them.
func (b *Budget) Force(n int64) { b.used.Add(n) }

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Holder is what a connection holds of the budget.
type Holder struct {
	Bytes int64
	Nanos int64 // time for which it has been receiving what it holds
}

// weight grows with the size and with the age, so that a connection that receives slowly
// weighs more than one of the same size that has just begun.
func (h Holder) weight() float64 {
	const second = 1e9
	return float64(h.Bytes) * (second + float64(max(h.Nanos, 0)))
}

// Heavier reports whether h is closed before other when the budget is used up.
func (h Holder) Heavier(other Holder) bool { return h.weight() > other.weight() }
