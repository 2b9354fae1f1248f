package member

import (
	"time"

	"bramleymill/fleet"
)

// urgency states whether a message may be sent before its regular interval has
// passed. Zero means that it waits for the interval.
type urgency uint8

const (
	// soon is for changes that only add capacity. When an availability zone
	// returns, each of its nodes causes such a change. If each change were sent
	// separately to each subscriber, the number of messages would grow with the
	// square of the number of nodes.
	soon urgency = iota + 1
	// immediate is for changes that take capacity away, for the configuration and
	// for broadcasts.
	immediate
)

func (u *urgency) raise(to urgency) { *u = max(*u, to) }

// due reports whether a message may be sent before its interval has passed. gap is
// the minimum time between immediate messages.
func (u urgency) due(last, now time.Time, gap time.Duration) bool {
	switch u {
	case immediate:
		return now.Sub(last) >= gap
	case soon:
		return now.Sub(last) >= soonGap
	}
	return false
}

func urgencyOf(s fleet.Server, lost bool) urgency {
	if lost || s.State == fleet.Draining || s.State == fleet.Down || s.State == fleet.Left {
		return immediate
	}
	return soon
}

// serverChanged schedules messages about a changed server among the nodes below this
// member: to the children that subscribe to its service, and to the parent or, on a
// control instance, to the other control instances.
func (k *core) serverChanged(e *entry, change string) {
	k.addStateEvent(e.server, change)
	k.notifySubscribers(e)
	k.raiseUpdateUrgency(urgencyOf(e.server, e.lost))
}

func (k *core) addStateEvent(s fleet.Server, change string) {
	k.events = append(k.events, stateEvent{s, change})
}

// notifySubscribers schedules notifications to the children that subscribe to the
// present or former service of a server.
func (k *core) notifySubscribers(e *entry) {
	u := urgencyOf(e.server, e.lost)
	k.notifyServiceSubscribers(e.server.Service, u)
	if e.formerService != "" {
		k.notifyServiceSubscribers(e.formerService, u)
	}
}

func (k *core) notifyServiceSubscribers(service string, u urgency) {
	for _, c := range k.children {
		if c.subscriptions[service] {
			c.urgency.raise(u)
		}
	}
}

func (k *core) notifyAllChildren() {
	for _, c := range k.children {
		c.urgency.raise(immediate)
	}
}
