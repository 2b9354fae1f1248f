package probe

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against more probes or bytes than the budget allows in any period, for any sequence of
// probes and bytes and however often the limits are set.
func TestBudgetHoldsOverAnyPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{rapid.Float64Range(0, 5).Draw(t, "probes"), rapid.Int64Range(0, 20_000).Draw(t, "bytes")}
		b := NewBudget(start, limits)
		var probes, bytes []time.Time
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if b.Probe(now) {
					probes = append(probes, now)
				}
			case 1:
				if b.Bytes(now, 1000) {
					bytes = append(bytes, now)
				}
			default:
				b.SetLimits(now, limits)
			}
		}
		checkRate(t, probes, limits.ProbesPerSecond, probeBurst)
		burst := max(float64(limits.BytesPerSecond), LargestProbe)
		checkRate(t, bytes, float64(limits.BytesPerSecond)/1000, burst/1000)
		if s := b.Usage(now); s.Probes != uint64(len(probes)) || s.Bytes != 1000*uint64(len(bytes)) {
			t.Fatalf("Usage after the allowed probes and bytes = %+v, want %d probes and %d kB", s, len(probes), len(bytes))
		}
	})
}

// checkRate checks that in every period at most perSecond events per second and one burst
// occur. An event is a probe or 1 kB.
func checkRate(t *rapid.T, events []time.Time, perSecond, burst float64) {
	for i := range events {
		for j := i; j < len(events); j++ {
			n, period := float64(j-i+1), events[j].Sub(events[i]).Seconds()
			if n > perSecond*period+burst+1e-6 {
				t.Fatalf("%.0f events in %.3f s, want at most %.2f/s and a burst of %.2f (an event is a probe if the burst is 1.00, otherwise 1 kB)", n, period, perSecond, burst)
			}
		}
	}
}

// Guards against a budget of zero that allows the first probe, and against the usage shares
// ProbeShare and ByteShare being NaN because they are divided by an allowance of zero.
func TestBudgetOfZero(t *testing.T) {
	b := NewBudget(start, Limits{})
	later := start.Add(time.Hour)
	if b.Probe(start) || b.Probe(later) || b.Bytes(later, 1) {
		t.Error("a budget of zero allowed the first probe, a probe after one hour, or one byte; want all three refused")
	}
	if s := b.Usage(later); s.ProbeShare != 0 || s.ByteShare != 0 || s.RefusedProbes != 2 || s.RefusedBytes != 1 {
		t.Errorf("Usage of a budget of zero = %+v, want shares of 0, 2 refused probes and 1 refused byte", s)
	}
}

// Guards against an additional probe at every restart, and against a budget that never fills
// because the same limits are set repeatedly.
func TestBudgetStartsEmptyAndFills(t *testing.T) {
	limits := Limits{ProbesPerSecond: 1, BytesPerSecond: 1000}
	b := NewBudget(start, limits)
	if b.Probe(start) || b.Bytes(start, 1) {
		t.Error("a new budget allowed a probe or one byte immediately, want neither")
	}
	for i := range 10 {
		b.SetLimits(start.Add(time.Duration(i)*100*time.Millisecond), limits)
	}
	if at := start.Add(time.Second); !b.Probe(at) || !b.Bytes(at, 1000) {
		t.Error("after one second the budget refused one probe or 1000 bytes, want both allowed")
	}
}

// Guards against a ProbeShare that is computed as if the newest limit had always applied,
// although the limit was changed.
func TestUsageShare(t *testing.T) {
	b := NewBudget(start, Limits{ProbesPerSecond: 1, BytesPerSecond: 1000})
	for i := 1; i <= 5; i++ {
		b.Probe(start.Add(time.Duration(2*i) * time.Second))
	}
	b.SetLimits(start.Add(10*time.Second), Limits{ProbesPerSecond: 4})
	if s := b.Usage(start.Add(20 * time.Second)); s.ProbeShare != 0.1 {
		t.Errorf("Usage after 5 of 50 allowed probes = %+v, want ProbeShare = 0.1", s)
	}
}

// Guards against probes and load queries that are not needed because ordinary answers have
// brought the information, and against load queries for services that are not used.
func TestProbesOnlyWhenInformationIsOld(t *testing.T) {
	c := Config{}.WithDefaults()
	if c.ProbeNeeded(start.Add(c.ServerAge-1), start) || !c.ProbeNeeded(start.Add(c.ServerAge), start) {
		t.Error("ProbeNeeded: want false just below an age of ServerAge and true at it")
	}
	for _, x := range []struct {
		age, sinceUse time.Duration
		want          bool
	}{
		{c.ReportAge - 1, 0, false}, {c.ReportAge, 0, true}, {-1, 0, true},
		{c.ReportAge, c.ReportAge + 1, false}, {c.ReportAge, -1, false},
	} {
		if got := c.LoadQueryNeeded(x.age, x.sinceUse); got != x.want {
			t.Errorf("LoadQueryNeeded with a report of age %v, %v after the last use = %t, want the opposite", x.age, x.sinceUse, got)
		}
	}
}
