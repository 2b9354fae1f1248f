package pick

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// noTime stands for the time of an event that has not happened.
const noTime = math.MinInt64

// trackedStarts is the number of outstanding requests whose start time is stored. Eight
// times fill one cache line.
const trackedStarts = 8

// load holds the load estimates of one incarnation of a server. Pick reads the atomic
// fields, which are ordered so that it touches few cache lines. mu serializes the writers.
type load struct {
	ejectedUntil    atomic.Int64 // end of the ejection period; zero: not ejected
	outstanding     atomic.Int64 // requests sent by this node that have not ended
	started         atomic.Int64 // requests sent by this node so far
	reported        atomic.Int64 // requests in flight and queued, from the newest report
	reportedMean    atomicFloat  // exponentially weighted mean of reported
	reportAt        atomic.Int64 // arrival of the newest report; noTime: none
	startedAtReport atomic.Int64 // value of started when the report arrived
	linkWait        atomic.Int64 // time until the link of the server has sent its answers, from the newest report
	slots           atomic.Int32
	draining        atomic.Bool // the newest report said that the server drains

	serviceTime    atomicFloat  // service time in nanoseconds; zero until the first answer
	serviceTimeAt  atomic.Int64 // when serviceTime was measured
	slowdown       atomicFloat  // current service time relative to the usual one; zero: unknown
	slowdownAt     atomic.Int64 // when the backend server reported slowdown
	meanFailures   atomicFloat  // exponentially weighted share of failed answers
	meanFailuresAt atomic.Int64 // when meanFailures was last updated
	trialAt        atomic.Int64 // start of the latest trial request; noTime: none
	permitAt       atomic.Int64 // when the rate limit lets a further request start, from the newest report
	permitPeriod   atomic.Int64 // time between two requests at the rate limit; zero: no limit

	cold atomic.Bool // the newest report stated a cold rate

	conditions conditions

	starts [trackedStarts]atomic.Int64 // start times of outstanding requests; noTime: free element

	mu                  sync.Mutex
	sequence            uint64 // sequence number of the newest report
	samples             int    // answers counted in the failure rate since the last readmission
	consecutiveFailures int
	ejections           int   // ejections in close succession; sets the next ejection period
	readmittedAt        int64 // time of the last readmission; zero: none
}

func newLoad(slots int) *load {
	l := &load{}
	for i := range l.starts {
		l.starts[i].Store(noTime)
	}
	l.slots.Store(int32(max(slots, 1)))
	l.reportAt.Store(noTime)
	l.trialAt.Store(noTime)
	return l
}

// recordStart records a request that is being sent. It returns the index of its start time in
// starts, or -1 when no element is free.
func (l *load) recordStart(now int64) int8 {
	l.outstanding.Add(1)
	l.started.Add(1)
	for i := range l.starts {
		if l.starts[i].CompareAndSwap(noTime, now) {
			return int8(i)
		}
	}
	return -1
}

func (l *load) recordEnd(index int8) {
	l.outstanding.Add(-1)
	if index >= 0 {
		l.starts[index].Store(noTime)
	}
}

// oldestAge returns the age of the oldest outstanding request whose start time is stored,
// or zero if there is none.
func (l *load) oldestAge(now int64) int64 {
	age := int64(0)
	remaining := l.outstanding.Load()
	for i := 0; i < trackedStarts && remaining > 0; i++ {
		if at := l.starts[i].Load(); at != noTime {
			age = max(age, now-at)
			remaining--
		}
	}
	return age
}

// decay returns the weight of a value of the given age: halfLife/(halfLife+age). The weight
// is 1 for a new value and 1/2 at the half-life. It falls more slowly than an exponential:
// to 1/3 at twice the half-life.
func decay(age, halfLife int64) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// expectedRequests returns the expected number of requests at the server, in flight and
// queued. It is the reported number plus the requests that this node has sent since the
// report, but at least the number that this node has outstanding. As the report ages, the
// mean of all reports gradually replaces the reported number.
func (l *load) expectedRequests(now, halfLife int64) float64 {
	outstanding := float64(l.outstanding.Load())
	at := l.reportAt.Load()
	if at == noTime {
		return outstanding
	}
	mean := l.reportedMean.Load()
	reported := mean + (float64(l.reported.Load())-mean)*decay(now-at, halfLife)
	since := l.started.Load() - l.startedAtReport.Load()
	return max(outstanding, reported+float64(max(since, 0)))
}

// linkBacklog returns the time at now until the link of the server is expected to have sent the
// answers of the newest report.
func (l *load) linkBacklog(now int64) float64 {
	wait := l.linkWait.Load()
	if wait == 0 {
		return 0
	}
	return float64(max(wait-(now-l.reportAt.Load()), 0))
}

func (l *load) failureRate(now int64, c *Config) float64 {
	rate := l.meanFailures.Load()
	if rate == 0 {
		return 0
	}
	return rate * c.remembered(now-l.meanFailuresAt.Load(), c.FailureHalfLife)
}

// remembered is like decay, but zero from MemoryTime on. The rest of a large value would
// otherwise exceed the costs of fast servers for many minutes, and a server that gets no
// requests cannot show that it has recovered.
func (c *Config) remembered(age int64, halfLife time.Duration) float64 {
	if age >= int64(c.MemoryTime) {
		return 0
	}
	return decay(age, int64(halfLife))
}

// reportWeight is the weight of a new report in the mean of the reports.
const reportWeight = 0.1

// recordReport stores a report unless its sequence number shows that it is not newer than
// the stored one. The caller holds mu.
func (l *load) recordReport(now int64, r *fleet.LoadReport) {
	if r.Sequence <= l.sequence && l.reportAt.Load() != noTime {
		return
	}
	l.sequence = r.Sequence
	queue := int64(max(r.InFlight, 0) + max(r.Queued, 0))
	if l.reportAt.Load() == noTime {
		l.reportedMean.Store(float64(queue))
	} else {
		l.reportedMean.Store(l.reportedMean.Load() + reportWeight*(float64(queue)-l.reportedMean.Load()))
	}
	l.reported.Store(queue)
	if r.Slots > 0 {
		l.slots.Store(int32(min(r.Slots, math.MaxInt32)))
	}
	if r.ServiceTime > 0 {
		l.serviceTime.Store(float64(r.ServiceTime))
		l.serviceTimeAt.Store(now - int64(max(r.ServiceAge, 0)))
	}
	if r.Slowdown > 0 {
		l.slowdown.Store(r.Slowdown)
		l.slowdownAt.Store(now - int64(max(r.SlowdownAge, 0)))
	}
	l.startedAtReport.Store(l.started.Load())
	l.reportAt.Store(now)
	l.draining.Store(r.Draining)
	l.linkWait.Store(int64(max(r.LinkWait, 0)))
	l.recordLimit(now, r)
}

// Weights of a new service time in the estimate. An answer that is slower than the
// estimate raises it quickly, so that a slow server is soon avoided. A faster answer lowers
// it gradually.
const (
	slowerWeight = 0.5
	fasterWeight = 0.1
)

// recordServiceTime updates the estimate with a measured service time. The caller holds mu.
func (l *load) recordServiceTime(now int64, d time.Duration) {
	estimate := l.serviceTime.Load()
	switch sample := float64(d); {
	case estimate == 0:
		estimate = sample
	case sample > estimate:
		estimate += slowerWeight * (sample - estimate)
	default:
		estimate += fasterWeight * (sample - estimate)
	}
	l.serviceTime.Store(estimate)
	l.serviceTimeAt.Store(now)
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// zoneDelay is the measured network round trip to the servers of one zone.
type zoneDelay struct{ nanos atomic.Int64 }

// riseShift limits how fast the delay rises: a slower round trip raises it by 1/64 of the
// difference, because a single slow round trip is usually due to queueing and not to
// distance. A faster round trip replaces the delay.
const riseShift = 6

func (z *zoneDelay) record(roundTrip time.Duration) {
	old := z.nanos.Load()
	next := int64(roundTrip)
	if next > old {
		next = old + (next-old)>>riseShift
	}
	z.nanos.Store(max(next, 0))
}
