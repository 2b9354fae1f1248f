package pick

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// never is the time of an event that has not happened.
const never = math.MinInt64

// trackedStarts is the number of outstanding requests whose start is kept, so
// that they fill one cache line.
const trackedStarts = 8

// load holds the estimates of one server incarnation. Pick reads the atomic
// fields, which are ordered so that it touches few cache lines; mu serialises
// the writers of answers.
type load struct {
	ejectedUntil atomic.Int64 // zero: not ejected
	outstanding  atomic.Int64
	started      atomic.Int64
	queue        atomic.Int64 // in flight and queued by the newest report
	mean         atomicFloat  // recent mean of queue
	reportAt     atomic.Int64
	baseline     atomic.Int64 // value of started when the report arrived
	slots        atomic.Int32
	draining     atomic.Bool

	service   atomicFloat // service time in nanoseconds; zero until the first answer
	serviceAt atomic.Int64
	pace      atomicFloat // time that work takes relative to service; zero: not known
	paceAt    atomic.Int64
	failures  atomicFloat // recent failure rate
	failureAt atomic.Int64
	trialAt   atomic.Int64

	starts [trackedStarts]atomic.Int64 // start times of outstanding requests; never when free

	mu          sync.Mutex
	sequence    uint64
	samples     int
	consecutive int
	ejections   int
	readmitted  int64
}

func newLoad(slots int) *load {
	l := &load{}
	for i := range l.starts {
		l.starts[i].Store(never)
	}
	l.slots.Store(int32(max(slots, 1)))
	l.reportAt.Store(never)
	l.trialAt.Store(never)
	return l
}

// start records a request and returns the index of its tracked start or -1.
func (l *load) start(now int64) int8 {
	l.outstanding.Add(1)
	l.started.Add(1)
	for i := range l.starts {
		if l.starts[i].CompareAndSwap(never, now) {
			return int8(i)
		}
	}
	return -1
}

func (l *load) finish(index int8) {
	l.outstanding.Add(-1)
	if index >= 0 {
		l.starts[index].Store(never)
	}
}

// oldest returns the age of the oldest tracked request, or zero.
func (l *load) oldest(now int64) int64 {
	age := int64(0)
	left := l.outstanding.Load()
	for i := 0; i < trackedStarts && left > 0; i++ {
		if at := l.starts[i].Load(); at != never {
			age = max(age, now-at)
			left--
		}
	}
	return age
}

// decay returns the weight of information of an age: one half at half.
func decay(age, half int64) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}

// ahead returns the expected number of requests at the server: the report,
// decayed toward the recent mean, and the requests sent since. It is never less
// than what the selecting node itself has outstanding.
func (l *load) ahead(now, trust int64) float64 {
	own := float64(l.outstanding.Load())
	at := l.reportAt.Load()
	if at == never {
		return own
	}
	mean := l.mean.Load()
	reported := mean + (float64(l.queue.Load())-mean)*decay(now-at, trust)
	since := l.started.Load() - l.baseline.Load()
	return max(own, reported+float64(max(since, 0)))
}

func (l *load) failureRate(now, trust int64) float64 {
	rate := l.failures.Load()
	if rate == 0 {
		return 0
	}
	return rate * decay(now-l.failureAt.Load(), trust)
}

// meanWeight is the weight of a new report in the recent mean.
const meanWeight = 0.1

// report stores a newer report. The caller holds mu.
func (l *load) report(now int64, r *fleet.LoadReport) {
	if r.Sequence <= l.sequence && l.reportAt.Load() != never {
		return
	}
	l.sequence = r.Sequence
	queue := int64(max(r.InFlight, 0) + max(r.Queued, 0))
	if l.reportAt.Load() == never {
		l.mean.Store(float64(queue))
	} else {
		l.mean.Store(l.mean.Load() + meanWeight*(float64(queue)-l.mean.Load()))
	}
	l.queue.Store(queue)
	if r.Slots > 0 {
		l.slots.Store(int32(min(r.Slots, math.MaxInt32)))
	}
	if r.ServiceTime > 0 {
		l.service.Store(float64(r.ServiceTime))
		l.serviceAt.Store(now - int64(max(r.ServiceAge, 0)))
	}
	if r.Slowdown > 0 {
		l.pace.Store(r.Slowdown)
		l.paceAt.Store(now - int64(max(r.SlowdownAge, 0)))
	}
	l.baseline.Store(l.started.Load())
	l.reportAt.Store(now)
	l.draining.Store(r.Draining)
}

// Weights of a new service time: a slow answer counts at once, a fast one
// lowers the estimate gradually.
const (
	slowerWeight = 0.5
	fasterWeight = 0.1
)

// served lets the estimate follow a measured service time. The caller holds mu.
func (l *load) served(now int64, d time.Duration) {
	estimate := l.service.Load()
	switch sample := float64(d); {
	case estimate == 0:
		estimate = sample
	case sample > estimate:
		estimate += slowerWeight * (sample - estimate)
	default:
		estimate += fasterWeight * (sample - estimate)
	}
	l.service.Store(estimate)
	l.serviceAt.Store(now)
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// zoneDelay is the learned round trip to the servers of one zone.
type zoneDelay struct{ nanos atomic.Int64 }

// riseShift limits how fast the delay follows a slower hop, because a single
// slow hop is usually queueing and not distance.
const riseShift = 6

func (z *zoneDelay) learn(hop time.Duration) {
	old := z.nanos.Load()
	next := int64(hop)
	if next > old {
		next = old + (next-old)>>riseShift
	}
	z.nanos.Store(max(next, 0))
}
