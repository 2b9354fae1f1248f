package filter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
	"bramleymill/pick"
)

// sizeWeight is the weight of a new request in the mean size of its class.
const sizeWeight = 0.1

// maxSizedClasses bounds the classes with a mean size. Requests of further classes count as small.
const maxSizedClasses = 4096

// classSizes holds the mean bytes of the requests and answers of each class, as measured at this
// entry node. The zero value is ready for use.
type classSizes struct {
	means sync.Map // class name -> *atomic.Uint64, the bits of a float64
	count atomic.Int64
}

// mean returns the mean size of a class, or zero before its first answer.
func (s *classSizes) mean(class string) float64 {
	if m, ok := s.means.Load(class); ok {
		return math.Float64frombits(m.(*atomic.Uint64).Load())
	}
	return 0
}

// observe records the size of a request and its answer.
func (s *classSizes) observe(class string, bytes float64) {
	m, ok := s.means.Load(class)
	if !ok {
		if s.count.Load() >= maxSizedClasses {
			return
		}
		first := &atomic.Uint64{}
		first.Store(math.Float64bits(bytes))
		if m, ok = s.means.LoadOrStore(class, first); !ok {
			s.count.Add(1)
			return
		}
	}
	bits := m.(*atomic.Uint64)
	mean := math.Float64frombits(bits.Load())
	bits.Store(math.Float64bits(mean + sizeWeight*(bytes-mean)))
}

// demand returns what the decision whether c leaves its zone depends on.
func (f *ServerSelection) demand(c *Call, now time.Time) pick.Demand {
	d := pick.Demand{Bytes: f.sizes.mean(c.Class.Name), Urgency: c.Meta.Urgency, DryRun: c.dryRun}
	if c.Class.LatencyTarget > 0 {
		d.TargetLeft = c.Started.Add(c.Class.LatencyTarget).Sub(now)
	}
	return d
}

// recordBytes records the bytes of an attempt that ended with err: in the mean size of its class
// if it was answered, and in the traffic between zones if its target is in another one. Headers
// and request bodies of failed attempts are not counted.
func (f *ServerSelection) recordBytes(c *Call, p *pool, err error) {
	a, ok := c.Answer.(*raceAnswer)
	if !ok {
		return
	}
	bytes := a.bodyBytes
	if err == nil {
		bytes += c.Body.knownBytes()
		if !c.HeadAt.IsZero() {
			f.sizes.observe(c.Class.Name, float64(bytes))
		}
	}
	if c.Meta.OtherZone {
		p.traffic.bytes.Add(uint64(bytes))
	}
}

// ZoneCounts counts the attempts for one service since the start of the process.
type ZoneCounts struct {
	Attempts [pick.Reasons]uint64 // by reason; Stayed includes servers whose zone is unknown
	Bytes    uint64               // bodies of requests and answers that crossed zones
}

// zoneTraffic holds the ZoneCounts of a service. It is written without a lock.
type zoneTraffic struct {
	attempts [pick.Reasons]atomic.Uint64
	bytes    atomic.Uint64
}

// recordReason records why the target of c is in another zone. reason is that of the selection;
// it does not count if the zone of the target or of this node is unknown.
func (f *ServerSelection) recordReason(c *Call, p *pool, reason pick.Reason) {
	if !c.Meta.OtherZone {
		reason = pick.Stayed
	}
	c.LeftZone = reason
	p.traffic.attempts[reason].Add(1)
}

// leftZone returns the name of the reason why the target of the attempt is in another zone, or an
// empty string if it is not.
func (a *AttemptState) leftZone() string {
	if a.LeftZone == pick.Stayed {
		return ""
	}
	return a.LeftZone.String()
}

// ZoneTraffic calls visit with the counts of each service that this node has used.
func (f *ServerSelection) ZoneTraffic(visit func(service string, c *ZoneCounts)) {
	f.services.Range(func(_, v any) bool {
		p := v.(*pool)
		var c ZoneCounts
		for i := range c.Attempts {
			c.Attempts[i] = p.traffic.attempts[i].Load()
		}
		c.Bytes = p.traffic.bytes.Load()
		visit(p.service, &c)
		return true
	})
}

// inOtherZone reports whether s is known to be in another zone than this node.
func (f *ServerSelection) inOtherZone(s *fleet.Server) bool {
	return s.Zone != "" && f.zone != "" && s.Zone != f.zone
}

// knownBytes returns the length of the body, or of its buffered part if the length is unknown.
func (b *Body) knownBytes() int64 {
	if b == nil {
		return 0
	}
	return max(b.Length, int64(len(b.prefix)))
}
