package replica

import (
	"time"

	"bramleymill/raft"
	"bramleymill/transport"
)

// Kinds of transport messages.
const (
	kindBatch     = transport.FirstRaftKind + iota // batch of Raft messages between replicas
	kindPropose                                    // proposal for the leader
	kindReadIndex                                  // request for a read index, for a linearizable read
	kindLocate                                     // request for the address of the leader
	kindJoin                                       // request of a replica to become a learner
	kindHealth                                     // request for the problems of a process
	kindRetire                                     // request of a replica that ends to hand over its vote
	kindFounding                                   // question of a replica whether it may start as a founder
)

// batch carries Raft messages of several groups. The reply to a batch is also a batch.
type batch struct {
	Address  string         `cbor:"1,keyasint"` // peer address of the sender
	Messages []groupMessage `cbor:"2,keyasint,omitempty"`
	Token    *token         `cbor:"3,keyasint,omitempty"` // set only in a reply
	Proofs   []proof        `cbor:"4,keyasint,omitempty"` // set only in a request
}

// token is a reading of the monotonic clock of the process that created it. BootID
// is the random id of this process start. Readings with different BootIDs cannot be
// compared.
type token struct {
	BootID uint64        `cbor:"1,keyasint"`
	At     time.Duration `cbor:"2,keyasint"`
}

// proof states that the log up to the entry at Index contains everything that the
// group committed before Token was created. LogTerm is the term of that entry.
type proof struct {
	Group   uint32 `cbor:"1,keyasint"`
	Token   token  `cbor:"2,keyasint"`
	Index   uint64 `cbor:"3,keyasint"`
	LogTerm uint64 `cbor:"4,keyasint"`
}

type groupMessage struct {
	Group   uint32       `cbor:"1,keyasint"`
	Message raft.Message `cbor:"2,keyasint"`
}

type proposeRequest struct {
	Group   uint32 `cbor:"1,keyasint"`
	Command []byte `cbor:"2,keyasint"`
}

// proposeReply answers a proposeRequest. If Accepted is false, the command was not
// proposed, Reason says why, and Leader is the address of the leader if known.
type proposeReply struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Result   []byte `cbor:"2,keyasint,omitempty"`
	Leader   string `cbor:"3,keyasint,omitempty"`
	Reason   string `cbor:"4,keyasint,omitempty"`
}

type readIndexRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

// readIndexReply contains a read index if Confirmed is true: the log up to the entry
// at Index contains everything that was committed before the request.
type readIndexReply struct {
	Confirmed bool   `cbor:"1,keyasint,omitempty"`
	Index     uint64 `cbor:"2,keyasint,omitempty"`
	LogTerm   uint64 `cbor:"3,keyasint,omitempty"`
}

type locateRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

type locateReply struct {
	Leader string `cbor:"1,keyasint,omitempty"` // empty: unknown
	Term   uint64 `cbor:"2,keyasint,omitempty"`
}

type joinRequest struct {
	Group     uint32      `cbor:"1,keyasint"`
	Member    raft.Member `cbor:"2,keyasint"`
	ClusterID uint64      `cbor:"3,keyasint,omitempty"` // 0: the replica belongs to no group yet
}

type joinReply struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Leader   string `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
}

type retireRequest struct {
	Group uint32  `cbor:"1,keyasint"`
	ID    raft.ID `cbor:"2,keyasint"`
}

type retireReply struct {
	State raft.Retirement `cbor:"1,keyasint"`
}

// foundingRequest asks whether the founder at Address has taken part in the group.
type foundingRequest struct {
	Group   uint32 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

type foundingReply struct {
	Known bool `cbor:"1,keyasint,omitempty"` // the founder at Address has sent a message before
}
