package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/operator"
)

const (
	eventsTimeout = 2 * time.Second
	// eventsParallel is the largest number of nodes that are queried at the same time.
	eventsParallel = 32
)

// Events returns the newest events, at most limit, of one node or, if node is empty, of
// all live nodes. Nodes that could not be queried are listed as missing.
func (n *Node) Events(ctx context.Context, node fleet.NodeID, limit int) (operator.Events, error) {
	var mu sync.Mutex
	var out operator.Events
	collect := func(s fleet.Server) {
		found, err := n.eventsOf(ctx, s, limit)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Missing = append(out.Missing, explain.Missing{Node: s.Node, Reason: err.Error()})
		}
		out.Events = append(out.Events, found...)
	}
	var queries sync.WaitGroup
	slots := make(chan struct{}, eventsParallel)
	for _, v := range n.member.View() {
		if (node != "" && v.Server.Node != node) || v.Lost || v.Server.State == fleet.Left {
			continue
		}
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			collect(v.Server)
		})
	}
	queries.Wait()
	slices.SortFunc(out.Events, func(a, b explain.Event) int { return cmp.Compare(b.At, a.At) })
	out.Events = out.Events[:min(limit, len(out.Events))]
	return out, nil
}

func (n *Node) eventsOf(ctx context.Context, s fleet.Server, limit int) ([]explain.Event, error) {
	if s.Node == nodeID(n.settings) {
		return n.store.Events(limit), nil
	}
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	var reply explain.EventsReply
	err := n.endpoint.Call(ctx, s.PeerAddress, explain.KindEvents, &explain.EventsRequest{Limit: limit}, &reply)
	return reply.Events, err
}
