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
	"bramleymill/settings"
	"bramleymill/suspect"
)

// Crashes publishes what this node learns about requests that crash backend
// servers.
type Crashes interface {
	// ReportCrash returns when the nodes of the service have acknowledged the
	// reports or ctx ends, which is after 200 ms.
	ReportCrash(ctx context.Context, reports []fleet.CrashReport)
	// ReportClear passes on that a suspicion is over. It does not block.
	ReportClear(c suspect.Clearance)
}

// Metrics receives the measurements of the request path. An empty kind means
// that a backend server answered.
type Metrics interface {
	Finished(class string, kind errkind.Kind, status int, d time.Duration)
	Attempted(class string, target fleet.NodeID, kind errkind.Kind, hedge bool, d time.Duration)
	Probed(ok bool)
}

// Config holds what a Proxy needs.
type Config struct {
	Node         fleet.NodeID
	Incarnation  fleet.Incarnation
	Zone         string
	Backend      *settings.Backend // nil: the node has no backend server
	ServiceToken string            // content of the service token file; empty: none

	Directory     filter.Directory
	Configuration filter.Configuration
	Claims        filter.Claims
	Locks         filter.Locks
	Crashes       Crashes
	Suspects      *suspect.Table // nil: a new one
	Metrics       Metrics        // nil: none
	// StateChanged is called with each state of the backend server, which the node
	// announces, in order: with the first one before New returns, then with each
	// new one. It must not block. It may be nil.
	StateChanged func(fleet.ServerState)
	// OnWarmup is called before StateChanged with the time for which the backend
	// server is still slow after its start, if it announces that. It may be nil.
	OnWarmup func(left time.Duration)

	// Dialect names the headers of a platform; nil: the product's own.
	Dialect *Dialect
	// AnyPlacement lets copies of a request run anywhere, also before one of them
	// has finished. See filter.ServerSelection.
	AnyPlacement bool

	// ConfigSeen is called with the version of a class document that is later than
	// the own and came with a message of another node. It must not block. It may
	// be nil.
	ConfigSeen func(version uint64)

	// ClientTLS is for connections to other nodes. Nil: they are plain, and the
	// name that a node states is taken for true.
	ClientTLS *tls.Config
	// Datagrams carries reservations of slots for requests of classes that are
	// configured as items. Nil: they are sent without a reservation. Datagrams prove
	// nothing about their sender.
	Datagrams Datagrams
	// KeyGeneration changes with the keys of ClientTLS. Connections made before are
	// not used for further requests. It may be nil.
	KeyGeneration func() uint64

	Clock   clock.Clock // nil: the system's
	Seed    uint64
	Log     *slog.Logger   // nil: discarded
	Store   *explain.Store // nil: a new one with Records and Events
	Records int            // request records kept; zero: explain.DefaultRecords
	Events  int            // events kept; zero: explain.DefaultEvents
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
	if c.StateChanged == nil {
		c.StateChanged = func(fleet.ServerState) {}
	}
	if c.ConfigSeen == nil {
		c.ConfigSeen = func(uint64) {}
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
