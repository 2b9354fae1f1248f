package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	Instance  string    // identity of the backend server
	StartedAt time.Time // start of this life; zero: not told
	Sequence  uint64    // increases with the announcements of a life
	State     fleet.ServerState
	Slots     int
	Warmup    time.Duration // for which it is still slow after its start
}

// sameLife reports whether two announcements are of one life of one instance. A
// life whose start is not told is taken for the one that is known.
func (a *Announcement) sameLife(o *Announcement) bool {
	return a.Instance == o.Instance && (a.StartedAt.Equal(o.StartedAt) || a.StartedAt.IsZero() || o.StartedAt.IsZero())
}

// ErrOtherBackendServer is returned for an announcement of a server that is not the one
// beside the node.
var ErrOtherBackendServer = errors.New("the announcement is not of the backend server beside this node")

// Times of the identification of a backend server.
const (
	identifyRetry   = 250 * time.Millisecond
	identifyTimeout = time.Second
)

// announced holds what the backend server has said of itself. After a start of
// the node, and when another instance turns out to answer, it asks the health
// endpoint which instance it is: that needs no announcement to arrive.
type announced struct {
	config  *Config
	changed func()
	client  *http.Client
	wake    chan struct{}
	asking  singleflight.Group

	mu      sync.Mutex
	current *Announcement // nil: not known
	asked   bool          // current comes from the health endpoint
	pending *Announcement // of another instance, to be confirmed by the health endpoint
}

func newAnnounced(c *Config, changed func()) *announced {
	return &announced{config: c, changed: changed, wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: identifyTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// take adopts an announcement unless it is older than what is known. An older one
// is no error: it may have been delayed on its way.
func (a *announced) take(n Announcement) {
	a.mu.Lock()
	took := a.adopt(&n)
	a.mu.Unlock()
	if took {
		a.config.Log.Info("backend server announced", "instance", n.Instance, "state", n.State, "sequence", n.Sequence,
			"slots", n.Slots, "warmup", n.Warmup)
		a.changed()
	}
}

// adopt reports whether something has changed. The caller holds mu.
func (a *announced) adopt(n *Announcement) bool {
	c := a.current
	if c == nil {
		a.current = n
		return true
	}
	if c.sameLife(n) {
		// A departure is final for the life. A late announcement does not end it.
		if c.State != fleet.Ready && c.State != fleet.Starting && n.State == fleet.Ready || !a.asked && n.Sequence <= c.Sequence && n.State != fleet.Left {
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
		a.current, a.asked = n, false
		return n.State != old.State || n.Slots != old.Slots || old.StartedAt.IsZero() != n.StartedAt.IsZero()
	}
	if n.State == fleet.Left {
		return false // of a life that has been replaced
	}
	if !c.StartedAt.IsZero() && !n.StartedAt.IsZero() {
		if !n.StartedAt.After(c.StartedAt) {
			return false
		}
		a.current, a.asked, a.pending = n, false, nil
		return true
	}
	// Without both starts only the server itself can tell which one is there.
	a.pending = n
	a.identify()
	return false
}

// identify asks for a look at the health endpoint.
func (a *announced) identify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// forget drops an instance that no longer answers at the address.
func (a *announced) forget(instance string) {
	a.mu.Lock()
	forgotten := a.current != nil && a.current.Instance == instance
	if forgotten {
		a.current = nil
	}
	a.mu.Unlock()
	if forgotten {
		a.config.Log.Info("backend server replaced", "instance", instance)
		a.changed()
		a.identify()
	}
}

// known returns what is known, or nil.
func (a *announced) known() *Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// run identifies the backend server whenever it is not known.
func (a *announced) run(ctx context.Context, alive func() bool) {
	t := time.NewTicker(identifyRetry)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			asked = true
		case <-t.C:
		}
		if alive() && (asked || a.known() == nil) {
			a.ask(ctx)
		}
	}
}

// ask identifies the backend server.
func (a *announced) ask(ctx context.Context) {
	h, err := a.health(ctx)
	if err == nil && h.instance != "" {
		a.identified(h.instance, h.good, h.load.Slots, h.told)
	}
}

// healthAnswer is the answer of the health endpoint.
type healthAnswer struct {
	instance string
	good     bool
	load     LoadState
	told     bool // load is set
}

// health makes one request to the health endpoint. Callers at the same time share
// one.
func (a *announced) health(ctx context.Context) (healthAnswer, error) {
	v, err, _ := a.asking.Do("", func() (any, error) { return a.request(context.WithoutCancel(ctx)) })
	if err != nil {
		return healthAnswer{}, err
	}
	return v.(healthAnswer), nil
}

func (a *announced) request(ctx context.Context) (healthAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.config.Backend.Address+a.healthPath(), nil)
	if err != nil {
		return healthAnswer{}, err
	}
	resp, err := a.client.Do(req)
	a.config.Metrics.Probed(err == nil && resp.StatusCode == http.StatusOK)
	if err != nil {
		return healthAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.CopyN(io.Discard, resp.Body, maxHealthBytes); err != nil && !errors.Is(err, io.EOF) {
		return healthAnswer{}, err
	}
	h := healthAnswer{instance: resp.Header.Get(a.config.Dialect.Instance), good: resp.StatusCode == http.StatusOK}
	h.load, h.told = parseLoad(resp.Header.Get(a.config.Dialect.Load))
	return h, nil
}

// healthPath returns the configured path of the service.
func (a *announced) healthPath() string {
	if set := a.config.Configuration.Current(); set != nil {
		if s := set.Service(a.config.Backend.Service); s != nil && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return a.config.Backend.HealthPath
}

// identified takes the answer of the health endpoint. It names the instance; a
// good answer also says that it is not leaving. A bad one may lie, so that the
// state then waits for an announcement.
func (a *announced) identified(instance string, good bool, slots int, told bool) {
	n := &Announcement{Instance: instance, State: fleet.Starting}
	if good {
		n.State = fleet.Ready
	}
	if told {
		n.Slots = slots
	}
	a.mu.Lock()
	took := true
	switch {
	case a.pending != nil && a.pending.Instance == instance:
		a.current, a.asked = a.pending, false
	case a.current == nil || a.current.Instance != instance:
		a.current, a.asked = n, true
	default:
		took = false
	}
	a.pending = nil
	a.mu.Unlock()
	if took {
		a.config.Log.Info("backend server identified", "instance", instance, "healthy", good, "slots", slots)
		a.changed()
	}
}

// Announce takes what the backend server beside the node says of itself. From its
// return on, a server that leaves gets no new work through this node.
func (p *Proxy) Announce(service, address string, n Announcement) error {
	if p.local == nil || p.local.announced == nil {
		return errkind.New(errkind.BadRequest, "%w: there is none", ErrOtherBackendServer)
	}
	b := p.config.Backend
	if service != "" && service != b.Service || address != "" && address != b.Address {
		return errkind.New(errkind.BadRequest, "%w: it is of service %q at %q", ErrOtherBackendServer, service, address)
	}
	if n.Instance == "" || n.Slots < 0 || n.Warmup < 0 {
		return errkind.New(errkind.BadRequest, "the announcement has no instance or a negative figure")
	}
	p.local.announced.take(n)
	return nil
}
