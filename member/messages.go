package member

import (
	"time"

	"bramleymill/fleet"
	"bramleymill/transport"
)

// Kinds of messages between members. Each is named after the type of its request.
const (
	kindHeartbeat = transport.FirstMemberKind + iota
	kindNotify
	kindPing
	kindProbe
	kindExchange
	kindDocument
)

// heartbeat is sent by a node to its parent, or to a node that it wants as parent.
type heartbeat struct {
	Self             fleet.Server `cbor:"1,keyasint"`
	Explore          bool         `cbor:"2,keyasint,omitempty"` // requests only the confirmation age
	Applied          uint64       `cbor:"3,keyasint,omitempty"` // configuration version of the sender
	ParentBoot       uint64       `cbor:"4,keyasint,omitempty"` // id of the process start of the parent to which Rev and BroadcastRev belong
	Rev              uint64       `cbor:"5,keyasint,omitempty"` // registry revision of the parent that the sender has received
	SubscriptionHash uint64       `cbor:"6,keyasint,omitempty"` // hash of all services to which the sender subscribes
	Subscriptions    []string     `cbor:"7,keyasint,omitempty"` // all; sent when the parent may not know them
	HasSubscriptions bool         `cbor:"8,keyasint,omitempty"` // Subscriptions is set; it may be empty
	PendingLists     []string     `cbor:"9,keyasint,omitempty"` // services whose complete list has not arrived
	Subtree          []report     `cbor:"10,keyasint,omitempty"`
	Renewals         []renewal    `cbor:"11,keyasint,omitempty"`
	Children         int          `cbor:"12,keyasint,omitempty"` // number of children of the sender
	BroadcastRev     uint64       `cbor:"13,keyasint,omitempty"` // revision of the parent's broadcast log up to which the sender has received the broadcasts
	Broadcasts       []broadcast  `cbor:"14,keyasint,omitempty"`
	BroadcastsUpTo   uint64       `cbor:"15,keyasint,omitempty"` // revision of the sender's broadcast log up to which Broadcasts goes
}

// report carries the announcement of a node in the sender's subtree.
type report struct {
	Server  fleet.Server  `cbor:"1,keyasint"`
	Lost    bool          `cbor:"2,keyasint,omitempty"` // the sender dropped the node
	Applied uint64        `cbor:"3,keyasint,omitempty"` // configuration version that the node has applied
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since the last contact with the node
}

// renewal renews the lease of a node whose announcement the receiver already has.
type renewal struct {
	Node        fleet.NodeID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Applied     uint64            `cbor:"4,keyasint,omitempty"` // configuration version that the node has applied
	AgeMillis   uint32            `cbor:"5,keyasint,omitempty"` // since the last contact with the node
}

// refusalReason is the reason why a parent did not accept a child.
type refusalReason uint8

const (
	notRefused      refusalReason = iota // the child is accepted
	refusedFull                          // no free place; Redirect lists the addresses of children that may accept the sender
	refusedBusy                          // too many nodes are joining
	refusedDetached                      // the parent is leaving or has no path to a control instance
	refusedCycle                         // the child is an ancestor of the parent
	refusedOutdated                      // a newer announcement of the child is known
)

type heartbeatReply struct {
	Refused           refusalReason     `cbor:"1,keyasint,omitempty"`
	Redirect          []string          `cbor:"2,keyasint,omitempty"`
	Incarnation       fleet.Incarnation `cbor:"3,keyasint,omitempty"`  // incarnation of the newer announcement, set with refusedOutdated
	Boot              uint64            `cbor:"4,keyasint"`            // random id of the process start of the sender
	Rev               uint64            `cbor:"5,keyasint,omitempty"`  // registry revision up to which Items goes
	More              bool              `cbor:"6,keyasint,omitempty"`  // further changes or broadcasts wait for the next heartbeat
	NeedSubscriptions bool              `cbor:"7,keyasint,omitempty"`  // the next heartbeat must contain all subscriptions
	NeedReports       bool              `cbor:"8,keyasint,omitempty"`  // the next heartbeat must report the whole subtree
	Items             []item            `cbor:"9,keyasint,omitempty"`  // registry changes after Rev of the request
	Lists             []serviceList     `cbor:"10,keyasint,omitempty"` // complete lists for PendingLists
	Version           uint64            `cbor:"11,keyasint,omitempty"` // configuration version of the sender
	Document          []byte            `cbor:"12,keyasint,omitempty"` // document of Version; empty: the receiver has applied this version or a later one, or DocumentBytes is set
	Confirmed         bool              `cbor:"13,keyasint,omitempty"` // Version has a confirmation, and Age is set
	Age               time.Duration     `cbor:"14,keyasint,omitempty"` // age of the confirmation of Version
	Path              []fleet.NodeID    `cbor:"15,keyasint,omitempty"` // node names from the root to the parent
	Controls          []string          `cbor:"16,keyasint,omitempty"` // addresses of control instances, set for a new child and when they have changed
	BroadcastRev      uint64            `cbor:"17,keyasint,omitempty"`
	Broadcasts        []broadcast       `cbor:"18,keyasint,omitempty"`
	DocumentBytes     uint64            `cbor:"20,keyasint,omitempty"` // size of the document of Version, which is too large for this reply
	BroadcastsUpTo    uint64            `cbor:"19,keyasint,omitempty"` // copied from the request; its broadcasts are now stored
}

// item is the current state of a registry entry.
type item struct {
	Server fleet.Server `cbor:"1,keyasint"`
	Lost   bool         `cbor:"2,keyasint,omitempty"`
	// Released is set when the node is no longer in the sender's subtree. The
	// node may still be alive elsewhere.
	Released bool `cbor:"3,keyasint,omitempty"`
}

type serviceList struct {
	Service string         `cbor:"1,keyasint"`
	Servers []fleet.Server `cbor:"2,keyasint,omitempty"`
}

// notify makes a child send a heartbeat immediately.
type notify struct{}

type notifyReply struct {
	NotChild bool `cbor:"1,keyasint,omitempty"` // the receiver of the notification is not a child of its sender
}

// ping requests the announcement of a node.
type ping struct{}

type pingReply struct {
	Self   fleet.Server `cbor:"1,keyasint"`
	Parent fleet.NodeID `cbor:"2,keyasint,omitempty"`
}

// probe is sent to a node at a second location, which then pings a suspect node.
type probe struct {
	Node    fleet.NodeID `cbor:"1,keyasint"`
	Address string       `cbor:"2,keyasint"`
}

type probeReply struct {
	Reached bool      `cbor:"1,keyasint,omitempty"`
	Ping    pingReply `cbor:"2,keyasint"`
}

// exchange is sent by a control instance to another one and carries the changes
// in the sender's subtree.
type exchange struct {
	Self       fleet.Server `cbor:"1,keyasint"`
	Boot       uint64       `cbor:"2,keyasint"`           // random id of the process start of the sender
	Full       bool         `cbor:"3,keyasint,omitempty"` // Items is the sender's whole subtree
	Items      []item       `cbor:"4,keyasint,omitempty"`
	Digest     uint64       `cbor:"5,keyasint"`           // hash of all announcements in the sender's subtree
	Applied    uint64       `cbor:"6,keyasint,omitempty"` // configuration version of the nodes outside Exceptions
	Exceptions []renewal    `cbor:"7,keyasint,omitempty"` // nodes with another version or an old last contact
	Broadcasts []broadcast  `cbor:"8,keyasint,omitempty"`
	Number     uint64       `cbor:"9,keyasint,omitempty"` // number of a piggybacked exchange
	// PiggybackReply answers the exchange that was piggybacked on the previous reply.
	PiggybackReply *piggybackReply `cbor:"10,keyasint,omitempty"`
	// AcceptsPiggyback is set if the reply may carry an exchange in the other
	// direction.
	AcceptsPiggyback bool `cbor:"11,keyasint,omitempty"`
}

type exchangeReply struct {
	Boot   uint64 `cbor:"1,keyasint"`           // random id of the process start of the sender
	Resync bool   `cbor:"2,keyasint,omitempty"` // the sender of the exchange must send all Items
	// Piggyback is an exchange in the other direction, which saves a call.
	Piggyback *exchange `cbor:"3,keyasint,omitempty"`
}

// piggybackReply answers an exchange that was piggybacked on a reply.
type piggybackReply struct {
	Number uint64        `cbor:"1,keyasint"`
	Reply  exchangeReply `cbor:"2,keyasint"`
}

// broadcast is a small message that spreads through the whole membership tree
// until its age reaches broadcastLifetime.
type broadcast struct {
	Origin      fleet.NodeID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Number      uint64            `cbor:"3,keyasint"`
	Topic       string            `cbor:"4,keyasint"`
	Payload     []byte            `cbor:"5,keyasint"`
	Age         time.Duration     `cbor:"6,keyasint"`
}
