package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/probe"
)

// Record describes how one request ended.
type Record struct {
	Class   int           // index in Trace.Classes
	At      time.Duration // arrival at the entry node
	Latency time.Duration
	Kind    errkind.Kind // empty if the request was answered
}

// ServerResult describes the load of one server during a replay.
type ServerResult struct {
	Node         fleet.NodeID
	Arrivals     []time.Duration // arrival times of attempts
	MaxRunning   int             // largest number of requests that ran at the same time
	Slots        int
	LateArrivals int // attempts that arrived more than 2 s after the start of a drain
	Usage        probe.Usage
}

// Result holds the records of all requests of a replay and the load of its servers.
type Result struct {
	Trace   *Trace
	Policy  Policy
	Records []Record
	Servers []ServerResult
	Retries int
	Hedges  int
}

func (r *Result) add(rec Record) { r.Records = append(r.Records, rec) }

func (r *Result) collect(run *runner) {
	for _, s := range run.servers {
		r.Servers = append(r.Servers, ServerResult{
			Node: s.line.Node, Arrivals: s.arrivals, MaxRunning: s.maxRunning,
			Slots:        s.controller.Load(run.time()).Slots,
			LateArrivals: s.lateArrivals, Usage: s.budget.Usage(run.timeAt(r.Trace.Deployment.Duration.Std())),
		})
	}
}

// ArrivalsBetween returns the number of attempts that arrived at from or later and before to.
func (s *ServerResult) ArrivalsBetween(from, to time.Duration) int {
	n := 0
	for _, at := range s.Arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// RecordsBetween returns the records of a class whose requests arrived at from or later and
// before to.
func (r *Result) RecordsBetween(class string, from, to time.Duration) []Record {
	var out []Record
	i := r.Trace.classIndex(class)
	for _, rec := range r.Records {
		if rec.Class == i && rec.At >= from && rec.At < to {
			out = append(out, rec)
		}
	}
	return out
}

// RecordsOf returns all records of a class.
func (r *Result) RecordsOf(class string) []Record {
	return r.RecordsBetween(class, 0, r.Trace.Deployment.Duration.Std())
}

// Quantile returns the q-quantile of the latency, or 0 without latencies. Answered requests
// and requests that ended at their deadline count. Requests that failed in another way, such as
// by a refusal, are left out.
func Quantile(records []Record, q float64) time.Duration {
	var all []time.Duration
	for _, r := range records {
		if r.Kind == "" || r.Kind == errkind.DeadlineExceeded {
			all = append(all, r.Latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// Answered returns the number of requests that were answered.
func Answered(records []Record) int {
	n := 0
	for _, r := range records {
		if r.Kind == "" {
			n++
		}
	}
	return n
}

// Table returns one line for each class with the latency quantiles, the requests without an
// answer, and the largest measurement cost of any server.
func (r *Result) Table() string {
	var b strings.Builder
	var probes, bytes uint64
	var share float64
	for _, s := range r.Servers {
		probes, bytes = max(probes, s.Usage.Probes), max(bytes, s.Usage.Bytes)
		share = max(share, s.Usage.ProbeShare)
	}
	for _, c := range r.Trace.Classes {
		recs := r.RecordsOf(c.Name)
		fmt.Fprintf(&b, "%-12s %-10s n=%-6d p50=%-8s p99=%-8s p99.9=%-8s unanswered=%-5d retries=%d hedges=%d probes/server=%d bytes/server=%d probe-share=%.2f\n",
			r.Policy, c.Name, len(recs), millis(Quantile(recs, 0.5)), millis(Quantile(recs, 0.99)), millis(Quantile(recs, 0.999)),
			len(recs)-Answered(recs), r.Retries, r.Hedges, probes, bytes, share)
	}
	return b.String()
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}
