package probe

import (
	"time"

	"golang.org/x/time/rate"

	"bramleymill/fleet"
)

// Bounds of the questions of one node for the load of others.
const (
	// AskEvery is how often a node looks whether it wants to ask.
	AskEvery = 100 * time.Millisecond
	// asksPerSecond bounds the cost to the node that asks: with ReportBytes for
	// each, 4.4 of the 26 KB/s that a node may use for control.
	asksPerSecond = 20
	asksBurst     = 8
	// ReportBytes is what one question and its answer count as on the network.
	ReportBytes = 220
)

// Asks decides which servers a node may ask for their load now. It is not safe
// for concurrent use.
type Asks struct {
	config  Config
	limiter *rate.Limiter
	asked   map[fleet.NodeID]time.Time
}

// NewAsks returns an Asks that has asked nothing yet.
func NewAsks(c Config) *Asks {
	return &Asks{config: c.WithDefaults(), limiter: rate.NewLimiter(asksPerSecond, asksBurst), asked: map[fleet.NodeID]time.Time{}}
}

// Allow reports whether node may be asked and counts the question. A node that
// was asked is not asked again within the age at which reports are too old,
// because its refusal or loss would otherwise be followed by more questions.
func (a *Asks) Allow(now time.Time, node fleet.NodeID) bool {
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

func (a *Asks) forget(now time.Time) {
	for node, at := range a.asked {
		if now.Sub(at) >= a.config.ReportAge {
			delete(a.asked, node)
		}
	}
}
