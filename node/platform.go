package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/itemset"
	"bramleymill/proxy"
)

// Ready reports whether the node accepts work: its request path runs, it has a
// configuration and it is not stopping. A node without a backend server is ready
// without a configuration.
func (n *Node) Ready() bool {
	if n.stopping.Load() {
		return false
	}
	return n.proxy.Load() != nil && (n.settings.Backend == nil || n.config.Current() != nil)
}

// Announce records an announcement of the backend server beside the node. It fails if
// service or address is set and differs from that of this backend server.
func (n *Node) Announce(service, address string, a proxy.Announcement) error {
	p := n.proxy.Load()
	if p == nil {
		return errkind.New(errkind.ControlUnavailable, "the node is starting")
	}
	return p.Announce(service, address, a)
}

// MergeItems adds items to the configuration. An item is ignored if the configuration
// already contains the same or a higher version of it. A nil error acknowledges all
// items: they are synced to the disks of a majority of the voters. An error of kind
// InvalidDocument means that the whole change is refused.
func (n *Node) MergeItems(ctx context.Context, operator, origin string, items []itemset.Item) error {
	if n.control == nil {
		return errkind.New(errkind.ControlUnavailable, "node %s has no control role", n.settings.Node)
	}
	a, err := n.propose(ctx, configstate.Change{Action: configstate.MergeItems, Operator: operator, Origin: origin, Items: items})
	if err != nil {
		n.logger.Warn("merge of items not confirmed", "operator", operator, "from", origin, "items", len(items), "error", err)
		return err
	}
	n.logger.Info("items merged", "operator", operator, "from", origin, "items", len(items), "outcome", a.Outcome,
		"revision", a.ItemsRevision, "message", a.Message)
	if a.Outcome != configstate.Accepted {
		return errkind.New(errkind.InvalidDocument, "%s", a.Message)
	}
	return nil
}

// propose submits a change with a new id and the present time and returns its answer.
func (n *Node) propose(ctx context.Context, c configstate.Change) (a configstate.Answer, err error) {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	c.ID, c.Submitted = hex.EncodeToString(id[:]), time.Now().UnixNano()
	command, err := configstate.EncodeChange(c)
	if err != nil {
		return a, errkind.New(errkind.BadRequest, "%w", err)
	}
	result, err := n.control.config.Propose(ctx, command)
	if err != nil {
		return a, err
	}
	if a, err = configstate.DecodeAnswer(result); err != nil {
		return a, errkind.New(errkind.OutcomeUnknown, "%w", err)
	}
	return a, nil
}

// OrderZone takes a zone out of use, or withdraws the order if out is false. A nil error
// acknowledges it: it is synced to the disks of a majority of the voters. An order that is
// already in force is acknowledged again. An order is refused if this node did not know of a
// newer opposite one when it received the order, because it may be a copy from before that.
func (n *Node) OrderZone(ctx context.Context, operator, origin, zone string, out bool) error {
	if n.control == nil {
		return errkind.New(errkind.ControlUnavailable, "node %s has no control role", n.settings.Node)
	}
	known := n.control.machine.View().Orders.Version
	c := configstate.Change{Action: configstate.Return, Operator: operator, Origin: origin, Zone: zone, KnownOrders: &known}
	if out {
		c.Action = configstate.Evacuate
	}
	a, err := n.propose(ctx, c)
	if err != nil {
		n.logger.Warn("zone order not confirmed", "action", c.Action, "zone", zone, "operator", operator, "from", origin, "error", err)
		return err
	}
	n.logger.Info("zone order", "action", c.Action, "zone", zone, "operator", operator, "from", origin, "outcome", a.Outcome,
		"orders", a.OrdersVersion, "message", a.Message)
	switch a.Outcome {
	case configstate.Accepted:
		return nil
	case configstate.Outdated:
		return errkind.New(errkind.ControlUnavailable, "%s", a.Message)
	}
	return errkind.New(errkind.BadRequest, "%s", a.Message)
}

// Items returns the accepted items. A majority of the voters has confirmed that they are
// current.
func (n *Node) Items(ctx context.Context) (*itemset.Set, error) {
	if n.control == nil {
		return nil, errkind.New(errkind.ControlUnavailable, "node %s has no control role", n.settings.Node)
	}
	if err := n.control.config.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return n.control.machine.View().Items, nil
}

// ZonesOut returns the sorted names of the zones that are out of use, as this node applies them.
func (n *Node) ZonesOut() []string {
	if p := n.proxy.Load(); p != nil {
		return p.ZonesOut()
	}
	return nil
}
