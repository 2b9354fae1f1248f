package raft

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// DiskID is the random identity of a data folder.
type DiskID string

// ID identifies a replica. The zero ID means none.
type ID struct {
	Node fleet.NodeID `cbor:"1,keyasint"`
	Disk DiskID       `cbor:"2,keyasint"`
}

// Member is a replica and the address at which it is reached.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// MaxVoters bounds the voters of a group. Further replicas stay learners.
const MaxVoters = 5

// Configuration is the membership of a group. ClusterID is random and keeps
// groups that were started separately from mixing their logs.
type Configuration struct {
	ClusterID uint64   `cbor:"1,keyasint"`
	Voters    []Member `cbor:"2,keyasint"`
	Learners  []Member `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether id is a voter.
func (c Configuration) IsVoter(id ID) bool { return indexOf(c.Voters, id) >= 0 }

// Find returns the member with the given id.
func (c Configuration) Find(id ID) (Member, bool) {
	if i := indexOf(c.Voters, id); i >= 0 {
		return c.Voters[i], true
	}
	if i := indexOf(c.Learners, id); i >= 0 {
		return c.Learners[i], true
	}
	return Member{}, false
}

func (c Configuration) clone() Configuration {
	c.Voters = slices.Clone(c.Voters)
	c.Learners = slices.Clone(c.Learners)
	return c
}

func indexOf(members []Member, id ID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	Command     EntryKind = iota + 1 // Data is a command of the state machine
	Empty                            // first entry of a leader's term
	Reconfigure                      // Configuration replaces the membership
)

// Entry is one entry of the log. Time is stamped by the leader in nanoseconds
// since the Unix epoch and never decreases along the log.
type Entry struct {
	Index         uint64         `cbor:"1,keyasint"`
	Term          uint64         `cbor:"2,keyasint"`
	Kind          EntryKind      `cbor:"3,keyasint"`
	Time          int64          `cbor:"4,keyasint"`
	Data          []byte         `cbor:"5,keyasint,omitempty"`
	Configuration *Configuration `cbor:"6,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"`
}

// SnapshotMeta describes a snapshot: the last entry that it covers and the
// membership at that entry.
type SnapshotMeta struct {
	Index         uint64        `cbor:"1,keyasint"`
	Term          uint64        `cbor:"2,keyasint"`
	Time          int64         `cbor:"3,keyasint"`
	Configuration Configuration `cbor:"4,keyasint"`
}

// Reading is a clock reading. Mono is monotonic and orders events of one
// replica; Unix is wall time in nanoseconds and only stamps entries.
type Reading struct {
	Mono time.Duration
	Unix int64
}

// MessageKind tells the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	SnapshotChunk
	SnapshotReply
	TimeoutNow
)

// Message is exchanged between the replicas of a group.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	From      ID          `cbor:"2,keyasint"`
	To        ID          `cbor:"3,keyasint"`
	ClusterID uint64      `cbor:"4,keyasint,omitempty"`
	Term      uint64      `cbor:"5,keyasint"`
	// Index and LogTerm describe the last entry of a candidate, the entry that
	// precedes Entries, or the hint of a reply that refuses.
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`
	Round   uint64  `cbor:"10,keyasint,omitempty"` // confirmation round, echoed in the reply
	Refused bool    `cbor:"11,keyasint,omitempty"`
	Probed  uint64  `cbor:"12,keyasint,omitempty"` // Index of the Append that a reply refuses
	// Transfer marks a Vote request that a leader asked for, which therefore
	// is not held back by that leader's lease.
	Transfer bool   `cbor:"13,keyasint,omitempty"`
	Chunk    *Chunk `cbor:"14,keyasint,omitempty"`
}

// Chunk is a part of a snapshot. Data is attached by the caller that sends it.
type Chunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint"`
	Total  uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint,omitempty"`
}

// Action is an output of the core. The concrete types follow.
type Action interface{ isAction() }

// Persist makes hard state and entries durable. Entries replace any stored
// entries from the index of the first one on.
type Persist struct {
	HardState *HardState // nil: unchanged
	Entries   []Entry
}

// Send sends Message.
type Send struct{ Message Message }

// SendChunk attaches the data of Message.Chunk and sends Message.
type SendChunk struct{ Message Message }

// Apply applies committed entries in order.
type Apply struct{ Entries []Entry }

// Restore saves the snapshot durably, replaces the stored log by an empty one
// that starts after it and holds HardState, and then replaces the state of the
// state machine. The caller reports Restored when the disk part is done.
type Restore struct {
	Meta      SnapshotMeta
	Data      []byte
	HardState HardState
}

func (Persist) isAction()   {}
func (Send) isAction()      {}
func (SendChunk) isAction() {}
func (Apply) isAction()     {}
func (Restore) isAction()   {}

// Role is the part that a replica plays in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota + 1
	Candidate
	Leader
)

// String returns the lower-case name of r.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "invalid"
}
