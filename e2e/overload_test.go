package e2e

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"bramleymill/admit"
	"bramleymill/loadgen"
	"bramleymill/standin"
	"bramleymill/strictjson"
)

const overloadClasses = `{"classes":[
 {"name":"browse","service":"shop","match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,
  "latency_target":"%s","deadline":"5s","urgency":"low"},
 {"name":"check","service":"shop","match":{"methods":["GET"],"path_prefix":"/stock"},"idempotent":true,"internal_only":true,
  "latency_target":"1s","deadline":"5s","urgency":"critical"},
 {"name":"order","service":"shop","match":{"methods":["POST"],"path_prefix":"/orders"},"idempotent":false,
  "latency_target":"2s","deadline":"5s","urgency":"high","key":"required"}]}`

// Guards against four faults under overload: goodput falls, requests of the classes check and
// order are refused before those of class browse, refused requests run, or refusals continue
// after the load has fallen.
//
// The service time is so long that the slots, not the processors, limit the capacity.
// Goodput is measured as the slots that useful executions occupy, not as requests per second. On a
// busy machine executions take longer, so the capacity falls in the same seconds as the goodput.
func TestOverload(t *testing.T) {
	t.Parallel()
	const (
		servers            = 3
		reserved           = slots / admit.DefaultReservedShare
		serviceTime        = 500 * time.Millisecond
		capacity           = float64(servers*slots) / 0.5 // requests per second at the nominal service time
		warmUp             = time.Second
		period             = 4 * time.Second
		sampleLength       = 250 * time.Millisecond
		recoveryPeriod     = 1500 * time.Millisecond
		maxRecoveryPeriods = 10 // at least one of these periods must pass without a refusal
	)
	f := newFleet(t, fleetOptions{controls: servers, classes: overloadClasses, backend: []string{"--service-time", serviceTime.String()}})
	f.bootstrap()
	checks := loadgen.Stream{Class: "check", Method: "GET", Path: "/stock", Idempotent: true, Rate: 0.06 * capacity,
		TokenFile: f.path("service-token"), Timeout: strictjson.Duration(waitTimeout)}
	for _, in := range f.instances {
		checks.InternalAddresses = append(checks.InternalAddresses, in.address["service"])
	}
	for _, factor := range []float64{2, 5} {
		name := fmt.Sprintf("overload-%v", factor)
		start := time.Now()
		recovered := false
		_, outcomes := f.sendLoad(name, period, func() {
			time.Sleep(period)
			for i := 0; i < maxRecoveryPeriods && !recovered; i++ {
				check, _ := f.sendLoad(fmt.Sprint(name, "-after-", i), recoveryPeriod, func() {}, browseStream(0.3*capacity), orderStream(0.1*capacity), checks)
				recovered = check.Answered == check.Sent
			}
		}, browseStream((factor-0.16)*capacity), orderStream(0.1*capacity), checks)
		if !recovered {
			t.Errorf("%s: requests were refused in every period after the load fell, want one period without refusals", name)
		}
		if sent, minSent := float64(len(outcomes)), 0.9*factor*capacity*period.Seconds(); sent < minSent {
			t.Errorf("%s: sent %v requests, want at least %v", name, sent, minSent)
		}
		f.checkRefusals(name, outcomes)
		// Checks may use every slot. The other classes may use all slots except the reserved
		// ones. The median over short samples ignores moments in which the machine does not schedule
		// the processes.
		var samples []float64
		for at := warmUp; at < period; at += sampleLength {
			samples = append(samples, f.goodputSlots(outcomes, start.Add(at), start.Add(at+sampleLength)))
		}
		slices.Sort(samples)
		t.Logf("%s: slots occupied by goodput in each sample: %.1f", name, samples)
		if median := samples[len(samples)/2]; median < 0.9*servers*(slots-reserved) {
			t.Errorf("%s: goodput occupied %.1f of %d slots in the median, want at least 90 %%", name, median, servers*(slots-reserved))
		}
	}
}

// checkRefusals checks that requests of class browse are refused before those of the classes
// order and check, that refused requests did not run, and that all other requests were answered.
func (f *fleet) checkRefusals(name string, outcomes []loadgen.Outcome) {
	f.t.Helper()
	sent, refused := map[string]float64{}, map[string]float64{}
	started := f.executions()
	for _, o := range outcomes {
		sent[o.Class]++
		switch {
		case o.Verdict == loadgen.NotRun:
			refused[o.Class]++
			if n := started[o.WorkID]; n > 0 {
				f.t.Errorf("%s: request %s was refused as not run, but it ran %d times, want 0", name, o.WorkID, n)
			}
		case o.Verdict != loadgen.Answered:
			f.t.Errorf("%s: got outcome %+v, want the request answered or refused without being run", name, o)
		}
	}
	f.t.Logf("%s: sent %v, refused %v", name, sent, refused)
	share := maps.Clone(refused)
	for class, n := range sent {
		share[class] = refused[class] / n
	}
	for _, urgent := range []string{"order", "check"} {
		if share[urgent] > share["browse"]/2 {
			f.t.Errorf("%s: refused share = %.3f of class %q and %.3f of class browse, want at most half of the share of class browse", name, share[urgent], urgent, share["browse"])
		}
	}
}

// goodputSlots returns the average number of slots that were occupied between two times by
// answered requests of the classes browse and order. Only one execution of each request counts.
func (f *fleet) goodputSlots(outcomes []loadgen.Outcome, from, to time.Time) float64 {
	f.t.Helper()
	answered := map[string]bool{}
	for _, o := range outcomes {
		answered[o.WorkID] = o.Verdict == loadgen.Answered && o.Class != "check"
	}
	var slotTime time.Duration
	for _, in := range f.instances {
		startedAt := map[string]time.Time{}
		for _, r := range f.recordsAt(in) {
			if r.Event == standin.Started {
				startedAt[r.WorkID] = r.At
			}
			if r.Event == standin.Finished && answered[r.WorkID] {
				begin, end := max(startedAt[r.WorkID].Sub(from), 0), min(r.At.Sub(from), to.Sub(from))
				slotTime += max(end-begin, 0)
				answered[r.WorkID] = false
			}
		}
	}
	return float64(slotTime) / float64(to.Sub(from))
}
