package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/probe"
	"bramleymill/retry"
	"bramleymill/suspect"
)

// Proxy is the request path of one node. Its methods are safe for concurrent use.
type Proxy struct {
	config  Config
	store   *explain.Store
	choose  *filter.ServerSelection
	entry   filter.Handler
	server  filter.Handler // nil without a backend server
	remote  *remote
	tokens  *tokens
	local   *localServer // nil without a backend server
	work    work
	reports atomic.Uint64 // sequence of load reports

	incarnation atomic.Uint64
	retiring    atomic.Bool
	requests    *requestLog

	reserver     *reserver     // nil: requests are sent without a reservation
	reservations *reservations // nil with reserver

	measuring probe.Config
	asks      *probe.LoadQueryLimiter

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a Proxy that begins to watch its backend server. Close ends it.
func New(c Config) (*Proxy, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	p := &Proxy{config: c, tokens: newTokens(), store: c.Store, measuring: probe.Config{}.WithDefaults()}
	p.asks = probe.NewLoadQueryLimiter(p.measuring)
	if p.store == nil {
		p.store = explain.NewStore(c.Node, c.Records, c.Events)
	}
	p.requests = newRequestLog(&p.config)
	p.incarnation.Store(uint64(c.Incarnation))
	p.work.init()
	p.remote = newRemote(c.ClientTLS, c.KeyGeneration, c.Clock, p.sentReport, p.configSeen)
	p.remote.rules = p.rules()
	if c.Backend != nil {
		p.local = newLocalServer(p)
	}
	if c.Datagrams != nil {
		p.reserver = newReserver(c.Node, c.Datagrams, p.configSeen, p.requests.callerID)
		p.reservations = newReservations(p)
	}
	if c.Backend != nil {
		p.server = p.serverChain()
	}
	p.entry = p.entryChain()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.config.StateChanged(p.State())
	if p.local != nil {
		p.local.start(ctx, &p.done)
	}
	return p, nil
}

func (p *Proxy) rules() headerRules { return headerRules{p.config.Dialect} }

// timeoutHeader names the header in which callers state how long they wait.
func (p *Proxy) timeoutHeader() string {
	if d := p.config.Dialect; d != nil {
		return d.Timeout
	}
	return fleet.HeaderTimeoutMillis
}

func (p *Proxy) entryChain() filter.Handler {
	c, k := &p.config, p.config.Clock
	var reserver filter.Reserver
	if p.reserver != nil {
		reserver = p.reserver
	}
	var h filter.Handler = filter.NewForward(p.remote, filter.HandlerFunc(p.serveLocal), c.Node, reserver, k)
	p.choose = filter.NewServerSelection(h, c.Directory, c.Zone, k, c.Seed, p.store)
	p.choose.AnyPlacement = c.AnyPlacement
	if p.local != nil {
		p.choose.Self, p.choose.LocalCapacity = c.Node, p.local.gate.HasCapacity
	}
	h = filter.NewAttempts(p.choose, k, p)
	h = filter.NewClaims(h, c.Claims)
	h = filter.NewSuspects(h, c.Suspects, c.Locks, k)
	h = filter.NewBodyFilter(h, k)
	h = filter.NewDeadline(h, k, retry.DefaultAttempts, p.timeoutHeader())
	h = filter.NewInternalOnly(h)
	h = filter.NewConfirmed(h, c.Configuration)
	h = filter.NewClassify(h, c.Configuration, c.Seed)
	return filter.NewRequestID(h, c.Node, c.Incarnation, k)
}

func (p *Proxy) serverChain() filter.Handler {
	c, k, l := &p.config, p.config.Clock, p.local
	var h filter.Handler = filter.NewDispatch(l.backend, k)
	l.guard = filter.NewCrashGuard(h, filter.CrashGuardConfig{Node: c.Node, Incarnation: c.Incarnation,
		Service: c.Backend.Service, Suspects: c.Suspects, Publisher: c.Crashes, Liveness: l.monitor, Events: p.store, Clock: k})
	var refresh func(context.Context)
	if l.announced != nil {
		refresh = l.refreshPace
	}
	var held filter.ReservedSlots
	if p.reservations != nil {
		held = p.reservations
	}
	h = filter.NewAdmission(l.guard, l.gate, k, refresh, held)
	h = filter.NewDownReport(h, l.guard)
	h = filter.NewDuplicates(h, k)
	return filter.NewPeerCheck(h, c.Node, p.Incarnation, k)
}

// serveLocal runs the server chain for an attempt whose target is this node.
func (p *Proxy) serveLocal(c *filter.Call) error {
	if p.server == nil {
		return p.noServer()
	}
	err := p.runAttempt(c)
	report := p.LoadReport()
	c.Load = &report
	return err
}

// noServer refuses an attempt that was sent to a node without a backend server.
func (p *Proxy) noServer() error {
	return errkind.New(errkind.StaleTarget, "node %s has no backend server", p.config.Node)
}

// runAttempt runs the server chain.
func (p *Proxy) runAttempt(c *filter.Call) error {
	err := p.server.Serve(c)
	if err != nil && !errors.Is(err, filter.ErrOtherAttemptAnswered) {
		p.requests.refused(p.config.Clock.Now(), c, p.local, err)
	}
	return err
}

// Attempted passes the end of an attempt on to the metrics.
func (p *Proxy) Attempted(c *filter.Call, kind errkind.Kind) {
	var d time.Duration
	if !c.SentAt.IsZero() {
		d = p.config.Clock.Now().Sub(c.SentAt)
	}
	p.config.Metrics.Attempted(c.Meta.Class, c.Target.Node, kind, c.Meta.Hedge, d)
}

// Incarnation returns the incarnation that attempts must be addressed to.
func (p *Proxy) Incarnation() fleet.Incarnation { return fleet.Incarnation(p.incarnation.Load()) }

// SetIncarnation replaces the incarnation, when the fleet remembers a later life
// of the node than its clock gave it.
func (p *Proxy) SetIncarnation(i fleet.Incarnation) { p.incarnation.Store(uint64(i)) }

// configSeen passes on that another node has a later configuration.
func (p *Proxy) configSeen(version uint64) {
	if set := p.config.Configuration.Current(); set == nil || version > set.Version {
		p.config.ConfigSeen(version)
	}
}

// LoadReport returns the load of the backend server as this node counts it.
func (p *Proxy) LoadReport() fleet.LoadReport {
	r := fleet.LoadReport{Incarnation: p.Incarnation(), Sequence: p.reports.Add(1)}
	if set := p.config.Configuration.Current(); set != nil {
		r.ConfigVersion = set.Version
	}
	if p.local != nil {
		load := p.local.gate.Load()
		r.InFlight, r.Queued, r.Slots, r.ServiceTime = load.InFlight, load.Queued, load.Slots, load.ServiceTime
		r.ServiceAge = load.ServiceAge
		r.Slowdown, r.SlowdownAge = load.Slowdown, load.SlowdownAge
		r.Draining = p.State() == fleet.Draining
	}
	return r
}

// sentReport returns the encoded load report for requests to other nodes, or an
// empty string without a backend server. It tells their entry nodes that the
// server has become slow before they send it work.
func (p *Proxy) sentReport() string {
	if p.local == nil {
		return ""
	}
	r := p.LoadReport()
	r.Service = p.config.Backend.Service
	v, err := fleet.EncodeHeader(&r)
	if err != nil {
		return ""
	}
	return v
}

// observeSender records the load report that a node added to a request.
func (p *Proxy) observeSender(node fleet.NodeID, r *fleet.LoadReport) {
	if r != nil && r.Service != "" {
		p.choose.Observe(r.Service, node, r)
	}
}

// Views returns how this node sees the servers of a service.
func (p *Proxy) Views(service string) []pick.View {
	return p.choose.Balancer(service).Views(p.config.Clock.Now())
}

// Retire makes callers use other connections: each answer from now on ends its
// connection. Work is still taken until Drain.
func (p *Proxy) Retire() { p.retiring.Store(true) }

// State returns the state of the backend server that the node announces.
func (p *Proxy) State() fleet.ServerState {
	if p.local == nil {
		return fleet.Ready
	}
	return p.local.state()
}

// Admission returns the load of the backend server's queue and slots.
func (p *Proxy) Admission() admit.Load {
	if p.local == nil {
		return admit.Load{}
	}
	return p.local.gate.Load()
}

// Explain returns the records of requests and events.
func (p *Proxy) Explain() *explain.Store { return p.store }

// Suspects returns the table of requests that crash backend servers.
func (p *Proxy) Suspects() *suspect.Table { return p.config.Suspects }

// Close ends the watching of the backend server and closes idle connections. It
// does not wait for requests; see Drain.
func (p *Proxy) Close() {
	p.cancel()
	p.done.Wait()
	p.remote.close()
	if p.local != nil {
		p.local.backend.close()
	}
}
