package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// DoorConfig configures one listener.
type DoorConfig struct {
	Name               string
	Connections        int // zero: no limit
	AddressConnections int // connections from one address; zero: no limit
	HeadLines          int
	BodyTime           time.Duration // longest time without a byte of a body that is being read
	AnswerTime         time.Duration // longest time without a byte of an answer that is being sent
	// Limits returns the limits that are in force now.
	Limits func() Limits
	// RefusalKind is the value of RefusalHeader in refusals for lack of memory or connections.
	RefusalKind string
	// Opaque states that the bytes of the connections are encrypted. Their heads are then not
	// followed, and the HTTP server must limit the times.
	Opaque bool
}

// Limits are limits that may change while a door is open.
type Limits struct {
	HeadBytes     int64
	HeadTime      time.Duration // from the first byte of a head to its end
	IdleTime      time.Duration // without a byte of a head
	FirstByteTime time.Duration // until the first byte of a new connection; zero: IdleTime
}

func (l Limits) firstByteTime() time.Duration {
	if l.FirstByteTime > 0 {
		return l.FirstByteTime
	}
	return l.IdleTime
}

// maxEmptyLines is the number of empty lines that are read before a request. The HTTP server
// refuses a request after the first one; the rest of a pipelined request may look like some.
const maxEmptyLines = 4096

// Door is one listener. It is a net.Listener.
type Door struct {
	net.Listener
	guard  *Guard
	config DoorConfig

	mu        sync.Mutex
	open      int
	byAddress map[string]int
}

// Door returns a door in front of a listener.
func (g *Guard) Door(l net.Listener, config DoorConfig) *Door {
	return &Door{Listener: l, guard: g, config: config, byAddress: map[string]int{}}
}

// Accept waits for the next connection that the bounds permit. If the door has no room, it
// closes a connection that has waited for its request the longest, and otherwise the new one.
func (d *Door) Accept() (net.Conn, error) {
	for {
		raw, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := addressOf(raw)
		bound := d.enter(address)
		if bound != "" && d.evictWaiting(address, bound) {
			bound = d.enter(address)
		}
		if bound == "" {
			return newConn(d.guard.sockets.Wrap(raw), d, address), nil
		}
		d.guard.report(bound, d, address)
		if !d.config.Opaque {
			_ = raw.SetWriteDeadline(time.Now().Add(refusalTime))
			_, _ = raw.Write(d.refusal(http.StatusServiceUnavailable)) // the client may have disconnected
		}
		_ = raw.Close()
	}
}

func addressOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

func (d *Door) enter(address string) Bound {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Connections > 0 && d.open >= d.config.Connections {
		return Connections
	}
	if d.config.AddressConnections > 0 && d.byAddress[address] >= d.config.AddressConnections {
		return AddressConnections
	}
	d.open++
	d.byAddress[address]++
	return ""
}

func (d *Door) leave(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	if d.byAddress[address]--; d.byAddress[address] == 0 {
		delete(d.byAddress, address)
	}
}

// evictWaiting closes a connection of the door that has no request, so that a new connection of
// the address stays within the bound. It prefers connections that have had no request at all,
// then those of the address with the most connections, then those that have waited the longest.
// A connection that has had requests is closed only for an address with fewer connections.
func (d *Door) evictWaiting(address string, bound Bound) bool {
	d.mu.Lock()
	count := make(map[string]int, len(d.byAddress))
	for a, n := range d.byAddress {
		count[a] = n
	}
	d.mu.Unlock()
	var victim *Conn
	d.guard.mu.Lock()
	for c := range d.guard.conns {
		if c.door != d || !c.withoutRequest() || c.used.Load() && count[c.address] <= count[address] {
			continue
		}
		if bound == AddressConnections && c.address != address {
			continue
		}
		if victim == nil || d.before(c, victim, count) {
			victim = c
		}
	}
	d.guard.mu.Unlock()
	return victim != nil && victim.evict(bound, victim.withoutRequest)
}

// before reports whether a is closed before b.
func (d *Door) before(a, b *Conn, count map[string]int) bool {
	if used := a.used.Load(); used != b.used.Load() {
		return !used
	}
	if x, y := count[a.address], count[b.address]; x != y {
		return x > y
	}
	return a.since.Load() < b.since.Load()
}

type connKey struct{}

// ConnContext stores a connection of a door in its context. It is the ConnContext of the HTTP
// server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g := guarded(c); g != nil {
		ctx, cancel := context.WithCancel(ctx)
		g.mu.Lock()
		g.cancel = cancel
		g.mu.Unlock()
		return context.WithValue(ctx, connKey{}, g)
	}
	return ctx
}

// guarded returns the connection of a door, also below TLS.
func guarded(c net.Conn) *Conn {
	if g, ok := c.(*Conn); ok {
		return g
	}
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		g, _ := t.NetConn().(*Conn)
		return g
	}
	return nil
}

// FromContext returns the connection of a request, or nil. The methods of a nil Conn that a
// request uses have no bounds.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState follows the state of the connections. It is the ConnState of the HTTP server.
func ConnState(c net.Conn, s http.ConnState) {
	if g := guarded(c); g != nil && s == http.StateIdle {
		g.await()
	}
}

// Handler returns a handler that draws on the budget for each request that next serves.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			Refuse(w, r)
			c.end()
			return
		}
		completed := false
		defer func() {
			if !completed && !r.ProtoAtLeast(1, 1) {
				c.reset()
			}
			c.end()
		}()
		next.ServeHTTP(w, r)
		completed = true
	})
}
