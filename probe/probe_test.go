package probe

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against measuring beyond the budget in any period, for any sequence of probes and
// bytes and however often the limits are set.
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
			t.Fatalf("Usage = %+v, want %d probes and %d kB", s, len(probes), len(bytes))
		}
	})
}

// checkRate checks that the events in every period stay within the rate and the burst.
func checkRate(t *rapid.T, events []time.Time, perSecond, burst float64) {
	for i := range events {
		for j := i; j < len(events); j++ {
			n, period := float64(j-i+1), events[j].Sub(events[i]).Seconds()
			if n > perSecond*period+burst+1e-6 {
				t.Fatalf("%.0f events in %.3f s, want at most %.2f/s and a burst of %.2f", n, period, perSecond, burst)
			}
		}
	}
}

// Guards against a budget of zero that allows the first probe, and against shares that are
// NaN because nothing was allowed.
func TestBudgetOfZero(t *testing.T) {
	b := NewBudget(start, Limits{})
	later := start.Add(time.Hour)
	if b.Probe(start) || b.Probe(later) || b.Bytes(later, 1) {
		t.Error("a budget of zero allows measuring")
	}
	if s := b.Usage(later); s.ProbeShare != 0 || s.ByteShare != 0 || s.RefusedProbes != 2 || s.RefusedBytes != 1 {
		t.Errorf("Usage = %+v, want shares of 0, 2 refused probes and 1 refused byte", s)
	}
}

// Guards against a probe at every restart, and against a budget that never fills because the
// same limits are set repeatedly.
func TestBudgetStartsEmptyAndFills(t *testing.T) {
	limits := Limits{ProbesPerSecond: 1, BytesPerSecond: 1000}
	b := NewBudget(start, limits)
	if b.Probe(start) || b.Bytes(start, 1) {
		t.Error("a new budget allows measuring immediately")
	}
	for i := range 10 {
		b.SetLimits(start.Add(time.Duration(i)*100*time.Millisecond), limits)
	}
	if at := start.Add(time.Second); !b.Probe(at) || !b.Bytes(at, 1000) {
		t.Error("after one second the budget does not allow one probe and 1000 bytes")
	}
}

// Guards against wrong shares after the limits have changed.
func TestUsageShare(t *testing.T) {
	b := NewBudget(start, Limits{ProbesPerSecond: 1, BytesPerSecond: 1000})
	for i := 1; i <= 5; i++ {
		b.Probe(start.Add(time.Duration(2*i) * time.Second))
	}
	b.SetLimits(start.Add(10*time.Second), Limits{ProbesPerSecond: 4})
	if s := b.Usage(start.Add(20 * time.Second)); s.ProbeShare != 0.1 {
		t.Errorf("Usage after 5 of 50 allowed probes = %+v, want a ProbeShare of 0.1", s)
	}
}

// Guards against probes and load queries that are not needed because ordinary answers carried
// the information, and against load queries for services that are not used.
func TestProbesOnlyWhenInformationIsOld(t *testing.T) {
	c := Config{}.WithDefaults()
	if c.ProbeNeeded(start.Add(c.ServerAge-1), start) || !c.ProbeNeeded(start.Add(c.ServerAge), start) {
		t.Error("ProbeNeeded does not change from false to true at an age of ServerAge")
	}
	for _, x := range []struct {
		age, use time.Duration
		want     bool
	}{
		{c.ReportAge - 1, 0, false}, {c.ReportAge, 0, true}, {-1, 0, true},
		{c.ReportAge, c.ReportAge + 1, false}, {c.ReportAge, -1, false},
	} {
		if got := c.LoadQueryNeeded(x.age, x.use); got != x.want {
			t.Errorf("LoadQueryNeeded(%v, %v) = %t, want the opposite", x.age, x.use, got)
		}
	}
}
