package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of Latency.
const (
	latencyWindows   = 2                // histograms that are merged
	latencyRotation  = 10 * time.Second // age at which a histogram is replaced
	latencyLowest    = 10 * time.Microsecond
	latencyHighest   = 10 * time.Minute
	latencyDigits    = 1  // significant digits; keeps a histogram below 4 KiB
	latencyMinimum   = 20 // samples before a quantile is given
	latencyRecompute = 16 // samples between two computations of the quantile
	hedgeQuantile    = 95

	// Of classes with few requests a node.
	sparseMinimum   = 10
	sparseRecompute = 4
)

// Latency estimates the recent median and p95 of a class. It is safe for concurrent use.
type Latency struct {
	mu      sync.Mutex
	window  *hdrhistogram.WindowedHistogram
	rotated time.Time
	samples int

	minimum, recompute int

	p50 atomic.Int64
	p95 atomic.Int64
}

// NewLatency returns a Latency without samples.
func NewLatency(now time.Time) *Latency {
	return &Latency{
		window: hdrhistogram.NewWindowed(latencyWindows, int64(latencyLowest/time.Microsecond),
			int64(latencyHighest/time.Microsecond), latencyDigits),
		rotated: now,
		minimum: latencyMinimum, recompute: latencyRecompute,
	}
}

// NewSparseLatency returns a Latency that gives its first estimate after fewer
// samples.
func NewSparseLatency(now time.Time) *Latency {
	l := NewLatency(now)
	l.minimum, l.recompute = sparseMinimum, sparseRecompute
	return l
}

// Record adds the duration of a successful request.
func (l *Latency) Record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.rotated) >= latencyRotation {
		l.window.Rotate()
		l.rotated = now
	}
	micros := min(max(d, latencyLowest), latencyHighest) / time.Microsecond
	if err := l.window.Current.RecordValue(int64(micros)); err != nil {
		return // only for values outside the range, which the line above excludes
	}
	l.samples++
	if l.samples%l.recompute != 0 {
		return
	}
	if merged := l.window.Merge(); merged.TotalCount() >= int64(l.minimum) {
		l.p50.Store(merged.ValueAtQuantile(50))
		l.p95.Store(merged.ValueAtQuantile(hedgeQuantile))
	}
}

// Median returns the recent median and whether it is known.
func (l *Latency) Median() (time.Duration, bool) {
	micros := l.p50.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}

// P95 returns the recent 95th percentile and whether it is known.
func (l *Latency) P95() (time.Duration, bool) {
	micros := l.p95.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}
