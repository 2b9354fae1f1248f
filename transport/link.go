package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/keys"
)

const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	maxBackoffs    = 1024 // number of entries at which expired ones are removed
)

// link is an open connection to a peer.
type link struct {
	conn              *quic.Conn
	peer              Peer
	keyGeneration     uint64        // generation of the keys of this endpoint before the handshake
	checkedGeneration atomic.Uint64 // generation of the keys against which the peer was last checked
	accepted          *accepted     // nil: this endpoint has opened the connection

	mu            sync.Mutex
	servedStreams []*quic.Stream // served streams whose credit was not returned to the peer yet
}

// releaseStream records that s was served. It returns the credit of served streams to the
// peer in batches of streamCreditBatch, so that the peer can open further streams.
func (l *link) releaseStream(s *quic.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servedStreams = append(l.servedStreams, s)
	if len(l.servedStreams) < streamCreditBatch {
		return
	}
	for _, s := range l.servedStreams {
		s.ReleaseStreamCredit()
	}
	clear(l.servedStreams)
	l.servedStreams = l.servedStreams[:0]
}

// backoff delays the next dial of an address that could not be reached. While one
// caller dials, dialing is not nil and other callers wait until it is closed.
type backoff struct {
	until   time.Time     // the address is not dialled before this time
	delay   time.Duration // latest delay; it doubles with each failure up to maxDialBackoff
	err     error         // error of the latest dial
	dialing chan struct{} // closed when the dial that is in progress ends; nil: there is none
}

func (e *Endpoint) acceptLoop() {
	for {
		c, err := e.listener.Accept(e.baseCtx)
		if err != nil {
			return
		}
		h, _ := c.Context().Value(handshakeKey{}).(handshake)
		if _, err := e.addConnection(c, c.RemoteAddr().String(), h); err != nil {
			e.logger.Debug("connection refused", "remote", c.RemoteAddr(), "error", err)
		}
	}
}

// handshake is what was known about a connection before its handshake.
type handshake struct {
	keyGeneration uint64    // of the keys of this endpoint
	accepted      *accepted // nil: this endpoint opens the connection
}

// handshakeKey is the context key for the handshake of an accepted connection.
type handshakeKey struct{}

// acceptContext admits a connection of a peer and stores the generation of the keys before its
// handshake reads them. An error refuses the connection.
func (e *Endpoint) acceptContext(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	a, err := e.admission.enter()
	if err != nil {
		e.logBound("connection refused", info.RemoteAddr, err)
		return nil, err
	}
	context.AfterFunc(ctx, func() { e.admission.leave(a) })
	return context.WithValue(ctx, handshakeKey{}, handshake{keyGeneration: e.keys.CachedGeneration(), accepted: a}), nil
}

// boundLogInterval is the time between two log lines about a bound that peers have reached.
const boundLogInterval = 10 * time.Second

// logBound logs that a peer has reached a bound, at most once in boundLogInterval.
func (e *Endpoint) logBound(event string, remote net.Addr, err error) {
	now := e.clock.Now().UnixNano()
	last := e.boundLogged.Load()
	if last != 0 && now-last < int64(boundLogInterval) || !e.boundLogged.CompareAndSwap(last, now) {
		return
	}
	s := e.Stats()
	e.logger.Warn(event, "remote", remote, "error", err, "refused", s.Refused, "evicted", s.Evicted, "memory_used", s.MemoryUsed, "memory_limit", e.memory.budget.Limit())
}

// addConnection adds a connection to the pool and serves its streams. It replaces an
// earlier connection to the same address, which stays open until it is idle. A reload of the
// keys during the handshake must not make the connection count as one with the new keys.
func (e *Endpoint) addConnection(c *quic.Conn, address string, h handshake) (*link, error) {
	name, role, err := keys.PeerOf(c.ConnectionState().TLS)
	if err != nil {
		_ = c.CloseWithError(closeCodeRefused, "refused")
		return nil, err
	}
	l := &link{conn: c, peer: Peer{Node: name, Role: role, Address: address}, keyGeneration: h.keyGeneration, accepted: h.accepted}
	l.checkedGeneration.Store(l.keyGeneration)
	e.memory.track(c)
	context.AfterFunc(c.Context(), func() { e.memory.untrack(c) })
	if l.accepted != nil {
		e.admission.establish(l.accepted, func() { _ = c.CloseWithError(closeCodeOverloaded, "too many connections") })
	}
	e.mu.Lock()
	closed := e.closed
	if !closed {
		e.links[address] = l
		delete(e.backoffs, address)
	}
	e.mu.Unlock()
	if closed {
		_ = c.CloseWithError(closeCodeNormal, "shutdown")
		return nil, ErrClosed
	}
	go e.serveLink(l)
	return l, nil
}

func (e *Endpoint) serveLink(l *link) {
	defer e.removeLink(l)
	select {
	case <-e.serveStarted:
	case <-l.conn.Context().Done():
		return
	}
	for {
		s, err := l.conn.AcceptStream(e.baseCtx)
		if err != nil {
			return
		}
		if !e.peerStillTrusted(l) {
			return
		}
		go e.serveStream(l, s)
	}
}

// peerStillTrusted checks the certificate of the peer again if the key files of this
// endpoint have changed since the last check. The removal of an authority therefore also
// closes the connections of peers with certificates of that authority.
func (e *Endpoint) peerStillTrusted(l *link) bool {
	g := e.keys.Generation()
	if g == l.checkedGeneration.Load() {
		return true
	}
	if err := e.keys.Recheck(l.conn.ConnectionState().TLS); err != nil {
		_ = l.conn.CloseWithError(closeCodeRefused, "refused")
		return false
	}
	l.checkedGeneration.Store(g)
	return true
}

func (e *Endpoint) removeLink(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.peer.Address] == l {
		delete(e.links, l.peer.Address)
	}
}

// closeUnresponsive closes a connection on which the peer no longer answers.
func (e *Endpoint) closeUnresponsive(l *link) {
	e.removeLink(l)
	_ = l.conn.CloseWithError(closeCodeUnresponsive, "no answer")
}

// link returns the open connection to an address. If there is none, it dials one.
func (e *Endpoint) link(ctx context.Context, address string) (*link, error) {
	for {
		l, pendingDial, err := e.linkOrPendingDial(address)
		if l != nil || err != nil {
			return l, err
		}
		if pendingDial == nil {
			return e.dial(ctx, address)
		}
		select {
		case <-pendingDial:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// linkOrPendingDial returns the open connection to an address, or else the channel
// that is closed when the dial of another caller ends. If it returns neither, the
// caller has to dial. It returns an error during the back-off and after Close.
func (e *Endpoint) linkOrPendingDial(address string) (*link, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, nil, ErrClosed
	}
	if l := e.links[address]; l != nil && l.conn.Context().Err() == nil {
		return l, nil, nil
	}
	b := e.backoffs[address]
	if b == nil {
		e.removeExpiredBackoffs()
		b = &backoff{}
		e.backoffs[address] = b
	}
	if b.dialing != nil {
		return nil, b.dialing, nil
	}
	if e.clock.Now().Before(b.until) {
		return nil, nil, fmt.Errorf("dial postponed after a failed attempt: %w", b.err)
	}
	b.dialing = make(chan struct{})
	return nil, nil, nil
}

func (e *Endpoint) removeExpiredBackoffs() {
	now := e.clock.Now()
	if len(e.backoffs) < maxBackoffs {
		return
	}
	for a, b := range e.backoffs {
		if b.dialing == nil && now.After(b.until) {
			delete(e.backoffs, a)
		}
	}
}

func (e *Endpoint) dial(ctx context.Context, address string) (*link, error) {
	e.stats.dials.Add(1)
	l, err := e.dialOnce(ctx, address)
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.backoffs[address]
	if b != nil && b.dialing != nil {
		close(b.dialing)
		b.dialing = nil
	}
	if err == nil {
		delete(e.backoffs, address)
		return l, nil
	}
	e.stats.dialsFailed.Add(1)
	// A call that was cancelled does not show that the address is unreachable.
	if b != nil && !errors.Is(ctx.Err(), context.Canceled) {
		b.delay = min(max(2*b.delay, minDialBackoff), maxDialBackoff)
		b.until, b.err = e.clock.Now().Add(b.delay), err
	}
	return nil, err
}

func (e *Endpoint) dialOnce(ctx context.Context, address string) (*link, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	generation := e.keys.Generation()
	c, err := e.transport.Dial(ctx, a, e.clientTLS, e.config)
	if err != nil {
		return nil, err
	}
	return e.addConnection(c, address, handshake{keyGeneration: generation})
}
