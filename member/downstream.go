package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bramleymill/fleet"
	"bramleymill/transport"
)

// child is the state that a parent keeps about a node that sends it heartbeats.
type child struct {
	node               fleet.NodeID
	address            string
	zone               string
	subscriptions      map[string]bool
	subscriptionHash   uint64
	subscriptionsKnown bool
	subtree            map[fleet.NodeID]bool // nodes that the child reports
	childCount         int                   // number of children that the child itself has
	assigned           int                   // nodes redirected to the child since its last heartbeat
	lastContact        time.Time
	urgency            urgency // urgency of the next notification
	inFlight           bool
	lastNotified       time.Time
	controls           []string // addresses of control instances that were last sent to the child
}

// onHeartbeat handles the heartbeat of a child or of a node that wants to join.
func (k *core) onHeartbeat(from transport.Peer, h *heartbeat, now time.Time) *heartbeatReply {
	k.readSource(now)
	reply := &heartbeatReply{Boot: k.boot}
	k.addConfirmation(reply, now)
	if h.Explore {
		return reply
	}
	k.stats.HeartbeatsServed++
	if e := k.reg.entries[h.Self.Node]; e != nil && e.server.Supersedes(h.Self) {
		reply.Refused, reply.Incarnation = refusedOutdated, e.server.Incarnation
		return reply
	}
	if h.Self.State == fleet.Left {
		k.childLeft(h, now)
		return reply
	}
	c := k.children[h.Self.Node]
	if c == nil {
		if c = k.admit(h, reply, now); c == nil {
			return reply
		}
	}
	if k.leaving {
		reply.Refused = refusedDetached
		return reply
	}
	c.address, c.zone, c.lastContact = h.Self.PeerAddress, h.Self.Zone, now
	c.childCount, c.assigned, c.urgency = h.Children, 0, 0
	if controls := k.currentControls(now); !slices.Equal(c.controls, controls) {
		c.controls, reply.Controls = controls, controls
	}
	k.mergeHeartbeat(h, c, reply, now)
	k.applySubscriptions(c, h, reply)
	k.addUpdates(c, h, reply, now)
	return reply
}

// admit accepts the sender as a child, or sets the reason for the refusal in reply
// and returns nil.
func (k *core) admit(h *heartbeat, reply *heartbeatReply, now time.Time) *child {
	switch {
	case k.leaving || !k.attached():
		reply.Refused = refusedDetached
	case slices.Contains(k.up.path, h.Self.Node):
		reply.Refused = refusedCycle
	case len(k.children) >= k.childLimit():
		reply.Refused, reply.Redirect = refusedFull, k.redirect(h)
	case !k.joins.take(now, MaxJoinsPerSecond, joinBurst):
		reply.Refused = refusedBusy
	}
	if reply.Refused != notRefused {
		k.stats.ChildrenRefused++
		return nil
	}
	c := &child{node: h.Self.Node, subtree: map[fleet.NodeID]bool{}}
	k.children[c.node] = c
	k.stats.ChildrenAccepted++
	return c
}

// childLimit returns the maximum number of children of this member.
func (k *core) childLimit() int {
	if k.control() {
		return k.maxChildren
	}
	return min(k.maxChildren, MaxRelayChildren)
}

// redirect returns the addresses of children that the sender may join instead. They
// are sorted by three criteria: those that can accept a child first, then those in
// the availability zone of the sender, then those with the lowest load.
func (k *core) redirect(h *heartbeat) []string {
	type choice struct {
		c                     *child
		full, otherZone, load int
	}
	var choices []choice
	for _, c := range k.sortedChildren() {
		if c.node == h.Self.Node {
			continue
		}
		x := choice{c: c, load: c.childCount + c.assigned}
		if x.load >= min(k.maxChildren, MaxRelayChildren) {
			x.full, x.load = 1, len(c.subtree)+c.assigned
		}
		if c.zone != h.Self.Zone {
			x.otherZone = 1
		}
		choices = append(choices, x)
	}
	k.random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(a.full-b.full, a.otherZone-b.otherZone, a.load-b.load)
	})
	var out []string
	for _, x := range choices[:min(len(choices), maxRedirects)] {
		out = append(out, x.c.address)
	}
	if len(choices) > 0 {
		choices[0].c.assigned++
	}
	return out
}

func (k *core) sortedChildren() []*child {
	out := make([]*child, 0, len(k.children))
	for _, c := range k.children {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *child) int { return strings.Compare(string(a.node), string(b.node)) })
	return out
}

func (k *core) childLeft(h *heartbeat, now time.Time) {
	if e, relation := k.reg.put(h.Self, false, now); relation == newer {
		e.wasInSubtree = true
		k.serverChanged(e, h.Self.State.String())
	}
	k.removeChild(h.Self.Node)
}

// removeChild removes a child, and the nodes that it reported, from the subtree.
func (k *core) removeChild(name fleet.NodeID) {
	c := k.children[name]
	if c == nil {
		return
	}
	delete(k.children, name)
	k.removeFromSubtree(name, name)
	for n := range c.subtree {
		k.removeFromSubtree(n, name)
	}
}

// removeFromSubtree records that a child no longer reports a node, or that the
// child itself is gone if name and through are equal.
func (k *core) removeFromSubtree(name, through fleet.NodeID) {
	e := k.reg.entries[name]
	if e == nil || !(e.via == through || (name == through && e.via == k.id)) {
		return
	}
	e.via = ""
	k.scanSoon()
	k.reg.touch(e)
	k.requestList(e.server.Service)
}

// requestList schedules a request to the parent for the complete list of a service,
// because what the parent reported about a node was ignored while the node was in
// this member's subtree.
func (k *core) requestList(service string) {
	if sub := k.subscriptions[service]; sub != nil {
		sub.listPending = true
	}
}

// mergeHeartbeat merges the announcements, reports and renewals of a heartbeat.
func (k *core) mergeHeartbeat(h *heartbeat, c *child, reply *heartbeatReply, now time.Time) {
	k.mergeReport(h.Self, false, k.id, h.Applied, now, now)
	listed := make(map[fleet.NodeID]bool, len(h.Subtree)+len(h.Renewals))
	for _, r := range h.Subtree {
		if r.Server.Node == k.id || r.Server.Node == c.node {
			continue
		}
		if !r.Lost && r.Server.State != fleet.Left {
			listed[r.Server.Node] = true
		}
		k.mergeReport(r.Server, r.Lost, c.node, r.Applied, now.Add(-max(r.Age, 0)), now)
	}
	for _, p := range h.Renewals {
		listed[p.Node] = true
		e := k.reg.entries[p.Node]
		if e == nil || stampOf(e.server) != (stamp{p.Incarnation, p.Sequence}) {
			reply.NeedReports = true
			continue
		}
		at := now.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
		k.mergeReport(e.server, false, c.node, p.Applied, at, now)
	}
	for n := range c.subtree {
		if !listed[n] {
			k.removeFromSubtree(n, c.node)
		}
	}
	c.subtree = listed
}

// mergeReport merges one announcement that arrived through the child via, or
// directly if via is the id of this member. at is the time of the last contact.
func (k *core) mergeReport(s fleet.Server, lost bool, via fleet.NodeID, applied uint64, at, now time.Time) {
	e, relation := k.reg.put(s, lost, now)
	switch {
	case relation == older:
		return
	case relation == newer:
		e.wasInSubtree = true
		k.serverChanged(e, s.State.String())
	case lost:
		// Only the child that reports the node can report its loss.
		if e.via == via && !e.lost {
			k.drop(e, now)
		}
		return
	}
	if !e.active() {
		if lost || s.State == fleet.Left || now.Sub(at) >= Lease {
			return
		}
		k.reg.setLost(e, false, now)
		k.serverChanged(e, "returned")
	}
	direct := e.via == k.id && via != k.id && now.Sub(e.lastContact) < SuspectAfter
	if !direct && e.via != via && !at.Before(e.lastContact) {
		e.via, e.wasInSubtree = via, true
		k.reg.touch(e)
		// The change is reported immediately, because the node's former parent may be
		// about to drop it.
		k.up.urgency.raise(immediate)
	}
	if at.After(e.lastContact) {
		e.lastContact, e.suspicion = at, nil
	}
	e.appliedVersion = applied
}

func (k *core) dueNotifications(out []action, now time.Time) []action {
	for _, c := range k.sortedChildren() {
		if c.inFlight || !c.urgency.due(c.lastNotified, now, minNotifyGap) {
			continue
		}
		c.urgency, c.inFlight, c.lastNotified = 0, true, now
		out = append(out, sendNotify{c.node, c.address})
	}
	return out
}

func (k *core) notifyDone(a sendNotify, reply *notifyReply, err error, _ time.Time) {
	c := k.children[a.node]
	if c == nil {
		return
	}
	c.inFlight = false
	if err == nil && reply.NotChild {
		k.removeChild(a.node)
	}
}

// onNotify brings forward the next heartbeat if the sender is the parent.
func (k *core) onNotify(from transport.Peer) *notifyReply {
	u := &k.up
	if len(u.path) == 0 || u.path[len(u.path)-1] != from.Node {
		// A reply that makes the sender the parent may still be in flight.
		return &notifyReply{NotChild: !u.inFlight}
	}
	u.urgency.raise(immediate)
	return &notifyReply{}
}
