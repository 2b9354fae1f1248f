package member

import (
	"context"
	"maps"
	"sync"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
)

const leavePollInterval = 10 * time.Millisecond

// Run sends the messages that are due until ctx ends, and returns the error of ctx.
func (m *Member) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	var senders sync.WaitGroup
	defer senders.Wait()
	for {
		for _, a := range m.collect() {
			senders.Go(func() { m.send(ctx, a) })
		}
		m.publish()
		t.Reset(m.planSleep())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-m.wake:
		}
	}
}

// Step sends the messages that are due and waits for the replies. Tests with a
// manual clock call it instead of Run.
func (m *Member) Step(ctx context.Context) {
	for _, a := range m.collect() {
		m.send(ctx, a)
	}
	m.publish()
}

func (m *Member) collect() []action {
	// The clock is read before the state, so that a process that freezes in
	// between does not report too low ages in its messages.
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordServiceUse(now)
	return m.core.due(now)
}

// recordServiceUse updates the time of last use of the subscribed services that
// were used since the previous call.
func (m *Member) recordServiceUse(now time.Time) {
	for s, v := range m.view.Load().services {
		if sub := m.core.subscriptions[s]; sub != nil && v.used.Swap(false) {
			sub.lastUsed = now
		}
	}
}

// planSleep returns how long Run may sleep unless it is woken, and records the end
// of that time.
func (m *Member) planSleep() time.Duration {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.core.timeUntilDue(now)
	m.nextWake = now.Add(d)
	return d
}

// needsEarlierWake reports whether Run must be woken because something is due
// before its timer expires.
func (m *Member) needsEarlierWake(now time.Time) bool {
	return m.core.hasImmediate() || now.Add(m.core.timeUntilDue(now)).Before(m.nextWake)
}

func (m *Member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) send(ctx context.Context, a action) {
	switch a := a.(type) {
	case sendHeartbeat:
		reply, err := call[heartbeatReply](ctx, m, a.address, kindHeartbeat, a.request, heartbeatTimeout)
		m.applyReply(func(now time.Time) { m.core.heartbeatDone(a, reply, err, now) })
	case sendDocumentRequest:
		reply, err := call[documentReply](ctx, m, a.address, kindDocument, a.request, documentTimeout)
		m.applyReply(func(now time.Time) { m.core.documentDone(a, reply, err, now) })
	case sendNotify:
		reply, err := call[notifyReply](ctx, m, a.address, kindNotify, &notify{}, notifyTimeout)
		m.applyReply(func(now time.Time) { m.core.notifyDone(a, reply, err, now) })
	case sendPing:
		reply, err := call[pingReply](ctx, m, a.address, kindPing, &ping{}, pingTimeout)
		m.applyReply(func(now time.Time) { m.core.pingDone(a, reply, err, now) })
	case sendProbe:
		reply, err := call[probeReply](ctx, m, a.helper, kindProbe, a.request, probeTimeout)
		m.applyReply(func(now time.Time) { m.core.helperDone(a, reply, err, now) })
	case sendExchange:
		reply, err := call[exchangeReply](ctx, m, a.address, kindExchange, a.request, heartbeatTimeout)
		m.applyReply(func(now time.Time) { m.core.exchangeDone(a, reply, err, now) })
	}
}

func call[Reply any](ctx context.Context, m *Member, address string, k transport.Kind, request any, timeout time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := new(Reply)
	err := m.client.Call(ctx, address, k, request, reply)
	return reply, err
}

// applyReply runs apply, which applies a reply to the core, and publishes the
// changes.
func (m *Member) applyReply(apply func(now time.Time)) {
	now := m.clock.Now()
	m.mu.Lock()
	apply(now)
	wake := m.needsEarlierWake(now)
	m.mu.Unlock()
	m.publish()
	if wake {
		m.wakeUp()
	}
}

// timeUntilDue returns the time until something may be due if no message arrives.
func (k *core) timeUntilDue(now time.Time) time.Duration {
	next := k.nextSubscriptionScan
	noLaterThan := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	urgent := k.sendsHeartbeats() && k.up.address != "" && k.up.urgency > 0
	if k.sendsHeartbeats() && !k.up.inFlight {
		noLaterThan(k.up.next)
	}
	if k.control() || len(k.children) > 0 {
		noLaterThan(k.nextScan)
	}
	if k.fetching() && !k.fetch.inFlight {
		noLaterThan(k.fetch.next)
	}
	for _, p := range k.peers {
		urgent = urgent || p.urgency > 0
		if p.inFlight {
			// The reply usually arrives before the next exchange is due.
			noLaterThan(laterOf(p.next, now.Add(soonGap)))
		} else {
			noLaterThan(p.next)
		}
	}
	for _, c := range k.children {
		urgent = urgent || c.urgency > 0
	}
	if urgent {
		noLaterThan(now.Add(minHeartbeatGap))
	}
	return max(next.Sub(now), time.Millisecond)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasImmediate reports whether a message with urgency immediate is waiting.
func (k *core) hasImmediate() bool {
	if k.sendsHeartbeats() && k.up.urgency == immediate {
		return true
	}
	for _, c := range k.children {
		if c.urgency == immediate {
			return true
		}
	}
	for _, p := range k.peers {
		if p.urgency == immediate {
			return true
		}
	}
	return false
}

// leaveAcknowledged reports whether the announcement that this node leaves has been
// received: by the parent, or by another control instance if this node is one. It is
// also true if there is no node to receive it.
func (k *core) leaveAcknowledged() bool {
	if k.superseded || (!k.control() && len(k.up.seeds) == 0) {
		return true
	}
	if !k.control() {
		return k.up.leaveAcked
	}
	for _, p := range k.peers {
		if p.ackedRev >= k.reg.entries[k.id].rev {
			return true
		}
	}
	return len(k.peers) == 0
}

// serve handles one received message: it runs f under the lock and publishes the
// changes. now is read before the lock is acquired.
func serve[Reply any](m *Member, f func(now time.Time) *Reply) (*Reply, error) {
	now := m.clock.Now()
	m.mu.Lock()
	reply := f(now)
	wake := m.needsEarlierWake(now)
	m.mu.Unlock()
	m.publish()
	if wake {
		m.wakeUp()
	}
	return reply, nil
}

func (m *Member) register(mux *transport.Mux) {
	transport.Handle(mux, kindHeartbeat, func(_ context.Context, from transport.Peer, h *heartbeat) (*heartbeatReply, error) {
		if from.Node != h.Self.Node {
			return nil, errkind.New(errkind.Unauthorized, "heartbeat announces node %s but was sent by %s", h.Self.Node, from.Node)
		}
		return serve(m, func(now time.Time) *heartbeatReply { return m.core.onHeartbeat(from, h, now) })
	})
	transport.Handle(mux, kindNotify, func(_ context.Context, from transport.Peer, _ *notify) (*notifyReply, error) {
		return serve(m, func(time.Time) *notifyReply { return m.core.onNotify(from) })
	})
	transport.Handle(mux, kindPing, func(context.Context, transport.Peer, *ping) (*pingReply, error) {
		return serve(m, func(time.Time) *pingReply { return m.core.onPing() })
	})
	transport.Handle(mux, kindProbe, m.onProbe)
	transport.Handle(mux, kindDocument, func(_ context.Context, _ transport.Peer, r *documentRequest) (*documentReply, error) {
		return serve(m, func(now time.Time) *documentReply { return m.core.onDocumentRequest(r, now) })
	})
	transport.Handle(mux, kindExchange, func(_ context.Context, from transport.Peer, x *exchange) (*exchangeReply, error) {
		if from.Role != fleet.RoleControl || from.Node != x.Self.Node || !m.core.control() {
			return nil, errkind.New(errkind.Unauthorized, "registry exchange from node %s with role %s is not allowed", from.Node, from.Role)
		}
		return serve(m, func(now time.Time) *exchangeReply { return m.core.onExchange(from, x, now) })
	})
}

func (m *Member) onProbe(ctx context.Context, _ transport.Peer, p *probe) (*probeReply, error) {
	reply, err := call[pingReply](ctx, m, p.Address, kindPing, &ping{}, pingTimeout)
	if err != nil || reply.Self.Node != p.Node {
		return &probeReply{}, nil
	}
	return &probeReply{Reached: true, Ping: *reply}, nil
}

// publish updates the view for readers and delivers the events to the callbacks.
// A callback may itself call methods that publish. In this case the call of publish
// that is already delivering also delivers the new events.
func (m *Member) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishView()
	if m.delivering {
		return
	}
	m.delivering = true
	defer func() { m.delivering = false }()
	for len(m.core.events) > 0 {
		e := m.core.events[0]
		m.core.events = m.core.events[1:]
		m.mu.Unlock()
		m.dispatch(e)
		m.mu.Lock()
	}
	m.publishConfirmation()
}

// publishConfirmation publishes the age of the configuration. It is called when no event
// waits, because a confirmation covers the configuration that came with it: readers that see
// it must find that configuration in force.
func (m *Member) publishConfirmation() {
	if k := m.core; k.conf.confirmed {
		m.confirmed.Store(int64(k.conf.confirmedAt.Sub(m.start)))
	}
}

func (m *Member) publishView() {
	k := m.core
	m.version.Store(k.conf.version)
	old := m.view.Load()
	if len(k.reg.dirty) == 0 && old.version == k.conf.version {
		return
	}
	next := &view{version: k.conf.version, document: k.conf.document, services: maps.Clone(old.services)}
	now := m.clock.Now()
	for s := range k.reg.dirty {
		sub := k.subscriptions[s]
		if oldView := old.services[s]; oldView != nil && oldView.used.Swap(false) && sub != nil {
			sub.lastUsed = now
		}
		if !k.control() && (sub == nil || !sub.local) {
			delete(next.services, s)
			continue
		}
		next.services[s] = &serviceView{servers: k.reg.servers(s)}
	}
	clear(k.reg.dirty)
	m.view.Store(next)
}
