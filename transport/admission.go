package transport

import (
	"errors"
	"sync"
	"time"

	"bramleymill/clock"
)

// expendableAge is the time without a message after which a connection of a peer may be closed
// for another one. Nodes that need each other exchange several messages in that time.
const expendableAge = 5 * time.Second

var errTooManyConnections = errors.New("as many connections as permitted are open and in use")

// accepted is a connection that a peer has opened or is opening.
type accepted struct {
	opened      time.Time
	lastMessage time.Time // when the latest whole message or reply arrived; zero: none so far
	close       func()    // nil during the handshake
}

// admission decides which connections of peers may be open. A peer that is not verified, as on
// a trusted network, could otherwise open connections until the memory is used up.
type admission struct {
	limit int // zero: no limit
	clock clock.Clock

	mu      sync.Mutex
	open    map[*accepted]struct{}
	refused uint64 // connections that were refused, or closed to make room
}

func newAdmission(limit int, k clock.Clock) *admission {
	return &admission{limit: limit, clock: k, open: map[*accepted]struct{}{}}
}

// enter admits a connection before its handshake. If as many connections as permitted are
// open, it closes the most expendable one. It returns an error if there is none.
func (a *admission) enter() (*accepted, error) {
	c := &accepted{opened: a.clock.Now()}
	var victim *accepted
	a.mu.Lock()
	full := a.limit > 0 && len(a.open) >= a.limit
	if full {
		a.refused++
		if victim = mostExpendable(a.open, c.opened); victim != nil {
			delete(a.open, victim)
		}
	}
	admitted := !full || victim != nil
	if admitted {
		a.open[c] = struct{}{}
	}
	a.mu.Unlock()
	if !admitted {
		return nil, errTooManyConnections
	}
	if victim != nil {
		go victim.close() // not from the goroutine that receives the packets
	}
	return c, nil
}

// mostExpendable returns the connection to close for a new one: the oldest without a message,
// otherwise the one that has been without a message for the longest time, if that is
// expendableAge or more.
func mostExpendable(open map[*accepted]struct{}, now time.Time) *accepted {
	var unused, idle *accepted
	for c := range open {
		switch {
		case c.close == nil:
		case c.lastMessage.IsZero():
			if unused == nil || c.opened.Before(unused.opened) {
				unused = c
			}
		case now.Sub(c.lastMessage) >= expendableAge:
			if idle == nil || c.lastMessage.Before(idle.lastMessage) {
				idle = c
			}
		}
	}
	if unused != nil {
		return unused
	}
	return idle
}

// establish records that the handshake is complete. close closes the connection.
func (a *admission) establish(c *accepted, close func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.close = close
}

// receive records that a whole message or reply has arrived on a connection. c is nil for a connection
// that this endpoint has opened.
func (a *admission) receive(c *accepted) {
	if c == nil {
		return
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.lastMessage = now
}

// leave records that a connection has ended.
func (a *admission) leave(c *accepted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}

// refusals returns the number of connections that were refused or closed to make room.
func (a *admission) refusals() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}
