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
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	command, err := configstate.EncodeChange(configstate.Change{
		ID: hex.EncodeToString(id[:]), Action: configstate.MergeItems, Operator: operator, Origin: origin,
		Submitted: time.Now().UnixNano(), Items: items,
	})
	if err != nil {
		return errkind.New(errkind.BadRequest, "%w", err)
	}
	result, err := n.control.config.Propose(ctx, command)
	if err != nil {
		n.logger.Warn("merge of items not confirmed", "operator", operator, "from", origin, "items", len(items), "error", err)
		return err
	}
	a, err := configstate.DecodeAnswer(result)
	if err != nil {
		return errkind.New(errkind.OutcomeUnknown, "%w", err)
	}
	n.logger.Info("items merged", "operator", operator, "from", origin, "items", len(items), "outcome", a.Outcome,
		"revision", a.ItemsRevision, "message", a.Message)
	if a.Outcome != configstate.Accepted {
		return errkind.New(errkind.InvalidDocument, "%s", a.Message)
	}
	return nil
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
