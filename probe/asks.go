package probe

import (
	"time"

	"golang.org/x/time/rate"

	"bramleymill/fleet"
)

// Bounds of the questions of one node for the load of others.
const (
	// LoadQueryInterval is how often a node looks whether it wants to ask.
	LoadQueryInterval = 100 * time.Millisecond
	// asksPerSecond bounds the cost to the node that asks: with LoadQueryBytes for
	// each, 4.4 of the 26 KB/s that a node may use for control.
	asksPerSecond = 20
	asksBurst     = 8
	// LoadQueryBytes is what one question and its answer count as on the network.
	LoadQueryBytes = 220
)

// LoadQueryLimiter decides which servers a node may ask for their load now. It is not safe
// for concurrent use.
type LoadQueryLimiter struct {
	config  Config
	limiter *rate.Limiter
	asked   map[fleet.NodeID]time.Time
}

// NewLoadQueryLimiter returns a LoadQueryLimiter that has asked nothing yet.
func NewLoadQueryLimiter(c Config) *LoadQueryLimiter {
	return &LoadQueryLimiter{config: c.WithDefaults(), limiter: rate.NewLimiter(asksPerSecond, asksBurst), asked: map[fleet.NodeID]time.Time{}}
}

// Allow reports whether node may be asked and counts the question. A node that
// was asked is not asked again within the age at which reports are too old,
// because its refusal or loss would otherwise be followed by more questions.
func (a *LoadQueryLimiter) Allow(now time.Time, node fleet.NodeID) bool {
	if at, ok := a.asked[node]; ok && now.Sub(at) < a.config.ReportAge {
		return false
	}
	if !a.limiter.AllowN(now, 1) {
		return false
	}
	a.forget(now)
	a.asked[node] = now
	return true
}

func (a *LoadQueryLimiter) forget(now time.Time) {
	for node, at := range a.asked {
		if now.Sub(at) >= a.config.ReportAge {
			delete(a.asked, node)
		}
	}
}
