package admit

import (
	"time"

	"bramleymill/fleet"
)

// Config holds the limits of one backend server. A field that is zero takes its default
// unless its comment says otherwise.
type Config struct {
	Slots            int           // requests that may run at the same time; at least 1
	Connections      int           // connections to the server, which also bound Slots; zero: no bound
	SpareConnections int           // connections kept for liveness checks and probes; negative: none
	QueueLength      int           // requests that may wait; OnlyServer requests may exceed it; zero: none
	Reserved         int           // slots for privileged requests; default: a fifth, at least 1
	DelayTarget      time.Duration // queue delay that is exceeded during overload
	DelayInterval    time.Duration // time above DelayTarget after which a server is overloaded
	InternalWait     time.Duration // longest wait of an internal request; up to twice as long if its deadline is early
	EstimateHalfLife time.Duration // age at which a service-time estimate is halved
	// UtilizationLimit is the share of Slots that may be in use. It is set below 1 for servers
	// that become slow when nearly all of their slots are in use. Zero: all slots may be used.
	UtilizationLimit float64
	// Weight returns the share of a customer relative to the others, for example its permitted
	// rate. Nil: all customers have the same share.
	Weight func(customer string) float64
	// NoReserve is set when no slots are reserved for privileged requests.
	NoReserve bool
}

// Defaults of Config.
const (
	DefaultSpareConnections = 2
	DefaultReservedShare    = 5 // divisor of Slots: one slot in five is reserved
	DefaultDelayTarget      = 10 * time.Millisecond
	DefaultDelayInterval    = 100 * time.Millisecond
	DefaultEstimateHalfLife = time.Second

	// DefaultInternalWait bounds how long an internal request waits. Its caller holds a slot
	// of another backend server during that time. Without the bound, requests that wait for
	// each other in a cycle would hold their slots until their deadlines.
	DefaultInternalWait = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.UtilizationLimit > 0 {
		c.Slots = max(1, int(c.UtilizationLimit*float64(c.Slots)))
	}
	if c.SpareConnections == 0 {
		c.SpareConnections = DefaultSpareConnections
	}
	if c.Connections > 0 {
		c.Slots = max(1, min(c.Slots, c.Connections-max(c.SpareConnections, 0)))
	}
	if c.Reserved <= 0 {
		c.Reserved = max(1, c.Slots/DefaultReservedShare)
	}
	c.Reserved = min(c.Reserved, c.Slots-1)
	if c.NoReserve {
		c.Reserved = 0
	}
	c.QueueLength = max(c.QueueLength, 0)
	setDefault(&c.DelayTarget, DefaultDelayTarget)
	setDefault(&c.DelayInterval, DefaultDelayInterval)
	setDefault(&c.InternalWait, DefaultInternalWait)
	setDefault(&c.EstimateHalfLife, DefaultEstimateHalfLife)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// Request holds the attributes of a request on which its admission depends.
type Request struct {
	Urgency  fleet.Urgency
	Internal bool // verified to come from a backend server of the deployment
	Deadline time.Time
	Class    string
	Customer string // customer for which the request runs; empty: none
	// Reroutable is set when the selecting node can send the request to another server
	// after a refusal, as retry.Policy.CanReroute reports for idempotent classes. Such a
	// request is refused when it would have to wait long.
	Reroutable bool
	// OnlyServer is set when no other backend server of the service accepts work. A
	// refusal would then fail the request, so it waits as long as it can meet its deadline.
	OnlyServer bool
	// Target is the latency target as a point in time: the caller wants the answer by then.
	// A request that is not likely to meet it is refused immediately. A queued request that
	// can no longer meet it starts after those that can. Zero: there is no target, only the
	// Deadline.
	Target time.Time
	Hedge  bool // second attempt of a request that already runs on another server; never queued

	// Transfer is the expected time that the link of the machine takes for the answer, and
	// LinkWait the time after which the link can begin with it. Zero: the answer is small, or
	// is not sent on the link.
	Transfer time.Duration
	LinkWait time.Duration
	// OtherZone is set when the request entered the fleet in another zone. It is queued behind
	// the requests of the own zone that are as urgent.
	OtherZone bool
	// Uploading is set when the body has not been received completely. BodyReceived ends that.
	Uploading bool
}

// privileged reports whether r may use the reserved slots.
func (r Request) privileged() bool {
	return r.Internal && r.Urgency == fleet.UrgencyCritical
}

// rank returns the urgency by which r is queued. Only internal requests rank as critical.
func (r Request) rank() fleet.Urgency {
	if r.Urgency >= fleet.UrgencyCritical && !r.Internal {
		return fleet.UrgencyHigh
	}
	return r.Urgency
}
