package member

import (
	"time"

	"bramleymill/fleet"
	"bramleymill/transport"
)

// The kinds of messages.
const (
	kindHeartbeat = transport.KindsOfMember + iota
	kindNotify
	kindPing
	kindProbe
	kindExchange
)

// heartbeat goes from a node to its parent.
type heartbeat struct {
	Self             fleet.Server `cbor:"1,keyasint"`
	Explore          bool         `cbor:"2,keyasint,omitempty"` // asks for the confirmation age only
	Applied          uint64       `cbor:"3,keyasint,omitempty"`
	ParentBoot       uint64       `cbor:"4,keyasint,omitempty"` // of the parent, for Rev and NoticeRev
	Rev              uint64       `cbor:"5,keyasint,omitempty"` // registry revision of the parent seen so far
	SubscriptionHash uint64       `cbor:"6,keyasint,omitempty"`
	Subscriptions    []string     `cbor:"7,keyasint,omitempty"` // the whole set, when the parent may not know it
	HasSubscriptions bool         `cbor:"8,keyasint,omitempty"` // Follows is filled in
	PendingLists     []string     `cbor:"9,keyasint,omitempty"` // followed services without a complete answer yet
	Subtree          []report     `cbor:"10,keyasint,omitempty"`
	Renewals         []renewal    `cbor:"11,keyasint,omitempty"`
	Children         int          `cbor:"12,keyasint,omitempty"`
	BroadcastRev     uint64       `cbor:"13,keyasint,omitempty"` // notices of the parent seen so far
	Broadcasts       []broadcast  `cbor:"14,keyasint,omitempty"`
	BroadcastsUpTo   uint64       `cbor:"15,keyasint,omitempty"` // own revision that Notices reach
}

// report is the announcement of a node in the sender's subtree.
type report struct {
	Server  fleet.Server  `cbor:"1,keyasint"`
	Lost    bool          `cbor:"2,keyasint,omitempty"`
	Applied uint64        `cbor:"3,keyasint,omitempty"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since the node was heard
}

// renewal renews the lease of a node whose announcement the receiver has.
type renewal struct {
	Node        fleet.NodeID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Applied     uint64            `cbor:"4,keyasint,omitempty"`
	AgeMillis   uint32            `cbor:"5,keyasint,omitempty"`
}

// refusalReason tells why a parent did not accept a child.
type refusalReason uint8

const (
	notRefused      refusalReason = iota
	refusedFull                   // Redirect names children that relay
	refusedBusy                   // too many nodes join at this moment
	refusedDetached               // the parent has no path to a control instance
	refusedCycle                  // the child is an ancestor of the parent
	refusedOutdated               // a newer announcement of the child is known
)

type heartbeatReply struct {
	Refused           refusalReason     `cbor:"1,keyasint,omitempty"`
	Redirect          []string          `cbor:"2,keyasint,omitempty"`
	Incarnation       fleet.Incarnation `cbor:"3,keyasint,omitempty"` // the higher one, with refusedOld
	Boot              uint64            `cbor:"4,keyasint"`
	Rev               uint64            `cbor:"5,keyasint,omitempty"`
	More              bool              `cbor:"6,keyasint,omitempty"` // another heartbeat brings more
	NeedSubscriptions bool              `cbor:"7,keyasint,omitempty"`
	NeedReports       bool              `cbor:"8,keyasint,omitempty"`
	Items             []item            `cbor:"9,keyasint,omitempty"`  // changes since Rev of the request
	Lists             []serviceList     `cbor:"10,keyasint,omitempty"` // complete answers to Fresh
	Version           uint64            `cbor:"11,keyasint,omitempty"`
	Document          []byte            `cbor:"12,keyasint,omitempty"`
	Confirmed         bool              `cbor:"13,keyasint,omitempty"`
	Age               time.Duration     `cbor:"14,keyasint,omitempty"` // of the confirmation of Version
	Path              []fleet.NodeID    `cbor:"15,keyasint,omitempty"` // from the root to the parent
	Controls          []string          `cbor:"16,keyasint,omitempty"` // addresses, when the child is new
	BroadcastRev      uint64            `cbor:"17,keyasint,omitempty"`
	Broadcasts        []broadcast       `cbor:"18,keyasint,omitempty"`
	BroadcastsUpTo    uint64            `cbor:"19,keyasint,omitempty"` // of the request, stored
}

// item is the current state of a registry entry.
type item struct {
	Server fleet.Server `cbor:"1,keyasint"`
	Lost   bool         `cbor:"2,keyasint,omitempty"`
	// Released: the sender no longer hears the node, which says nothing about it.
	Released bool `cbor:"3,keyasint,omitempty"`
}

type serviceList struct {
	Service string         `cbor:"1,keyasint"`
	Servers []fleet.Server `cbor:"2,keyasint,omitempty"`
}

// notify asks a child for a heartbeat now.
type notify struct{}

type notifyReply struct {
	NotChild bool `cbor:"1,keyasint,omitempty"` // the receiver has another parent
}

// ping asks a node for its announcement.
type ping struct{}

type pingReply struct {
	Self   fleet.Server `cbor:"1,keyasint"`
	Parent fleet.NodeID `cbor:"2,keyasint,omitempty"`
}

// probe asks a second location whether it reaches a suspected node.
type probe struct {
	Node    fleet.NodeID `cbor:"1,keyasint"`
	Address string       `cbor:"2,keyasint"`
}

type probeReply struct {
	Reached bool      `cbor:"1,keyasint,omitempty"`
	Ping    pingReply `cbor:"2,keyasint"`
}

// exchange goes from a control instance to another and carries what the sender
// hears in its own subtree.
type exchange struct {
	Self       fleet.Server `cbor:"1,keyasint"`
	Boot       uint64       `cbor:"2,keyasint"`
	Full       bool         `cbor:"3,keyasint,omitempty"` // Items are all that the sender hears
	Items      []item       `cbor:"4,keyasint,omitempty"`
	Digest     uint64       `cbor:"5,keyasint"`           // of all that the sender hears
	Applied    uint64       `cbor:"6,keyasint,omitempty"` // by the nodes outside Exceptions
	Exceptions []renewal    `cbor:"7,keyasint,omitempty"`
	Broadcasts []broadcast  `cbor:"8,keyasint,omitempty"`
	Number     uint64       `cbor:"9,keyasint,omitempty"` // of an exchange in a reply
	// PiggybackReply answers the exchange that came in the previous reply.
	PiggybackReply *piggybackReply `cbor:"10,keyasint,omitempty"`
	// AcceptsPiggyback is set by a sender that takes an exchange in the reply.
	AcceptsPiggyback bool `cbor:"11,keyasint,omitempty"`
}

type exchangeReply struct {
	Boot   uint64 `cbor:"1,keyasint"`
	Resync bool   `cbor:"2,keyasint,omitempty"` // the digests differ
	// Piggyback is the exchange of the sender of the reply, which spares a call.
	Piggyback *exchange `cbor:"3,keyasint,omitempty"`
}

// piggybackReply is the answer to an exchange that came in a reply.
type piggybackReply struct {
	Number uint64        `cbor:"1,keyasint"`
	Reply  exchangeReply `cbor:"2,keyasint"`
}

// broadcast spreads through the whole tree within its life.
type broadcast struct {
	Origin      fleet.NodeID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Number      uint64            `cbor:"3,keyasint"`
	Topic       string            `cbor:"4,keyasint"`
	Payload     []byte            `cbor:"5,keyasint"`
	Age         time.Duration     `cbor:"6,keyasint"`
}
