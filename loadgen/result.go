package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleymill/errkind"
)

// Verdict classifies the final answer to a request as its caller can judge it.
type Verdict string

// The verdicts of requests.
const (
	Answered Verdict = "answered" // a backend server sent a complete answer
	NotRun   Verdict = "not_run"  // refused before it ran
	Rejected Verdict = "rejected" // refused because of a fault of the request
	Unknown  Verdict = "unknown"  // no answer, or one that does not say whether the request ran
	Mixed    Verdict = "mixed"    // the answer contained bytes of another request
)

// Outcome is the final result of one request, including all its attempts.
type Outcome struct {
	WorkID     string       `json:"work_id"`
	Class      string       `json:"class"`
	Verdict    Verdict      `json:"verdict"`
	Kind       errkind.Kind `json:"kind,omitempty"`
	Idempotent bool         `json:"idempotent"`
	Sent       int          `json:"sent"`                 // number of attempts; failed connections that were retried do not count
	AtMillis   int64        `json:"at_ms"`                // time from the start of the load to the first attempt
	Micros     int64        `json:"us"`                   // time until the final answer, including resends
	Error      string       `json:"error,omitempty"`      // why there is no valid answer, or the error status of an answered request
	RequestID  string       `json:"request_id,omitempty"` // request id in the last answer; argument of 'bramleymillctl explain'
}

// Range in microseconds and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// ClassResult counts the outcomes of one class of work. Latency holds the
// microseconds of the answered requests, Direct those of the baseline without
// nodes, and Kinds the number of refusals of each kind.
type ClassResult struct {
	Sent, Answered, NotRun, Rejected, Unknown, Mixed int64
	Latency                                          *hdrhistogram.Histogram
	Direct                                           *hdrhistogram.Histogram
	Kinds                                            map[errkind.Kind]int64
}

// Result collects the outcomes of a run. Its exported methods must not be called
// before the run has ended.
type Result struct {
	mu       sync.Mutex
	classes  map[string]*ClassResult
	order    []string
	outcomes []Outcome
}

func newResult(p *Plan) *Result {
	r := &Result{classes: map[string]*ClassResult{}}
	for _, s := range p.Streams {
		if _, ok := r.classes[s.Class]; ok {
			continue
		}
		r.order = append(r.order, s.Class)
		r.classes[s.Class] = &ClassResult{
			Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
			Direct:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
			Kinds:   map[errkind.Kind]int64{},
		}
	}
	return r
}

func (r *Result) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
	c := r.classes[o.Class]
	c.Sent++
	if o.Kind != "" {
		c.Kinds[o.Kind]++
	}
	switch o.Verdict {
	case Answered:
		c.Answered++
		c.Latency.RecordValue(max(o.Micros, minLatencyMicros))
	case NotRun:
		c.NotRun++
	case Rejected:
		c.Rejected++
	case Mixed:
		c.Mixed++
	default:
		c.Unknown++
	}
}

func (r *Result) addDirect(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class].Direct.RecordValue(max(d.Microseconds(), minLatencyMicros))
}

// Classes returns the class names in the order of the plan.
func (r *Result) Classes() []string { return r.order }

// Class returns the counts of the named class, or nil if the plan does not have it.
func (r *Result) Class(name string) *ClassResult { return r.classes[name] }

// Outcomes returns the outcome of every request in the order in which they ended.
func (r *Result) Outcomes() []Outcome { return r.outcomes }
