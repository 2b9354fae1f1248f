package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleymill/fleet"
	"bramleymill/proxy"
)

const (
	// joinTimeout is the longest time for which a starting node waits for its first
	// parent before it serves requests. If an earlier process of this node used the same
	// or a higher incarnation, the parent has that on record, and the node adopts a higher
	// one when it joins.
	joinTimeout      = 2 * time.Second
	joinPollInterval = 20 * time.Millisecond

	// usageInterval is the time between two updates of the metrics that reportUsage sets.
	usageInterval = 5 * time.Second

	// closeDelay is how long a drained node continues to answer before it closes its
	// listeners. Until other nodes and callers have been notified that it is leaving,
	// they send requests on connections that are idle here. If the node closed such a
	// connection at that moment, the sender could not tell whether the request ran. A
	// stop delay counts towards closeDelay.
	closeDelay = 1500 * time.Millisecond

	// closeTimeout limits each step of a stop that follows the drain.
	closeTimeout = time.Second
	// promptCloseTimeout replaces closeTimeout if a stop delay is set, because a platform
	// that needs a stop delay kills a process that stops too slowly. The shorter time is
	// sufficient: during the delay, callers and other nodes have stopped sending requests
	// to this node.
	promptCloseTimeout = 300 * time.Millisecond
)

func (n *Node) start() (*running, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	r := &running{group: group, failed: ctx.Done(), cancel: cancel}
	group.Go(func() error { return ignoreCanceled(n.endpoint.Serve(ctx)) })
	group.Go(func() error { return ignoreCanceled(n.member.Run(ctx)) })
	n.awaitJoin()
	if err := n.startProxy(r); err != nil {
		cancel()
		for _, l := range r.listeners {
			_ = l.socket.Close()
		}
		if r.proxy != nil {
			r.proxy.Close()
		}
		return nil, errors.Join(err, group.Wait())
	}
	for _, l := range r.listeners {
		group.Go(l.serve)
	}
	if n.settings.TrustedNetwork {
		group.Go(func() error { return ignoreCanceled(n.endpoint.ServeDatagrams(ctx, r.proxy.HandleDatagram)) })
	}
	group.Go(func() error { n.reportUsage(ctx); return nil })
	group.Go(func() error { sendLoadQueries(ctx, r.proxy, n.endpoint, n.logger); return nil })
	if n.recorder != nil {
		group.Go(func() error {
			// An error such as a full disk ends the recording but not the node.
			if err := n.recorder.run(ctx); err != nil {
				n.logger.Error("decision recording stopped", "error", err)
			}
			return nil
		})
	}
	if n.control != nil && n.settings.Control.Bootstrap && n.settings.Seeds[0] == n.settings.AdvertisedAddress {
		group.Go(func() error { n.control.bootstrap(ctx); return nil })
	}
	if n.control != nil {
		group.Go(func() error { n.control.maintainLimits(ctx, n.claims); return nil })
		group.Go(func() error { n.control.maintainConfirmation(ctx); return nil })
	}
	return r, nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitJoin waits until the node has a parent, at most joinTimeout. A control instance
// does not wait, because it may be the first process of the fleet.
func (n *Node) awaitJoin() {
	for end := time.Now().Add(joinTimeout); n.control == nil && n.member.Parent() == "" && time.Now().Before(end); {
		time.Sleep(joinPollInterval)
	}
}

func (n *Node) startProxy(r *running) error {
	s := n.settings
	token, err := n.serviceToken()
	if err != nil {
		return err
	}
	p, err := proxy.New(proxy.Config{
		Node:          nodeID(s),
		Incarnation:   n.member.Self().Incarnation,
		Zone:          s.Zone,
		Backend:       s.Backend,
		ServiceToken:  token,
		Directory:     n.member,
		Configuration: n.config,
		Claims:        n.claims,
		Locks:         n.claims,
		Crashes:       n.crashes,
		Suspects:      n.suspects,
		Metrics:       n.metrics,
		Store:         n.store,
		OnStateChange: n.member.SetState,
		OnLaterConfig: n.fetchConfiguration,
		ClientTLS:     n.peerClientTLS(),
		Dialect:       n.options.Dialect,
		AnyPlacement:  n.options.Dialect != nil,
		Datagrams:     n.datagrams(),
		OnWarmup:      n.member.SetWarmup,
		KeyGeneration: n.keys.CachedGeneration,
		Seed:          n.seed,
		Log:           n.logger,
	})
	if err != nil {
		return err
	}
	r.proxy = p
	n.proxy.Store(p)
	if s.Backend != nil {
		// Servers also subscribes the node to the service of its backend server. The node
		// needs the servers of this service because it sends crash reports to their nodes.
		n.member.Servers(s.Backend.Service)
	}
	n.config.reapplyOrders()
	return n.openListeners(r, p)
}

// fetchConfiguration makes the node request the configuration from its parent
// immediately. It is called when another node has a later class document. The revision
// of that document is unknown here, so the next revision after that of this node is used.
func (n *Node) fetchConfiguration(uint64) {
	revision, _ := n.member.Config()
	n.member.ObservePeerVersion(revision + 1)
}

// peerClientTLS returns nil in a trusted network, in which nodes communicate without TLS.
func (n *Node) peerClientTLS() *tls.Config {
	if n.settings.TrustedNetwork {
		return nil
	}
	return n.keys.PeerClient()
}

// datagrams returns nil unless the network is trusted, because datagrams are not
// authenticated.
func (n *Node) datagrams() proxy.Datagrams {
	if n.settings.TrustedNetwork {
		return n.endpoint
	}
	return nil
}

func (n *Node) peerServerTLS() *tls.Config {
	if n.settings.TrustedNetwork {
		return nil
	}
	return n.keys.PeerServer()
}

func (n *Node) peerHandler(p *proxy.Proxy) http.Handler {
	if n.settings.TrustedNetwork {
		return p.PeerHandler()
	}
	return recheckPeers(p.PeerHandler(), n.keys)
}

func (n *Node) openListeners(r *running, p *proxy.Proxy) error {
	s := n.settings
	add := func(name, address string, h http.Handler, tlsConfig *tls.Config) error {
		if address == "" {
			return nil
		}
		l, err := listen(name, address, h, tlsConfig, n.logger)
		if err == nil {
			l.server.ConnContext = withCheckedGeneration(n.keys)
			r.listeners = append(r.listeners, l)
		}
		return err
	}
	var optionsErr error
	for _, l := range n.options.Listeners {
		optionsErr = errors.Join(optionsErr, add(l.Name, l.Address, l.Handler(n), nil))
	}
	return errors.Join(
		optionsErr,
		add("caller_address", s.CallerAddress, p.CallerHandler(), nil),
		add("service_address", s.ServiceAddress, p.ServiceHandler(), nil),
		add("peer_address", s.PeerAddress, n.peerHandler(p), n.peerServerTLS()),
		add("metrics_address", s.MetricsAddress, n.metrics.Handler(), nil),
		add("admin_address", s.AdminAddress, n.adminHandler(), n.keys.AdminServer()),
	)
}

func (n *Node) reportUsage(ctx context.Context) {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		if err := n.metrics.UpdateUsage(); err != nil {
			n.logger.Warn("cannot measure the resource usage of the process", "error", err)
		}
		n.updateMetrics()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) updateMetrics() {
	t, m := n.endpoint.Stats(), n.member.Stats()
	n.metrics.Set("control_messages_sent", float64(t.Calls))
	n.metrics.Set("control_messages_served", float64(t.Served))
	n.metrics.Set("control_bytes_sent", float64(t.BytesSent))
	n.metrics.Set("control_bytes_received", float64(t.BytesReceived))
	n.metrics.Set("control_connections", float64(t.Connections))
	if n.recorder != nil {
		n.metrics.Set("decision_records_dropped", float64(n.recorder.dropped.Load()))
	}
	if c := n.control; c != nil {
		n.metrics.Set("control_disk_hangs", float64(c.diskStalls.Load()))
		n.metrics.Set("control_problems", float64(len(c.host.Problems())))
	}
	n.metrics.Set("registry_nodes", float64(m.Nodes))
	n.metrics.Set("configuration_age_seconds", n.member.ConfirmationAge().Seconds())
	if set := n.config.Current(); set != nil {
		n.metrics.Set("configuration_version", float64(set.Version))
	}
}

// stop announces that the node is leaving, waits for the stop delay, drains the node and
// closes its parts in the reverse order of their start.
func (n *Node) stop(r *running) error {
	n.logger.Info("node stopping", "stop_delay", n.settings.StopDelay.Std(), "drain_timeout", n.settings.DrainTimeout.Std())
	n.stopping.Store(true)
	n.member.SetState(fleet.Draining)
	if delay := n.settings.StopDelay.Std(); delay > 0 {
		r.proxy.CloseCallerConnections()
		time.Sleep(delay)
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout.Std())
	defer cancel()
	report := r.proxy.Drain(ctx)
	for _, c := range report.Cancelled {
		n.logger.Warn("request cancelled at the end of the drain", "method", c.Method, "path", c.Path)
	}
	time.Sleep(max(0, closeDelay-n.settings.StopDelay.Std()))
	n.closeListeners(r)
	r.proxy.Close()
	n.runStopStep("announce departure", n.member.Leave)
	if n.control != nil {
		n.runStopStep("transfer leadership", n.control.close)
	}
	r.cancel()
	n.runStopStep("close endpoint", n.endpoint.Close)
	n.logger.Info("node stopped", "drain", report.Duration, "cut_off", len(report.Cancelled))
	return n.metrics.Close()
}

// closeListeners closes the listeners at the same time. After the drain only idle
// connections are left, but http.Server waits several seconds for those that have not
// carried a request yet.
func (n *Node) closeListeners(r *running) {
	var closing sync.WaitGroup
	for _, l := range r.listeners {
		closing.Go(func() { n.runStopStep("close "+l.name, l.shutdown) })
	}
	closing.Wait()
}

// runStopStep runs one step of a stop within closeTimeout or promptCloseTimeout. A step
// that fails does not fail the stop, because no work is lost. For example, the departure
// cannot be announced if no other node is left.
func (n *Node) runStopStep(name string, f func(context.Context) error) {
	timeout := closeTimeout
	if n.settings.StopDelay > 0 {
		timeout = promptCloseTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := f(ctx); err != nil {
		n.logger.Warn("a step of the graceful stop failed", "step", name, "error", err)
	}
}
