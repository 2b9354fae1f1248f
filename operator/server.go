package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"bramleymill/clock"
	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/guard"
	"bramleymill/permit"
	"bramleymill/replica"
)

// MaxBodyBytes limits the size of a request body. The body contains a document as a JSON
// string, which takes up to two bytes for each byte of the document, because quotes and
// line ends are escaped.
const MaxBodyBytes = 2*configstate.MaxDocumentBytes + 16<<10

// State is the copy of the configuration on a control instance.
// *configstate.Machine implements it.
type State interface {
	View() *configstate.View
	Version(version uint64) (configstate.Version, bool)
	History(after uint64, limit int) configstate.Trail
	Diff(from, to uint64) (string, error)
}

// Confirmer checks with a majority that the local state is current.
type Confirmer interface {
	// ReadBarrier returns nil when the local state holds every change that was
	// accepted before the call.
	ReadBarrier(ctx context.Context) error
}

// FleetView lists all nodes of the fleet. Only the registry of a control instance
// is complete. The view of another node contains only the services that it calls, so a
// wait that used this view would end before the remaining nodes have applied the change.
type FleetView interface {
	Nodes() []NodeStatus
}

// Explainer finds the record of a request. It returns an error of kind NotFound
// if no node has the record.
type Explainer interface {
	Explain(ctx context.Context, requestID string) (Explanation, error)
}

// SuspectList lists the crash suspects in the table of this node.
type SuspectList interface {
	Suspects() []Suspect
}

// Bootstrapper starts the replicated log with this instance as its only voter.
type Bootstrapper interface {
	Bootstrap(ctx context.Context) error
}

// QuotaView returns the state of the quotas of customers at all voters, for one customer if its
// name is not empty.
type QuotaView interface {
	Quotas(ctx context.Context, customer string) ([]permit.Status, error)
}

// Config configures a Server. State, Confirmer, Bootstrapper and Fleet are nil on
// a node without the control role; requests that need them are refused there.
type Config struct {
	Node     fleet.NodeID
	Identify Identify
	Log      *slog.Logger
	Clock    clock.Clock // gives the submission time of changes; nil means the system clock

	State        State
	Confirmer    Confirmer
	Proposer     replica.Proposer // proposes to the configuration group and forwards to its leader
	Bootstrapper Bootstrapper

	Fleet     FleetView
	Quotas    QuotaView // nil on a node without the control role
	Explainer Explainer
	Suspects  SuspectList
	Events    EventLog
	Planner   Planner

	// PollInterval is the interval at which a wait reads the fleet view. Zero means
	// DefaultPollInterval.
	PollInterval time.Duration
}

// DefaultPollInterval is short compared with the interval of 500 ms between the
// heartbeats that carry the applied version of a node.
const DefaultPollInterval = 100 * time.Millisecond

// Server is the http.Handler of the operator interface.
type Server struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Server. Zero values of Clock, PollInterval and Log get defaults.
func New(c Config) *Server {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.PollInterval == 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{config: c, mux: http.NewServeMux()}
	for pattern, h := range map[string]handler{
		"POST /v1/init":                  s.init,
		"GET /v1/config":                 s.configuration,
		"POST /v1/config":                s.apply,
		"POST /v1/config/rollback":       s.rollback,
		"GET /v1/config/diff":            s.diff,
		"GET /v1/config/wait":            s.wait,
		"GET /v1/history":                s.history,
		"GET /v1/status":                 s.status,
		"GET /v1/explain/{request}":      s.explain,
		"GET /v1/plan":                   s.plan,
		"POST /v1/nodes/{node}/drain":    s.orderHandler(configstate.Drain),
		"POST /v1/nodes/{node}/undrain":  s.orderHandler(configstate.Undrain),
		"POST /v1/zones/{zone}/evacuate": s.zoneHandler(configstate.Evacuate),
		"POST /v1/zones/{zone}/return":   s.zoneHandler(configstate.Return),
		"GET /v1/events":                 s.events,
		"GET /v1/quotas":                 s.quotas,
		"GET /v1/suspects":               s.suspects,
		"POST /v1/suspects/release":      s.release,
	} {
		s.mux.HandleFunc(pattern, s.authenticated(h))
	}
	s.mux.HandleFunc("/", s.authenticated(func(r *http.Request, _ Identity) (any, error) {
		return nil, errorf(errkind.NotFound, "no route for %s %s", r.Method, r.URL.Path)
	}))
	return s
}

// ServeHTTP authenticates and answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// confirm returns an error unless a majority confirms that the state is current.
func (s *Server) confirm(ctx context.Context) error {
	if s.config.State == nil || s.config.Confirmer == nil {
		return errorf(errkind.ControlUnavailable, "node %s has no control role", s.config.Node)
	}
	if err := s.config.Confirmer.ReadBarrier(ctx); err != nil {
		return errorf(errkind.ControlUnavailable, "the configuration of node %s is not confirmed by a majority: %v", s.config.Node, err)
	}
	return nil
}

// bodyCost is the memory that is reserved for each byte of a body and of its decoded value.
const bodyCost = 3

func readBody(r *http.Request, v any) error {
	body, err := guard.ReadBody(r, MaxBodyBytes, bodyCost)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, guard.ErrTooLarge) || errors.As(err, &tooLarge):
		return errorf(errkind.BodyTooLarge, "the request body has more than %d bytes", MaxBodyBytes)
	case errors.Is(err, guard.ErrMemory):
		return errorf(errkind.MemoryUsedUp, "%v", err)
	case err != nil:
		return errorf(errkind.BadRequest, "read request body: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	err = d.Decode(v)
	if err == nil {
		// Decoder.More does not report a closing brace.
		if _, end := d.Token(); end != io.EOF {
			err = cmp.Or(end, errors.New("unexpected data after the JSON value"))
		}
	}
	if err != nil {
		return errorf(errkind.BadRequest, "decode request body: %v", err)
	}
	return nil
}

func (s *Server) init(r *http.Request, sender Identity) (any, error) {
	if s.config.Bootstrapper == nil {
		return nil, errorf(errkind.ControlUnavailable, "node %s has no control role", s.config.Node)
	}
	if err := s.config.Bootstrapper.Bootstrap(r.Context()); err != nil {
		return nil, err
	}
	s.config.Log.Info("replicated log started", "operator", sender.Name, "from", r.RemoteAddr)
	return struct{}{}, nil
}
