package replica

import (
	"time"

	"bramleymill/raft"
	"bramleymill/transport"
)

// Kinds of messages.
const (
	kindBatch     = transport.KindsOfRaft + iota // messages between replicas
	kindPropose                                  // a proposal for the leader
	kindReadIndex                                // a linearizable read index from the leader
	kindLocate                                   // the leader's address
	kindJoin                                     // a replica asks to become a learner
	kindHealth                                   // what keeps the replicas of a process from working
)

// batch carries messages of several groups. The reply of a batch is a batch.
type batch struct {
	Address  string         `cbor:"1,keyasint"` // of the sender
	Messages []groupMessage `cbor:"2,keyasint,omitempty"`
	Token    *token         `cbor:"3,keyasint,omitempty"` // in a reply
	Proofs   []proof        `cbor:"4,keyasint,omitempty"` // in a request
}

// token marks a moment of the process that sent it, on that process's monotonic
// clock. Life is random and changes with each start.
type token struct {
	BootID uint64        `cbor:"1,keyasint"`
	At     time.Duration `cbor:"2,keyasint"`
}

// proof says that everything that a group committed before Token is covered by
// the entry at Index.
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

// proposeReply with Accepted unset proves that the command was not proposed.
type proposeReply struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Result   []byte `cbor:"2,keyasint,omitempty"`
	Leader   string `cbor:"3,keyasint,omitempty"`
	Reason   string `cbor:"4,keyasint,omitempty"`
}

type readIndexRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

// readReply names an entry that holds everything committed before the request.
type readIndexReply struct {
	Confirmed bool   `cbor:"1,keyasint,omitempty"`
	Index     uint64 `cbor:"2,keyasint,omitempty"`
	LogTerm   uint64 `cbor:"3,keyasint,omitempty"`
}

type locateRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

type locateReply struct {
	Leader string `cbor:"1,keyasint,omitempty"` // empty: not known
	Term   uint64 `cbor:"2,keyasint,omitempty"`
}

type joinRequest struct {
	Group     uint32      `cbor:"1,keyasint"`
	Member    raft.Member `cbor:"2,keyasint"`
	ClusterID uint64      `cbor:"3,keyasint,omitempty"` // 0: belongs to no group yet
}

type joinReply struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Leader   string `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
}
