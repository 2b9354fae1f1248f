package fleet

import "time"

// NodeID is the name of a node, unique in the fleet and equal to the common
// name of its certificate.
type NodeID string

// Incarnation orders the lives of a node. A restarted node has a higher one.
type Incarnation uint64

// ServerState is the life cycle state that a node announces for its backend server.
type ServerState uint8

// The states of a backend server.
const (
	Starting ServerState = iota + 1
	Ready
	Draining
	Down
	Left
)

// String returns the lower-case name of s.
func (s ServerState) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Down:
		return "down"
	case Left:
		return "left"
	}
	return "invalid"
}

// Server is a node's announcement of itself and its backend server. The higher
// (Incarnation, Sequence) pair supersedes any other announcement of the node.
type Server struct {
	Node        NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64      `cbor:"3,keyasint" json:"sequence"`
	Service     string      `cbor:"4,keyasint,omitempty" json:"service"` // empty: no backend server
	Region      string      `cbor:"5,keyasint,omitempty" json:"region"`
	Zone        string      `cbor:"6,keyasint,omitempty" json:"zone"`
	PeerAddress string      `cbor:"7,keyasint" json:"peer_address"`
	State       ServerState `cbor:"8,keyasint" json:"state"`
	Slots       int         `cbor:"9,keyasint,omitempty" json:"slots"`
	ReadySince  int64       `cbor:"10,keyasint,omitempty" json:"ready_since_unix_ms"`
	Control     bool        `cbor:"11,keyasint,omitempty" json:"control"`
}

// Supersedes reports whether s is newer than o, an announcement of the same node.
func (s Server) Supersedes(o Server) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// LoadReport is the state of a backend server as counted by its own node. It
// travels on every answer and refusal, and on requests to other nodes.
type LoadReport struct {
	Incarnation   Incarnation   `cbor:"1,keyasint"`
	Sequence      uint64        `cbor:"2,keyasint"` // increases with every report of an incarnation
	InFlight      int           `cbor:"3,keyasint"`
	Queued        int           `cbor:"4,keyasint"`
	Slots         int           `cbor:"5,keyasint"`
	ServiceTime   time.Duration `cbor:"6,keyasint"` // mean of recent executions
	Draining      bool          `cbor:"7,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"8,keyasint"`
	ServiceAge    time.Duration `cbor:"9,keyasint,omitempty"`  // since the newest evidence for ServiceTime
	Service       string        `cbor:"10,keyasint,omitempty"` // set on requests: service of the sender's backend server
	// Slowdown is the time that work takes at the server at present, relative to
	// ServiceTime. Zero: not known.
	Slowdown    float64       `cbor:"11,keyasint,omitempty"`
	SlowdownAge time.Duration `cbor:"12,keyasint,omitempty"` // since the server told Slowdown
}

// Urgency orders classes in the queue of a backend server. Higher goes first.
type Urgency uint8

// The urgencies of a class.
const (
	UrgencyLow Urgency = iota + 1
	UrgencyNormal
	UrgencyHigh
	UrgencyCritical // urgent internal checks; may use the reserved slots
)

// CallMeta travels with a forwarded request from the entry node to the server node.
type CallMeta struct {
	RequestID     string        `cbor:"1,keyasint"`
	Class         string        `cbor:"2,keyasint"`
	ConfigVersion uint64        `cbor:"3,keyasint"`
	Attempt       uint32        `cbor:"4,keyasint"` // number of this attempt, from 1
	AttemptsLeft  uint32        `cbor:"5,keyasint"` // for the whole call tree below
	Remaining     time.Duration `cbor:"6,keyasint"` // time left until the deadline when sent
	Depth         uint8         `cbor:"7,keyasint"`
	Internal      bool          `cbor:"8,keyasint,omitempty"`
	Target        NodeID        `cbor:"9,keyasint"`
	Incarnation   Incarnation   `cbor:"10,keyasint"` // incarnation of Target that was chosen
	ClaimID       string        `cbor:"11,keyasint,omitempty"`
	Hedge         bool          `cbor:"12,keyasint,omitempty"`
	Entry         NodeID        `cbor:"13,keyasint"`
	Fingerprint   uint64        `cbor:"14,keyasint,omitempty"` // of class, key or path and body
	Idempotent    bool          `cbor:"15,keyasint,omitempty"`
	Urgency       Urgency       `cbor:"16,keyasint"`
	Confined      bool          `cbor:"17,keyasint,omitempty"` // single attempt of a crash suspect
	Reroutable    bool          `cbor:"18,keyasint,omitempty"` // a refusal would be followed by a retry at another server
	OnlyServer    bool          `cbor:"19,keyasint,omitempty"` // no other server accepts work of the service
	// TargetLeft is the time left until the latency target of the class, for classes
	// whose requests are refused rather than answered late. Zero: none.
	TargetLeft time.Duration `cbor:"21,keyasint,omitempty"`
	From       string        `cbor:"20,keyasint,omitempty"` // service beside whose node the request entered the fleet
	// Reservation is the number under which the entry node has reserved a slot for
	// the attempt. Zero: none.
	Reservation uint64 `cbor:"22,keyasint,omitempty"`
}

// MaxDepth is the deepest call chain that is served.
const MaxDepth = 17

// Header names of the project. Headers with HeaderPrefix are removed from what
// callers send and backend servers answer unless listed as accepted.
const (
	HeaderPrefix         = "Bramleymill-"
	HeaderRequestID      = "Bramleymill-Request-Id"
	HeaderTimeoutMillis  = "Bramleymill-Timeout-Ms"
	HeaderCall           = "Bramleymill-Call"
	HeaderCallMeta       = "Bramleymill-Call-Meta"
	HeaderLoad           = "Bramleymill-Load"
	HeaderKind           = "Bramleymill-Kind"
	HeaderOutcome        = "Bramleymill-Outcome"
	HeaderServedBy       = "Bramleymill-Served-By"
	HeaderDeadlineMillis = "Bramleymill-Deadline-Ms" // time left, given to the backend server
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotency-Replayed"
)

// Role is the role that a certificate grants.
type Role string

// The roles of a certificate.
const (
	RoleNode     Role = "node"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// CrashReport states that a backend server died while a request with the
// fingerprint was in flight.
type CrashReport struct {
	Service           string      `cbor:"1,keyasint"`
	Fingerprint       uint64      `cbor:"2,keyasint"`
	Node              NodeID      `cbor:"3,keyasint"`
	Incarnation       Incarnation `cbor:"4,keyasint"` // of the node that reports
	BackendGeneration uint64      `cbor:"5,keyasint"` // counts the lives of the backend server seen by the node
	Confined          bool        `cbor:"6,keyasint,omitempty"`
	Class             string      `cbor:"7,keyasint"`
	Path              string      `cbor:"8,keyasint"`
}
