package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/guard"
	"bramleymill/settings"
	"bramleymill/suspect"
)

// CrashPublisher publishes the crash suspects that this node detects: requests that may
// crash backend servers.
type CrashPublisher interface {
	// ReportCrash sends reports to the nodes of the service. It returns when the nodes
	// have acknowledged the reports or when ctx ends. The time limit of ctx is 200 ms.
	ReportCrash(ctx context.Context, reports []fleet.CrashReport)
	// ReportClearance publishes that a request is no longer suspected. It does not block.
	ReportClearance(c suspect.Clearance)
}

// Metrics records the measurements of the request path. An empty kind means that a
// backend server answered.
type Metrics interface {
	Finished(class string, kind errkind.Kind, status int, d time.Duration)
	Attempted(class string, target fleet.NodeID, kind errkind.Kind, hedge bool, d time.Duration)
	Probed(ok bool)
}

// Config holds the settings and the dependencies of a Proxy.
type Config struct {
	Node         fleet.NodeID
	Incarnation  fleet.Incarnation
	Zone         string
	Backend      *settings.Backend // backend server beside the node; nil: there is none
	ServiceToken string            // content of the service token file; empty: no token is accepted

	Directory     filter.Directory
	Configuration filter.Configuration
	Claims        filter.Claims
	Permits       filter.Permits // nil: quotas of customers are not enforced
	Locks         filter.Locks
	Crashes       CrashPublisher
	Suspects      *suspect.Table // crash suspects known to the node; nil: a new table
	Metrics       Metrics        // nil: the measurements are discarded
	// OnStateChange is called with the states of the backend server in their order, so
	// that the node can announce them: with the initial state before New returns, then
	// with each new state. OnStateChange must not block. It may be nil.
	OnStateChange func(fleet.ServerState)
	// OnWarmup is called before OnStateChange when a backend server that announces
	// itself becomes ready. left is the time for which the server is still slow after
	// its start. OnWarmup may be nil.
	OnWarmup func(left time.Duration)

	// Dialect names the headers of a platform. Nil: the headers of this product.
	Dialect *Dialect
	// AnyPlacement allows copies of a request to run on any server, even while another
	// copy is still running. Without AnyPlacement, copies run on few servers, which limits
	// the damage of a request that crashes servers.
	AnyPlacement bool

	// Sockets bounds the buffers of connections to backend servers and other nodes. If it is nil,
	// the kernel sizes them.
	Sockets *guard.Sockets
	// OnNoSlot is called when a request was refused because no slot of the backend server is
	// free. It may be nil.
	OnNoSlot func()

	// OnLaterConfig is called when a message from another node states a configuration
	// version that is later than the version of this node. It must not block. It may be
	// nil.
	OnLaterConfig func(version uint64)

	// BackendService returns the service that the settings name at this moment for the backend
	// server. It is called when another instance answers at the address of the server, which
	// may then belong to another service. It may be nil.
	BackendService func() (string, error)

	// ClientTLS is the TLS configuration for connections to other nodes. Nil: these
	// connections are not encrypted, and the name that a node states is accepted without
	// a check.
	ClientTLS *tls.Config
	// Datagrams carries reservations of slots for requests of classes that are
	// configured as items. Nil: such requests are sent without a reservation. The
	// sender of a datagram is not authenticated.
	Datagrams Datagrams
	// KeyGeneration returns a number that changes when the keys of ClientTLS change.
	// Connections that were opened with earlier keys get no further requests. It may be
	// nil.
	KeyGeneration func() uint64

	// LinkBytesPerSecond is the bandwidth of the link to other nodes. Zero: not known.
	LinkBytesPerSecond float64
	// ZoneWaitPerMB is the waiting time that a request accepts in its zone for each
	// megabyte that does not cross zones. Zero: pick.DefaultWaitPerMegabyte.
	ZoneWaitPerMB time.Duration

	Clock   clock.Clock    // nil: the system clock
	Seed    uint64         // seed of the random choices in classification and server selection
	Log     *slog.Logger   // nil: log lines are discarded
	Store   *explain.Store // nil: a new store with the limits Records and Events
	Records int            // number of request records kept; zero: explain.DefaultRecords
	Events  int            // number of events kept; zero: explain.DefaultEvents
}

func (c *Config) setDefaults() error {
	if c.Node == "" || c.Directory == nil || c.Configuration == nil || c.Claims == nil || c.Locks == nil || c.Crashes == nil {
		return errors.New("proxy: node, directory, configuration, claims, locks and crashes are required")
	}
	if c.Backend != nil && c.Backend.Announces && c.Dialect == nil {
		return errors.New("proxy: a backend server that announces itself needs a dialect")
	}
	if c.OnWarmup == nil {
		c.OnWarmup = func(time.Duration) {}
	}
	if c.Suspects == nil {
		c.Suspects = suspect.New(suspect.Config{})
	}
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	if c.OnStateChange == nil {
		c.OnStateChange = func(fleet.ServerState) {}
	}
	if c.OnLaterConfig == nil {
		c.OnLaterConfig = func(uint64) {}
	}
	if c.BackendService == nil && c.Backend != nil {
		service := c.Backend.Service
		c.BackendService = func() (string, error) { return service, nil }
	}
	if c.KeyGeneration == nil {
		c.KeyGeneration = func() uint64 { return 0 }
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Records == 0 {
		c.Records = explain.DefaultRecords
	}
	if c.Events == 0 {
		c.Events = explain.DefaultEvents
	}
	return nil
}

type noMetrics struct{}

func (noMetrics) Finished(string, errkind.Kind, int, time.Duration)                 {}
func (noMetrics) Attempted(string, fleet.NodeID, errkind.Kind, bool, time.Duration) {}
func (noMetrics) Probed(bool)                                                       {}
