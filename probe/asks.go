package probe

import (
	"time"

	"golang.org/x/time/rate"

	"bramleymill/fleet"
)

// Bounds of the load queries that one node sends to other nodes.
const (
	// LoadQueryInterval is how often a node checks whether load queries are needed.
	LoadQueryInterval = 100 * time.Millisecond
	// queriesPerSecond bounds the cost to the node that sends the queries. At LoadQueryBytes
	// each they use 4.4 of the 26 KB/s that a node may use for control messages.
	queriesPerSecond = 20
	queriesBurst     = 8 // queries that may be sent together after a pause
	// LoadQueryBytes is the size on the network that is counted for one load query and
	// its answer.
	LoadQueryBytes = 220
)

// LoadQueryLimiter bounds the load queries that a node sends, in total and to each other
// node. It is not safe for concurrent use.
type LoadQueryLimiter struct {
	config  Config
	limiter *rate.Limiter
	queried map[fleet.NodeID]time.Time // time of the last query to each node
}

// NewLoadQueryLimiter returns a LoadQueryLimiter without recorded queries.
func NewLoadQueryLimiter(c Config) *LoadQueryLimiter {
	return &LoadQueryLimiter{config: c.WithDefaults(), limiter: rate.NewLimiter(queriesPerSecond, queriesBurst), queried: map[fleet.NodeID]time.Time{}}
}

// Allow reports whether a load query may be sent to node now, and counts it if so. After a
// query the next one to the same node is allowed only when Config.ReportAge has passed.
// Otherwise queries would follow each other quickly while a node refuses them or their
// answers are lost.
func (l *LoadQueryLimiter) Allow(now time.Time, node fleet.NodeID) bool {
	if at, ok := l.queried[node]; ok && now.Sub(at) < l.config.ReportAge {
		return false
	}
	if !l.limiter.AllowN(now, 1) {
		return false
	}
	l.removeExpired(now)
	l.queried[node] = now
	return true
}

func (l *LoadQueryLimiter) removeExpired(now time.Time) {
	for node, at := range l.queried {
		if now.Sub(at) >= l.config.ReportAge {
			delete(l.queried, node)
		}
	}
}
