package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/filter"
	"bramleymill/fleet"
)

// spareConnections is the number of connections to the backend server that carry no
// requests: the one that the monitor watches and the one for health checks.
const spareConnections = 2

// backendExpectTimeout is the time after which the body is sent even though the
// backend server has not answered Expect: 100-continue.
const backendExpectTimeout = time.Second

// backend dispatches calls to the backend server beside the node.
type backend struct {
	node    fleet.NodeID
	address string
	pool    *pool
	spares  *spares
	tokens  *tokens
	monitor *monitor
	clock   clock.Clock
	rules   headerRules
	service string
	// announced holds the latest announcement of the backend server. It is nil unless the
	// server announces itself.
	announced *announcedState
	onLoad    func(LoadState) // called with the load in each answer
	buffered  atomic.Int64    // length of the large answers that are buffered
	// onAnswer is called with the instance to which a request was sent and the headers of an
	// answer that belongs to the request.
	onAnswer func(instance string, h http.Header)
}

func newBackend(c *Config, t *tokens, m *monitor) *backend {
	connections := max(1, c.Backend.Connections-spareConnections)
	b := &backend{node: c.Node, address: c.Backend.Address, tokens: t, monitor: m, clock: c.Clock,
		rules: headerRules{c.Dialect}, service: c.Backend.Service, onLoad: func(LoadState) {}, onAnswer: func(string, http.Header) {},
		spares: newSpares(c.Backend.Address, connections, c.Sockets)}
	// Idle connections have no maximum age. They stay open until the backend server
	// closes them.
	b.pool = newPool(func(ctx context.Context, address string) (net.Conn, error) {
		return b.spares.dial(ctx, "tcp", address)
	}, connections, connections, 0)
	return b
}

// Dispatch sends the call to the backend server and passes the answer on to the
// caller.
func (b *backend) Dispatch(c *filter.Call) error {
	if b.rules.dialect != nil {
		return b.dispatchDialect(c, b.rules.dialect)
	}
	token := b.tokens.issue(&filter.Parent{
		RequestID: c.Meta.RequestID, Deadline: c.Deadline, Depth: c.Meta.Depth, Repeated: c.Meta.Repeated, Customer: c.Meta.Customer, Attempts: c.Attempts,
	})
	defer b.tokens.revoke(token)
	for attempt := 1; ; attempt++ {
		x := &exchange{call: c, host: b.address, header: b.header(c, token),
			rules: b.rules, expect: c.Body.ExpectsContinue, expectTimeout: backendExpectTimeout}
		resp, written, err := x.roundTrip(b.pool)
		switch {
		case err == nil:
			defer x.end()
			return b.receive(x, resp, token)
		case written:
			return lost(c, "connection to the backend server broke", err)
		case x.link == nil || attempt == maxSendAttempts:
			b.monitor.redialNow()
			return notSent(c, errkind.BackendDown, err)
		}
	}
}

func (b *backend) header(c *filter.Call, token string) http.Header {
	h := b.rules.endToEnd(c.Request.Header)
	h[fleet.HeaderCall] = []string{token}
	h[fleet.HeaderRequestID] = []string{c.Meta.RequestID}
	if c.Meta.Customer != "" {
		h[fleet.HeaderCustomer] = []string{c.Meta.Customer}
	}
	remaining := max(0, c.Deadline.Sub(b.clock.Now()).Milliseconds())
	h[fleet.HeaderDeadlineMillis] = []string{strconv.FormatInt(remaining, 10)}
	return h
}

func (b *backend) receive(x *exchange, resp *http.Response, token string) error {
	c := x.call
	c.HeadAt = b.clock.Now()
	if b.monitor.recordAnswer(resp) && c.Meta.Idempotent {
		// Another server may run an idempotent request. For a non-idempotent request
		// the answer is passed on, because it does not prove that the request did not
		// run.
		_ = resp.Body.Close()
		c.HeadAt = time.Time{}
		return errkind.New(errkind.Draining, "the backend server is draining")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return errkind.New(errkind.ConnectionLost, "the backend server switched protocols although the request had no Upgrade header")
	}
	generation := b.monitor.Generation()
	return x.relay(resp, b.rules.answer(resp.Header), func() error {
		b.tokens.revoke(token) // the token must not be valid after the caller has received the whole answer
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && b.monitor.Died(c.Ctx, generation) {
			return errkind.New(errkind.ConnectionLost, "the backend server process ended during an answer without a length")
		}
		return nil
	})
}

func (b *backend) close() { b.pool.close() }
