package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/keys"
)

const (
	// A control message is a few hundred bytes and a snapshot chunk at most
	// 1 MiB. Small windows bound what one peer can make the node hold.
	initialStreamWindow     = 16 << 10
	maxStreamWindow         = 256 << 10
	initialConnectionWindow = 32 << 10
	maxConnectionWindow     = 512 << 10
	maxIncomingStreams      = 64
	// A peer gets the right to open further streams in batches. One at a time
	// costs two packets for each message.
	streamCreditBatch = 16

	handshakeTimeout = 2 * time.Second
	// Heartbeats keep the connections of the tree open. Others close after this.
	idleTimeout = 30 * time.Second

	// Bounds a handler whose sender gave no deadline, and the reading of a
	// request from a sender that stopped half-way.
	defaultDeadline = 10 * time.Second

	closeLinger = 100 * time.Millisecond

	closeCodeNormal  quic.ApplicationErrorCode = 0
	closeCodeRefused quic.ApplicationErrorCode = 1
	closeCodeUnresponsive  quic.ApplicationErrorCode = 2

	streamCodeCancelled quic.StreamErrorCode = 1
	streamCodeTooLarge  quic.StreamErrorCode = 2
	streamCodeMalformed quic.StreamErrorCode = 3
)

// ErrClosed is returned after Close.
var ErrClosed = errors.New("endpoint closed")

// Config configures an Endpoint. Clock and Logger may be nil.
type Config struct {
	Address string // UDP address to listen on
	Keys    *keys.Store
	Clock   clock.Clock
	Logger  *slog.Logger
}

// Stats are counters of an Endpoint since its start.
type Stats struct {
	Connections   int    // open now
	Calls         uint64 // sent
	CallsFailed   uint64 // without a reply
	Served        uint64
	Dials         uint64
	DialsFailed   uint64
	BytesSent     uint64 // of messages, without the overhead of QUIC
	BytesReceived uint64
}

// Endpoint sends and serves control messages over QUIC on one UDP socket. A
// connection is used in both directions, whichever side opened it.
type Endpoint struct {
	mux       *Mux
	keys      *keys.Store
	clock     clock.Clock
	logger    *slog.Logger
	transport *quic.Transport
	listener  *quic.Listener
	config    *quic.Config
	clientTLS *tls.Config
	address   string
	stats     counters
	serveStarted   chan struct{} // closed by Serve
	serveOnce sync.Once

	mu       sync.Mutex
	links    map[string]*link
	backoffs map[string]*backoff
	closed   bool
	activeHandlers   sync.WaitGroup // handlers that run
	cancel   context.CancelFunc
	baseCtx     context.Context
}

type counters struct {
	calls, failed, served, dials, dialsFailed, sent, received atomic.Uint64
}

var _ Client = (*Endpoint)(nil)

// NewEndpoint binds the address. Call works at once; Serve runs the handlers of m.
func NewEndpoint(m *Mux, c Config) (*Endpoint, error) {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	t, err := openTransport(c)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		mux:       m,
		keys:      c.Keys,
		clock:     c.Clock,
		logger:    c.Logger,
		transport: t,
		config:    quicConfig(),
		clientTLS: c.Keys.QUICClient(),
		address:   t.Conn.LocalAddr().String(),
		serveStarted:   make(chan struct{}),
		links:     map[string]*link{},
		backoffs:  map[string]*backoff{},
	}
	e.listener, err = t.Listen(c.Keys.QUICServer(), e.config)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for control messages: %w", err), t.Close(), t.Conn.Close())
	}
	e.baseCtx, e.cancel = context.WithCancel(context.Background())
	go e.acceptLoop()
	return e, nil
}

func openTransport(c Config) (*quic.Transport, error) {
	a, err := net.ResolveUDPAddr("udp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for control messages: %w", err)
	}
	// A peer drops its connection to an earlier life of this process as soon as
	// it receives a stateless reset, which needs the same key in both lives.
	reset, err := c.Keys.Secret("stateless reset")
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("listen for control messages: %w", err)
	}
	key := quic.StatelessResetKey(reset)
	return &quic.Transport{Conn: conn, StatelessResetKey: &key}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		RequireStreamCreditRelease:     true,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Stats returns the counters.
func (e *Endpoint) Stats() Stats {
	e.mu.Lock()
	open := len(e.links)
	e.mu.Unlock()
	return Stats{
		Connections:   open,
		Calls:         e.stats.calls.Load(),
		CallsFailed:   e.stats.failed.Load(),
		Served:        e.stats.served.Load(),
		Dials:         e.stats.dials.Load(),
		DialsFailed:   e.stats.dialsFailed.Load(),
		BytesSent:     e.stats.sent.Load(),
		BytesReceived: e.stats.received.Load(),
	}
}

// Serve runs handlers until ctx ends. Every handler must be registered before.
func (e *Endpoint) Serve(ctx context.Context) error {
	e.serveOnce.Do(func() { close(e.serveStarted) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.baseCtx.Done():
		return ErrClosed
	}
}

// Close refuses new messages, waits for running handlers until ctx ends and
// closes the connections.
func (e *Endpoint) Close(ctx context.Context) error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil
	}
	e.closed = true
	e.mu.Unlock()
	err := e.waitHandlers(ctx)
	links := e.openLinks()
	if len(links) > 0 {
		linger(ctx)
	}
	e.cancel()
	for _, l := range links {
		_ = l.conn.CloseWithError(closeCodeNormal, "shutdown")
	}
	return errors.Join(err, e.listener.Close(), e.transport.Close(), e.transport.Conn.Close())
}

// linger gives the last replies time to reach the peers: closing a connection
// discards what is still to be sent, and QUIC does not tell when that is done.
func linger(ctx context.Context) {
	t := time.NewTimer(closeLinger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (e *Endpoint) waitHandlers(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.activeHandlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("handlers of control messages still run: %w", ctx.Err())
	}
}

func (e *Endpoint) openLinks() []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*link
	for _, l := range e.links {
		out = append(out, l)
	}
	return out
}

// beginHandler counts a handler unless the endpoint is closed.
func (e *Endpoint) beginHandler() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.activeHandlers.Add(1)
	return true
}

func (e *Endpoint) selfPeer() Peer {
	name, role := e.keys.Self()
	return Peer{Node: fleet.NodeID(name), Role: role, Address: e.address}
}
