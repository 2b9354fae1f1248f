package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/member"
	"bramleymill/operator"
	"bramleymill/replica"
)

// adminHandler returns the handler of the operator interface. On a node without the
// control role it has no access to the configuration and the fleet.
func (n *Node) adminHandler() http.Handler {
	c := operator.Config{
		Node:      nodeID(n.settings),
		Log:       n.logger,
		Identify:  operator.IdentifyPeer(keys.PeerOf),
		Explainer: n,
		Suspects:  n,
		Events:    n,
		Planner:   n,
	}
	if n.control != nil {
		c.State = n.control.machine
		c.Confirmer = n.control.config
		c.Proposer = n.control.config
		c.Bootstrapper = n.control
		c.Fleet = n
		c.Quotas = n
	}
	return operator.New(c)
}

// Bootstrap starts both replicated groups with this instance as the only voter. If
// an earlier call started only the first group, a repeated call starts the second.
func (c *control) Bootstrap(ctx context.Context) error {
	err := c.config.Bootstrap(ctx)
	if err != nil && !errors.Is(err, replica.ErrAlreadyMember) {
		return err
	}
	if claimsErr := c.claims.Bootstrap(ctx); claimsErr != nil && !errors.Is(claimsErr, replica.ErrAlreadyMember) {
		return claimsErr
	}
	return err
}

// Nodes lists the nodes that the membership of this node has on record.
func (n *Node) Nodes() []operator.NodeStatus {
	view := n.member.View()
	out := make([]operator.NodeStatus, 0, len(view))
	var problemOf map[fleet.NodeID]string
	if n.control != nil {
		problemOf = n.control.problems.collect(view, nodeID(n.settings), n.control.host)
	}
	for _, v := range view {
		s := n.statusOf(v)
		s.ControlProblem = problemOf[s.Node]
		out = append(out, s)
	}
	return out
}

func (n *Node) statusOf(v member.NodeView) operator.NodeStatus {
	s := operator.NodeStatus{
		Node:       v.Server.Node,
		Region:     v.Server.Region,
		Zone:       v.Server.Zone,
		Service:    v.Server.Service,
		State:      v.Server.State.String(),
		Control:    v.Server.ControlInstance,
		Live:       !v.Lost && v.Server.State != fleet.Left,
		LeaseAgeMs: v.LeaseAge.Milliseconds(),
	}
	if n.control != nil {
		appliedVersions := n.control.versions.lookup(v.AppliedVersion)
		s.ConfigVersion, s.OrdersVersion = appliedVersions.document, appliedVersions.orders
	}
	return s
}

// Explain collects the records of a request from the nodes that took part in it.
func (n *Node) Explain(ctx context.Context, requestID string) (operator.Explanation, error) {
	finder := explain.NewFinder(n.store, n.endpoint, n.addressOf, filter.EntryNode)
	found, err := finder.Find(ctx, requestID)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(found)
	if err != nil {
		return nil, fmt.Errorf("encode explanation: %w", err)
	}
	return b, nil
}

func (n *Node) addressOf(node fleet.NodeID) (string, bool) {
	for _, v := range n.member.View() {
		if v.Server.Node == node {
			return v.Server.PeerAddress, true
		}
	}
	return "", false
}

// Suspects lists the requests that are suspected of crashing backend servers.
func (n *Node) Suspects() []operator.Suspect {
	entries := n.suspects.List(time.Now())
	out := make([]operator.Suspect, 0, len(entries))
	for _, e := range entries {
		out = append(out, operator.Suspect{
			Service:     e.Service,
			Fingerprint: operator.Fingerprint(e.Fingerprint),
			Class:       e.Class,
			Path:        e.Path,
			Crashes:     len(e.Crashes),
			Refused:     e.Refused,
		})
	}
	return out
}
