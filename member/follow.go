package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subscription is the state of one service whose servers this node receives.
type subscription struct {
	listPending bool // the present parent has not sent the complete list yet
	complete    bool // a complete list has been received from some parent
	local       bool // used by this node itself, not only by its children
	lastUsed    time.Time
	waiters     []chan struct{}
}

// subscribe subscribes this node to a service. The channel is closed when the
// servers of the service are known. It is nil if they are already known.
func (k *core) subscribe(service string, now time.Time) <-chan struct{} {
	if k.control() && k.synced {
		k.reg.dirty[service] = struct{}{}
		return nil
	}
	sub := k.ensureSubscription(service, now)
	sub.local, sub.lastUsed = true, now
	k.reg.dirty[service] = struct{}{}
	if sub.complete {
		return nil
	}
	done := make(chan struct{})
	sub.waiters = append(sub.waiters, done)
	return done
}

// ensureSubscription returns the subscription to a service and creates it if there
// is none.
func (k *core) ensureSubscription(service string, now time.Time) *subscription {
	sub := k.subscriptions[service]
	if sub == nil {
		sub = &subscription{listPending: true, lastUsed: now}
		k.subscriptions[service] = sub
		k.up.subscriptionsKnown = false
		k.up.urgency.raise(immediate)
	}
	return sub
}

func (sub *subscription) markComplete() {
	sub.complete = true
	for _, w := range sub.waiters {
		close(w)
	}
	sub.waiters = nil
}

// expireSubscriptions ends the subscriptions that this node has not used for
// subscriptionLifetime and that no child shares.
func (k *core) expireSubscriptions(now time.Time) {
	for s, sub := range k.subscriptions {
		if now.Sub(sub.lastUsed) >= subscriptionLifetime {
			sub.local = false
		}
		if !sub.local && !k.childSubscribes(s) {
			sub.markComplete()
			delete(k.subscriptions, s)
			k.up.subscriptionsKnown = false
			k.reg.dirty[s] = struct{}{}
		}
	}
}

func (k *core) childSubscribes(service string) bool {
	for _, c := range k.children {
		if c.subscriptions[service] {
			return true
		}
	}
	return false
}

// addSubscriptions adds the hash of the subscriptions to a heartbeat, and the full
// list if the parent may not know it.
func (k *core) addSubscriptions(h *heartbeat) {
	list := make([]string, 0, len(k.subscriptions))
	for s, sub := range k.subscriptions {
		list = append(list, s)
		if sub.listPending {
			h.PendingLists = append(h.PendingLists, s)
		}
	}
	slices.Sort(list)
	slices.Sort(h.PendingLists)
	h.SubscriptionHash = hashServices(list)
	if !k.up.subscriptionsKnown || h.SubscriptionHash != k.up.subscriptionHash {
		h.Subscriptions, h.HasSubscriptions = list, true
		k.up.subscriptionsKnown, k.up.subscriptionHash = true, h.SubscriptionHash
	}
}

func hashServices(list []string) uint64 {
	d := xxhash.New()
	for _, s := range list {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// applySubscriptions records the subscriptions of a child. A relay subscribes to
// the same services.
func (k *core) applySubscriptions(c *child, h *heartbeat, reply *heartbeatReply) {
	if h.HasSubscriptions {
		c.subscriptions = make(map[string]bool, len(h.Subscriptions))
		for _, s := range h.Subscriptions {
			c.subscriptions[s] = true
		}
		c.subscriptionHash, c.subscriptionsKnown = h.SubscriptionHash, true
	}
	if !c.subscriptionsKnown || c.subscriptionHash != h.SubscriptionHash {
		reply.NeedSubscriptions = true
	}
	if k.control() {
		return
	}
	for s := range c.subscriptions {
		k.ensureSubscription(s, c.lastContact)
	}
}

// addUpdates adds to the reply what changed for a child since its last heartbeat.
func (k *core) addUpdates(c *child, h *heartbeat, reply *heartbeatReply, now time.Time) {
	reply.Path = append(slices.Clone(k.up.path), k.id)
	reply.Rev = k.reg.rev
	if h.ParentBoot == k.boot {
		k.addChanges(c, h, reply)
	}
	for _, s := range h.PendingLists {
		if k.complete(s) && c.subscriptions[s] {
			reply.Lists = append(reply.Lists, serviceList{s, k.reg.servers(s)})
		}
	}
	if h.Applied < k.conf.version {
		k.announceDocument(reply)
	}
	reply.BroadcastsUpTo = h.BroadcastsUpTo
	for _, n := range h.Broadcasts {
		k.receiveBroadcast(n, c.node, now)
	}
	after := h.BroadcastRev
	if h.ParentBoot != k.boot {
		after = 0
	}
	reply.Broadcasts, reply.BroadcastRev = k.broadcasts.after(after, c.node, now)
	reply.More = reply.More || reply.BroadcastRev < k.broadcasts.rev
}

// complete reports whether this member knows all servers of a service.
func (k *core) complete(service string) bool {
	if k.control() {
		return k.synced
	}
	sub := k.subscriptions[service]
	return sub != nil && sub.complete
}

func (k *core) addChanges(c *child, h *heartbeat, reply *heartbeatReply) {
	var changed []*entry
	for s := range c.subscriptions {
		changed = k.reg.changes(changed, s, h.Rev)
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.rev, b.rev) })
	changed = slices.Compact(changed)
	if len(changed) > itemsPerReply {
		changed = changed[:itemsPerReply]
		reply.Rev, reply.More = changed[len(changed)-1].rev, true
	}
	for _, e := range changed {
		reply.Items = append(reply.Items, item{Server: e.server, Lost: e.lost})
	}
}

// applyServices merges the servers in a reply from the parent.
func (k *core) applyServices(reply *heartbeatReply, now time.Time) {
	for _, i := range reply.Items {
		k.applyItem(i, now)
	}
	for _, l := range reply.Lists {
		sub := k.subscriptions[l.Service]
		if sub == nil {
			continue
		}
		k.applyList(l, now)
		sub.listPending = false
		if !sub.complete {
			sub.markComplete()
			k.notifyServiceSubscribers(l.Service, immediate)
			k.reg.dirty[l.Service] = struct{}{}
		}
	}
}

// applyItem merges an entry from the parent. For nodes outside this member's
// subtree the parent decides whether they are lost.
func (k *core) applyItem(i item, now time.Time) {
	e, relation := k.reg.put(i.Server, i.Lost, now)
	if relation != newer {
		// The newer announcement in the registry may come from a former parent. An item
		// with an older announcement takes effect only if it reports a loss.
		if e.via != "" || e.lost == i.Lost || (relation == older && !i.Lost) {
			return
		}
		k.reg.setLost(e, i.Lost, now)
	}
	k.notifySubscribers(e)
	if i.Server.Node == k.id && relation == newer {
		k.handleNewerAnnouncement(i.Server.Incarnation, now)
	}
}

// applyList merges the complete list of a service. Servers that the parent does
// not list are lost, except those in this member's subtree.
func (k *core) applyList(l serviceList, now time.Time) {
	listed := make(map[string]bool, len(l.Servers))
	for _, s := range l.Servers {
		listed[string(s.Node)] = true
		k.applyItem(item{Server: s}, now)
	}
	for _, s := range k.reg.servers(l.Service) {
		e := k.reg.entries[s.Node]
		if !listed[string(s.Node)] && e.via == "" {
			k.reg.setLost(e, true, now)
			k.notifySubscribers(e)
		}
	}
}
