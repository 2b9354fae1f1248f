package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/transport"
)

const topicCrash = "crash"

// ErrIncomplete is returned by Subscribe when the complete list of servers of the
// service does not arrive in time.
var ErrIncomplete = errors.New("servers of the service are not known yet")

// Stats holds counters of a Member since its start and its present numbers of
// children and nodes.
type Stats struct {
	HeartbeatsFailed       uint64
	HeartbeatsServed       uint64 // received heartbeats, not counting queries for the confirmation age
	Joins                  uint64 // times that this node joined a parent
	ChildrenAccepted       uint64
	ChildrenRefused        uint64
	Suspicions             uint64 // rounds of probes of silent nodes
	Dropped                uint64 // nodes that this member marked as lost
	DocumentRequestsFailed uint64 // requests for pieces of a document without a useful reply
	DocumentsTooLarge      uint64 // reads of a document that is too large to be distributed
	Children               int
	Nodes                  int // active nodes in the registry
}

// Member announces this node, maintains its part of the registry and receives the
// configuration. Its methods are safe for concurrent use.
type Member struct {
	client      transport.Client
	clock       clock.Clock
	logger      *slog.Logger
	start       time.Time
	wake        chan struct{}
	view        atomic.Pointer[view]
	confirmed   atomic.Int64 // time of the newest confirmation, in nanoseconds after start
	version     atomic.Uint64
	peerVersion atomic.Uint64 // highest configuration version seen in messages of peers

	mu         sync.Mutex
	core       *core
	nextWake   time.Time // when the timer of Run expires
	delivering bool      // set while a goroutine calls the callbacks; only one does at a time
	callbacks  callbacks
}

const neverConfirmed = math.MinInt64

// view is a snapshot for readers. It is immutable except for serviceView.used.
type view struct {
	version  uint64
	document []byte
	services map[string]*serviceView
}

type serviceView struct {
	servers []fleet.Server
	used    atomic.Bool // Servers was called since the use was last recorded
}

// New returns a Member and registers its handlers with the Mux of c. The Member
// sends nothing until Run is called.
func New(c Config) (*Member, error) {
	c.setDefaults()
	if c.Self.Node == "" || c.Self.PeerAddress == "" || c.Client == nil || c.Mux == nil {
		return nil, errors.New("member: node, peer address, client and mux are required")
	}
	now := c.Clock.Now()
	m := &Member{
		client: c.Client,
		clock:  c.Clock,
		logger: c.Logger,
		start:  now,
		wake:   make(chan struct{}, 1),
		core:   newCore(c, now),
	}
	m.confirmed.Store(neverConfirmed)
	m.view.Store(&view{services: map[string]*serviceView{}})
	m.publish()
	m.register(c.Mux)
	return m, nil
}

// Servers returns the servers of a service that this node knows, in any state
// except left. The first call for a service subscribes to it and returns nil. The
// result is shared and must not be modified.
func (m *Member) Servers(service string) []fleet.Server {
	if s := m.view.Load().services[service]; s != nil {
		if !s.used.Load() {
			s.used.Store(true)
		}
		return s.servers
	}
	m.subscribe(service)
	return nil
}

func (m *Member) subscribe(service string) <-chan struct{} {
	var done <-chan struct{}
	m.updateCore(func() { done = m.core.subscribe(service, m.clock.Now()) })
	return done
}

// updateCore runs f, which changes the core, under the lock. The callbacks are
// called later by the loop of Run, because the caller may hold a lock that a
// callback acquires too.
func (m *Member) updateCore(f func()) {
	m.mu.Lock()
	f()
	m.publishView()
	m.mu.Unlock()
	m.wakeUp()
}

// Subscribe subscribes to a service and waits for the complete list of its
// servers, for at most one second or until ctx ends. Without the list it returns
// ErrIncomplete, and the subscription stays.
func (m *Member) Subscribe(ctx context.Context, service string) error {
	if s := m.view.Load().services[service]; s != nil && m.complete(service) {
		s.used.Store(true)
		return nil
	}
	done := m.subscribe(service)
	if done == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("subscribe to %s: %w: %w", service, ErrIncomplete, ctx.Err())
	}
}

func (m *Member) complete(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.complete(service)
}

// Config returns the configuration in force at this node. The version is zero if
// there is none.
func (m *Member) Config() (version uint64, document []byte) {
	v := m.view.Load()
	return v.version, v.document
}

// ConfirmationAge returns the age of the newest confirmation that no later
// configuration has been accepted. Without a confirmation it returns the largest
// Duration.
func (m *Member) ConfirmationAge() time.Duration {
	at := m.confirmed.Load()
	if at == neverConfirmed {
		return unconfirmedAge
	}
	return m.clock.Now().Sub(m.start) - time.Duration(at)
}

// ObservePeerVersion records the configuration version in a message of another node. If
// it is higher than the version of this node, the next heartbeat is sent
// immediately, once for each version.
func (m *Member) ObservePeerVersion(v uint64) {
	if v <= m.version.Load() {
		return
	}
	for {
		seen := m.peerVersion.Load()
		if v <= seen {
			return
		}
		if m.peerVersion.CompareAndSwap(seen, v) {
			break
		}
	}
	m.mu.Lock()
	m.core.up.urgency.raise(immediate)
	m.mu.Unlock()
	m.wakeUp()
}

// NotifyConfigChanged notifies a member with a ConfigSource that the source has changed,
// so that the member reads it immediately and not only when its next message is due.
func (m *Member) NotifyConfigChanged() { m.wakeUp() }

// SetState announces a new state of this node's backend server immediately. After
// Left it has no effect.
func (m *Member) SetState(s fleet.ServerState) {
	m.updateCore(func() { m.core.setState(s, m.clock.Now()) })
}

// SetWarmup sets the time for which this node's backend server is still warming
// up. It is announced when the server next becomes ready.
func (m *Member) SetWarmup(remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.warmup = &remaining
}

// AddSeeds adds addresses to the known addresses of control instances.
func (m *Member) AddSeeds(addresses []string) {
	m.updateCore(func() {
		m.core.addSeeds(addresses)
		m.core.addPeers(addresses, m.clock.Now())
	})
}

// Self returns this node's announcement of itself.
func (m *Member) Self() fleet.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.self
}

// Controls returns the peer addresses of the control instances that this node knows.
func (m *Member) Controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.control() {
		return slices.Clone(m.core.up.seeds)
	}
	return m.core.controlAddresses()
}

// Leave announces that this node leaves. It returns when the parent has received the
// announcement, or another control instance if this node is one. Until then Run must
// be running or Step must be called repeatedly.
func (m *Member) Leave(ctx context.Context) error {
	m.SetState(fleet.Left)
	t := time.NewTicker(leavePollInterval)
	defer t.Stop()
	for {
		m.mu.Lock()
		done := m.core.leaveAcknowledged()
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("leave: no other node has received the announcement: %w", ctx.Err())
		case <-t.C:
		}
	}
}

// BroadcastCrash broadcasts a crash report to all nodes.
func (m *Member) BroadcastCrash(r fleet.CrashReport) {
	b, err := cbor.Marshal(r)
	if err != nil {
		m.logger.Error("failed to encode crash report", "error", err)
		return
	}
	m.publishBroadcast(topicCrash, b)
}

// Broadcast sends a small message to all nodes. A payload above 4 KiB is
// discarded without an error. Nodes forget a broadcast after 10 minutes.
func (m *Member) Broadcast(topic string, payload []byte) { m.publishBroadcast(topic, payload) }

func (m *Member) publishBroadcast(topic string, payload []byte) {
	m.mu.Lock()
	m.core.broadcast(topic, payload, m.clock.Now())
	m.mu.Unlock()
	m.wakeUp()
}

// Stats returns the counters of this member.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.core.stats
	s.Children = len(m.core.children)
	for _, e := range m.core.reg.entries {
		if e.active() {
			s.Nodes++
		}
	}
	return s
}

// Parent returns the node to which this one sends heartbeats. It is empty for a
// control instance and for a node without a parent.
func (m *Member) Parent() fleet.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.onPing().Parent
}

// NodeView is the entry of one node in the result of View.
type NodeView struct {
	Server         fleet.Server
	LeaseAge       time.Duration // since the last contact with the node
	AppliedVersion uint64        // configuration version that the node has applied
	Suspected      bool
	Lost           bool // dropped; the entry is kept for 10 minutes
}

// View returns the nodes that this member knows, sorted by name. A control
// instance knows all nodes.
func (m *Member) View() []NodeView {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []NodeView
	for _, e := range m.core.reg.sorted() {
		age, applied := m.core.leaseAge(e, now)
		if e.server.Node == m.core.id {
			age, applied = 0, m.core.conf.version
		}
		out = append(out, NodeView{e.server, age, applied, e.suspicion != nil, e.lost})
	}
	return out
}
