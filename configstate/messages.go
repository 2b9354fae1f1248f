package configstate

import (
	"fmt"

	"bramleymill/fleet"
	"bramleymill/itemset"
)

// Action is the kind of a change.
type Action string

// The actions of a change.
const (
	ApplyDocument  Action = "apply"    // replaces the class document
	Rollback       Action = "rollback" // replaces the class document by that of an older version
	Drain          Action = "drain"    // adds a drain order for a node
	Undrain        Action = "undrain"  // removes the drain order of a node
	ReleaseSuspect Action = "release"  // adds a release: requests that are crash suspects may run again
	Evacuate       Action = "evacuate" // takes a zone out of use
	Return         Action = "return"   // withdraws the order that took a zone out of use
	MergeItems     Action = "merge"    // sets and removes configuration items, each by its version
)

// Change is one change requested by an operator.
type Change struct {
	ID       string `cbor:"1,keyasint" json:"id"` // unique to the change; resending a change keeps its id
	Action   Action `cbor:"2,keyasint" json:"action"`
	Operator string `cbor:"3,keyasint" json:"operator"`
	Origin   string `cbor:"4,keyasint,omitempty" json:"origin"` // network address of the operator's request
	Reason   string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`

	ExpectedVersion uint64 `cbor:"6,keyasint,omitempty" json:"expected"`           // version of the document that the change replaces
	Document        []byte `cbor:"7,keyasint,omitempty" json:"document,omitempty"` // for ApplyDocument
	Version         uint64 `cbor:"8,keyasint,omitempty" json:"version,omitempty"`  // for Rollback

	Node        fleet.NodeID `cbor:"9,keyasint,omitempty" json:"node,omitempty"`     // for Drain and Undrain
	Service     string       `cbor:"10,keyasint,omitempty" json:"service,omitempty"` // for ReleaseSuspect
	Fingerprint uint64       `cbor:"11,keyasint,omitempty" json:"fingerprint,omitempty"`

	// Submitted is the wall clock time at which a node received the change from the
	// operator, in nanoseconds since the Unix epoch. The audit trail records it,
	// because the time of log entries falls behind while all control instances are
	// stopped. If it is zero, the time of the log entry is recorded.
	Submitted int64 `cbor:"12,keyasint,omitempty" json:"submitted,omitempty"`

	Items []itemset.Item `cbor:"13,keyasint,omitempty" json:"items,omitempty"` // for MergeItems

	Zone string `cbor:"14,keyasint,omitempty" json:"zone,omitempty"` // for Evacuate and Return
	// KnownOrders is the version of Orders that the receiving node knew when the operator's
	// request arrived, for Evacuate and Return. If a newer opposite order about the zone
	// exists, the change is Outdated: it may be a late copy. Nil disables the check, for
	// requests that are recognized as copies by their ID.
	KnownOrders *uint64 `cbor:"15,keyasint,omitempty" json:"known_orders,omitempty"`
}

// Outcome states how a change was decided.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"  // the change is valid and in force; Message says so if the change had no effect
	Conflict Outcome = "conflict"  // ExpectedVersion is not the current version of the document
	Invalid  Outcome = "invalid"   // the change is not valid; Message states what to correct
	Outdated Outcome = "outdated"  // a newer opposite order about the zone exists than the receiving node knew
	IDReused Outcome = "id_reused" // the change id was used for a different change
)

// Answer is the reply to a change.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the version of the document after the decision.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// OrdersVersion is the version of the operator orders, which are drains and releases
	// of crash suspects, after the decision.
	OrdersVersion uint64 `cbor:"3,keyasint" json:"orders_version"`
	Sequence      uint64 `cbor:"4,keyasint" json:"sequence"` // sequence number of the audit entry for the change
	Message       string `cbor:"5,keyasint,omitempty" json:"message,omitempty"`
	// Document is the document of Version if the outcome is Conflict. It is empty in
	// a repeated answer whose version is no longer kept.
	Document []byte `cbor:"6,keyasint,omitempty" json:"document,omitempty"`
	Repeated bool   `cbor:"7,keyasint,omitempty" json:"repeated,omitempty"` // the change was resent; this is its first answer
	// ItemsRevision is the revision of the items after the decision.
	ItemsRevision uint64 `cbor:"8,keyasint,omitempty" json:"items_revision,omitempty"`
}

// Bounds of a change. A change that exceeds them is refused as Invalid, and its texts
// are truncated in the audit entry.
const (
	// MaxDocumentBytes leaves space for the other fields of the change in a log
	// entry, whose command has at most 256 KiB.
	MaxDocumentBytes = 240 << 10
	MaxIDBytes       = 128
	MaxNameBytes     = 128
	MaxReasonBytes   = 512
	maxMessageBytes  = 1024
	maxCommandBytes  = MaxDocumentBytes + 16<<10
)

// EncodeChange returns the command to propose for c.
func EncodeChange(c Change) ([]byte, error) {
	b, err := encMode.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return b, nil
}

// DecodeAnswer decodes the result of a proposed change, which is what Apply returned.
func DecodeAnswer(result []byte) (Answer, error) {
	var a Answer
	if err := decMode.Unmarshal(result, &a); err != nil {
		return Answer{}, fmt.Errorf("decode answer to change: %w", err)
	}
	if a.Outcome == "" {
		return Answer{}, fmt.Errorf("decode answer to change: no outcome")
	}
	return a, nil
}

func decodeChange(command []byte) (Change, error) {
	var c Change
	if len(command) > maxCommandBytes {
		return c, fmt.Errorf("the change has %d bytes; send at most %d", len(command), maxCommandBytes)
	}
	if err := decMode.Unmarshal(command, &c); err != nil {
		return Change{}, fmt.Errorf("decode change: %w", err)
	}
	return c, nil
}
