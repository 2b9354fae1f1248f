package raft

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// DiskID is the random identifier of a data folder. A replica that lost its disk
// starts with a new one.
type DiskID string

// ID identifies a replica by its node and its disk. The zero ID means no replica.
type ID struct {
	Node fleet.NodeID `cbor:"1,keyasint"`
	Disk DiskID       `cbor:"2,keyasint"`
}

// Member is a replica and the address at which it can be reached.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// MaxVoters is the largest number of voters in a group. Further replicas stay
// learners.
const MaxVoters = 5

// Configuration is the membership of a group. ClusterID is a random number.
// Replicas ignore messages with another ClusterID, so that groups that were
// bootstrapped separately do not mix their logs.
type Configuration struct {
	ClusterID uint64   `cbor:"1,keyasint"`
	Voters    []Member `cbor:"2,keyasint"`
	Learners  []Member `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether id is a voter.
func (c Configuration) IsVoter(id ID) bool { return indexOf(c.Voters, id) >= 0 }

// Find returns the voter or learner with the given id.
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

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	Command             EntryKind = iota + 1 // Data is a command for the state machine
	Empty                                    // no-op: the first entry of a leader's term
	ConfigurationChange                      // Configuration replaces the membership
)

// Entry is one entry of the log. Time is set by the leader, in nanoseconds since
// the Unix epoch, and never decreases from one entry to the next.
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

// HardState is the current term and the vote that was cast in it. It must be
// durable before any message that depends on it is sent.
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

// ClockReading is a reading of the clocks of a replica. Mono is monotonic and orders
// the events of one replica; Unix is the wall time in nanoseconds and serves only
// for the time of entries.
type ClockReading struct {
	Mono time.Duration
	Unix int64
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. Each Reply answers the kind listed before it. An
// AppendReply may also answer a Heartbeat or SnapshotChunk: it refuses an outdated
// one, or reports that the snapshot is complete or not needed.
const (
	PreVote MessageKind = iota + 1 // asks whether the receiver would vote for the sender in Term
	PreVoteReply
	Vote // requests a vote in Term
	VoteReply
	Append // carries log entries from the leader
	AppendReply
	Heartbeat // carries the number of a confirmation round from the leader
	HeartbeatReply
	SnapshotChunk // carries a part of a snapshot from the leader
	SnapshotReply
	TimeoutNow // leader transfer: the receiver starts an election immediately
)

// Message is exchanged between the replicas of a group.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	From      ID          `cbor:"2,keyasint"`
	To        ID          `cbor:"3,keyasint"`
	ClusterID uint64      `cbor:"4,keyasint,omitempty"`
	Term      uint64      `cbor:"5,keyasint"`
	// Index and LogTerm identify an entry. PreVote and Vote: the last entry of
	// the candidate. Append: the entry before Entries. Rejecting AppendReply: the
	// last entry of the follower that may match the leader's log. Other replies
	// have only Index: the last matching entry (AppendReply) or the snapshot
	// (SnapshotReply).
	Index   uint64  `cbor:"6,keyasint,omitempty"`
	LogTerm uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint,omitempty"`  // index up to which the receiver may commit
	Round   uint64  `cbor:"10,keyasint,omitempty"` // confirmation round of a Heartbeat, echoed in its reply
	Refused bool    `cbor:"11,keyasint,omitempty"`
	// Probed is the Index of the Append that an AppendReply rejects. In a
	// SnapshotReply it is the number of bytes received so far.
	Probed uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks a Vote request that follows a TimeoutNow from the leader.
	// Voters may grant such a request even while that leader's lease holds.
	Transfer bool          `cbor:"13,keyasint,omitempty"`
	Chunk    *Chunk        `cbor:"14,keyasint,omitempty"`
	DiskTime time.Duration `cbor:"15,keyasint,omitempty"` // usual time of a write at the sender; see Node.SetDiskTime
}

// Chunk is the part of a snapshot that starts at byte Offset of Total. The core
// leaves Total and Data empty; the caller that executes a SendChunk fills them
// in.
type Chunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint"`
	Total  uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint,omitempty"`
}

// Action is an output of the core that the caller executes: a Persist, Send,
// SendChunk, Apply or Restore.
type Action interface{ isAction() }

// Persist stores the hard state and entries durably. Entries replace all stored
// entries from the index of the first one on.
type Persist struct {
	HardState *HardState // nil: unchanged
	Entries   []Entry
}

// Send sends Message to the replica Message.To.
type Send struct{ Message Message }

// SendChunk fills in the data of Message.Chunk from the stored snapshot and sends
// Message.
type SendChunk struct{ Message Message }

// Apply applies committed entries to the state machine in order.
type Apply struct{ Entries []Entry }

// Restore installs a snapshot that was received from the leader. The caller saves
// the snapshot durably, replaces the stored log by an empty one that starts after
// the snapshot and holds HardState, and then replaces the state of the state
// machine. It calls Node.Restored when the snapshot and the log are durable.
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

// Role is the role of a replica in its group.
type Role uint8

// The roles of a replica. A learner is a follower that is not a voter.
const (
	Follower  Role = iota + 1 // accepts entries from the leader of its term
	Candidate                 // requests votes or pre-votes
	Leader                    // accepts proposals and replicates its log
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
