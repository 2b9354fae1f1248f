package filter

import (
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/retry"
)

// Guards against further attempts of a large fleet that add up to more load than its
// services can bear. On every node, each attempt fails, is refused or is slow, so that
// each budget is used as soon as it has a token. In no ten seconds may the further attempts
// of all nodes exceed a fifth of the requests and two for each node.
func TestBudgetsOfManyNodesTogether(t *testing.T) {
	const (
		nodes   = 295
		seconds = 40
		window  = 10
	)
	start := time.Unix(1_700_000_000, 0)
	var requests, extra [seconds]int
	for node := range nodes {
		p := retry.New(start, itemRetryConfig)
		interval := time.Second * 4 / 15 // 3.75 requests per second
		// Nodes start together, as after a loss of power, and receive requests at different times.
		for at := interval * time.Duration(node) / nodes; at < seconds*time.Second; at += interval {
			now, second := start.Add(at), int(at/time.Second)
			requests[second]++
			p.RequestStarted()
			for _, kind := range []errkind.Kind{errkind.ConnectionLost, errkind.BackendRefused} {
				left := retry.NewAttempts(1)
				if p.AfterFailure(now, retry.Failure{Kind: kind, Idempotent: true, Remaining: time.Second}, left).Verb == retry.RetryElsewhere {
					extra[second]++
				}
			}
			if p.Hedge(now, retry.NewAttempts(1)) {
				extra[second]++
			}
		}
	}
	for from := 0; from+window <= seconds; from++ {
		var r, e int
		for i := from; i < from+window; i++ {
			r, e = r+requests[i], e+extra[i]
		}
		if limit := r/5 + 2*nodes; e > limit {
			t.Errorf("seconds %d to %d: %d further attempts for %d requests, want at most %d", from, from+window, e, r, limit)
		}
	}
}

// Guards against repeated runs whose nested calls add to the further attempts of the service
// that they call. All runs of the calling service fail and are repeated as far as its
// budgets allow; each run makes one call, and each call fails too.
func TestRepeatedRunsAndTheirCallsTogether(t *testing.T) {
	const (
		nodes   = 23
		seconds = 40
		window  = 10
		slack   = 30 // of a service in a window
	)
	start := time.Unix(1_700_000_000, 0)
	var calls, extra [seconds]int
	for node := range nodes {
		caller, callee := retry.NewBudgets(start, itemRetryConfig), retry.NewBudgets(start, itemRetryConfig)
		callerPolicy, calleePolicy := retry.NewShared(start, caller), retry.NewShared(start, callee)
		failed := retry.Failure{Kind: errkind.BackendFailed, Idempotent: true, Remaining: time.Second}
		interval := time.Second / 8
		for at := interval * time.Duration(node) / nodes; at < seconds*time.Second; at += interval {
			now, second := start.Add(at), int(at/time.Second)
			callerPolicy.RequestStarted()
			runs := 1
			if callerPolicy.AfterFailure(now, failed, retry.NewAttempts(1)).Verb == retry.RetryElsewhere {
				runs++
			}
			if callerPolicy.Hedge(now, retry.NewAttempts(1)) {
				runs++
			}
			for run := range runs {
				calls[second]++
				calleePolicy.RequestStarted()
				if run > 0 {
					extra[second]++
					calleePolicy.ChargeRepeated()
				}
				for _, kind := range []errkind.Kind{errkind.BackendFailed, errkind.BackendRefused} {
					failed.Kind = kind
					if calleePolicy.AfterFailure(now, failed, retry.NewAttempts(1)).Verb == retry.RetryElsewhere {
						extra[second]++
					}
				}
				if calleePolicy.Hedge(now, retry.NewAttempts(1)) {
					extra[second]++
				}
			}
		}
	}
	for from := 0; from+window <= seconds; from++ {
		var r, e int
		for i := from; i < from+window; i++ {
			r, e = r+calls[i], e+extra[i]
		}
		if limit := r/5 + slack; e > limit {
			t.Errorf("seconds %d to %d: %d further arrivals for %d calls, want at most %d", from, from+window, e, r, limit)
		}
	}
}
