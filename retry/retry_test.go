package retry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"bramleymill/errkind"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a retry that may run work twice although its class must not run twice, and
// against giving up where a retry is safe.
func TestAttemptRules(t *testing.T) {
	datadriven.RunTest(t, "testdata/rules", func(t *testing.T, d *datadriven.TestData) string {
		attempts, reserve, remaining := 3, 3, 1000
		d.MaybeScanArgs(t, "attempts", &attempts)
		d.MaybeScanArgs(t, "reserve", &reserve)
		d.MaybeScanArgs(t, "remaining", &remaining)
		p := New(start, Config{RetryReserve: reserve})
		for range 64 {
			p.RecordLatency(start, 100*time.Millisecond)
		}
		left := NewAttempts(uint32(attempts))
		var kind string
		d.ScanArgs(t, "kind", &kind)
		got := p.AfterFailure(start, Failure{
			Kind: errkind.Kind(kind), Idempotent: d.HasArg("idempotent"), BytesSent: d.HasArg("bytes-sent"),
			Confined: d.HasArg("confined"), Remaining: time.Duration(remaining) * time.Millisecond,
		}, left)
		if got.Verb == RetryElsewhere {
			return fmt.Sprintf("retry elsewhere, %d attempts left", left.Left())
		}
		return fmt.Sprintf("give up as %s, %d attempts left", got.Kind, left.Left())
	})
}

// Guards against more retries than the share of the requests and the reserve allow, for any
// order of requests, retries and pauses.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserve := rapid.IntRange(0, 3).Draw(t, "reserve")
		b := NewBudget(start, 0.1, reserve)
		now, used, requests := start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Gain()
				requests++
			} else if b.Use(now) {
				used++
			}
		}
		limit := float64(reserve) + float64(requests)*0.1
		if reserve > 0 {
			limit += now.Sub(start).Seconds() / refillPeriod.Seconds()
		}
		if float64(used) > limit+1e-9 {
			t.Fatalf("retries allowed by a budget = %d for %d requests, want at most %.2f", used, requests, limit)
		}
	})
}

// Guards against a class with little traffic that can never retry again after its reserve is
// used.
func TestReserveRefillsWithTime(t *testing.T) {
	b := NewBudget(start, 0.1, 1)
	if !b.Use(start) || b.Use(start.Add(refillPeriod-1)) || !b.Use(start.Add(refillPeriod)) {
		t.Error("Use of a reserve of one token: want true at first, false until refillPeriod has passed, then true")
	}
}

// Guards against retries that multiply because every level of nested calls retries the levels
// below it.
func TestAttemptsBoundTheWholeTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint32Range(0, 5).Draw(t, "attempts")
		depth := rapid.IntRange(1, 17).Draw(t, "depth")
		calls := 0
		var level func(a *Attempts, depth int)
		level = func(a *Attempts, depth int) {
			calls++ // the first attempt at this level
			for {
				reserved := a.Lend()
				if depth > 1 {
					level(NewAttempts(reserved), depth-1)
				} else {
					a.Return(reserved)
				}
				if !a.Use() {
					return
				}
				calls++
			}
		}
		level(NewAttempts(n), depth)
		// Each of the n further attempts repeats at most the levels below it.
		if limit := depth * (1 + int(n)); calls > limit {
			t.Fatalf("%d calls with %d further attempts at depth %d, want at most %d", calls, n, depth, limit)
		}
	})
}

// Guards against hedges of classes that must not run twice, hedges while the latency is
// unknown, and hedges of more than 5% of the requests.
func TestHedge(t *testing.T) {
	p := New(start, Config{})
	if _, ok := p.HedgeDelay(true, false, time.Hour); ok {
		t.Error("HedgeDelay allows a hedge while the latency is unknown, want no hedge")
	}
	for i := range 400 {
		p.RecordLatency(start, time.Duration(i%100+1)*time.Millisecond)
	}
	delay, ok := p.HedgeDelay(true, false, time.Hour)
	if !ok || delay < 88*time.Millisecond || delay > 102*time.Millisecond {
		t.Errorf("HedgeDelay after latencies of 1 to 100 ms = %v, %t, want 88ms to 102ms, true", delay, ok)
	}
	for _, c := range []struct{ idempotent, internal bool }{{false, false}, {true, true}} {
		if _, ok := p.HedgeDelay(c.idempotent, c.internal, time.Hour); ok {
			t.Errorf("HedgeDelay allows a hedge of a class %+v, want no hedge", c)
		}
	}
	if _, ok := p.HedgeDelay(true, false, delay); ok {
		t.Error("HedgeDelay allows a hedge although the deadline leaves no time, want no hedge")
	}
	hedges := 0
	for range 1000 {
		p.RequestStarted()
		if p.Hedge(start, NewAttempts(1)) {
			hedges++
		}
	}
	if hedges > 51 || hedges < 50 {
		t.Errorf("hedges allowed for 1000 requests = %d, want 50 or 51: 5%% and the reserve of 1", hedges)
	}
}

// Guards against a p95 latency that never falls again after a slow period.
func TestOldLatencyLeavesTheWindow(t *testing.T) {
	l := NewLatency(start)
	for range 1000 {
		l.Record(start, time.Second)
	}
	for i := range 3 * latencyWindows {
		for range 100 {
			l.Record(start.Add(time.Duration(i+1)*latencyRotation), time.Millisecond)
		}
	}
	if p95, _ := l.P95(); p95 > 2*time.Millisecond {
		t.Errorf("p95 = %v after the slow period left the window, want at most 2ms", p95)
	}
}

// Guards against more retries than tokens when goroutines use a budget concurrently.
func TestBudgetUnderConcurrency(t *testing.T) {
	const tokens = 100_000
	b := NewBudget(start, 0, tokens)
	var used atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for b.Use(start) {
				used.Add(1)
			}
		})
	}
	wg.Wait()
	if used.Load() != tokens {
		t.Errorf("tokens used by 8 goroutines = %d, want %d, the number in the budget", used.Load(), tokens)
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(start, 0.1, 3)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Gain()
			budget.Use(start)
		}
	})
}

// Guards against a burst of repeats (retries and hedges) when every request suddenly fails. Many
// nodes could have collected tokens during a long time without failures. The repeats within one
// window must stay below the share that is allowed for the whole service.
func TestSavedRepeatsOfManyNodesStayBounded(t *testing.T) {
	const (
		nodes, perSecond, healthy, window = 84, 5, 300, 10 // healthy and window are in seconds
		share, slack                      = 0.2, 208
	)
	start := time.Unix(1000, 0)
	config := Config{RetryRatio: 0.04, RefusalRatio: 0.10, HedgeRatio: 0.05, RetryReserve: 1, HedgeReserve: 1, Burst: 1, Sparse: true}
	repeats := 0
	for range nodes {
		p := New(start, config)
		for i := range (healthy + window) * perSecond {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			p.RequestStarted()
			if i < healthy*perSecond {
				continue
			}
			for _, kind := range []errkind.Kind{errkind.BackendRefused, errkind.ConnectionLost} {
				f := Failure{Kind: kind, Idempotent: true, Remaining: time.Second}
				if p.AfterFailure(now, f, NewAttempts(1)).Verb == RetryElsewhere {
					repeats++
				}
			}
			if p.Hedge(now, NewAttempts(1)) {
				repeats++
			}
		}
	}
	if most := int(share*nodes*perSecond*window) + slack; repeats > most {
		t.Errorf("retries and hedges of all nodes = %d within %d s of failures, want at most %d", repeats, window, most)
	}
	if least := int(0.15 * nodes * perSecond * window); repeats < least {
		t.Errorf("retries and hedges of all nodes = %d within %d s of failures, want at least %d", repeats, window, least)
	}
}
