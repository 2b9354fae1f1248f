package admit

import "time"

// estimateWeight is the weight of a new service time in the mean.
const estimateWeight = 0.3

// estimate is a mean of service times that loses trust as it ages, so that a
// server that refuses everything because of an old estimate recovers.
type estimate struct {
	mean float64 // nanoseconds; zero: unknown
	at   time.Time
}

func (e *estimate) add(now time.Time, d time.Duration) {
	if e.mean == 0 {
		e.mean = float64(d)
	} else {
		e.mean += estimateWeight * (float64(d) - e.mean)
	}
	e.at = now
}

// value returns the mean, halved for each period of trust without a new sample.
func (e *estimate) value(now time.Time, trust time.Duration) time.Duration {
	periods := min(max(now.Sub(e.at)/trust, 0), 62)
	return time.Duration(e.mean) >> periods
}

// delayRule follows CoDel: the queue counts as overloaded once no request waited
// less than the target for a whole interval.
type delayRule struct {
	above      time.Time // start of the period in which every wait exceeded the target; zero: none
	overloaded bool
}

// lasts reports whether every wait has exceeded the target for a period.
func (d *delayRule) lasts(now time.Time, period time.Duration) bool {
	return !d.above.IsZero() && now.Sub(d.above) >= period
}

func (d *delayRule) observe(now time.Time, wait time.Duration, c *Config) {
	if wait <= c.DelayTarget {
		*d = delayRule{}
		return
	}
	if d.above.IsZero() {
		d.above = now
	}
	if now.Sub(d.above) >= c.DelayInterval {
		d.overloaded = true
	}
}
