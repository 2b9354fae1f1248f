package admit

import "time"

// estimateWeight is the weight of a new service time in an estimate.
const estimateWeight = 0.3

// estimate is an exponentially weighted mean of service times. Its value falls with its age.
// Otherwise a server whose estimate is too high to accept any request would never measure a
// new service time and would refuse requests permanently.
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

// value returns the mean, halved for each half-life without a new sample.
func (e *estimate) value(now time.Time, halfLife time.Duration) time.Duration {
	periods := min(max(now.Sub(e.at)/halfLife, 0), 62)
	return time.Duration(e.mean) >> periods
}

// delayRule detects overload as CoDel does: the server is overloaded when every wait during
// a whole DelayInterval has exceeded DelayTarget. A single wait of at most DelayTarget ends
// the overload.
type delayRule struct {
	aboveSince time.Time // start of the period in which every wait exceeded DelayTarget; zero: none
	overloaded bool
}

// exceededFor reports whether every wait has exceeded DelayTarget for at least the given period.
func (d *delayRule) exceededFor(now time.Time, period time.Duration) bool {
	return !d.aboveSince.IsZero() && now.Sub(d.aboveSince) >= period
}

func (d *delayRule) observe(now time.Time, wait time.Duration, c *Config) {
	if wait <= c.DelayTarget {
		*d = delayRule{}
		return
	}
	if d.aboveSince.IsZero() {
		d.aboveSince = now
	}
	if now.Sub(d.aboveSince) >= c.DelayInterval {
		d.overloaded = true
	}
}
