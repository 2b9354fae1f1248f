package member

import (
	"time"

	"bramleymill/fleet"
)

// urgency tells whether a message waits for its interval.
type urgency uint8

const (
	// soon is for what only adds capacity. When an availability zone returns, each
	// node causes such a change, and a message for each of them to each follower
	// would grow with the square of their number.
	soon urgency = iota + 1
	// immediate is for what stops work, for the configuration and for notices.
	immediate
)

func (u *urgency) raise(to urgency) { *u = max(*u, to) }

// due reports whether a message may go out before its interval has passed. gap is
// the least time between urgent messages.
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

// serverChanged reports a change in the own subtree to everyone concerned.
func (k *core) serverChanged(e *entry, change string) {
	k.addStateEvent(e.server, change)
	k.notifySubscribers(e)
	k.raiseUpdateUrgency(urgencyOf(e.server, e.lost))
}

func (k *core) addStateEvent(s fleet.Server, change string) {
	k.events = append(k.events, stateEvent{s, change})
}

// notifySubscribers notifies the children that follow the service of a server.
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
