package admit

import (
	"time"

	"bramleymill/fleet"
)

// Config holds the limits of one backend server. The zero value of an optional
// field selects its default.
type Config struct {
	Slots            int           // requests that run at the same time
	Connections      int           // connections to the backend server; zero: no limit of its own
	SpareConnections int           // connections that carry no requests, for liveness and probes; negative: none
	QueueLength      int           // requests that wait; zero: none; for OnlyServer requests times soleQueueFactor
	Reserved         int           // slots for privileged requests; default a fifth, at least 1
	DelayTarget      time.Duration // queue delay that is acceptable for longer than DelayInterval
	DelayInterval    time.Duration
	InternalWait     time.Duration // longest wait of an internal request; up to twice that for early deadlines
	EstimateHalfLife time.Duration // age at which a service-time estimate counts half
	// UtilizationLimit is the share of the slots that is used, for servers that become slow
	// when they are nearly full. Zero: all.
	UtilizationLimit float64
	// NoReserve keeps no slots for privileged requests.
	NoReserve bool
}

// Defaults of Config.
const (
	DefaultSpareConnections = 2
	DefaultReservedShare    = 5 // one slot in five
	DefaultDelayTarget      = 10 * time.Millisecond
	DefaultDelayInterval    = 100 * time.Millisecond
	DefaultEstimateHalfLife = time.Second

	// DefaultInternalWait bounds how long a request waits while its caller
	// holds a slot of another backend server. Requests that wait for each
	// other in a circle would otherwise hold their slots until the deadline.
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

// Request is what admission needs to know of a request.
type Request struct {
	Urgency  fleet.Urgency
	Internal bool // proved internal
	Deadline time.Time
	Class    string
	// Reroutable is set when the selecting node can send the request elsewhere
	// after a refusal, as told by retry.Policy.CanReroute for idempotent classes.
	// Such a request is refused rather than made to wait long.
	Reroutable bool
	// OnlyServer is set when no other backend server accepts work of the service. Such
	// a request waits while it can meet its deadline: a refusal would end it.
	OnlyServer bool
	// Target is the time by which the answer is worth waiting for. A request that
	// cannot meet it is refused at once, and in the queue it comes after those that
	// can. Zero: only Deadline counts.
	Target time.Time
	Hedge  bool // second attempt of a request that is running elsewhere; never queued
}

// privileged reports whether r may use the reserved slots.
func (r Request) privileged() bool {
	return r.Internal && r.Urgency == fleet.UrgencyCritical
}

// rank orders the queue. Only proved internal requests rank as critical.
func (r Request) rank() fleet.Urgency {
	if r.Urgency >= fleet.UrgencyCritical && !r.Internal {
		return fleet.UrgencyHigh
	}
	return r.Urgency
}
