package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Announcement is the state that a backend server announces about itself.
type Announcement struct {
	Instance  string    // identity of the backend server
	StartedAt time.Time // start of the process; zero: not stated
	Sequence  uint64    // increases with each announcement of a process
	State     fleet.ServerState
	Slots     int           // number of requests that the server runs at the same time; zero: not stated
	Warmup    time.Duration // time for which the process is still slow after its start
	// WarmupStated is set if the announcement states the Warmup. Otherwise it is not known
	// whether the process is still slow.
	WarmupStated bool
}

// Bounds of the values of an announcement. Another writer may announce values that the
// backend server never sends.
const (
	MaxAnnouncedSlots  = 1 << 16
	MaxAnnouncedWarmup = time.Hour
	// maxAnnouncedSequence is the largest whole number that every JSON encoder writes
	// exactly. After a larger one, all announcements of the backend server would count as
	// older.
	maxAnnouncedSequence = 1<<53 - 1
	// maxStartAhead is the largest difference between the clocks of the backend server and
	// the node. A process with a later start would count as the successor of every other.
	maxStartAhead    = time.Hour
	maxInstanceBytes = 256
)

// Validate returns an error of kind BadRequest for an announcement with a value that is
// out of range.
func (a *Announcement) Validate(now time.Time) error {
	invalid := func(what string, value any) error {
		return errkind.New(errkind.BadRequest, "the announcement has an invalid %s: %.64v", what, value)
	}
	switch {
	case a.Instance == "" || len(a.Instance) > maxInstanceBytes || strings.ContainsFunc(a.Instance, notPrintable):
		return invalid("instance", a.Instance)
	case a.Slots < 0 || a.Slots > MaxAnnouncedSlots:
		return invalid("number of slots", a.Slots)
	case a.Warmup < 0 || a.Warmup > MaxAnnouncedWarmup:
		return invalid("warmup", a.Warmup)
	case a.Sequence > maxAnnouncedSequence:
		return invalid("sequence", a.Sequence)
	case !a.StartedAt.IsZero() && (a.StartedAt.Unix() < 0 || a.StartedAt.After(now.Add(maxStartAhead))):
		return invalid("start time", a.StartedAt)
	}
	return nil
}

// notPrintable reports whether r must not appear in the value of a header.
func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// sameProcess reports whether two announcements come from the same process of the
// same instance. If one of them does not state the start of its process, only the
// instances are compared.
func (a *Announcement) sameProcess(other *Announcement) bool {
	return a.Instance == other.Instance && (a.StartedAt.Equal(other.StartedAt) || a.StartedAt.IsZero() || other.StartedAt.IsZero())
}

// ErrOtherBackendServer is returned for an announcement of a backend server other
// than the one beside the node.
var ErrOtherBackendServer = errors.New("the announcement is not from the backend server beside this node")

const (
	identifyInterval = 250 * time.Millisecond // interval of queries while the instance is not known
	identifyTimeout  = time.Second            // limit for one request to the health endpoint
)

// announcedState holds the latest announcement of the backend server. After a start
// of the node, and when another instance answers at the address, it queries the
// health endpoint for the instance, so that it does not depend on the arrival of an
// announcement.
type announcedState struct {
	config         *Config
	onChange       func()
	onHealth       func(healthAnswer)  // called with each answer of the health endpoint
	onAnnounced    func(*Announcement) // called with each announcement that is in force
	onReplaced     func()              // called before an instance is identified that is not the current one
	client         *http.Client
	wake           chan struct{}
	healthRequests singleflight.Group
	queries        *rate.Limiter // bounds the requests to the health endpoint

	mu         sync.Mutex
	current    *Announcement // nil: the instance is not known
	fromHealth bool          // current comes from the health endpoint
	pending    *Announcement // from another process; applied when the health endpoint names its instance
	foreign    string        // instance that has announced itself for another service; empty: none
	ended      processEnd
}

func newAnnouncedState(c *Config, changed func()) *announcedState {
	return &announcedState{config: c, onChange: changed, onHealth: func(healthAnswer) {},
		onAnnounced: func(*Announcement) {}, onReplaced: func() {}, queries: rate.NewLimiter(healthPerSecond, healthBurst), wake: make(chan struct{}, 1), client: newHealthClient(identifyTimeout)}
}

// accept applies an announcement unless it is older than the current one. An older
// one is not an error, since it may have been delayed in the network.
func (a *announcedState) accept(n Announcement) {
	a.mu.Lock()
	if n.Instance == a.foreign {
		a.foreign = ""
	}
	changed := a.update(&n)
	inForce := a.current == &n
	a.mu.Unlock()
	if inForce {
		a.onAnnounced(&n)
	}
	if changed {
		a.config.Log.Info("backend server announced", "instance", n.Instance, "state", n.State, "sequence", n.Sequence,
			"slots", n.Slots, "warmup", n.Warmup)
		a.onChange()
	}
}

// update replaces the current announcement by a newer one. It reports whether the
// state of the backend server may have changed. The caller holds mu.
func (a *announcedState) update(n *Announcement) bool {
	c := a.current
	if c == nil {
		a.current = n
		return true
	}
	if c.sameProcess(n) {
		a.ended.announced(a)
		// A process that leaves does not become ready again: an announcement of Ready
		// after that is a delayed one.
		if c.State != fleet.Ready && c.State != fleet.Starting && n.State == fleet.Ready || !a.fromHealth && n.Sequence <= c.Sequence && n.State != fleet.Left {
			return false
		}
		old := *c
		if n.Slots == 0 {
			n.Slots = old.Slots
		}
		if n.StartedAt.IsZero() {
			n.StartedAt = old.StartedAt
		}
		if n.State == fleet.Left {
			n.Sequence = max(n.Sequence, old.Sequence)
		}
		a.current, a.fromHealth = n, false
		return n.State != old.State || n.Slots != old.Slots || old.StartedAt.IsZero() != n.StartedAt.IsZero()
	}
	if n.State == fleet.Left {
		return false // the announcement is from a process that has been replaced
	}
	if !c.StartedAt.IsZero() && !n.StartedAt.IsZero() {
		if n.Instance != c.Instance && !n.StartedAt.After(c.StartedAt) {
			a.pending = n // delayed, or from a server whose clock is behind that of the one before
			a.requestIdentification()
			return false
		}
		if n.Instance == c.Instance && !a.ended.allows(n, c) {
			return false
		}
		a.ended.replace(c, n)
		a.current, a.fromHealth, a.pending = n, false, nil
		return true
	}
	// Unless both start times are known, only the health endpoint shows which instance
	// is running.
	a.pending = n
	a.requestIdentification()
	return false
}

// markLeaving records that the process with the condition c is leaving. From then on it gets
// no new requests, as after an announcement of its departure.
func (a *announcedState) markLeaving(c *fleet.Condition) {
	a.mu.Lock()
	old := a.current
	changed := old != nil && old.Instance == c.Instance && (old.State == fleet.Ready || old.State == fleet.Starting)
	if changed {
		next := *old
		next.State = fleet.Draining
		if next.StartedAt.IsZero() && c.StartedAt != 0 {
			next.StartedAt = time.UnixMilli(c.StartedAt) // a later process of the instance supersedes it
		}
		a.current = &next
	}
	a.mu.Unlock()
	if changed {
		a.onChange()
	}
}

// requestIdentification makes run query the health endpoint without delay.
func (a *announcedState) requestIdentification() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// forget removes the current announcement if it is from instance, which no longer
// answers at the address.
func (a *announcedState) forget(instance string) {
	a.mu.Lock()
	forgotten := a.current != nil && a.current.Instance == instance
	if forgotten {
		a.current = nil
	}
	a.mu.Unlock()
	if forgotten {
		a.config.Log.Info("backend server replaced", "instance", instance)
		a.onChange()
		a.requestIdentification()
	}
}

// unidentified reports whether the health endpoint is to be queried for the instance.
func (a *announcedState) unidentified() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current == nil && a.foreign == ""
}

// latest returns the current announcement, or nil if the instance is not known.
func (a *announcedState) latest() *Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// exclude records that instance, which answers at the address of the backend server, has
// announced itself for another service. It gets no requests unless it announces itself for the
// service of this node. An instance that has done so before is not excluded: another writer may
// send announcements in its name.
func (a *announcedState) exclude(instance string) {
	a.mu.Lock()
	known := a.current != nil && a.current.Instance == instance
	if known && !a.fromHealth {
		a.mu.Unlock()
		return
	}
	a.foreign = instance
	if known {
		a.current, a.fromHealth = nil, false
	}
	a.mu.Unlock()
	if known {
		a.config.Log.Warn("backend server of another service at the address", "instance", instance)
		a.onChange()
	}
}

// run identifies the backend server on request and whenever its instance is not
// known, until ctx ends.
func (a *announcedState) run(ctx context.Context, alive func() bool) {
	t := time.NewTicker(identifyInterval)
	defer t.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			requested = true
		case <-t.C:
		}
		if alive() && (requested || a.unidentified()) {
			a.identify(ctx)
		}
	}
}

// identify queries the health endpoint for the instance and applies the answer.
func (a *announcedState) identify(ctx context.Context) {
	h, err := a.health(ctx)
	if err == nil && h.instance != "" {
		if c := a.latest(); c == nil || c.Instance != h.instance {
			a.onReplaced()
		}
		a.applyIdentity(h.instance, h.healthy, h.load.Slots, h.hasLoad)
		a.onHealth(h)
	}
}

// applyIdentity records the instance that the health endpoint names. A healthy
// answer also shows that the instance is not leaving. An unhealthy answer may be wrong,
// so the server then counts as starting until its next announcement.
func (a *announcedState) applyIdentity(instance string, healthy bool, slots int, hasLoad bool) {
	n := &Announcement{Instance: instance, State: fleet.Starting}
	if healthy {
		n.State = fleet.Ready
	}
	if hasLoad {
		n.Slots = slots
	}
	a.mu.Lock()
	changed := true
	var announced *Announcement
	switch {
	case instance == a.foreign:
		changed = false
	case a.pending != nil && a.pending.Instance == instance:
		a.current, a.fromHealth, announced = a.pending, false, a.pending
	case a.current == nil || a.current.Instance != instance:
		a.current, a.fromHealth, a.ended.at = n, true, time.Time{}
	default:
		changed = false
	}
	a.pending = nil
	a.mu.Unlock()
	if announced != nil {
		a.onAnnounced(announced)
	}
	if changed {
		a.config.Log.Info("backend server identified", "instance", instance, "healthy", healthy, "slots", slots)
		a.onChange()
	}
}

// Announce applies an announcement of the backend server beside the node. An empty
// service or address is not checked. After Announce has returned, a server that is
// leaving gets no new requests through this node.
func (p *Proxy) Announce(service, address string, n Announcement) error {
	if p.local == nil || p.local.announced == nil {
		return errkind.New(errkind.BadRequest, "%w: this node has no backend server", ErrOtherBackendServer)
	}
	b := p.config.Backend
	other := service != "" && service != b.Service
	invalid := n.Validate(p.config.Clock.Now())
	if other && address == b.Address && invalid == nil && p.knowsService(service) {
		p.local.announced.exclude(n.Instance)
	}
	if other || address != "" && address != b.Address {
		return errkind.New(errkind.BadRequest, "%w: it states service %q and address %q", ErrOtherBackendServer, service, address)
	}
	if invalid != nil {
		return invalid
	}
	p.local.announced.accept(n)
	return nil
}
