package replay

import (
	"testing"
	"time"

	"bramleymill/retry"
)

// serviceBudgets are the budgets of the nodes for the further attempts of a service whose
// classes are configured as items.
var serviceBudgets = retry.Config{RetryRatio: 0.04, RefusalRatio: 0.09, HedgeRatio: 0.04, RetryReserve: 1, HedgeReserve: 1, Burst: 1,
	RefillPeriod: 20 * time.Second, Sparse: true}

// Guards against requests that fail although their service may be called once more, while
// every server of the service fails 55% of its requests in good health: no other server is
// better, so that ejecting servers does not help. Rates and times are those of scale-1 of
// rukavice-mesh-large for 20 of 152 servers. 15 of 100 requests must get another attempt, and
// those of all nodes may not exceed a fifth of the requests and two for each node.
func TestServiceWhoseEveryServerFails(t *testing.T) {
	const (
		failing = 0.55
		from    = 13 * time.Second
		to      = 21 * time.Second
	)
	for seed := range uint64(3) {
		r := replayWithSeed(t, "large-every-server-fails", seed, Options{Policy: Current, Hedge: true, Retry: serviceBudgets})
		records := r.RecordsBetween("browse", from, to)
		answered := float64(Answered(records)) / float64(len(records))
		if least := (1 - failing) * (1 + 0.15); answered < least {
			t.Errorf("seed %d: %.3f of the requests were answered while every server failed, want at least %.3f", seed, answered, least)
		}
		arrivals := 0
		for _, s := range r.Servers {
			arrivals += s.ArrivalsBetween(from, to)
		}
		if repeats, most := arrivals-len(records), len(records)/5+2*r.Trace.Deployment.Entries; repeats > most {
			t.Errorf("seed %d: %d further attempts for %d requests, want at most %d", seed, repeats, len(records), most)
		}
	}
}
