package explain

import (
	"strings"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Side states which filter chain made a record: that of the entry node or that of a server
// node.
type Side uint8

// The values of Side.
const (
	Entry      Side = iota + 1 // made by the entry node
	ServerSide                 // made by a server node
)

// Maximum lengths of the lists of a record.
const (
	MaxCandidates = 32 // of all attempts together
	MaxAttempts   = 6  // later attempts are not recorded
)

// Candidate is a backend server that could be selected, with its state as estimated at the
// time of the selection.
type Candidate struct {
	Node        fleet.NodeID  `cbor:"1,keyasint" json:"node"`
	Outstanding int           `cbor:"2,keyasint" json:"outstanding"` // unanswered requests that the recording node sent to the server
	Age         time.Duration `cbor:"3,keyasint" json:"load_age_ns"` // age of the newest load report; negative if there is none
	Cost        time.Duration `cbor:"4,keyasint" json:"cost_ns"`     // expected completion time, by which servers are compared
	Chosen      bool          `cbor:"5,keyasint,omitempty" json:"chosen"`
	Ejected     bool          `cbor:"6,keyasint,omitempty" json:"ejected,omitempty"`
	Reported    int           `cbor:"7,keyasint" json:"reported_load"` // requests in flight and queued according to the newest load report
}

// Attempt is one attempt as seen by the entry node.
type Attempt struct {
	Number   uint32        `cbor:"1,keyasint" json:"number"`
	Target   fleet.NodeID  `cbor:"2,keyasint" json:"target"`
	Start    time.Duration `cbor:"3,keyasint" json:"start_ns"` // since the start of the request
	Duration time.Duration `cbor:"4,keyasint" json:"duration_ns"`
	Kind     errkind.Kind  `cbor:"5,keyasint,omitempty" json:"kind,omitempty"` // empty if the attempt was answered
	Status   int           `cbor:"6,keyasint,omitempty" json:"status,omitempty"`
	Hedge    bool          `cbor:"7,keyasint,omitempty" json:"hedge,omitempty"`
	Lost     bool          `cbor:"8,keyasint,omitempty" json:"lost,omitempty"`      // another attempt answered first
	LeftZone string        `cbor:"9,keyasint,omitempty" json:"left_zone,omitempty"` // why the target is in another zone; empty if it is not
}

// Quota explains the refusal of a request by the quota of its customer.
type Quota struct {
	Customer string        `cbor:"1,keyasint" json:"customer"`
	Asked    []string      `cbor:"2,keyasint,omitempty" json:"asked,omitempty"`   // control instances that did not issue a permit
	Wait     time.Duration `cbor:"3,keyasint,omitempty" json:"wait_ns,omitempty"` // until a permit was expected
}

// Record explains one request at one node. It is not safe for concurrent use: goroutines that
// change the record must hold a common lock. After it is added to a Store it must not change.
type Record struct {
	RequestID     string        `cbor:"1,keyasint" json:"request_id"`
	Side          Side          `cbor:"2,keyasint" json:"side"`
	Node          fleet.NodeID  `cbor:"3,keyasint" json:"node"`
	CallerID      string        `cbor:"4,keyasint,omitempty" json:"caller_id,omitempty"`
	ParentID      string        `cbor:"5,keyasint,omitempty" json:"parent_id,omitempty"`
	Class         string        `cbor:"6,keyasint" json:"class"`
	ConfigVersion uint64        `cbor:"7,keyasint" json:"config_version"`
	Start         int64         `cbor:"8,keyasint" json:"start_unix_ns"`
	Duration      time.Duration `cbor:"9,keyasint" json:"duration_ns"`
	Queued        time.Duration `cbor:"10,keyasint,omitempty" json:"queued_ns,omitempty"` // set at the server node only: time until a slot was free
	Depth         uint8         `cbor:"11,keyasint" json:"depth"`
	Status        int           `cbor:"12,keyasint" json:"status"`
	Kind          errkind.Kind  `cbor:"13,keyasint,omitempty" json:"kind,omitempty"` // empty if the request was answered
	Reason        string        `cbor:"14,keyasint,omitempty" json:"reason,omitempty"`
	ClaimID       string        `cbor:"15,keyasint,omitempty" json:"claim_id,omitempty"`
	ClaimState    string        `cbor:"16,keyasint,omitempty" json:"claim_state,omitempty"`
	Suspect       bool          `cbor:"17,keyasint,omitempty" json:"suspect,omitempty"`        // the request was a crash suspect
	Confined      bool          `cbor:"18,keyasint,omitempty" json:"confined,omitempty"`       // the request ran in a confined attempt
	AttemptNumber uint32        `cbor:"19,keyasint,omitempty" json:"attempt_number,omitempty"` // set at the server node only: number of the received attempt
	Candidates    []Candidate   `cbor:"20,keyasint,omitempty" json:"candidates,omitempty"`
	Attempts      []Attempt     `cbor:"21,keyasint,omitempty" json:"attempts,omitempty"`
	Customer      string        `cbor:"22,keyasint,omitempty" json:"customer,omitempty"`
	Quota         *Quota        `cbor:"23,keyasint,omitempty" json:"quota,omitempty"` // set if the quota of the customer refused the request

	start time.Time
}

// NewRecord returns the record of a request that starts at now.
func NewRecord(side Side, id string, now time.Time) *Record {
	return &Record{RequestID: id, Side: side, Start: now.UnixNano(), start: now}
}

// AddCandidates records the candidates of one selection, unless there would be more than
// MaxCandidates with those recorded before. It retains list, which must not be changed
// afterwards.
func (r *Record) AddCandidates(list []Candidate) {
	switch {
	case r.Candidates == nil:
		r.Candidates = list
	case len(r.Candidates)+len(list) <= MaxCandidates:
		r.Candidates = append(r.Candidates, list...)
	}
}

// AddAttempt records an attempt that lasted from start to end. Attempts after the first
// MaxAttempts are not recorded.
func (r *Record) AddAttempt(a Attempt, start, end time.Time) {
	if len(r.Attempts) < MaxAttempts {
		a.Start, a.Duration = start.Sub(r.start), end.Sub(start)
		r.Attempts = append(r.Attempts, a)
	}
}

// maxReason is the maximum length of Record.Reason in bytes.
const maxReason = 200

// Failed records that the request ended with an error. A longer error text is truncated to
// maxReason bytes.
func (r *Record) Failed(k errkind.Kind, err error) {
	r.Kind, r.Reason = k, err.Error()
	if len(r.Reason) > maxReason {
		r.Reason = strings.Clone(r.Reason[:maxReason]) // a part of a string keeps all of it in memory
	}
}

// End records the time at which the request ended and the status of the answer.
func (r *Record) End(now time.Time, status int) {
	r.Duration, r.Status = now.Sub(r.start), status
}
