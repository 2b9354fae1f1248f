package explain

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/transport"
)

// Message kinds of this package.
const (
	KindFind   = transport.FirstExplainKind
	KindEvents = transport.FirstExplainKind + 1
	KindRecent = transport.FirstExplainKind + 2
)

// maxReplyItems is the maximum number of records or events in a reply, which must fit into
// one transport message.
const maxReplyItems = 256

// FindRequest requests the records of a node for one request.
type FindRequest struct {
	RequestID string `cbor:"1,keyasint"`
}

// Records is the reply to FindRequest and RecentRequest.
type Records struct {
	Records []*Record `cbor:"1,keyasint"`
}

// RecentRequest requests the newest records of a class, or of all classes if Class is empty.
type RecentRequest struct {
	Class string `cbor:"1,keyasint,omitempty"`
	Limit int    `cbor:"2,keyasint"`
}

// EventsRequest requests the newest events.
type EventsRequest struct {
	Limit int `cbor:"1,keyasint"`
}

// EventsReply is the reply to EventsRequest.
type EventsReply struct {
	Events []Event `cbor:"1,keyasint"`
}

// Register registers handlers that answer the messages of this package from s.
func Register(m *transport.Mux, s *Store) {
	transport.Handle(m, KindFind, func(_ context.Context, _ transport.Peer, r *FindRequest) (*Records, error) {
		return &Records{s.Find(r.RequestID)}, nil
	})
	transport.Handle(m, KindRecent, func(_ context.Context, _ transport.Peer, r *RecentRequest) (*Records, error) {
		return &Records{s.Recent(r.Class, clampLimit(r.Limit))}, nil
	})
	transport.Handle(m, KindEvents, func(_ context.Context, _ transport.Peer, r *EventsRequest) (*EventsReply, error) {
		return &EventsReply{s.Events(clampLimit(r.Limit))}, nil
	})
}

func clampLimit(n int) int { return max(1, min(n, maxReplyItems)) }

// AddressLookup returns the address at which other nodes reach a node.
type AddressLookup func(node fleet.NodeID) (address string, ok bool)

// Finder collects the records of a request from the nodes that took part in it.
type Finder struct {
	store     *Store
	client    transport.Client
	addresses AddressLookup
	entryNode func(requestID string) (fleet.NodeID, bool)
}

// NewFinder returns a Finder that queries other nodes through client. entryNode returns the
// node that assigned a request id.
func NewFinder(s *Store, client transport.Client, a AddressLookup, entryNode func(string) (fleet.NodeID, bool)) *Finder {
	return &Finder{s, client, a, entryNode}
}

// Explanation holds the records of a request.
type Explanation struct {
	RequestID string    `json:"request_id"`
	Records   []*Record `json:"records"`           // those of the entry node first
	Missing   []Missing `json:"missing,omitempty"` // nodes that could not be queried
}

// Missing is a node whose records are not part of an explanation.
type Missing struct {
	Node   fleet.NodeID `json:"node"`
	Reason string       `json:"reason"`
}

// Find merges the records of the entry node and of the targets of all attempts.
func (f *Finder) Find(ctx context.Context, id string) (*Explanation, error) {
	entry, ok := f.entryNode(id)
	if !ok {
		return nil, errkind.New(errkind.BadRequest, "%q is not a request id", id)
	}
	out := &Explanation{RequestID: id}
	f.query(ctx, entry, id, out)
	queried := []fleet.NodeID{entry}
	for _, r := range slices.Clone(out.Records) {
		for _, a := range r.Attempts {
			if a.Target != "" && !slices.Contains(queried, a.Target) {
				queried = append(queried, a.Target)
				f.query(ctx, a.Target, id, out)
			}
		}
	}
	if len(out.Records) == 0 && len(out.Missing) == 0 {
		return nil, errkind.New(errkind.NotFound, "node %s has no record of %s; only records of recent requests are kept", entry, id)
	}
	return out, nil
}

func (f *Finder) query(ctx context.Context, node fleet.NodeID, id string, out *Explanation) {
	if node == f.store.node {
		out.Records = append(out.Records, f.store.Find(id)...)
		return
	}
	address, ok := f.addresses(node)
	if !ok {
		out.Missing = append(out.Missing, Missing{node, "the address of the node is unknown"})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply Records
	if err := f.client.Call(ctx, address, KindFind, &FindRequest{id}, &reply); err != nil {
		out.Missing = append(out.Missing, Missing{node, fmt.Sprintf("the node did not answer: %v", err)})
		return
	}
	out.Records = append(out.Records, reply.Records...)
}

// queryTimeout is the time limit for the query to one node.
const queryTimeout = 2 * time.Second
