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
	"bramleymill/transmit"
)

// Proxy is the request path of one node. Its methods are safe for concurrent use.
type Proxy struct {
	config         Config
	store          *explain.Store
	selection      *filter.ServerSelection
	planner        *filter.Planner
	entry          filter.Handler // entry chain
	server         filter.Handler // server chain; nil if the node has no backend server
	remote         *remote
	tokens         *tokens
	local          *localServer   // backend server beside the node; nil if there is none
	link           *transmit.Link // schedules answers to other nodes; nil: they are sent at once
	tasks          taskTracker
	reportSequence atomic.Uint64 // sequence number of the latest load report

	incarnation             atomic.Uint64
	closesCallerConnections atomic.Bool // CloseCallerConnections was called
	requestLog              *requestLog

	reserver     *reserver     // reserves slots at other nodes; nil: requests are sent without a reservation
	reservations *reservations // slots of this node that are reserved for requests of other nodes; nil if reserver is nil

	probes       probe.Config
	queryLimiter *probe.LoadQueryLimiter

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a Proxy and starts to monitor its backend server. The caller must
// call Close to stop the monitoring.
func New(c Config) (*Proxy, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	p := &Proxy{config: c, tokens: newTokens(), store: c.Store, probes: probe.Config{}.WithDefaults()}
	p.queryLimiter = probe.NewLoadQueryLimiter(p.probes)
	if p.store == nil {
		p.store = explain.NewStore(c.Node, c.Records, c.Events)
	}
	p.requestLog = newRequestLog(&p.config)
	p.link = transmit.NewLink(c.LinkBytesPerSecond, c.Clock)
	p.incarnation.Store(uint64(c.Incarnation))
	p.tasks.init()
	p.remote = newRemote(c.ClientTLS, c.Sockets, c.KeyGeneration, c.Clock, p.encodedReport, p.reportLaterConfig)
	p.remote.rules = p.rules()
	if c.Backend != nil {
		p.local = newLocalServer(p)
	}
	if c.Datagrams != nil {
		p.reserver = newReserver(c.Node, c.Datagrams, p.reportLaterConfig, p.requestLog.callerID)
		p.reservations = newReservations(p)
	}
	if c.Backend != nil {
		p.server = p.serverChain()
	}
	p.entry = p.entryChain()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.config.OnStateChange(p.State())
	if p.local != nil {
		p.local.start(ctx, &p.done)
	}
	return p, nil
}

func (p *Proxy) rules() headerRules { return headerRules{p.config.Dialect} }

// timeoutHeader returns the name of the header in which callers state how many
// milliseconds they wait for the answer.
func (p *Proxy) timeoutHeader() string {
	if d := p.config.Dialect; d != nil {
		return d.Timeout
	}
	return fleet.HeaderTimeoutMillis
}

// customerKeyHeader returns the name of the header that contains the key of a customer.
func (p *Proxy) customerKeyHeader() string {
	if d := p.config.Dialect; d != nil {
		return d.CustomerKey
	}
	return fleet.HeaderCustomerKey
}

// entryChain builds the chain of handlers that a request passes at its entry node. The
// handler that is added last runs first.
func (p *Proxy) entryChain() filter.Handler {
	c, k := &p.config, p.config.Clock
	var reserver filter.Reserver
	if p.reserver != nil {
		reserver = p.reserver
	}
	var h filter.Handler = filter.NewForward(p.remote, filter.HandlerFunc(p.serveLocal), c.Node, reserver, k)
	p.selection = filter.NewServerSelection(h, c.Directory, c.Zone, k, c.Seed, p.store)
	p.selection.AnyPlacement = c.AnyPlacement
	p.selection.WaitPerMegabyte = c.ZoneWaitPerMB
	if p.local != nil {
		p.selection.Self, p.selection.HasLocalCapacity = c.Node, p.local.gate.HasCapacity
	}
	h = filter.NewAttempts(filter.NewRecovery(p.selection, p.panicked), k, p)
	h = filter.NewClaims(h, c.Claims)
	h = filter.NewSuspects(h, c.Suspects, c.Locks, k)
	h = filter.NewBodyFilter(h, k)
	if c.Permits != nil {
		h = filter.NewQuota(h, c.Permits)
	}
	h = filter.NewDeadline(h, k, retry.DefaultAttempts, p.timeoutHeader())
	h = filter.NewCustomer(h, c.Configuration, p.customerKeyHeader())
	h = filter.NewInternalOnly(h)
	h = filter.NewConfirmed(h, c.Configuration)
	classifier := filter.NewClassify(h, c.Configuration, c.Seed)
	quotas, _ := c.Permits.(filter.QuotaView)
	p.planner = &filter.Planner{Classifier: classifier, Configuration: c.Configuration, Selection: p.selection, Quotas: quotas, Clock: k, Node: c.Node}
	h = filter.NewRequestID(classifier, c.Node, c.Incarnation, k)
	return filter.NewRecovery(h, p.panicked)
}

// serverChain builds the chain of handlers that an attempt passes at its server node. The
// handler that is added last runs first.
func (p *Proxy) serverChain() filter.Handler {
	c, k, l := &p.config, p.config.Clock, p.local
	var h filter.Handler = filter.NewDispatch(l.backend, k)
	l.guard = filter.NewCrashGuard(h, filter.CrashGuardConfig{Node: c.Node, Incarnation: c.Incarnation,
		Service: c.Backend.Service, Suspects: c.Suspects, Publisher: c.Crashes, Liveness: l.monitor, Events: p.store, Clock: k})
	var refresh func(context.Context)
	if l.announced != nil {
		refresh = l.refreshSlowdown
	}
	var reserved filter.ReservedSlots
	if p.reservations != nil {
		reserved = p.reservations
	}
	h = p.reportNoSlot(filter.NewAdmission(l.guard, l.gate, k, refresh, reserved, p.link))
	h = filter.NewDownReport(h, l.guard)
	h = filter.NewDuplicates(h, k)
	h = filter.NewPeerCheck(h, c.Node, p.Incarnation, k)
	return filter.NewRecovery(h, p.panicked)
}

// panicked logs a panic while a call was served. The call ends with an error.
func (p *Proxy) panicked(c *filter.Call, value any, stack []byte) {
	p.config.Log.Error("panic while serving a request", "request_id", c.Meta.RequestID, "class", c.Meta.Class,
		"path", suspect.ShortPath(c.Request.URL.Path), "panic", value, "stack", string(stack))
}

// serveLocal runs the server chain for an attempt whose target is this node.
func (p *Proxy) serveLocal(c *filter.Call) error {
	if p.server == nil {
		return p.noServer()
	}
	err := p.runAttempt(c)
	report := p.LoadReport()
	stateTurn(&report, err)
	c.Load = &report
	return err
}

// noServer returns the refusal for an attempt that was sent to a node without a
// backend server.
func (p *Proxy) noServer() error {
	return errkind.New(errkind.StaleTarget, "node %s has no backend server", p.config.Node)
}

// runAttempt runs the server chain and logs a refusal.
func (p *Proxy) runAttempt(c *filter.Call) error {
	err := p.server.Serve(c)
	if err != nil && !errors.Is(err, filter.ErrOtherAttemptAnswered) {
		p.requestLog.refused(p.config.Clock.Now(), c, p.local, err)
	}
	return err
}

// Attempted records the end of an attempt in the metrics. An empty kind means that
// a backend server answered.
func (p *Proxy) Attempted(c *filter.Call, kind errkind.Kind) {
	var d time.Duration
	if !c.SentAt.IsZero() {
		d = p.config.Clock.Now().Sub(c.SentAt)
	}
	p.config.Metrics.Attempted(c.Meta.Class, c.Target.Node, kind, c.Meta.Hedge, d)
}

// ZoneTraffic calls visit with the attempts and bytes that left the zone of this node, for each
// service that it has used.
func (p *Proxy) ZoneTraffic(visit func(service string, c *filter.ZoneCounts)) {
	p.selection.ZoneTraffic(visit)
}

// Plan returns where a request would go now, without sending it.
func (p *Proxy) Plan(r *explain.PlanRequest) (*explain.Plan, error) { return p.planner.Plan(r) }

// Incarnation returns the incarnation that attempts must be addressed to.
func (p *Proxy) Incarnation() fleet.Incarnation { return fleet.Incarnation(p.incarnation.Load()) }

// SetIncarnation replaces the incarnation. It is needed when the fleet knows of a
// later incarnation of the node than the one that the node derived from its clock.
func (p *Proxy) SetIncarnation(i fleet.Incarnation) { p.incarnation.Store(uint64(i)) }

// reportLaterConfig reports the configuration version of another node to OnLaterConfig
// if it is later than the version of this node.
func (p *Proxy) reportLaterConfig(version uint64) {
	if set := p.config.Configuration.Current(); set == nil || version > set.Version {
		p.config.OnLaterConfig(version)
	}
}

// LoadReport returns the load of the backend server as counted by this node. Each
// report has a higher sequence number than the one before.
func (p *Proxy) LoadReport() fleet.LoadReport {
	r := fleet.LoadReport{Incarnation: p.Incarnation(), Sequence: p.reportSequence.Add(1)}
	if set := p.config.Configuration.Current(); set != nil {
		r.ConfigVersion = set.Version
	}
	if p.local != nil {
		load := p.local.gate.Load()
		r.InFlight, r.Queued, r.Slots, r.ServiceTime = load.InFlight, load.Queued, load.Slots, load.ServiceTime
		r.ServiceAge = load.ServiceAge
		r.Slowdown, r.SlowdownAge = load.Slowdown, load.SlowdownAge
		r.Draining = p.State() == fleet.Draining
		r.RateWait, r.Condition, r.ColdRate = load.RateWait, p.local.condition.latest(), load.ColdRate
		r.LinkWait = p.link.Backlog()
	}
	return r
}

// encodedReport returns the encoded load report that is added to requests to other
// nodes, or an empty string if the node has no backend server. The receivers are
// entry nodes too. From the report they detect that the backend server has become slow
// before they send requests to it.
func (p *Proxy) encodedReport() string {
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
		p.selection.ObserveLoad(r.Service, node, r)
	}
}

// Views returns the data from which this node selects a server of a service.
func (p *Proxy) Views(service string) []pick.View {
	return p.selection.Balancer(service).Views(p.config.Clock.Now())
}

// CloseCallerConnections makes callers open other connections: in a dialect, every
// answer to a caller from now on closes its connection. Requests are accepted until Drain.
func (p *Proxy) CloseCallerConnections() { p.closesCallerConnections.Store(true) }

// State returns the state of the backend server, as the node announces it to the
// fleet. A node without a backend server is Ready.
func (p *Proxy) State() fleet.ServerState {
	if p.local == nil {
		return fleet.Ready
	}
	return p.local.state()
}

// Admission returns the load of the queue and the slots of the backend server. It
// is zero if the node has no backend server.
func (p *Proxy) Admission() admit.Load {
	if p.local == nil {
		return admit.Load{}
	}
	return p.local.gate.Load()
}

// Explain returns the store with the records of requests and events.
func (p *Proxy) Explain() *explain.Store { return p.store }

// Suspects returns the table of crash suspects: requests that may crash backend servers.
func (p *Proxy) Suspects() *suspect.Table { return p.config.Suspects }

// Close stops the monitoring of the backend server and closes idle connections. It
// does not wait for requests in flight; Drain waits for them.
func (p *Proxy) Close() {
	p.cancel()
	p.done.Wait()
	p.remote.close()
	if p.local != nil {
		p.local.backend.close()
	}
}
