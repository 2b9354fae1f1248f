package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math"
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
	// A control message has a few hundred bytes and a snapshot chunk at most 1 MiB.
	// Small flow-control windows limit the memory that one peer can make the node
	// allocate.
	initialStreamWindow     = 16 << 10
	maxStreamWindow         = 256 << 10
	initialConnectionWindow = 32 << 10
	maxConnectionWindow     = 512 << 10
	maxIncomingStreams      = 64 // streams, one for each message, that a peer may have open on a connection
	// A peer is granted credit for further streams in batches of this size. Granting
	// it for one stream at a time costs two packets for each message.
	streamCreditBatch = 16

	handshakeTimeout = 2 * time.Second
	// Heartbeats keep the connections of the membership tree open. Other connections
	// close when they have been idle for this time.
	idleTimeout = 30 * time.Second

	// defaultDeadline limits the run of a handler if the request states no deadline, and
	// the time for reading a request and for writing a reply, because the peer may stop in
	// the middle of either.
	defaultDeadline = 10 * time.Second

	closeLinger = 100 * time.Millisecond // time for the last replies to reach the peers

	closeCodeNormal       quic.ApplicationErrorCode = 0
	closeCodeRefused      quic.ApplicationErrorCode = 1
	closeCodeUnresponsive quic.ApplicationErrorCode = 2
	closeCodeOverloaded   quic.ApplicationErrorCode = 3

	streamCodeCancelled quic.StreamErrorCode = 1
	streamCodeTooLarge  quic.StreamErrorCode = 2
	streamCodeMalformed quic.StreamErrorCode = 3
	// streamCodeNoMemory states that a message was given up before it was handled.
	streamCodeNoMemory quic.StreamErrorCode = 4

	// receiveBuffer is the size of the receive buffer of the socket, of which the kernel may
	// hold twice as much. The library would set several MiB, which count as memory of the
	// machine while the process does not read them.
	receiveBuffer = 1 << 20
)

// ErrClosed is returned by calls on an Endpoint that has been closed.
var ErrClosed = errors.New("endpoint closed")

// Config configures an Endpoint. Clock and Logger may be nil.
type Config struct {
	Address string // UDP address to listen on
	Keys    *keys.Store
	Clock   clock.Clock
	Logger  *slog.Logger
	// MaxConnections is the largest number of connections that peers may have open; zero: no limit.
	MaxConnections int
	// Memory is the number of bytes that messages of peers, replies to them and their receive
	// windows may take; zero: no limit.
	Memory int64
}

// Stats holds the counters of an Endpoint since it was created.
type Stats struct {
	Connections   int    // currently open
	Calls         uint64 // messages that were passed to Call
	CallsFailed   uint64 // calls that received no reply
	Served        uint64 // messages of peers that were passed to a handler
	Dials         uint64 // attempts to open a connection
	DialsFailed   uint64
	BytesSent     uint64 // bytes of messages, without the overhead of QUIC
	BytesReceived uint64 // bytes of messages, without the overhead of QUIC
	Refused       uint64 // connections of peers that were refused or closed because of MaxConnections
	Evicted       uint64 // messages that were given up because of Memory
	MemoryUsed    int64  // bytes of Memory
}

// Endpoint sends and serves control messages over QUIC on one UDP socket. Both
// sides send messages on a connection, whichever side opened it.
type Endpoint struct {
	mux          *Mux
	keys         *keys.Store
	clock        clock.Clock
	logger       *slog.Logger
	transport    *quic.Transport
	listener     *quic.Listener
	config       *quic.Config
	clientTLS    *tls.Config
	address      string
	stats        counters
	serveStarted chan struct{} // closed by Serve
	serveOnce    sync.Once

	mu             sync.Mutex
	links          map[string]*link
	backoffs       map[string]*backoff
	closed         bool
	activeHandlers sync.WaitGroup
	cancel         context.CancelFunc
	baseCtx        context.Context

	admission   *admission
	memory      *messageMemory
	boundLogged atomic.Int64 // time of the last line of logBound in Unix nanoseconds
}

type counters struct {
	calls, failed, served, dials, dialsFailed, bytesSent, bytesReceived atomic.Uint64
}

var _ Client = (*Endpoint)(nil)

// NewEndpoint binds the address of c. Messages can be sent immediately. Messages of
// peers are handled by m once Serve is called.
func NewEndpoint(m *Mux, c Config) (*Endpoint, error) {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Memory == 0 {
		c.Memory = math.MaxInt64 / 2
	}
	t, err := openTransport(c)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		mux:          m,
		keys:         c.Keys,
		clock:        c.Clock,
		logger:       c.Logger,
		transport:    t,
		admission:    newAdmission(c.MaxConnections, c.Clock),
		memory:       newMessageMemory(c.Memory, c.Clock),
		clientTLS:    c.Keys.QUICClient(),
		address:      t.Conn.LocalAddr().String(),
		serveStarted: make(chan struct{}),
		links:        map[string]*link{},
		backoffs:     map[string]*backoff{},
	}
	e.config = quicConfig(e.memory)
	t.ConnContext = e.acceptContext
	e.listener, err = t.Listen(c.Keys.QUICServer(), e.config)
	if err == nil {
		err = t.Conn.(*net.UDPConn).SetReadBuffer(receiveBuffer) // after the library has set its own size
	}
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
	// After a restart of this process, stateless resets make its peers close their
	// connections to the previous process. The peers recognize a reset only if its key
	// is the same as before the restart.
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

func quicConfig(memory *messageMemory) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		AllowConnectionWindowIncrease:  memory.growWindow,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		RequireStreamCreditRelease:     true,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the UDP address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Stats returns the current values of the counters.
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
		BytesSent:     e.stats.bytesSent.Load(),
		BytesReceived: e.stats.bytesReceived.Load(),
		Refused:       e.admission.refusals(),
		Evicted:       e.memory.evictions(),
		MemoryUsed:    e.memory.budget.Used(),
	}
}

// Serve lets the endpoint handle the messages of peers and waits until ctx ends or
// the endpoint is closed. Every handler must have been registered. Messages continue
// to be handled after ctx has ended, until Close.
func (e *Endpoint) Serve(ctx context.Context) error {
	e.serveOnce.Do(func() { close(e.serveStarted) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.baseCtx.Done():
		return ErrClosed
	}
}

// Close refuses new messages, waits until the running handlers have returned or ctx
// ends, and then closes the connections and the socket.
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

// linger waits closeLinger, so that the last replies can reach the peers. Closing a
// connection discards unsent data, and QUIC does not report when all data was sent.
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
		return fmt.Errorf("handlers of control messages are still running: %w", ctx.Err())
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

// beginHandler counts a handler in activeHandlers and returns true, or returns false
// if the endpoint is closed.
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
