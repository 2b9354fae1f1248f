package member

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"bramleymill/fleet"
)

// core is the state of one member. It does no I/O and is not safe for concurrent use.
type core struct {
	id                   fleet.NodeID
	self                 fleet.Server
	maxChildren          int
	source               ConfigSource
	random               *rand.Rand
	boot                 uint64 // random id of this process start
	started              time.Time
	reg                  *registry
	up                   upstream
	children             map[fleet.NodeID]*child
	peers                map[string]*peer
	subscriptions        map[string]*subscription
	conf                 configuration
	fetch                fetch
	broadcasts           broadcastLog
	controls             knownControls
	joins                bucket         // limits the rate at which children are accepted
	synced               bool           // this control instance knows the subtrees of all others
	warmup               *time.Duration // remaining warm-up of the backend server; nil: not set
	leaving              bool           // this node has announced the state Left
	superseded           bool           // another process with the name of this node replaced this one
	probesInFlight       int
	nextScan             time.Time
	nextPurge            time.Time
	nextSubscriptionScan time.Time
	events               []event
	stats                Stats
}

// event is delivered to the callbacks of Member.
type event interface{ isEvent() }

type (
	configEvent struct {
		version  uint64
		document []byte
	}
	broadcastEvent struct {
		topic   string
		origin  fleet.NodeID
		payload []byte
	}
	incarnationEvent struct{ incarnation fleet.Incarnation }
	supersededEvent  struct{ incarnation fleet.Incarnation }
	stateEvent       struct {
		server fleet.Server
		change string
	}
)

func (configEvent) isEvent()      {}
func (broadcastEvent) isEvent()   {}
func (incarnationEvent) isEvent() {}
func (supersededEvent) isEvent()  {}
func (stateEvent) isEvent()       {}

// action is a message to send.
type action interface{ isAction() }

type (
	sendHeartbeat struct {
		address string
		request *heartbeat
		sent    time.Time // clock reading from before the request is encoded
		rev     uint64    // revision of this member's registry up to which the request reports
	}
	sendNotify struct {
		node    fleet.NodeID
		address string
	}
	sendPing struct {
		node    fleet.NodeID
		address string
		began   time.Time
	}
	sendProbe struct {
		node    fleet.NodeID
		helper  string
		request *probe
		began   time.Time
	}
	sendExchange struct {
		address        string
		request        *exchange
		upTo           uint64 // revision of this member's registry up to which the request reports
		broadcastsUpTo uint64
	}
)

func (sendHeartbeat) isAction() {}
func (sendNotify) isAction()    {}
func (sendPing) isAction()      {}
func (sendProbe) isAction()     {}
func (sendExchange) isAction()  {}

func newCore(c Config, now time.Time) *core {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Self.Node))
	k := &core{
		id:            c.Self.Node,
		self:          c.Self,
		maxChildren:   c.MaxChildren,
		source:        c.Source,
		random:        rand.New(rand.NewPCG(c.Seed, h.Sum64())),
		started:       now,
		reg:           newRegistry(),
		children:      map[fleet.NodeID]*child{},
		peers:         map[string]*peer{},
		subscriptions: map[string]*subscription{},
	}
	// boot includes the wall-clock time because a process may be started again with
	// the same seed.
	k.boot = k.random.Uint64() ^ uint64(now.UnixNano())
	k.joins = bucket{tokens: joinBurst, at: now}
	k.up.init(k, c.Seeds, now)
	k.broadcasts.init()
	k.addPeers(c.Seeds, now)
	k.synced = len(k.peers) == 0
	k.announce(now)
	return k
}

// addPeers adds control instances that this control instance exchanges with. It
// has no effect on other nodes.
func (k *core) addPeers(addresses []string, now time.Time) {
	for _, a := range addresses {
		if k.control() && a != k.self.PeerAddress && k.peers[a] == nil {
			k.peers[a] = &peer{address: a, next: now}
		}
	}
}

func (k *core) control() bool { return k.source != nil }

// announce puts the changed announcement of this node into the registry.
func (k *core) announce(now time.Time) {
	e, _ := k.reg.put(k.self, false, now)
	e.via, e.lastContact, e.appliedVersion, e.wasInSubtree = k.id, now, k.conf.version, true
	k.raiseUpdateUrgency(urgencyOf(k.self, false))
}

// setState announces a new state immediately. Left is final.
func (k *core) setState(s fleet.ServerState, now time.Time) {
	if k.self.State == s || k.leaving {
		return
	}
	if s == fleet.Ready {
		k.self.ReadySince = now.UnixMilli()
		if k.warmup != nil {
			// Nodes that select a server assume that it warms up for slowStart after
			// ReadySince, so ReadySince is set that long before the end of the warm-up.
			k.self.ReadySince = now.Add(*k.warmup - slowStart).UnixMilli()
		}
	}
	k.self.State = s
	k.self.Sequence++
	if s == fleet.Left {
		k.leaving = true
		k.notifyAllChildren()
	}
	k.announce(now)
}

// raiseUpdateUrgency brings forward the messages that report a change in this
// member's subtree to the parent or to the other control instances.
func (k *core) raiseUpdateUrgency(u urgency) {
	k.up.urgency.raise(u)
	for _, p := range k.peers {
		p.urgency.raise(u)
	}
}

// due returns the messages to send now.
func (k *core) due(now time.Time) []action {
	k.readSource(now)
	k.reg.entries[k.id].lastContact = now
	k.reg.entries[k.id].appliedVersion = k.conf.version
	var out []action
	if k.control() {
		out = k.dueExchanges(out, now)
	} else {
		out = k.dueHeartbeat(out, now)
		out = k.dueFetch(out, now)
	}
	out = k.dueNotifications(out, now)
	if !now.Before(k.nextScan) && (k.control() || len(k.children) > 0) {
		out = k.scan(out, now)
	}
	if !now.Before(k.nextPurge) {
		k.nextPurge = now.Add(purgeInterval)
		k.reg.purge(now)
		k.broadcasts.purge(now)
	}
	if !now.Before(k.nextSubscriptionScan) {
		k.nextSubscriptionScan = now.Add(subscriptionScanInterval)
		k.expireSubscriptions(now)
	}
	return out
}

// jitter returns d randomly increased or decreased by up to the given fraction.
func (k *core) jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 + fraction*(2*k.random.Float64()-1)))
}

// randomBetween returns a random duration from low to high, both included.
func (k *core) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(k.random.Int64N(int64(high-low)+1))
}

// bucket is a token bucket that limits a rate.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*perSecond)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
