package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleymill/errkind"
)

// Verdict is what a caller knows about a request in the end.
type Verdict string

// The verdicts.
const (
	Answered Verdict = "answered" // the whole answer of a backend server
	NotRun   Verdict = "not_run"  // refused with the statement that it did not run
	Rejected Verdict = "rejected" // refused as the caller's mistake
	Unknown  Verdict = "unknown"  // no answer, or an answer that leaves it open
	Mixed    Verdict = "mixed"    // the answer held bytes of another request
)

// Outcome is the record of one request.
type Outcome struct {
	WorkID     string       `json:"work_id"`
	Class      string       `json:"class"`
	Verdict    Verdict      `json:"verdict"`
	Kind       errkind.Kind `json:"kind,omitempty"`
	Idempotent bool         `json:"idempotent"`
	Sent       int          `json:"sent"` // how often it was sent
	AtMillis   int64        `json:"at_ms"`
	Micros     int64        `json:"us"`
	Error      string       `json:"error,omitempty"`
	RequestID  string       `json:"request_id,omitempty"` // of the last answer, for 'bramleymillctl explain'
}

// histogram bounds in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// ClassResult sums up one class.
type ClassResult struct {
	Sent, Answered, NotRun, Rejected, Unknown, Mixed int64
	Latency                                          *hdrhistogram.Histogram
	Direct                                           *hdrhistogram.Histogram
	Kinds                                            map[errkind.Kind]int64
}

// Result collects the outcomes of a run.
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
			Latency: hdrhistogram.New(lowestMicros, highestMicros, digits),
			Direct:  hdrhistogram.New(lowestMicros, highestMicros, digits),
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
		c.Latency.RecordValue(max(o.Micros, lowestMicros))
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
	r.classes[class].Direct.RecordValue(max(d.Microseconds(), lowestMicros))
}

// Classes returns the class names in the order of the plan.
func (r *Result) Classes() []string { return r.order }

// Class returns the sums of a class.
func (r *Result) Class(name string) *ClassResult { return r.classes[name] }

// Outcomes returns the outcome of every request.
func (r *Result) Outcomes() []Outcome { return r.outcomes }
