package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// follow is a service whose servers this node receives.
type follow struct {
	fresh    bool // the parent has not given a complete answer yet
	complete bool // some parent has given a complete answer
	own      bool // used by this node, not only by its children
	used     time.Time
	waiters  []chan struct{}
}

// followService starts to follow a service for this node. The channel is closed
// when its servers are known; it is nil when they are known already.
func (k *core) followService(service string, now time.Time) <-chan struct{} {
	if k.control() && k.synced {
		k.reg.dirty[service] = struct{}{}
		return nil
	}
	f := k.followed(service, now)
	f.own, f.used = true, now
	k.reg.dirty[service] = struct{}{}
	if f.complete {
		return nil
	}
	done := make(chan struct{})
	f.waiters = append(f.waiters, done)
	return done
}

// followed returns the entry of a service, which it adds when missing.
func (k *core) followed(service string, now time.Time) *follow {
	f := k.follows[service]
	if f == nil {
		f = &follow{fresh: true, used: now}
		k.follows[service] = f
		k.up.listKnown = false
		k.up.urgency.raise(immediate)
	}
	return f
}

func (f *follow) finish() {
	f.complete = true
	for _, w := range f.waiters {
		close(w)
	}
	f.waiters = nil
}

// endFollows forgets the services that neither this node nor a child used lately.
func (k *core) endFollows(now time.Time) {
	for s, f := range k.follows {
		if now.Sub(f.used) >= followLife {
			f.own = false
		}
		if !f.own && !k.childFollows(s) {
			f.finish()
			delete(k.follows, s)
			k.up.listKnown = false
			k.reg.dirty[s] = struct{}{}
		}
	}
}

func (k *core) childFollows(service string) bool {
	for _, c := range k.children {
		if c.follows[service] {
			return true
		}
	}
	return false
}

// addFollows fills in which services the node follows, as a whole only when the
// parent may not know it.
func (k *core) addFollows(h *heartbeat) {
	list := make([]string, 0, len(k.follows))
	for s, f := range k.follows {
		list = append(list, s)
		if f.fresh {
			h.Fresh = append(h.Fresh, s)
		}
	}
	slices.Sort(list)
	slices.Sort(h.Fresh)
	h.FollowHash = hashOf(list)
	if !k.up.listKnown || h.FollowHash != k.up.listHash {
		h.Follows, h.ListSent = list, true
		k.up.listKnown, k.up.listHash = true, h.FollowHash
	}
}

func hashOf(list []string) uint64 {
	d := xxhash.New()
	for _, s := range list {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// takeFollows notes what a child follows. A relay follows it as well.
func (k *core) takeFollows(c *child, h *heartbeat, reply *heartbeatReply) {
	if h.ListSent {
		c.follows = make(map[string]bool, len(h.Follows))
		for _, s := range h.Follows {
			c.follows[s] = true
		}
		c.followHash, c.listKnown = h.FollowHash, true
	}
	if !c.listKnown || c.followHash != h.FollowHash {
		reply.NeedFollows = true
	}
	if k.control() {
		return
	}
	for s := range c.follows {
		k.followed(s, c.heard)
	}
}

// answer fills in what changed for a child since its last heartbeat.
func (k *core) answer(c *child, h *heartbeat, reply *heartbeatReply, now time.Time) {
	reply.Path = append(slices.Clone(k.up.path), k.id)
	reply.Rev = k.reg.rev
	if h.Epoch == k.epoch {
		k.addChanges(c, h, reply)
	}
	for _, s := range h.Fresh {
		if k.complete(s) && c.follows[s] {
			reply.Lists = append(reply.Lists, serviceList{s, k.reg.servers(s)})
		}
	}
	if h.Applied < k.conf.version {
		reply.Document = k.conf.document
	}
	reply.NoticesTo = h.NoticesTo
	for _, n := range h.Notices {
		k.takeNotice(n, c.node, now)
	}
	after := h.NoticeRev
	if h.Epoch != k.epoch {
		after = 0
	}
	reply.Notices, reply.NoticeRev = k.notices.after(after, c.node, now)
	reply.More = reply.More || reply.NoticeRev < k.notices.rev
}

// complete reports whether all servers of a service are known here.
func (k *core) complete(service string) bool {
	if k.control() {
		return k.synced
	}
	f := k.follows[service]
	return f != nil && f.complete
}

func (k *core) addChanges(c *child, h *heartbeat, reply *heartbeatReply) {
	var changed []*entry
	for s := range c.follows {
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

// takeServices merges the servers in a reply of the parent.
func (k *core) takeServices(reply *heartbeatReply, now time.Time) {
	for _, i := range reply.Items {
		k.takeItem(i, now)
	}
	for _, l := range reply.Lists {
		f := k.follows[l.Service]
		if f == nil {
			continue
		}
		k.takeList(l, now)
		f.fresh = false
		if !f.complete {
			f.finish()
			k.spreadService(l.Service, immediate)
			k.reg.dirty[l.Service] = struct{}{}
		}
	}
}

// takeItem merges an entry from the parent, whose word counts for every node
// that is not heard in the own subtree.
func (k *core) takeItem(i item, now time.Time) {
	e, o := k.reg.put(i.Server, i.Lost, now)
	if o != newer {
		// A later announcement known here may come from a parent that is gone. Only
		// the loss of an earlier one says something about it.
		if e.via != "" || e.lost == i.Lost || (o == older && !i.Lost) {
			return
		}
		k.reg.setLost(e, i.Lost, now)
	}
	k.spread(e)
	if i.Server.Node == k.id && o == newer {
		k.outdated(i.Server.Incarnation, now)
	}
}

// takeList merges the complete list of a service. What the parent does not list
// is lost, except in the own subtree.
func (k *core) takeList(l serviceList, now time.Time) {
	listed := make(map[string]bool, len(l.Servers))
	for _, s := range l.Servers {
		listed[string(s.Node)] = true
		k.takeItem(item{Server: s}, now)
	}
	for _, s := range k.reg.servers(l.Service) {
		e := k.reg.entries[s.Node]
		if !listed[string(s.Node)] && e.via == "" {
			k.reg.setLost(e, true, now)
			k.spread(e)
		}
	}
}
