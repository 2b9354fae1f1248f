package replay

import (
	"slices"
	"testing"
	"time"

	"bramleymill/fleet"
)

// production is the configuration that nodes use: the current policy with hedging.
var production = Options{Policy: Current, Hedge: true}

// seedCount is the number of replays, each with a different seed, whose requests are pooled. The
// p99 of a single replay depends too much on its seed: it differs by about 10 %.
const seedCount = 3

// pooledRecords returns the records of a class from replays of a trace with several seeds.
func pooledRecords(t *testing.T, name, class string, o Options) []Record {
	var out []Record
	for i := range uint64(seedCount) {
		out = append(out, replayWithSeed(t, name, i*100, o).RecordsOf(class)...)
	}
	return out
}

// Guards against a straggler (a server that is slower than its peers) that raises the tail
// latency. The p99 must be at most half of the p99 of round robin and at most 1.25 times that
// of the all-knowing policy.
func TestStragglerTail(t *testing.T) {
	for _, c := range []struct{ trace, class string }{
		{"nitra-straggler", "browse"}, {"nitra-straggler", "order"},
		{"kandyan-straggler", "price"}, {"kandyan-straggler", "survey"},
	} {
		t.Run(c.trace+"/"+c.class, func(t *testing.T) {
			t.Parallel()
			current := Quantile(pooledRecords(t, c.trace, c.class, production), 0.99)
			t.Run("half-of-round-robin", func(t *testing.T) {
				roundRobin := Quantile(pooledRecords(t, c.trace, c.class, Options{Policy: RoundRobin}), 0.99)
				t.Logf("p99 = %s, of round robin %s", millis(current), millis(roundRobin))
				if current > roundRobin/2 {
					t.Errorf("p99 of the current policy = %s, want at most half of %s, the p99 of round robin", millis(current), millis(roundRobin))
				}
			})
			t.Run("near-all-knowing", func(t *testing.T) {
				allKnowing := Quantile(pooledRecords(t, c.trace, c.class, Options{Policy: AllKnowing}), 0.99)
				t.Logf("p99 = %s, of all-knowing %s", millis(current), millis(allKnowing))
				if current > allKnowing*5/4 {
					t.Errorf("p99 of the current policy = %s, which is %.2f times %s, the p99 of all-knowing; want at most 1.25 times", millis(current), float64(current)/float64(allKnowing), millis(allKnowing))
				}
			})
		})
	}
}

// overload describes a trace in which the load of a class exceeds the capacity of its service
// between two times.
type overload struct {
	trace, class string
	from, to     time.Duration
	capacity     float64 // requests per second that the slots without the reserved ones can serve
}

// settleTime is the time after the end of an overload within which its effects must end.
const settleTime = time.Second

// Guards against goodput that collapses under load of 2 and 5 times the capacity, and against a
// slow recovery when the overload has ended.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, o := range []overload{
		{"nitra-overload-2x", "browse", time.Second, 4 * time.Second, 2000},
		{"nitra-overload-5x", "browse", time.Second, 3 * time.Second, 2000},
		{"kandyan-overload-5x", "price", time.Second, 3 * time.Second, 2083},
	} {
		t.Run(o.trace, func(t *testing.T) {
			t.Parallel()
			o.check(t, replayTrace(t, o.trace, production))
		})
	}
}

func (o overload) check(t *testing.T, r *Result) {
	answered := 0
	for _, rec := range r.RecordsOf(o.class) {
		if end := rec.At + rec.Latency; rec.Kind == "" && end >= o.from && end < o.to {
			answered++
		}
	}
	goodput := float64(answered) / (o.to - o.from).Seconds() / o.capacity
	t.Logf("goodput = %.3f of capacity", goodput)
	if goodput < 0.9 {
		t.Errorf("goodput during the overload = %.2f of capacity, want at least 0.9", goodput)
	}
	before := r.RecordsBetween(o.class, 0, o.from)
	after := r.RecordsBetween(o.class, o.to+settleTime, r.Trace.Deployment.Duration.Std())
	t.Logf("p99 before the overload %s, after it %s", millis(Quantile(before, 0.99)), millis(Quantile(after, 0.99)))
	if n := len(after) - Answered(after); n > 0 {
		t.Errorf("%d of %d requests that arrived more than 1 s after the overload were not answered, want 0", n, len(after))
	}
	if a, b := Quantile(after, 0.99), Quantile(before, 0.99); a > b*5/4 {
		t.Errorf("p99 of requests from 1 s after the overload on = %s, want at most 1.25 times the %s before it", millis(a), millis(b))
	}
	for _, c := range r.Trace.Classes {
		recs := r.RecordsOf(c.Name)
		if n := len(recs) - Answered(recs); c.Name != o.class && n > 0 {
			t.Errorf("%d of %d requests of class %s were not answered, want 0", n, len(recs), c.Name)
		}
	}
}

// Guards against a server that attracts requests because it fails fast.
func TestFastFailerGetsNoMoreThanItsShare(t *testing.T) {
	for _, c := range []struct {
		trace    string
		node     fleet.NodeID
		from, to time.Duration
	}{
		{"nitra-fail", "katalog-4", 2 * time.Second, 7 * time.Second},
		{"nitra-fail", "objednavky-3", 3 * time.Second, 7 * time.Second},
		{"kandyan-fail", "pricebook-2", 2 * time.Second, 7 * time.Second},
	} {
		t.Run(string(c.node), func(t *testing.T) {
			t.Parallel()
			r := replayTrace(t, c.trace, production)
			failingIndex := slices.IndexFunc(r.Servers, func(s ServerResult) bool { return s.Node == c.node })
			total, peers := 0, 0
			for i := range r.Servers {
				if r.Trace.Servers[i].Service == r.Trace.Servers[failingIndex].Service {
					total += r.Servers[i].ArrivalsBetween(c.from, c.to)
					peers++
				}
			}
			got := r.Servers[failingIndex].ArrivalsBetween(c.from, c.to)
			t.Logf("received %d of %d requests while failing", got, total)
			if got > total/peers {
				t.Errorf("the failing server received %d of %d requests of its service while it failed, want at most 1 in %d", got, total, peers)
			}
		})
	}
}
