package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// Reason states why a request stays in the zone of the selecting node or leaves it.
type Reason uint8

// The reasons of a decision.
const (
	Stayed       Reason = iota // a server in the own zone was chosen
	LeftNoServer               // no server of the own zone could be chosen
	LeftTarget                 // it would miss its latency target in the own zone
	LeftFull                   // the slots of the own zone are in use
	LeftCheaper                // the time saved exceeds the margin and the price of the bytes
	LeftRefused                // servers of the own zone have refused recent requests
	LeftRerouted               // ownZoneAttempts servers have refused this request
	LeftTrial                  // trial request to an ejected server
	LeftPlaced                 // chosen by the key or the earlier targets of the request
	reasonCount
)

// Reasons is the number of reasons.
const Reasons = int(reasonCount)

var reasonNames = [reasonCount]string{"stayed", "no_server", "target", "full", "cheaper", "refused", "rerouted", "trial", "placed"}

// String returns the name of r in metrics and logs.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Placed returns the reason for e if the key or the earlier targets of a request chose it. e may
// be nil.
func (e *Endpoint) Placed() Reason {
	if e != nil && e.inOwnZone {
		return Stayed
	}
	return LeftPlaced
}

// Demand is what the decision whether a request leaves its zone depends on, beside the load of
// the servers. The zero value is a small request of normal urgency without a latency target.
type Demand struct {
	Bytes      float64       // expected bytes of the request and its answer
	TargetLeft time.Duration // time left until the latency target; zero or less: none, or it has passed
	Urgency    fleet.Urgency
	DryRun     bool // the selection is not carried out: it starts no trial of an ejected server
}

// urgencyWeight multiplies the price of bytes: an urgent request accepts less waiting.
var urgencyWeight = [...]float64{0: 1, fleet.UrgencyLow: 2, fleet.UrgencyNormal: 1, fleet.UrgencyHigh: 0.5, fleet.UrgencyCritical: 0.25}

const (
	// fullMargin is the cost by which the own zone may exceed another one, relative to the
	// cost of the other, if it has manyServers or more ready servers. A smaller zone has no
	// margin: with one or two servers to choose from, a margin of 0.2 lost as much through
	// waiting as the saved bytes were worth, and kept requests at a server that is always slow.
	fullMargin  = 0.3
	manyServers = 4
	// fewBytes is the size below which a request in such a zone goes to the best candidate of
	// all zones.
	fewBytes = 16 << 10
	// fullUse is the number of requests at the candidate of the own zone, relative to its slots,
	// from which the margin does not apply. It is above 1 because one in flight at the moment
	// of the report has often ended by now.
	fullUse = 1.1
	// thresholdSpread is the width of the range around 1 from which each request draws the
	// factor of its thresholds. All entry nodes of a zone see the same old load reports. With
	// equal thresholds they would leave and return together.
	thresholdSpread = 0.5
)

// leaving is the decision whether a request leaves the zone of the selecting node. It answers a
// zone that needs more than its servers can do for some time: a part of the requests, first
// those with few bytes, goes to other zones, and the rest keeps the own servers busy.
type leaving struct {
	home    float64 // expected completion time at the best candidate of the own zone, in nanoseconds
	abroad  float64 // expected completion time at the best candidate, in nanoseconds
	inUse   float64 // requests at the candidate of the own zone, relative to its slots
	servers int     // ready servers in the own zone
	refused float64 // share of requests to be sent out because the own zone refuses requests
	perByte float64 // waiting time that is accepted for each byte that does not cross zones
}

// decide returns the decision for a request.
func (l *leaving) decide(d *Demand, rng *rand.Rand) Reason {
	loss := l.home - l.abroad
	if loss <= 0 && l.refused == 0 {
		return Stayed
	}
	price := d.Bytes * l.perByte
	if int(d.Urgency) < len(urgencyWeight) {
		price *= urgencyWeight[d.Urgency]
	}
	if loss > 0 {
		spread := 1 + thresholdSpread*(rng.Float64()-0.5)
		left := float64(d.TargetLeft)
		switch {
		case left > 0 && l.home*spread > left && l.abroad < left:
			return LeftTarget
		case l.inUse*spread >= fullUse:
			return LeftFull
		case loss >= spread*(l.margin()+price):
			return LeftCheaper
		}
	}
	if l.refused > 0 && rng.Float64() < l.shareFor(price) {
		return LeftRefused
	}
	return Stayed
}

// margin returns the loss of time that is accepted in the own zone for any request.
func (l *leaving) margin() float64 {
	if l.servers < manyServers {
		return 0
	}
	return l.abroad * fullMargin
}

// shareFor returns the share of requests that leave because the own zone refuses requests. A
// request with a higher price of its bytes leaves only at a higher share, so that small answers
// leave first. All leave at a share of 1.
func (l *leaving) shareFor(price float64) float64 {
	weight := price / (price + l.abroad)
	return l.refused*(1+weight) - weight
}

// refusalRate is the feedback loop of one selecting node for one service: the recent share of
// the attempts in the own zone that were refused. It moves in small steps, with a weight by
// time, so that many nodes that decide at once do not swing. Its zero value is ready for use.
type refusalRate struct {
	rate atomicFloat
	at   atomic.Int64 // time of the newest attempt
}

const (
	// refusalPeriod is the time constant of the rate. It is several times the delay after which
	// a request that was sent elsewhere frees a slot in the own zone.
	refusalPeriod = int64(2 * time.Second)
	// refusalMaxWeight bounds the weight of one attempt after a pause.
	refusalMaxWeight = 0.1
	// refusalGain is the share of requests that leaves for each share of attempts refused. A
	// zone with half the servers that it needs settles where one attempt in eight is refused.
	refusalGain = 4.5
	// ordinaryRefusals is the share of refused attempts in a zone that has room: some are refused
	// because load reports are old.
	ordinaryRefusals = 0.02
	// maxRefusedShare keeps some requests in the zone, whose answers show that it has room again.
	maxRefusedShare = 0.95
	// refusalMemory is the age of the newest attempt at which the rate has half its weight.
	refusalMemory = int64(5 * time.Second)
)

// observe records the end of an attempt at a server in the own zone or another one. A refusal in
// another zone lowers the rate more than an attempt that is not refused, because leaving does not
// help when all zones are full.
func (f *refusalRate) observe(t int64, inOwnZone, refused bool) {
	elapsed := max(t-f.at.Load(), 0)
	weight := min(float64(elapsed)/float64(elapsed+refusalPeriod), refusalMaxWeight)
	rate := f.rate.Load()
	sample := 0.0
	switch {
	case refused && inOwnZone:
		sample = 1
	case refused:
		sample = -1
	}
	f.rate.Store(max(rate+weight*(sample-rate), 0))
	f.at.Store(t)
}

// negligibleShare is the share below which no request is sent out.
const negligibleShare = 0.01

// share returns the share of requests to be sent out of the zone.
func (f *refusalRate) share(t int64) float64 {
	rate := f.rate.Load()
	if rate == 0 {
		return 0
	}
	share := refusalGain * max(rate-ordinaryRefusals, 0) * decay(t-f.at.Load(), refusalMemory)
	if share < negligibleShare {
		return 0
	}
	return min(share, maxRefusedShare)
}
