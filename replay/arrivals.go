package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request that is generated from a trace.
type arrival struct {
	at          time.Duration
	class       int
	entry       int
	serviceTime time.Duration // on a server that is neither slow nor cold
	failureDraw float64       // in [0, 1); a failing server fails the first execution if this is below its failure share
}

// arrivals generates the requests of a trace in order of arrival time. They depend only on
// the trace and its seed, so every policy receives the same requests.
func (t *Trace) arrivals() []arrival {
	var all []arrival
	for i := range t.Classes {
		rng := rand.New(rand.NewPCG(t.Deployment.Seed, uint64(i)))
		all = append(all, t.classArrivals(i, rng)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// classArrivals generates the requests of one class as a Poisson process with the rates of
// the trace.
func (t *Trace) classArrivals(class int, rng *rand.Rand) []arrival {
	var out []arrival
	c := &t.Classes[class]
	end := t.Deployment.Duration.Std()
	for at := time.Duration(0); at < end; {
		rate, until := t.rate(c.Name, at)
		if rate <= 0 {
			at = until
			continue
		}
		next := at + time.Duration(rng.ExpFloat64()/rate*float64(time.Second))
		if next > until {
			at = until
			continue
		}
		at = next
		out = append(out, arrival{
			at: at, class: class, entry: rng.IntN(t.Deployment.Entries),
			serviceTime: sampleServiceTime(rng, c.ServiceTime.Std(), c.Spread), failureDraw: rng.Float64(),
		})
	}
	return out
}

// sampleServiceTime draws a service time from a log-normal distribution with the given mean.
// spread is the standard deviation of the logarithm.
func sampleServiceTime(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*rng.NormFloat64()-spread*spread/2))
}

// rate returns the arrival rate of a class at a time of the trace, and the time at which the
// rate changes next or the trace ends.
func (t *Trace) rate(class string, at time.Duration) (perSecond float64, until time.Duration) {
	until = t.Deployment.Duration.Std()
	from := time.Duration(-1)
	for _, l := range t.Loads {
		switch start := l.At.Std(); {
		case l.Name != class:
		case start <= at && start > from:
			perSecond, from = l.PerSecond, start
		case start > at:
			until = min(until, start)
		}
	}
	return perSecond, until
}
