package node

import (
	"context"

	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/operator"
	"bramleymill/transport"
)

// handlePlans answers the plan requests of other nodes.
func (n *Node) handlePlans(mux *transport.Mux) {
	transport.Handle(mux, explain.KindPlan, func(_ context.Context, _ transport.Peer, r *explain.PlanRequest) (*explain.Plan, error) {
		return n.planHere(r)
	})
}

func (n *Node) planHere(r *explain.PlanRequest) (*explain.Plan, error) {
	p := n.proxy.Load()
	if p == nil {
		return nil, errkind.New(errkind.ConfigAbsent, "node %s is starting and takes no requests yet", n.settings.Node)
	}
	return p.Plan(r)
}

// Plan asks the entry node of r where the request would go, this node if r names none.
func (n *Node) Plan(ctx context.Context, r *explain.PlanRequest) (*explain.Plan, error) {
	if r.Entry == "" || r.Entry == nodeID(n.settings) {
		return n.planHere(r)
	}
	address, ok := n.addressOf(r.Entry)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "node %s does not know a node %s; ask a control instance, which knows all nodes", n.settings.Node, r.Entry)
	}
	var plan explain.Plan
	if err := n.endpoint.Call(ctx, address, explain.KindPlan, r, &plan); err != nil {
		return nil, err
	}
	return &plan, nil
}

var _ operator.Planner = (*Node)(nil)
