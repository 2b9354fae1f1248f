package claim

import (
	"time"

	"bramleymill/fleet"
)

// State is the state of a claim or lock as reported in the reply to a request.
type State uint8

// The results of claim requests. The zero value is not a valid result.
const (
	Granted    State = iota + 1 // the attempt may be sent to the target
	InProgress                  // another request with the key has not finished
	Finished                    // the request has run; the stored answer is returned
	Unknown                     // the request may have run, but its answer is not known
	Mismatch                    // the key was used by a request with another fingerprint
	Full                        // the store is full; nothing was recorded
	Recorded                    // the requested change was stored
	Stale                       // the request does not refer to the current claim, owner, target or attempt
	Invalid                     // the command is malformed or out of bounds; nothing was recorded
)

// BeginRequest requests the first attempt of a key. Sending it again with the same
// Owner returns the first result again, so that a lost reply can be recovered.
type BeginRequest struct {
	Key         string            `cbor:"1,keyasint"` // class name, a slash and the idempotency key
	Fingerprint [32]byte          `cbor:"2,keyasint"` // hash of method, path and body
	Owner       string            `cbor:"3,keyasint"` // unique to one request at one entry node
	Target      fleet.NodeID      `cbor:"4,keyasint"`
	Incarnation fleet.Incarnation `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"` // time until the deadline of the request
}

// ReassignRequest reports that the server node refused an attempt and requests the
// next one. A refusal proves that the attempt did not run.
type ReassignRequest struct {
	ClaimID        string            `cbor:"1,keyasint"`
	Owner          string            `cbor:"2,keyasint"`
	RefusedAttempt uint32            `cbor:"3,keyasint"` // number of the attempt that was refused
	Target         fleet.NodeID      `cbor:"4,keyasint"`
	Incarnation    fleet.Incarnation `cbor:"5,keyasint"`
}

// AbandonRequest releases the claim of a request whose owner has sent no attempt
// that may have run. It is needed when the reply to a Begin or Reassign was lost.
// If a delayed copy of that Begin is applied later, it is refused. After an AbandonRequest
// the owner must neither use the claim nor begin another one under the same Owner.
type AbandonRequest struct {
	Key         string   `cbor:"1,keyasint"` // as in BeginRequest
	Fingerprint [32]byte `cbor:"2,keyasint"`
	Owner       string   `cbor:"3,keyasint"`
}

// Ending states how a claim ended.
type Ending uint8

// The endings of a claim.
const (
	Answered  Ending = iota + 1 // the backend server answered; Answer is stored
	Ambiguous                   // the attempt may have run; the state of the key becomes Unknown
	Released                    // every attempt was refused and did not run; the key is free again
)

// FinishRequest ends a claim with the outcome of its current attempt.
type FinishRequest struct {
	ClaimID string  `cbor:"1,keyasint"`
	Owner   string  `cbor:"2,keyasint"`
	Attempt uint32  `cbor:"3,keyasint"`
	Ending  Ending  `cbor:"4,keyasint"`
	Answer  *Answer `cbor:"5,keyasint,omitempty"`
}

// Answer is the stored answer of a backend server. Truncated is set when the answer
// was stored without header and body because it exceeded the size limit or the
// store was full. Such an answer proves completion but cannot be replayed.
type Answer struct {
	Status    int                 `cbor:"1,keyasint"`
	Header    map[string][]string `cbor:"2,keyasint"`
	Body      []byte              `cbor:"3,keyasint"`
	Truncated bool                `cbor:"4,keyasint,omitempty"`
}

// MaxAnswerBytes is the maximum size of the body of a stored answer.
const MaxAnswerBytes = 16 << 10

// LockRequest requests the lock of a key. The lease starts at the timestamp of the
// log entry. Sending the request again with the same Owner returns the same grant
// and does not extend the lease.
type LockRequest struct {
	Key   string        `cbor:"1,keyasint"` // such as suspect/SERVICE
	Owner string        `cbor:"2,keyasint"` // unique to the request that acquires the lock
	Lease time.Duration `cbor:"3,keyasint"`
}

// UnlockRequest releases a lock before its lease ends.
type UnlockRequest struct {
	ClaimID string `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint"`
}

// Limits bounds the size of the store and is part of the replicated state.
type Limits struct {
	MaxClaims int           `cbor:"1,keyasint"` // maximum number of stored claims
	MaxBytes  int64         `cbor:"2,keyasint"` // maximum memory of the claims, as counted in Stats.Bytes
	Retention time.Duration `cbor:"3,keyasint"` // how long a claim is stored after its end
}

// Result is the reply to a claim request.
type Result struct {
	State   State   `cbor:"1,keyasint"`
	ClaimID string  `cbor:"2,keyasint,omitempty"`
	Attempt uint32  `cbor:"3,keyasint,omitempty"`
	Answer  *Answer `cbor:"4,keyasint,omitempty"`
	// Remaining is the time until the lease of the requested lock ends.
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
