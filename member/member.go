package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/transport"
)

const topicCrash = "crash"

// ErrIncomplete is returned by Subscribe when the servers of the service are not
// all known in time.
var ErrIncomplete = errors.New("servers of the service are not known yet")

// Stats are counters of a Member since its start.
type Stats struct {
	HeartbeatsFailed  uint64
	HeartbeatsServed  uint64
	Joins             uint64 // to a parent
	ChildrenAccepted  uint64
	ChildrenRefused   uint64
	Suspicions        uint64
	Dropped           uint64
	DocumentsTooLarge uint64
	Children          int
	Nodes             int // active in the registry
}

// Member announces this node, keeps its part of the registry and receives the
// configuration. Its methods are safe for concurrent use.
type Member struct {
	client      transport.Client
	clock       clock.Clock
	logger      *slog.Logger
	start       time.Time
	wake        chan struct{}
	view        atomic.Pointer[view]
	confirmed   atomic.Int64 // nanoseconds from start to the time of the proof
	version     atomic.Uint64
	peerVersion atomic.Uint64 // highest version that peers are known to have

	mu         sync.Mutex
	core       *core
	nextWake   time.Time // when Run wakes by itself
	delivering bool      // one goroutine calls the callbacks, in the order of events
	callbacks  callbacks
}

const neverConfirmed = math.MinInt64

// view is an immutable picture for readers.
type view struct {
	version  uint64
	document []byte
	services map[string]*serviceView
}

type serviceView struct {
	servers []fleet.Server
	used    atomic.Bool
}

// New returns a Member and registers its handlers with the Mux of c. Run starts it.
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
// but left. The first use of a service starts to follow it. The result is shared
// and must not be changed.
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

// updateCore applies f to the core. Callbacks are left to the loop of Run, because
// the caller may hold a lock that a callback takes too.
func (m *Member) updateCore(f func()) {
	m.mu.Lock()
	f()
	m.publishView()
	m.mu.Unlock()
	m.wakeUp()
}

// Subscribe makes sure that the servers of a service are known. It waits up to one
// second, or until ctx ends, for the first answer.
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
		return fmt.Errorf("follow %s: %w: %w", service, ErrIncomplete, ctx.Err())
	}
}

func (m *Member) complete(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.complete(service)
}

// Config returns the configuration in force at this node. Version zero: none.
func (m *Member) Config() (version uint64, document []byte) {
	v := m.view.Load()
	return v.version, v.document
}

// Confirmed returns the age of the newest proof that no later configuration is
// accepted. It is very large when there has been none.
func (m *Member) Confirmed() time.Duration {
	at := m.confirmed.Load()
	if at == neverConfirmed {
		return unconfirmedAge
	}
	return m.clock.Now().Sub(m.start) - time.Duration(at)
}

// PeerVersion takes the configuration version in a message of another node. A
// higher one than the own brings forward the next heartbeat.
func (m *Member) PeerVersion(v uint64) {
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

// ConfigChanged tells a member with a ConfigSource that the source has changed,
// so that it need not wait for the next look.
func (m *Member) ConfigChanged() { m.wakeUp() }

// SetState announces a state of the own backend server at once.
func (m *Member) SetState(s fleet.ServerState) {
	m.updateCore(func() { m.core.setState(s, m.clock.Now()) })
}

// SetWarmup tells for how long the own backend server is still slow after its
// start. It is announced with the next state.
func (m *Member) SetWarmup(remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.warmup = &remaining
}

// AddSeeds adds addresses of control instances to those that are known.
func (m *Member) AddSeeds(addresses []string) {
	m.updateCore(func() {
		m.core.addSeeds(addresses)
		m.core.addPeers(addresses, m.clock.Now())
	})
}

// Self returns the own announcement.
func (m *Member) Self() fleet.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.self
}

// Leave announces that the node leaves and returns when a neighbour has taken
// the announcement. Run or Step must go on until then.
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
			return fmt.Errorf("leave: not announced: %w", ctx.Err())
		case <-t.C:
		}
	}
}

// PublishCrash spreads a crash report to all nodes.
func (m *Member) PublishCrash(r fleet.CrashReport) {
	b, err := cbor.Marshal(r)
	if err != nil {
		m.logger.Error("crash report not encoded", "error", err)
		return
	}
	m.publishBroadcast(topicCrash, b)
}

// Publish spreads a small notice to all nodes. It is dropped silently above
// 4 KiB and forgotten after 10 minutes.
func (m *Member) Publish(topic string, payload []byte) { m.publishBroadcast(topic, payload) }

func (m *Member) publishBroadcast(topic string, payload []byte) {
	m.mu.Lock()
	m.core.publish(topic, payload, m.clock.Now())
	m.mu.Unlock()
	m.wakeUp()
}

// Stats returns the counters.
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

// Parent returns the node that this one sends heartbeats to, empty for a control
// instance and for a node that has none.
func (m *Member) Parent() fleet.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.onPing().Parent
}

// NodeView is one row of View.
type NodeView struct {
	Server    fleet.Server
	LeaseAge  time.Duration // since the node was last heard
	Applied   uint64        // configuration version
	Suspected bool
	Lost      bool // dropped; kept for some minutes
}

// View lists the nodes that this member knows by name. A control instance knows all.
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
