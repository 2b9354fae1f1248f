package member

import (
	"time"

	"bramleymill/fleet"
)

// haste tells whether a message waits for its interval.
type haste uint8

const (
	// soon is for what only adds capacity. When an availability zone returns, each
	// node causes such a change, and a message for each of them to each follower
	// would grow with the square of their number.
	soon haste = iota + 1
	// atOnce is for what stops work, for the configuration and for notices.
	atOnce
)

func (h *haste) raise(to haste) { *h = max(*h, to) }

// due reports whether a message may go out before its interval has passed. gap is
// the least time between hastened messages.
func (h haste) due(last, now time.Time, gap time.Duration) bool {
	switch h {
	case atOnce:
		return now.Sub(last) >= gap
	case soon:
		return now.Sub(last) >= soonGap
	}
	return false
}

func hasteOf(s fleet.Server, lost bool) haste {
	if lost || s.State == fleet.Draining || s.State == fleet.Down || s.State == fleet.Left {
		return atOnce
	}
	return soon
}

// serverChanged reports a change in the own subtree to everyone concerned.
func (k *core) serverChanged(e *entry, change string) {
	k.stateChanged(e.server, change)
	k.spread(e)
	k.changed(hasteOf(e.server, e.lost))
}

func (k *core) stateChanged(s fleet.Server, change string) {
	k.events = append(k.events, stateEvent{s, change})
}

// spread notifies the children that follow the service of a server.
func (k *core) spread(e *entry) {
	h := hasteOf(e.server, e.lost)
	k.spreadService(e.server.Service, h)
	if e.former != "" {
		k.spreadService(e.former, h)
	}
}

func (k *core) spreadService(service string, h haste) {
	for _, c := range k.children {
		if c.follows[service] {
			c.haste.raise(h)
		}
	}
}

func (k *core) notifyAll() {
	for _, c := range k.children {
		c.haste.raise(atOnce)
	}
}
