package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bramleymill/claim"
	"bramleymill/configstate"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/guard"
	"bramleymill/keys"
	"bramleymill/member"
	"bramleymill/metrics"
	"bramleymill/permit"
	"bramleymill/proxy"
	"bramleymill/replica"
	"bramleymill/settings"
	"bramleymill/suspect"
	"bramleymill/transport"
)

// Node is one node of the fleet.
type Node struct {
	settings      *settings.Settings
	logger        *slog.Logger
	keys          *keys.Store
	endpoint      *transport.Endpoint
	control       *control // nil without the control role
	member        *member.Member
	config        *configuration
	claims        *claim.Client
	permits       *permit.Client
	issuer        *permit.Issuer // nil without the control role
	crashes       *crashes
	suspects      *suspect.Table
	metrics       *metrics.Metrics
	store         *explain.Store
	recorder      *recorder // nil without a record file
	guard         *guard.Guard
	proxy         atomic.Pointer[proxy.Proxy]
	seed          uint64
	appliedOrders atomic.Uint64 // version of the operator orders (drains and releases) applied last
	options       Options
	stopping      atomic.Bool // set when the graceful stop begins
	seedsMu       sync.Mutex  // protects seeds
	seeds         []string    // now in use; SetSeeds replaces them

	superseded chan fleet.Incarnation // receives the incarnation of a later process of this node
}

// Options adapt a node to a platform with its own protocols.
type Options struct {
	Dialect   *proxy.Dialect // headers of callers and backend servers; nil: the default ones
	Listeners []Listener     // in addition to those of the settings
	// BackendService returns the service that the settings name at this moment for the backend
	// server. Nil: it does not change.
	BackendService func() (string, error)
}

// Listener is an HTTP listener that a node opens in addition to those of its settings.
type Listener struct {
	Name    string
	Address string
	Handler func(*Node) http.Handler
}

// New returns a node whose keys, data folder and control endpoint are open. Run starts
// it and releases them at the end.
func New(s *settings.Settings, logger *slog.Logger) (*Node, error) {
	return NewOnPlatform(s, logger, Options{})
}

// NewOnPlatform is like New, for a node on a platform with its own protocols.
func NewOnPlatform(s *settings.Settings, logger *slog.Logger, options Options) (*Node, error) {
	n := &Node{settings: s, options: options, seeds: s.Seeds, logger: logger.With("node", s.Node), seed: rand.Uint64(), metrics: metrics.New(s.Node),
		superseded: make(chan fleet.Incarnation, 1)}
	setMemoryLimit(&s.Limits)
	n.guard = guard.New(requestMemory(&s.Limits), guard.NewSockets(socketMemory(&s.Limits)), n.logger)
	var err error
	if n.keys, err = n.openKeys(); err != nil {
		return nil, err
	}
	if err := n.checkIdentity(); err != nil {
		return nil, err
	}
	mux := transport.NewMux()
	n.endpoint, err = transport.NewEndpoint(mux, transport.Config{Address: s.PeerAddress, Keys: n.keys, Logger: n.logger,
		MaxConnections: controlConnections(&s.Limits), Memory: messageMemory(&s.Limits)})
	if err != nil {
		return nil, err
	}
	if err := n.openState(mux); err != nil {
		return nil, errors.Join(err, n.release())
	}
	return n, nil
}

func (n *Node) openKeys() (*keys.Store, error) {
	s := n.settings
	if s.TrustedNetwork {
		role := fleet.RoleNode
		if s.Control != nil {
			role = fleet.RoleControl
		}
		return keys.NewForTrustedNetwork(nodeID(s), role, n.logger)
	}
	return keys.Load(keys.Config{
		Files:  keys.Files{Authority: s.Keys.Authority, Certificate: s.Keys.Certificate, PrivateKey: s.Keys.PrivateKey},
		Logger: n.logger,
	})
}

// releaseTimeout limits the release of a node that failed to start.
const releaseTimeout = time.Second

// release closes what New has opened if the node fails to start.
func (n *Node) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var err error
	if n.control != nil {
		err = n.control.close(ctx)
	}
	if n.recorder != nil {
		err = errors.Join(err, n.recorder.file.Close())
	}
	if n.permits != nil {
		n.permits.Close()
	}
	return errors.Join(err, n.endpoint.Close(ctx))
}

func nodeID(s *settings.Settings) fleet.NodeID { return fleet.NodeID(s.Node) }

// checkIdentity returns an error if the certificate belongs to another node or lacks
// the role that the settings require.
func (n *Node) checkIdentity() error {
	name, role := n.keys.Self()
	if name != nodeID(n.settings) {
		return fmt.Errorf("keys.certificate: issued for node %q, but the settings name the node %q; issue one with 'bramleymillctl keys issue'", name, n.settings.Node)
	}
	if n.settings.Control != nil && role != fleet.RoleControl {
		return fmt.Errorf("keys.certificate: has role %q, but the settings require the control role; issue one with --role control", role)
	}
	return nil
}

func (n *Node) openState(mux *transport.Mux) error {
	s := n.settings
	n.store = explain.NewStore(nodeID(s), explain.DefaultRecords, explain.DefaultEvents)
	var source member.ConfigSource
	var proposer replica.Proposer = replica.NewRemote(n.endpoint, s.Seeds, groupClaims)
	if s.Control != nil {
		c, err := openControl(s, mux, n.endpoint, n.seed, n.logger, n.recordControlEvent)
		if err != nil {
			return err
		}
		n.control, source, proposer = c, c, c.claims
	}
	n.claims = claim.NewClient(proposer)
	m, err := member.New(member.Config{
		Self:        n.announcement(),
		Seeds:       s.Seeds,
		Client:      n.endpoint,
		Mux:         mux,
		Seed:        n.seed,
		Logger:      n.logger,
		MaxChildren: n.maxChildren(),
		Source:      source,
	})
	if err != nil {
		return err
	}
	n.member = m
	n.config = &configuration{confirmationAge: m.ConfirmationAge, logger: n.logger, onOrders: n.applyOrders, onClasses: n.recordConfigApplied}
	m.OnConfig(n.config.apply)
	m.OnIncarnation(func(i fleet.Incarnation) {
		if p := n.proxy.Load(); p != nil {
			p.SetIncarnation(i)
		}
	})
	m.OnSuperseded(func(i fleet.Incarnation) {
		select {
		case n.superseded <- i:
		default:
		}
	})
	if n.control != nil {
		wake := m.NotifyConfigChanged
		n.control.wakeMember.Store(&wake)
		wake() // the state machine may have changed before
	}
	if err := n.openQuotas(mux); err != nil {
		return err
	}
	n.crashes = &crashes{client: n.endpoint, member: m, self: nodeID(s), logger: n.logger}
	n.suspects = suspect.New(n.suspectConfig())
	receiveCrashes(mux, m, n.suspects, n.store, n.logger)
	handleLoadQueries(mux, n.proxy.Load)
	explain.Register(mux, n.store)
	n.handlePlans(mux)
	if s.RecordFile != "" {
		if n.recorder, err = newRecorder(s.RecordFile); err != nil {
			return err
		}
		n.store.Observe(n.recorder.add)
	}
	return nil
}

// platformCrashLimit is the number of backend server crashes after which a request is
// refused on a platform. Until then, requests are not confined there.
const platformCrashLimit = 3

// suspectConfig returns the rules for requests that crash backend servers. On a platform,
// requests are refused after platformCrashLimit crashes but never confined, so that
// requests that were only in flight at a crashed server are retried on other servers
// without waiting for each other.
func (n *Node) suspectConfig() suspect.Config {
	if n.options.Dialect == nil {
		return suspect.Config{}
	}
	return suspect.Config{Crashes: platformCrashLimit, SuspectAfter: platformCrashLimit}
}

func (n *Node) maxChildren() int {
	if n.settings.Control != nil {
		return n.settings.Control.MaxChildren
	}
	return settings.DefaultMaxChildren
}

func (n *Node) announcement() fleet.Server {
	s := n.settings
	a := fleet.Server{
		Node:            nodeID(s),
		Incarnation:     fleet.Incarnation(time.Now().UnixNano()),
		Sequence:        1,
		Region:          s.Region,
		Zone:            s.Zone,
		PeerAddress:     s.AdvertisedAddress,
		State:           fleet.Starting,
		ControlInstance: s.Control != nil,
	}
	if s.Backend != nil {
		a.Service, a.Slots = s.Backend.Service, s.Backend.Slots
	}
	return a
}

// recordControlEvent records an event of the control role of this node.
func (n *Node) recordControlEvent(kind explain.EventKind, reason string) {
	n.store.AddEvent(time.Now(), kind, nodeID(n.settings), "", reason)
}

func (n *Node) recordConfigApplied(version uint64) {
	n.store.AddEvent(time.Now(), explain.ConfigApplied, nodeID(n.settings), "", fmt.Sprintf("version %d", version))
}

// applyOrders applies operator orders, which are drains of nodes, releases of crash suspects and
// zones taken out of use, to the request path. Of the releases it applies only those that are newer
// than the orders applied before.
func (n *Node) applyOrders(o *configstate.Orders) {
	p := n.proxy.Load()
	if p == nil {
		return
	}
	p.DrainBackend(o.Drained(nodeID(n.settings)) || o.ZoneOut(n.settings.Zone))
	if out := o.ZonesOut(); p.SetZonesOut(out) {
		n.logger.Info("zones out of use", "zones", out, "orders", o.Version)
		n.store.AddEvent(time.Now(), explain.ZonesChanged, nodeID(n.settings), "", fmt.Sprintf("out of use: %q", out))
	}
	n.metrics.Set("zones_out_of_use", float64(len(o.ZonesOut())))
	previousVersion := n.appliedOrders.Swap(o.Version)
	for _, r := range o.Releases {
		if r.Version > previousVersion {
			n.suspects.Release(time.Now(), suspect.Key{Service: r.Service, Fingerprint: r.Fingerprint})
		}
	}
}

func (n *Node) serviceToken() (string, error) {
	b := n.settings.Backend
	if b == nil || b.ServiceToken == "" {
		return "", nil
	}
	token, err := os.ReadFile(b.ServiceToken)
	if err != nil {
		return "", fmt.Errorf("backend.service_token_file: %w", err)
	}
	return strings.TrimSpace(string(token)), nil
}

// Run serves until ctx ends and then stops gracefully. Requests that are still in flight
// after the drain timeout are cancelled. Run also stops if a part of the node fails, or
// with ErrSuperseded if a later process has the name of the node. It returns
// ErrStopTimeout if the stop does not finish within the stop timeout; goroutines of the
// node may then still run.
func (n *Node) Run(ctx context.Context) error {
	var stopAt atomic.Pointer[time.Time] // when ctx ended
	defer context.AfterFunc(ctx, func() { now := time.Now(); stopAt.Store(&now) })()
	r, err := n.start(ctx.Done())
	if err != nil {
		return errors.Join(err, n.release())
	}
	n.logger.Info("node started", "caller_address", n.settings.CallerAddress, "peer_address", n.settings.PeerAddress,
		"control", n.control != nil)
	select {
	case <-ctx.Done():
	case <-r.failed:
	case incarnation := <-n.superseded:
		err = fmt.Errorf("%w: incarnation %d", ErrSuperseded, incarnation)
	}
	begin := time.Now()
	if at := stopAt.Load(); at != nil {
		begin = *at // earlier if the node was still starting
	}
	return errors.Join(err, n.stop(r, begin))
}

// ErrSuperseded is returned by Run when another process has the name of the node and a
// higher incarnation. With two processes of one name the fleet could not determine which
// of them runs a request. The process that started later replaces the earlier one.
var ErrSuperseded = errors.New("a process that started later runs under the name of this node")

// running contains the running parts of the node. The method start starts them, and the
// method stop ends them.
type running struct {
	group     *errgroup.Group
	failed    <-chan struct{} // closed when a part of the node has failed
	cancel    context.CancelFunc
	proxy     *proxy.Proxy
	listeners []*listener
}
