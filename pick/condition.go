package pick

import (
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// conditionMemory is the time for which the condition that a backend server stated is kept
// after the node beside it has restarted or is no longer announced. The limits and the
// departure of a server last for seconds.
const conditionMemory = time.Minute

// toldCondition is the condition that the selecting node was told by a backend server.
type toldCondition struct {
	condition *fleet.Condition
	at        int64 // when it was last reported
}

// conditions holds what the selecting node was told by the backend server of one node.
type conditions struct {
	reported atomic.Pointer[toldCondition] // by the present incarnation of the node; nil: nothing
	earlier  *toldCondition                // by an earlier incarnation; nil: nothing. Immutable
}

// newest returns the condition that was told last, or nil.
func (c *conditions) newest() *toldCondition {
	if r := c.reported.Load(); r != nil {
		return r
	}
	return c.earlier
}

// Told returns the condition that an earlier incarnation of the node of e has reported, if
// the present one has not reported any yet. The selecting node sends it with its attempts,
// because a node that has just started does not know what its backend server has stated.
func (b *Balancer) Told(e *Endpoint, now time.Time) *fleet.Condition {
	c := &e.load.conditions
	if c.earlier == nil || c.reported.Load() != nil || int64(now.Sub(e.epoch))-c.earlier.at > int64(conditionMemory) {
		return nil
	}
	return c.earlier.condition
}

// inheritCondition sets the earlier condition of a new incarnation. old is the endpoint of the
// incarnation before; nil if the node was not announced.
func (b *Balancer) inheritCondition(l *load, node fleet.NodeID, old *Endpoint) {
	if old != nil {
		l.conditions.earlier = old.load.conditions.newest()
	} else {
		l.conditions.earlier = b.departed[node]
	}
	delete(b.departed, node)
}

// rememberDeparted keeps the conditions of the nodes that are no longer announced. The caller
// holds mu.
func (b *Balancer) rememberDeparted(old, next *pool, t int64) {
	for node, c := range b.departed {
		if t-c.at > int64(conditionMemory) {
			delete(b.departed, node)
		}
	}
	for _, e := range old.announced {
		if c := e.load.conditions.newest(); c != nil && next.byNode[e.Server.Node] == nil {
			b.departed[e.Server.Node] = c
		}
	}
}

// recordLimit stores what a load report states about the rate limits and the condition of the
// server. The caller holds mu.
func (l *load) recordLimit(t int64, r *fleet.LoadReport) {
	l.permitAt.Store(t + int64(max(r.RateWait, 0)))
	period := int64(0)
	if c := r.Condition; c != nil {
		l.conditions.reported.Store(&toldCondition{c, t})
		if c.Limited {
			period = permitPeriod(c.RateLimit)
		}
	}
	l.cold.Store(r.ColdRate > 0)
	if r.ColdRate > 0 {
		period = max(period, permitPeriod(r.ColdRate))
	}
	l.permitPeriod.Store(period)
}

// maxPermitPeriod is the time between two requests that is assumed for a server that states a
// limit close to zero.
const maxPermitPeriod = 10 * time.Second

// permitPeriod returns the time between two requests at a rate, in nanoseconds.
func permitPeriod(rate float64) int64 {
	if rate*maxPermitPeriod.Seconds() < 1 {
		return int64(maxPermitPeriod)
	}
	return int64(float64(time.Second) / rate)
}

// permitWait returns the time at t until the rate limit of the server is expected to let a
// further request start: until the permit that its newest report announced, and longer by the
// requests that this node has sent since.
func (l *load) permitWait(t int64) float64 {
	period := l.permitPeriod.Load()
	if period == 0 {
		return 0
	}
	since := max(l.started.Load()-l.startedAtReport.Load(), 0)
	return float64(max(l.permitAt.Load()+since*period-t, 0))
}

// ColdWait returns the time until a permit is expected at any server, if all servers that accept
// work have reported that they are cold and none has a permit. Otherwise it returns zero.
func (b *Balancer) ColdWait(now time.Time) time.Duration {
	p := b.pool.Load()
	t := p.sinceEpoch(now)
	least := 0.0
	for _, e := range p.endpoints {
		if !e.isCandidate(nil) {
			continue
		}
		wait := e.load.permitWait(t)
		if !e.load.cold.Load() || wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return time.Duration(least)
}
