package pick

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// Balancer selects among the backend servers of one service. Pick, Started,
// Finished and Observe are safe for concurrent use with each other and Update.
type Balancer struct {
	config          Config
	pool            atomic.Pointer[pool]
	meanServiceTime atomicFloat // mean service time over all servers, in nanoseconds
	homeRefusals    refusalRate // of the servers in the zone of the selecting node
	nodeTime        zoneDelay   // least time that nodes add to the service times that servers report

	mu    sync.Mutex // serializes Update and ejections
	zones map[string]*zoneDelay
	// departed holds the newest condition of nodes that are no longer announced.
	departed map[fleet.NodeID]*toldCondition
}

// pool is an immutable snapshot of the announced servers.
type pool struct {
	epoch     time.Time   // the int64 times of this package are nanoseconds since epoch
	endpoints []*Endpoint // servers in the state Ready
	ownZone   []*Endpoint // subset of endpoints in the zone of the selecting node
	announced []*Endpoint // servers in any state
	byNode    map[fleet.NodeID]*Endpoint
}

// Endpoint is a backend server as described by one of its announcements. It is immutable.
// When a later announcement replaces it in Update, the new Endpoint of the same incarnation
// shares its load estimates.
type Endpoint struct {
	load      *load // the fields that Pick reads come first
	zone      *zoneDelay
	readyAt   int64     // when the server became ready
	epoch     time.Time // readyAt and the times in load are nanoseconds since epoch
	hash      uint64    // hash of the node name, for rendezvous hashing
	inOwnZone bool      // in the zone of the selecting node

	Server fleet.Server
}

// New returns a Balancer with an empty pool.
func New(c Config) *Balancer {
	b := &Balancer{config: c.withDefaults(), zones: map[string]*zoneDelay{}, departed: map[fleet.NodeID]*toldCondition{}}
	b.meanServiceTime.Store(float64(b.config.ServiceTime))
	b.pool.Store(&pool{})
	return b
}

// Update publishes the servers announced for the service; only servers in the state
// Ready are selected. ownZone is the zone of the selecting node. When a node occurs
// several times in servers, its first occurrence is used.
func (b *Balancer) Update(now time.Time, servers []fleet.Server, ownZone string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.pool.Load()
	next := &pool{epoch: old.epoch, byNode: make(map[fleet.NodeID]*Endpoint, len(servers))}
	if next.epoch.IsZero() {
		next.epoch = now
	}
	for _, s := range servers {
		if _, duplicate := next.byNode[s.Node]; duplicate {
			continue
		}
		e := b.endpoint(next.epoch, now, s, ownZone, old.byNode[s.Node])
		next.byNode[s.Node] = e
		next.announced = append(next.announced, e)
		if s.State == fleet.Ready {
			next.endpoints = append(next.endpoints, e)
			if e.inOwnZone {
				next.ownZone = append(next.ownZone, e)
			}
		}
	}
	b.rememberDeparted(old, next, next.sinceEpoch(now))
	next.limitEjected(next.sinceEpoch(now))
	b.pool.Store(next)
}

// maxReadyMillis bounds the time since a server became ready, so that its conversion to
// nanoseconds does not overflow.
const maxReadyMillis = int64(24 * time.Hour / time.Millisecond)

func (b *Balancer) endpoint(epoch, now time.Time, s fleet.Server, ownZone string, old *Endpoint) *Endpoint {
	if old != nil && old.Server == s {
		return old
	}
	e := &Endpoint{Server: s, epoch: epoch, hash: hashNode(s.Node), inOwnZone: s.Zone != "" && s.Zone == ownZone, zone: b.zone(s.Zone, ownZone)}
	sinceReady := max(now.UnixMilli()-s.ReadySince, 0) // the clock of the server's node may be ahead
	e.readyAt = int64(now.Sub(epoch)) - min(sinceReady, maxReadyMillis)*int64(time.Millisecond)
	if old == nil || old.Server.Incarnation != s.Incarnation {
		e.load = newLoad(s.Slots)
		b.inheritCondition(e.load, s.Node, old)
		return e
	}
	e.load = old.load
	if old.Server.State != fleet.Ready && s.State == fleet.Ready || s.Sequence > old.Server.Sequence {
		e.load.draining.Store(false)
	}
	return e
}

func (b *Balancer) zone(name, own string) *zoneDelay {
	z := b.zones[name]
	if z == nil {
		z = &zoneDelay{}
		if name != own {
			z.nanos.Store(int64(b.config.OtherZoneDelay))
		}
		b.zones[name] = z
	}
	return z
}

func (p *pool) sinceEpoch(now time.Time) int64 { return int64(now.Sub(p.epoch)) }

// Len returns the number of servers in the state Ready.
func (b *Balancer) Len() int { return len(b.pool.Load().endpoints) }

// Endpoint returns the server of a node, in any state, or nil if none is announced.
func (b *Balancer) Endpoint(node fleet.NodeID) *Endpoint { return b.pool.Load().byNode[node] }

// View is the selecting node's information about one server.
type View struct {
	Server      fleet.Server
	Cost        time.Duration // expected completion time
	Outstanding int           // requests from the selecting node that have not ended
	Reported    int           // requests in flight and queued, from the newest load report
	ReportAge   time.Duration // age of the newest load report; negative without one
	FailureRate float64       // recent share of failed requests; falls with the age of the newest answer
	Ejected     bool
}

// Views returns the state of every server in the state Ready, so that operators can
// see why servers are selected.
func (b *Balancer) Views(now time.Time) []View {
	p := b.pool.Load()
	t := p.sinceEpoch(now)
	out := make([]View, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		out = append(out, b.view(e, t, now))
	}
	return out
}

// View returns the state of one server, so that operators can see why it is selected.
func (b *Balancer) View(e *Endpoint, now time.Time) View {
	return b.view(e, b.pool.Load().sinceEpoch(now), now)
}

func (b *Balancer) view(e *Endpoint, t int64, now time.Time) View {
	return View{
		Server:      e.Server,
		Cost:        time.Duration(b.cost(e, t)),
		Outstanding: int(e.load.outstanding.Load()),
		Reported:    int(e.load.reported.Load()),
		ReportAge:   e.ReportAge(now),
		FailureRate: e.load.failureRate(t, &b.config),
		Ejected:     e.load.ejectedUntil.Load() != 0,
	}
}

// ReportAge returns the age of the newest load report of e, or a negative duration if
// none has arrived.
func (e *Endpoint) ReportAge(now time.Time) time.Duration {
	at := e.load.reportAt.Load()
	if at == noTime {
		return -1
	}
	return now.Sub(e.epoch) - time.Duration(at)
}
