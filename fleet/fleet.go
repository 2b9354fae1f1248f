package fleet

import "time"

// NodeID is the name of a node. It is unique in the fleet and equal to the common name of
// the node's certificate.
type NodeID string

// Incarnation numbers the starts of a node: each start gets a higher number.
type Incarnation uint64

// ServerState is the state that a node announces for its backend server.
type ServerState uint8

// The states of a backend server.
const (
	Starting ServerState = iota + 1 // has not become ready yet
	Ready                           // accepts requests
	Draining                        // accepts no new requests and finishes the running ones
	Down                            // was up before and no longer accepts connections
	Left                            // the node has left the fleet
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

// Server is a node's announcement of itself and its backend server. The announcement with
// the highest (Incarnation, Sequence) pair supersedes all others of the node.
type Server struct {
	Node            NodeID      `cbor:"1,keyasint" json:"node"`
	Incarnation     Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Sequence        uint64      `cbor:"3,keyasint" json:"sequence"`
	Service         string      `cbor:"4,keyasint,omitempty" json:"service"` // empty: no backend server
	Region          string      `cbor:"5,keyasint,omitempty" json:"region"`
	Zone            string      `cbor:"6,keyasint,omitempty" json:"zone"`
	PeerAddress     string      `cbor:"7,keyasint" json:"peer_address"`
	State           ServerState `cbor:"8,keyasint" json:"state"`
	Slots           int         `cbor:"9,keyasint,omitempty" json:"slots"`
	ReadySince      int64       `cbor:"10,keyasint,omitempty" json:"ready_since_unix_ms"`
	ControlInstance bool        `cbor:"11,keyasint,omitempty" json:"control"` // the node runs a control instance
}

// Supersedes reports whether s is newer than other, an announcement of the same node.
func (s Server) Supersedes(other Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// LoadReport is the state of a backend server as measured by its node. It is sent with
// every answer and refusal, and with requests to other nodes.
type LoadReport struct {
	Incarnation   Incarnation   `cbor:"1,keyasint"`
	Sequence      uint64        `cbor:"2,keyasint"` // increases with every report of an incarnation
	InFlight      int           `cbor:"3,keyasint"`
	Queued        int           `cbor:"4,keyasint"`
	Slots         int           `cbor:"5,keyasint"`
	ServiceTime   time.Duration `cbor:"6,keyasint"` // mean of recent executions
	Draining      bool          `cbor:"7,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"8,keyasint"`
	ServiceAge    time.Duration `cbor:"9,keyasint,omitempty"`  // age of the newest measurement in ServiceTime
	Service       string        `cbor:"10,keyasint,omitempty"` // set on requests: service of the sender's backend server
	// Slowdown is the current service time of the server relative to ServiceTime. Zero means
	// that it is not known.
	Slowdown    float64       `cbor:"11,keyasint,omitempty"`
	SlowdownAge time.Duration `cbor:"12,keyasint,omitempty"` // time since the server reported Slowdown
	// RateWait is the time until the rate limit of the server lets a further request start.
	RateWait time.Duration `cbor:"13,keyasint,omitempty"`
	// Condition is what the server has stated about itself. Nil: nothing since the start of
	// its node, which does not show that an earlier statement has ended.
	Condition *Condition `cbor:"14,keyasint,omitempty"`
	// LinkWait is the time until the link of the node has sent the answers that are complete
	// or expected from running requests. Zero: none, or the bandwidth is not known.
	LinkWait time.Duration `cbor:"15,keyasint,omitempty"`
	// ColdRate is the number of requests a second that the server gets while it is cold. Zero:
	// it is not cold, or its service has no limit.
	ColdRate float64 `cbor:"20,keyasint,omitempty"`
}

// Urgency orders the classes in the queue of a backend server. A higher urgency is served
// first.
type Urgency uint8

// The urgencies of a class.
const (
	UrgencyLow Urgency = iota + 1
	UrgencyNormal
	UrgencyHigh
	UrgencyCritical // for urgent internal checks; may use the reserved slots
)

// CallMeta is sent with a forwarded request from the entry node to the server node.
type CallMeta struct {
	RequestID     string        `cbor:"1,keyasint"`
	Class         string        `cbor:"2,keyasint"`
	ConfigVersion uint64        `cbor:"3,keyasint"`
	Attempt       uint32        `cbor:"4,keyasint"` // number of this attempt, from 1
	AttemptsLeft  uint32        `cbor:"5,keyasint"` // further attempts reserved for the nested calls of this attempt
	Remaining     time.Duration `cbor:"6,keyasint"` // time left until the deadline when sent
	Depth         uint8         `cbor:"7,keyasint"` // 1 for a call that is not nested
	Internal      bool          `cbor:"8,keyasint,omitempty"`
	Target        NodeID        `cbor:"9,keyasint"`
	Incarnation   Incarnation   `cbor:"10,keyasint"` // incarnation of Target when it was selected
	ClaimID       string        `cbor:"11,keyasint,omitempty"`
	Hedge         bool          `cbor:"12,keyasint,omitempty"`
	EntryNode     NodeID        `cbor:"13,keyasint"`
	Fingerprint   uint64        `cbor:"14,keyasint,omitempty"` // hash of the class, key, method, path, query and start of the body
	Idempotent    bool          `cbor:"15,keyasint,omitempty"`
	Urgency       Urgency       `cbor:"16,keyasint"`
	Confined      bool          `cbor:"17,keyasint,omitempty"` // single attempt of a crash suspect
	Reroutable    bool          `cbor:"18,keyasint,omitempty"` // a refusal would be followed by an attempt at another server
	OnlyServer    bool          `cbor:"19,keyasint,omitempty"` // Target is the only server of the service that accepts work
	// TargetLeft is the time left until the latency target. It is set for classes whose
	// requests are refused rather than answered late. Zero: no latency target is sent.
	TargetLeft   time.Duration `cbor:"21,keyasint,omitempty"`
	EntryService string        `cbor:"20,keyasint,omitempty"` // service of the node at which the request entered the fleet
	// Reservation is the number under which the entry node reserved a slot for the attempt.
	// Zero: no slot is reserved.
	Reservation uint64 `cbor:"22,keyasint,omitempty"`
	// Repeated states that an earlier attempt of the request, or of a request that it is
	// nested in, has reached a backend server. Its nested calls then count as repeated load.
	Repeated bool `cbor:"23,keyasint,omitempty"`
	// Told is the condition that the entry node was told by the backend server of Target
	// through an earlier incarnation of Target. Nil: none, or Target has reported one since.
	Told *Condition `cbor:"24,keyasint,omitempty"`
	// Customer is the name of the customer for which the request runs. Empty: none.
	Customer string `cbor:"25,keyasint,omitempty"`
	// ColdRate is the rate at which a cold backend server of the service accepts requests. The
	// server node uses it until it has a configuration. Zero: no limit.
	ColdRate float64 `cbor:"26,keyasint,omitempty"`
	// OtherZone states that the entry node is in another zone than Target. Target prefers the
	// requests of its own zone among equals.
	OtherZone bool `cbor:"28,keyasint,omitempty"`
	// Uploading states that the entry node has not received the whole body when it sends the
	// attempt.
	Uploading bool `cbor:"29,keyasint,omitempty"`
}

// MaxDepth is the maximum depth of nested calls; deeper calls are rejected.
const MaxDepth = 17

// Header names of the project. Headers with HeaderPrefix are removed from the requests of
// callers and the answers of backend servers, except those that the proxy accepts from them.
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
	HeaderDeadlineMillis = "Bramleymill-Deadline-Ms"  // time left until the deadline; sent to the backend server
	HeaderCustomerKey    = "Bramleymill-Customer-Key" // key of a customer; sent by callers, never passed on
	HeaderCustomer       = "Bramleymill-Customer"     // name of the customer; sent to the backend server
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotency-Replayed"
)

// Role is a role that a certificate grants.
type Role string

// The roles of a certificate.
const (
	RoleNode     Role = "node"     // a node without a control instance
	RoleControl  Role = "control"  // a node that runs a control instance
	RoleOperator Role = "operator" // an operator
)

// CrashReport states that a backend server died while a request with the fingerprint was in
// flight.
type CrashReport struct {
	Service           string      `cbor:"1,keyasint"`
	Fingerprint       uint64      `cbor:"2,keyasint"`
	Node              NodeID      `cbor:"3,keyasint"`
	Incarnation       Incarnation `cbor:"4,keyasint"` // incarnation of Node
	BackendGeneration uint64      `cbor:"5,keyasint"` // generation of the backend server that died, counted by its node
	Confined          bool        `cbor:"6,keyasint,omitempty"`
	Class             string      `cbor:"7,keyasint"`
	Path              string      `cbor:"8,keyasint"`
}
