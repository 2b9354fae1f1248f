package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of Latency.
const (
	latencyWindows   = 2                     // histograms over which quantiles are computed
	latencyRotation  = 10 * time.Second      // time covered by one histogram
	latencyLowest    = 10 * time.Microsecond // lowest value that a histogram stores
	latencyHighest   = 10 * time.Minute      // highest value that a histogram stores
	latencyDigits    = 1                     // significant digits; one digit keeps a histogram below 4 KiB
	latencyMinimum   = 20                    // samples that are needed for an estimate
	latencyRecompute = 16                    // samples between two computations of the quantiles
	hedgeQuantile    = 95                    // percentile of the latency after which an attempt is hedged

	// sparseMinimum and sparseRecompute replace latencyMinimum and latencyRecompute for
	// classes with few requests per node. Their first estimate would otherwise come very late.
	sparseMinimum   = 10
	sparseRecompute = 4
)

// Latency estimates the recent median and 95th percentile of the latency of a class. It uses
// latencyWindows histograms that cover latencyRotation each. It is safe for concurrent use.
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

// NewSparseLatency returns a Latency that needs fewer samples for its first estimate.
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
		return // cannot happen: the value is within the range of the histogram
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

// Median returns the recent median latency, and false while there are too few samples.
func (l *Latency) Median() (time.Duration, bool) {
	micros := l.p50.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}

// P95 returns the recent 95th percentile of the latency, and false while there are too few
// samples.
func (l *Latency) P95() (time.Duration, bool) {
	micros := l.p95.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}
