package claim

import (
	"time"

	"bramleymill/fleet"
)

// State is the state of a claim as told to the node that asks.
type State uint8

// The results of claim requests. The zero value is none of them.
const (
	Granted    State = iota + 1 // the attempt may be sent to the target
	InProgress                  // another request with the key has not finished
	Finished                    // the stored answer is returned
	Unknown                     // the request may have run and its answer is not known
	Mismatch                    // the key was used with another fingerprint
	Full                        // the store is full; nothing was recorded
	Recorded                    // a finish was stored
	Stale                       // the claim or attempt is not the current one
	Invalid                     // the command is malformed or out of bounds; nothing was recorded
)

// BeginRequest asks for the first attempt of a key. Repeating it with the same
// Owner returns the first result again, so that a lost reply can be asked for.
type BeginRequest struct {
	Key         string            `cbor:"1,keyasint"` // class name, a slash and the idempotency key
	Fingerprint [32]byte          `cbor:"2,keyasint"` // hash of method, path and body
	Owner       string            `cbor:"3,keyasint"` // unique for each request at each entry node
	Target      fleet.NodeID      `cbor:"4,keyasint"`
	Incarnation fleet.Incarnation `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"` // time until the deadline of the request
}

// ReassignRequest reports a positive refusal and asks for the next attempt.
type ReassignRequest struct {
	ClaimID     string            `cbor:"1,keyasint"`
	Owner       string            `cbor:"2,keyasint"`
	Refused     uint32            `cbor:"3,keyasint"` // number of the attempt that was refused
	Target      fleet.NodeID      `cbor:"4,keyasint"`
	Incarnation fleet.Incarnation `cbor:"5,keyasint"`
}

// AbandonRequest frees the claim of a request for which its owner has sent no
// attempt that may have run. It is needed when the reply to a Begin or Reassign
// was lost. A copy of that Begin that is applied later is refused. The owner must
// not use the claim, or begin another one under the same Owner, afterwards.
type AbandonRequest struct {
	Key         string   `cbor:"1,keyasint"` // as in BeginRequest
	Fingerprint [32]byte `cbor:"2,keyasint"`
	Owner       string   `cbor:"3,keyasint"`
}

// Ending tells how a claim ended.
type Ending uint8

// The endings of a claim.
const (
	Answered  Ending = iota + 1 // the backend server answered; Answer is stored
	Ambiguous                   // the attempt may have run; the key stays unknown
	Released                    // every attempt was positively refused; the key is free again
)

// FinishRequest ends a claim.
type FinishRequest struct {
	ClaimID string  `cbor:"1,keyasint"`
	Owner   string  `cbor:"2,keyasint"`
	Attempt uint32  `cbor:"3,keyasint"`
	Ending  Ending  `cbor:"4,keyasint"`
	Answer  *Answer `cbor:"5,keyasint,omitempty"`
}

// Answer is a stored answer. Truncated is set when the body exceeded the bound
// for stored answers; such an answer proves completion but cannot be replayed.
type Answer struct {
	Status    int                 `cbor:"1,keyasint"`
	Header    map[string][]string `cbor:"2,keyasint"`
	Body      []byte              `cbor:"3,keyasint"`
	Truncated bool                `cbor:"4,keyasint,omitempty"`
}

// MaxAnswerBytes bounds the body of a stored answer.
const MaxAnswerBytes = 16 << 10

// LockRequest asks for the lock of a key. The lease starts at the time stamped
// into the log entry. Repeating the request with the same Owner returns the
// grant again and does not extend the lease.
type LockRequest struct {
	Key   string        `cbor:"1,keyasint"` // such as suspect/SERVICE
	Owner string        `cbor:"2,keyasint"` // unique for each holder
	Lease time.Duration `cbor:"3,keyasint"`
}

// UnlockRequest releases a lock before its lease ends.
type UnlockRequest struct {
	ClaimID string `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint"`
}

// Limits bounds the store. They are part of the replicated state.
type Limits struct {
	MaxClaims int           `cbor:"1,keyasint"`
	MaxBytes  int64         `cbor:"2,keyasint"`
	Retention time.Duration `cbor:"3,keyasint"`
}

// Result is the reply to a claim request.
type Result struct {
	State   State   `cbor:"1,keyasint"`
	ClaimID string  `cbor:"2,keyasint,omitempty"`
	Attempt uint32  `cbor:"3,keyasint,omitempty"`
	Answer  *Answer `cbor:"4,keyasint,omitempty"`
	// Remaining is the time until the lease of a lock ends.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
}

var stateNames = [...]string{"none", "granted", "in_progress", "finished", "unknown",
	"mismatch", "full", "recorded", "stale", "invalid"}

// String returns the lower-case name of s.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "undefined"
}
