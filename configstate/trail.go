package configstate

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Bounds of the audit trail. At 5,700 changes a day, MaxEntries covers about 34 hours.
const (
	MaxEntries    = 8192
	MaxTrailBytes = 4 << 20
	// entryBytes is the size counted for the fixed fields of an entry.
	entryBytes = 320
)

// Entry is the record of one change in the audit trail.
type Entry struct {
	Sequence uint64    `cbor:"1,keyasint" json:"sequence"` // starts at 1, without gaps
	Time     time.Time `cbor:"2,keyasint" json:"time"`     // submission by the operator, or timestamp of the log entry; UTC
	ChangeID string    `cbor:"3,keyasint" json:"change_id"`
	Action   Action    `cbor:"4,keyasint" json:"action"`
	Operator string    `cbor:"5,keyasint" json:"operator"`
	Origin   string    `cbor:"6,keyasint" json:"origin"`
	Reason   string    `cbor:"7,keyasint" json:"reason,omitempty"`
	Outcome  Outcome   `cbor:"8,keyasint" json:"outcome"`
	Message  string    `cbor:"9,keyasint" json:"message,omitempty"`
	Expected uint64    `cbor:"10,keyasint" json:"expected"` // document version that the change expects
	Before   uint64    `cbor:"11,keyasint" json:"before"`   // document version before the change
	After    uint64    `cbor:"12,keyasint" json:"after"`
	// BeforeHash, AfterHash and ProposedHash are the hashes of the document before
	// the change, after it, and in it. They are zero where there is no document.
	BeforeHash   Hash `cbor:"13,keyasint" json:"before_hash"`
	AfterHash    Hash `cbor:"14,keyasint" json:"after_hash"`
	ProposedHash Hash `cbor:"15,keyasint" json:"proposed_hash"`
	// OrdersBefore and OrdersAfter are the versions of the operator orders before and
	// after the change.
	OrdersBefore uint64 `cbor:"16,keyasint" json:"orders_before"`
	OrdersAfter  uint64 `cbor:"17,keyasint" json:"orders_after"`
	Subject      string `cbor:"18,keyasint" json:"subject,omitempty"` // object of the change: node, suspect, version or items
	Previous     Hash   `cbor:"19,keyasint" json:"previous"`          // Hash of the previous entry
	Hash         Hash   `cbor:"20,keyasint" json:"hash"`              // hash of all other fields
}

// Checkpoint identifies the entry that precedes the first entry of a trail. It is zero
// if the trail starts with the first entry ever recorded.
type Checkpoint struct {
	Sequence uint64 `cbor:"1,keyasint" json:"sequence"`
	Hash     Hash   `cbor:"2,keyasint" json:"hash"`
}

// Trail is a contiguous part of the audit trail.
type Trail struct {
	Checkpoint Checkpoint `json:"checkpoint"`
	Entries    []Entry    `json:"entries"`
}

// ErrTrailNotIntact is wrapped by the errors that Trail.Verify returns.
var ErrTrailNotIntact = errors.New("audit trail is not intact")

// Verify recomputes the hash chain from the checkpoint to the last entry.
func (t Trail) Verify() error {
	previous := t.Checkpoint
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Sequence != previous.Sequence+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", ErrTrailNotIntact, e.Sequence, previous.Sequence)
		}
		if e.Previous != previous.Hash {
			return fmt.Errorf("%w: entry %d does not continue the chain of entry %d", ErrTrailNotIntact, e.Sequence, previous.Sequence)
		}
		if e.Hash != e.contentHash() {
			return fmt.Errorf("%w: the content of entry %d does not match its hash", ErrTrailNotIntact, e.Sequence)
		}
		previous = Checkpoint{Sequence: e.Sequence, Hash: e.Hash}
	}
	return nil
}

// Head returns the checkpoint that identifies the last entry. A continuation of the
// trail starts from it.
func (t Trail) Head() Checkpoint {
	if len(t.Entries) == 0 {
		return t.Checkpoint
	}
	e := t.Entries[len(t.Entries)-1]
	return Checkpoint{Sequence: e.Sequence, Hash: e.Hash}
}

func (e Entry) contentHash() Hash {
	e.Hash = Hash{}
	e.Time = e.Time.UTC()
	return HashOf(mustEncode(e))
}

func (e *Entry) cost() int64 {
	return entryBytes + int64(len(e.ChangeID)+len(e.Operator)+len(e.Origin)+len(e.Reason)+len(e.Message)+len(e.Subject))
}

// auditTrail is the bounded audit trail of a Machine.
type auditTrail struct {
	trail Trail
	bytes int64
}

// append adds e to the hash chain and returns its sequence number.
func (a *auditTrail) append(e Entry) uint64 {
	head := a.trail.Head()
	e.Sequence, e.Previous = head.Sequence+1, head.Hash
	e.Hash = e.contentHash()
	a.trail.Entries = append(a.trail.Entries, e)
	a.bytes += e.cost()
	drop := 0
	for len(a.trail.Entries)-drop > MaxEntries || a.bytes > MaxTrailBytes {
		dropped := &a.trail.Entries[drop]
		a.trail.Checkpoint = Checkpoint{Sequence: dropped.Sequence, Hash: dropped.Hash}
		a.bytes -= dropped.cost()
		drop++
	}
	// Reslicing drops entries without a copy. The array is replaced only when the
	// built-in append reaches its end; until then clear lets the garbage collector
	// free what the dropped entries refer to.
	clear(a.trail.Entries[:drop])
	a.trail.Entries = a.trail.Entries[drop:]
	return e.Sequence
}

// after returns up to limit entries with a sequence number above from, and the
// checkpoint that precedes them.
func (a *auditTrail) after(from uint64, limit int) Trail {
	t := Trail{Checkpoint: a.trail.Checkpoint}
	skip := 0
	if from > t.Checkpoint.Sequence {
		skip = int(min(from-t.Checkpoint.Sequence, uint64(len(a.trail.Entries))))
	}
	if skip > 0 {
		e := &a.trail.Entries[skip-1]
		t.Checkpoint = Checkpoint{Sequence: e.Sequence, Hash: e.Hash}
	}
	rest := a.trail.Entries[skip:]
	t.Entries = slices.Clone(rest[:min(limit, len(rest))])
	return t
}
