package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/admit"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/transmit"
)

// localServer derives the state of the backend server beside the node and opens or
// closes its admission gate accordingly.
type localServer struct {
	config  *Config
	store   *explain.Store
	gate    *admit.Gate
	link    *transmit.Link // sends the answers to other nodes; nil: they are sent at once
	backend *backend
	monitor *monitor
	hints   *drainHints
	health  *health
	guard   *filter.CrashGuard
	// announced holds the latest announcement of the backend server. It is nil unless the
	// server announces itself.
	announced  *announcedState
	condition  conditionState
	cold       *coldWatch             // nil unless the server announces itself
	serviceNow atomic.Pointer[string] // service that the settings named when they were last read again; nil: that of the start
	noSlowdown atomic.Bool            // the latest answer to refreshSlowdown did not state a slowdown

	mu               sync.Mutex
	current          fleet.ServerState
	nodeDraining     bool // the node is draining; a drain of the node does not end
	operatorDraining bool // an operator has ordered a drain of the backend server
	wasUp            bool // the backend server has accepted connections before
	otherService     bool // the settings name another service for the backend server
}

func newLocalServer(p *Proxy) *localServer {
	c := &p.config
	l := &localServer{config: c, store: p.store, link: p.link, current: fleet.Starting}
	l.gate = admit.NewGate(admit.Config{Slots: c.Backend.Slots, Connections: c.Backend.Connections,
		SpareConnections: spareConnections, QueueLength: c.Backend.QueueLength,
		UtilizationLimit: c.Backend.UtilizationLimit, NoReserve: c.Dialect != nil, Weight: l.customerWeight}, c.Clock)
	l.gate.Refuse(errkind.BackendDown)
	l.hints = newDrainHints(c.Clock, l.onHold)
	l.monitor = newMonitor(c.Backend.Address, c.Sockets, l.hints, l.aliveChanged, func(generation uint64) { l.guard.Report(generation) })
	l.health = newHealth(c, l.monitor, l.hints, l.refresh)
	l.backend = newBackend(c, p.tokens, l.monitor)
	if c.Backend.Announces {
		l.announced = newAnnouncedState(c, l.refresh)
		l.cold = newColdWatch(l)
		l.announced.onHealth, l.announced.onReplaced = l.recordHealth, l.checkService
		l.announced.onAnnounced, l.monitor.onClosed = l.cold.announced, l.cold.doubt
		l.backend.announced, l.backend.onLoad, l.backend.onAnswer = l.announced, l.recordLoad, l.recordStatement
	}
	return l
}

// customerWeight returns the share of a customer when capacity is short: the rate that it may
// send.
func (l *localServer) customerWeight(name string) float64 {
	set := l.config.Configuration.Current()
	if set == nil {
		return 1
	}
	return set.Customers().Weight(name)
}

// recordHealth applies the coldness and the condition that an answer of the health endpoint
// states. An answer
// without one shows nothing: the endpoint may be served by another part of the server than
// its requests.
func (l *localServer) recordHealth(h healthAnswer) {
	l.cold.answered(h)
	if s, ok := l.config.Dialect.statement(h.header); ok && s != (statement{}) {
		l.recordStatement(h.instance, h.header)
	}
}

// recordLoad applies the slowdown from the load that an answer of the backend server
// reports.
func (l *localServer) recordLoad(s LoadState) { l.gate.SetSlowdown(s.Slowdown) }

// Parameters of the queries for the slowdown of the backend server.
const (
	// slowdownMaxAge is the age from which a reported slowdown is queried again. It is
	// shorter than a slow phase, which lasts some 100 ms.
	slowdownMaxAge = 40 * time.Millisecond
	// slowdownWait bounds the time for which a request waits for the answer.
	slowdownWait = 20 * time.Millisecond
)

// refreshSlowdown queries the backend server for its slowdown, unless a recent
// answer has reported it. A server that has answered a query without its slowdown is
// not queried again.
func (l *localServer) refreshSlowdown(ctx context.Context) {
	load := l.gate.Load()
	if load.Slowdown > 0 && load.SlowdownAge < slowdownMaxAge || load.Slowdown == 0 && l.noSlowdown.Load() {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h, err := l.announced.health(ctx)
		if err != nil {
			return // the next request queries again
		}
		l.recordLoad(h.load)
		l.recordHealth(h)
		l.noSlowdown.Store(h.load.Slowdown == 0)
	}()
	t := time.NewTimer(slowdownWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *localServer) start(ctx context.Context, done *sync.WaitGroup) {
	done.Add(3)
	go func() { defer done.Done(); l.backend.spares.run(ctx, l.monitor.Alive) }()
	go func() { defer done.Done(); l.monitor.run(ctx) }()
	if l.cold != nil {
		done.Go(func() { l.cold.run(ctx) })
	}
	go func() {
		defer done.Done()
		if l.announced != nil {
			l.announced.run(ctx, l.monitor.Alive)
		} else {
			l.health.run(ctx)
		}
	}()
}

// aliveChanged is called when the backend server has started or ended.
func (l *localServer) aliveChanged() {
	l.health.reset()
	l.backend.spares.kick()
	if l.announced != nil && !l.monitor.Alive() {
		l.announced.processEnded()
		l.cold.lost()
	}
	l.refresh()
}

// onHold is called when hints that the backend server is draining stop new requests for
// hintHold.
func (l *localServer) onHold() {
	l.health.requestCheck()
	l.refresh()
	time.AfterFunc(hintHold+time.Millisecond, l.refresh)
}

func (l *localServer) state() fleet.ServerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// refresh derives the state again and applies it.
func (l *localServer) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.deriveState()
	if l.announced != nil {
		l.applyAnnouncement(next)
	}
	if next == l.current {
		return
	}
	before := l.current
	l.current = next
	l.applyState(next)
	l.recordStateChange(before, next)
	l.config.OnStateChange(next)
}

func (l *localServer) deriveState() fleet.ServerState {
	alive := l.monitor.Alive()
	l.wasUp = l.wasUp || alive
	switch {
	case l.nodeDraining || l.operatorDraining:
		return fleet.Draining
	case !alive && l.wasUp:
		return fleet.Down
	case !alive, l.otherService:
		return fleet.Starting
	case l.announced != nil:
		return l.announcedServerState()
	case l.hints.draining():
		return fleet.Draining
	case !l.health.ready():
		return fleet.Starting
	}
	return fleet.Ready
}

// checkService updates otherService. Settings that cannot be read change nothing.
func (l *localServer) checkService() {
	service, err := l.config.BackendService()
	if err != nil {
		return
	}
	l.mu.Lock()
	l.serviceNow.Store(&service)
	other := service != l.config.Backend.Service
	changed := other != l.otherService
	l.otherService = other
	l.mu.Unlock()
	if changed && other {
		l.config.Log.Error("the settings name another service for the backend server; it gets no requests until the process is started again",
			"service", l.config.Backend.Service, "service_now", service)
	}
}

// announcedServerState returns the state of a server that accepts connections and
// announces itself.
func (l *localServer) announcedServerState() fleet.ServerState {
	switch a := l.announced.latest(); {
	case a == nil || a.State == fleet.Starting:
		return fleet.Starting
	case a.State == fleet.Ready:
		return fleet.Ready
	}
	return fleet.Draining
}

// applyAnnouncement applies the slots and the warmup of the latest announcement. The
// caller holds mu.
func (l *localServer) applyAnnouncement(next fleet.ServerState) {
	a := l.announced.latest()
	if a == nil {
		return
	}
	if l.condition.reset(a) {
		l.gate.SetRateLimit(noRateLimit)
	}
	if a.Slots > 0 {
		l.gate.SetSlots(a.Slots)
	}
	if next == fleet.Ready && l.current != fleet.Ready {
		l.config.OnWarmup(a.Warmup)
	}
}

func (l *localServer) applyState(s fleet.ServerState) {
	if l.nodeDraining {
		return // Gate.Drain has set the state of the gate
	}
	l.gate.Open() // removes the refusal of an earlier state
	switch s {
	case fleet.Draining:
		l.gate.Refuse(errkind.Draining)
	case fleet.Starting, fleet.Down:
		l.gate.Refuse(errkind.BackendDown)
	}
}

func (l *localServer) recordStateChange(before, next fleet.ServerState) {
	kind, reason := explain.StateChanged, "from "+before.String()+" to "+next.String()
	switch {
	case next == fleet.Ready:
		kind = explain.BackendUp
	case next == fleet.Draining:
		kind = explain.DrainStarted
	}
	l.store.AddEvent(l.config.Clock.Now(), kind, l.config.Node, l.config.Backend.Service, reason)
	l.config.Log.Info("backend server state", "service", l.config.Backend.Service, "from", before, "to", next)
}

// setOperatorDrain starts or ends a drain of the backend server on behalf of an
// operator.
func (l *localServer) setOperatorDrain(drain bool) {
	l.mu.Lock()
	l.operatorDraining = drain
	l.mu.Unlock()
	l.refresh()
}

// drain starts the drain of the node. The returned channel is closed when no request
// runs at the backend server any more.
func (l *localServer) drain() <-chan struct{} {
	l.mu.Lock()
	l.nodeDraining = true
	l.mu.Unlock()
	done := l.gate.Drain()
	l.refresh()
	return done
}

func (p *Proxy) knowsService(service string) bool {
	set := p.config.Configuration.Current()
	return set != nil && set.Service(service) != nil
}

// CheckBackendService reads again which service the settings name for the backend server. A
// server of another service gets no requests through this node.
func (p *Proxy) CheckBackendService() {
	if p.local != nil {
		p.local.checkService()
		p.local.refresh()
	}
}
