package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleymill/filter"
	"bramleymill/guard"
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
)

func (n *Node) start(stopping <-chan struct{}) (*running, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	r := &running{group: group, failed: ctx.Done(), cancel: cancel}
	group.Go(func() error { return ignoreCanceled(n.endpoint.Serve(ctx)) })
	group.Go(func() error { return ignoreCanceled(n.member.Run(ctx)) })
	n.awaitJoin(stopping)
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
		group.Go(func() error { return ignoreCanceled(n.endpoint.ServeDatagrams(ctx, n.handleDatagrams(r.proxy))) })
	}
	group.Go(func() error { n.reportUsage(ctx); return nil })
	group.Go(func() error { n.guard.Watch(ctx.Done()); return nil })
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
	if n.control != nil && founds(n.settings) {
		group.Go(func() error { n.control.found(ctx, n.settings.Seeds); return nil })
	}
	if n.control != nil {
		group.Go(func() error { n.control.maintainLimits(ctx, n.claims); return nil })
		group.Go(func() error { n.control.maintainConfirmation(ctx); return nil })
		group.Go(func() error { n.issuer.Run(ctx); return nil })
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
// does not wait, because it may be the first process of the fleet. A node that is told to
// stop does not wait either, so that the stop begins within its time.
func (n *Node) awaitJoin(stopping <-chan struct{}) {
	t := time.NewTicker(joinPollInterval)
	defer t.Stop()
	for end := time.Now().Add(joinTimeout); n.control == nil && n.member.Parent() == "" && time.Now().Before(end); {
		select {
		case <-stopping:
			return
		case <-t.C:
		}
	}
}

func (n *Node) startProxy(r *running) error {
	s := n.settings
	token, err := n.serviceToken()
	if err != nil {
		return err
	}
	p, err := proxy.New(proxy.Config{
		Node:               nodeID(s),
		Incarnation:        n.member.Self().Incarnation,
		Zone:               s.Zone,
		Backend:            s.Backend,
		ServiceToken:       token,
		Directory:          n.member,
		Configuration:      n.config,
		Claims:             n.claims,
		Permits:            n.permits,
		Locks:              n.claims,
		Crashes:            n.crashes,
		Suspects:           n.suspects,
		Metrics:            n.metrics,
		Store:              n.store,
		OnStateChange:      n.member.SetState,
		OnLaterConfig:      n.fetchConfiguration,
		OnNoSlot:           n.guard.Relieve,
		Sockets:            n.guard.Sockets(),
		ClientTLS:          n.peerClientTLS(),
		Dialect:            n.options.Dialect,
		AnyPlacement:       n.options.Dialect != nil,
		BackendService:     n.options.BackendService,
		Datagrams:          n.datagrams(),
		LinkBytesPerSecond: s.LinkMbps * 1e6 / 8,
		ZoneWaitPerMB:      s.ZoneWaitPerMegabyte.Std(),
		OnWarmup:           n.member.SetWarmup,
		KeyGeneration:      n.keys.CachedGeneration,
		Seed:               n.seed,
		Log:                n.logger,
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
	add := func(door guard.DoorConfig, address string, h http.Handler, tlsConfig *tls.Config) error {
		if address == "" {
			return nil
		}
		l, err := listen(n.guard, door, address, h, tlsConfig, n.logger)
		if err == nil {
			checked := withCheckedGeneration(n.keys)
			l.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return guard.ConnContext(checked(ctx, c), c)
			}
			r.listeners = append(r.listeners, l)
		}
		return err
	}
	var optionsErr error
	for _, l := range n.options.Listeners {
		optionsErr = errors.Join(optionsErr, add(n.door(l.Name, n.additionalShare()), l.Address, l.Handler(n), nil))
	}
	return errors.Join(
		optionsErr,
		add(n.callerDoor("caller_address"), s.CallerAddress, p.CallerHandler(), nil),
		add(n.door("service_address", serviceShare), s.ServiceAddress, p.ServiceHandler(), nil),
		add(n.peerDoor("peer_address"), s.PeerAddress, n.peerHandler(p), n.peerServerTLS()),
		add(n.door("metrics_address", otherShare), s.MetricsAddress, n.metrics.Handler(), nil),
		add(n.door("admin_address", otherShare), s.AdminAddress, n.adminHandler(), n.keys.AdminServer()),
	)
}

func (n *Node) reportUsage(ctx context.Context) {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	zones := newZoneMetrics()
	for {
		if p := n.proxy.Load(); p != nil {
			p.ZoneTraffic(func(service string, c *filter.ZoneCounts) { zones.update(n.metrics, service, c) })
		}
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
	n.metrics.Set("control_connections_refused", float64(t.Refused))
	n.metrics.Set("control_messages_evicted", float64(t.Evicted))
	n.metrics.Set("control_memory_used", float64(t.MemoryUsed))
	n.updateGuardMetrics()
	if n.recorder != nil {
		n.metrics.Set("decision_records_dropped", float64(n.recorder.dropped.Load()))
	}
	if c := n.control; c != nil {
		n.metrics.Set("control_disk_hangs", float64(c.diskStalls.Load()))
		n.metrics.Set("control_problems", float64(len(c.host.Problems())))
	}
	n.updateQuotaMetrics()
	if p := n.proxy.Load(); p != nil {
		n.metrics.Set("link_backlog_seconds", p.LinkBacklog().Seconds())
	}
	n.metrics.Set("registry_nodes", float64(m.Nodes))
	n.metrics.Set("configuration_age_seconds", n.member.ConfirmationAge().Seconds())
	if set := n.config.Current(); set != nil {
		n.metrics.Set("configuration_version", float64(set.Version))
	}
}
