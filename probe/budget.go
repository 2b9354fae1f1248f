package probe

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits bounds the probes of one backend server and the network traffic that measures its
// load. A limit of zero allows nothing.
type Limits struct {
	ProbesPerSecond float64
	BytesPerSecond  int64
}

// Sizes of the token buckets. The bucket of probes holds one probe. The bucket of bytes holds
// the bytes that the limit allows in byteBurstPeriod, but at least LargestProbe, so that a
// small budget still allows a probe from time to time.
const (
	probeBurst      = 1
	LargestProbe    = 4096 // bytes of the request and answer of the largest probe
	byteBurstPeriod = time.Second
)

// Budget enforces Limits with token buckets. The buckets start empty, so that restarts and
// changes of the limits don't allow additional probes. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	probes *rate.Limiter
	bytes  *rate.Limiter
	used   Usage

	accountedUntil time.Time // end of the period that allowedProbes and allowedBytes cover
	allowedProbes  float64   // probes that the limits allowed since the Budget was made
	allowedBytes   float64   // bytes that the limits allowed since the Budget was made
}

// Usage counts the probes and bytes that were used and refused since the Budget was made.
type Usage struct {
	Probes        uint64
	Bytes         uint64
	RefusedProbes uint64
	RefusedBytes  uint64
	// ProbeShare and ByteShare are the used shares of the probes and bytes that the limits
	// allowed in that time. They are zero if the limits allowed none.
	ProbeShare float64
	ByteShare  float64
}

// NewBudget returns a Budget with empty buckets.
func NewBudget(now time.Time, l Limits) *Budget {
	b := &Budget{accountedUntil: now}
	b.SetLimits(now, l)
	return b
}

// SetLimits replaces the limits. Setting the same limits again changes nothing.
func (b *Budget) SetLimits(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.ProbesPerSecond, l.BytesPerSecond = max(l.ProbesPerSecond, 0), max(l.BytesPerSecond, 0)
	if b.probes != nil && b.limits == l {
		return
	}
	b.account(now)
	b.limits = l
	burst := max(int(float64(l.BytesPerSecond)*byteBurstPeriod.Seconds()), LargestProbe)
	b.probes = emptyLimiter(now, l.ProbesPerSecond, probeBurst)
	b.bytes = emptyLimiter(now, float64(l.BytesPerSecond), burst)
}

func emptyLimiter(now time.Time, perSecond float64, burst int) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(perSecond), burst)
	l.AllowN(now, burst)
	return l
}

// account adds the probes and bytes that the limits allow for the time since the last call of
// account. The caller holds mu.
func (b *Budget) account(now time.Time) {
	if seconds := now.Sub(b.accountedUntil).Seconds(); seconds > 0 {
		b.allowedProbes += seconds * b.limits.ProbesPerSecond
		b.allowedBytes += seconds * float64(b.limits.BytesPerSecond)
		b.accountedUntil = now
	}
}

// Probe reports whether the backend server may be probed now, and counts the probe as used
// or refused.
func (b *Budget) Probe(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.probes.AllowN(now, 1) {
		b.used.RefusedProbes++
		return false
	}
	b.used.Probes++
	return true
}

// Bytes reports whether n bytes of probes or load queries may be sent over the network now,
// and counts them as used or refused.
func (b *Budget) Bytes(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 || !b.bytes.AllowN(now, n) {
		b.used.RefusedBytes += uint64(max(n, 0))
		return false
	}
	b.used.Bytes += uint64(n)
	return true
}

// Usage returns the counters and the shares at now.
func (b *Budget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(now)
	s := b.used
	if b.allowedProbes > 0 {
		s.ProbeShare = float64(s.Probes) / b.allowedProbes
	}
	if b.allowedBytes > 0 {
		s.ByteShare = float64(s.Bytes) / b.allowedBytes
	}
	return s
}
