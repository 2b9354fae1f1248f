package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/guard"
)

// Limits of the connections to other nodes.
const (
	dialTimeout = time.Second
	// idleConnTimeout is well below the 90 s after which a node closes an idle
	// connection. A request that is sent while the node closes the connection would
	// have an unknown outcome.
	idleConnTimeout = 45 * time.Second
	maxIdlePerPeer  = 64
	maxSendAttempts = 3 // limit for sending one request, if idle connections turn out to be closed
	// expectTimeout is far longer than any deadline, so that between nodes the body of a
	// streamed request is never sent before admission. If the attempt is refused, the body
	// is still unread, and the request can be sent to another server.
	expectTimeout = time.Hour
)

// Time-outs for machines that do not answer. They apply to a trusted network, where a
// round trip takes milliseconds.
const (
	trustedDialTimeout = 200 * time.Millisecond
	// unackedTimeout is long enough for two transmissions of a lost packet.
	unackedTimeout = 800 * time.Millisecond
	// Keep-alive probes detect a machine that lost power while it was running requests,
	// since it no longer answers the probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// peerDialer returns the dialer for connections to other nodes.
func peerDialer(trusted bool, sockets *guard.Sockets) *net.Dialer {
	if !trusted {
		return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return sockets.Control(raw) }}
	}
	return &net.Dialer{
		Timeout:         trustedDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, setErr, sockets.Control(c))
		},
	}
}

// remote sends attempts to other nodes over mutual TLS.
type remote struct {
	pool            *pool
	dialer          *net.Dialer
	sockets         *guard.Sockets // bounds the buffers of the connections
	clientTLS       *tls.Config
	keyGeneration   func() uint64 // generation of the keys in clientTLS
	clock           clock.Clock
	loadReport      func() string              // returns the encoded load report of the local backend server
	onConfigVersion func(configVersion uint64) // called with the version in each answer
	addresses       addresses
	rules           headerRules
}

func newRemote(clientTLS *tls.Config, sockets *guard.Sockets, keyGeneration func() uint64, k clock.Clock, report func() string, onConfigVersion func(configVersion uint64)) *remote {
	r := &remote{dialer: peerDialer(clientTLS == nil, sockets), sockets: sockets, clientTLS: clientTLS, keyGeneration: keyGeneration, clock: k, loadReport: report, onConfigVersion: onConfigVersion}
	r.pool = newPool(r.dial, 0, maxIdlePerPeer, idleConnTimeout)
	return r
}

func (r *remote) poolName(s *fleet.Server) string {
	return r.addresses.poolName(s, r.keyGeneration(), r.clock.Now())
}

func (r *remote) dial(ctx context.Context, name string) (net.Conn, error) {
	address, ok := r.addresses.address(name)
	if !ok {
		return nil, fmt.Errorf("connection pool %s has no address", name)
	}
	node, _, _ := strings.Cut(name, ".")
	raw, err := r.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw = r.sockets.Wrap(raw)
	if r.clientTLS == nil {
		return raw, nil
	}
	conn := tls.Client(raw, r.clientTLS)
	if err := r.handshake(ctx, conn, fleet.NodeID(node)); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// handshake performs the TLS handshake and checks that the peer is the expected
// node.
func (r *remote) handshake(ctx context.Context, conn *tls.Conn, node fleet.NodeID) error {
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	state := conn.ConnectionState()
	name, err := peerName(&state)
	if err == nil && name != node {
		err = fmt.Errorf("the peer is %s, expected %s", name, node)
	}
	return err
}

// peerName returns the node name in the verified certificate of a peer, which is its
// common name.
func peerName(cs *tls.ConnectionState) (fleet.NodeID, error) {
	if cs == nil || len(cs.PeerCertificates) == 0 || cs.PeerCertificates[0].Subject.CommonName == "" {
		return "", errors.New("the peer has no certificate with a common name")
	}
	return fleet.NodeID(cs.PeerCertificates[0].Subject.CommonName), nil
}

// Serve sends one attempt to its target node and passes the answer on to the caller.
// It reserves unused attempts of the request for nested calls, which the backend server
// of the target makes while it runs the request.
func (r *remote) Serve(c *filter.Call) error {
	reserved := c.Attempts.Lend()
	c.Meta.AttemptsLeft = reserved
	meta, err := fleet.EncodeHeader(&c.Meta)
	if err != nil {
		return errkind.New(errkind.Internal, "encode call metadata: %w", err)
	}
	for attempt := 1; ; attempt++ {
		x := &exchange{call: c, host: r.poolName(&c.Target), header: r.rules.endToEnd(c.Request.Header), rules: r.rules,
			peer: true, expect: true, expectTimeout: expectTimeout}
		x.header[fleet.HeaderCallMeta] = []string{meta}
		if load := r.loadReport(); load != "" {
			x.header[fleet.HeaderLoad] = []string{load}
		}
		if c.Body.ExpectsContinue {
			x.header[headerExpect] = []string{"1"}
		}
		resp, written, err := x.roundTrip(r.pool)
		switch {
		case err == nil:
			defer x.end()
			c.Attempts.Return(min(reserved, unused(resp.Header)))
			return r.receive(x, resp)
		case written:
			// Nested calls may have used the reserved attempts, so they are not returned.
			return lost(c, "connection to "+string(c.Target.Node)+" broke", err)
		case x.link == nil || attempt == maxSendAttempts:
			c.Attempts.Return(reserved)
			return notSent(c, errkind.BackendDown, err)
		}
	}
}

// unused returns the number of reserved attempts that a server node reports as unused.
func unused(h http.Header) uint32 {
	n, err := strconv.ParseUint(h.Get(headerAttemptsLeft), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

func (r *remote) receive(x *exchange, resp *http.Response) error {
	c := x.call
	c.HeadAt = r.clock.Now()
	if c.Load = decodeLoad(resp.Header); c.Load != nil {
		r.onConfigVersion(c.Load.ConfigVersion)
	}
	if err := peerError(resp); err != nil {
		c.HeadAt = time.Time{}
		return err
	}
	h := r.rules.answer(resp.Header)
	if r.rules.dialect == nil {
		h[fleet.HeaderServedBy] = []string{string(c.Target.Node)}
	}
	return x.relay(resp, h, func() error { return nil })
}

func decodeLoad(h http.Header) *fleet.LoadReport {
	v := h.Get(fleet.HeaderLoad)
	if v == "" {
		return nil
	}
	var report fleet.LoadReport
	if fleet.DecodeHeader(v, &report) != nil {
		return nil
	}
	return &report
}

func (r *remote) close() { r.pool.close() }
