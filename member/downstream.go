package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bramleymill/fleet"
	"bramleymill/transport"
)

// child is what a parent knows about a node that sends it heartbeats.
type child struct {
	node       fleet.NodeID
	address    string
	zone       string
	follows    map[string]bool
	followHash uint64
	listKnown  bool
	subtree    map[fleet.NodeID]bool // nodes heard through the child
	children   int                   // of the child
	assigned   int                   // nodes sent there since its last heartbeat
	heard      time.Time
	urgency    urgency // of a notification
	inFlight   bool
	notified   time.Time
}

// onHeartbeat answers the heartbeat of a child or of a node that wants to become one.
func (k *core) onHeartbeat(from transport.Peer, h *heartbeat, now time.Time) *heartbeatReply {
	k.readSource(now)
	reply := &heartbeatReply{Epoch: k.epoch}
	k.addConfirmation(reply, now)
	if h.Explore {
		return reply
	}
	k.stats.HeartbeatsServed++
	if e := k.reg.entries[h.Self.Node]; e != nil && e.server.Supersedes(h.Self) {
		reply.Refused, reply.Incarnation = refusedOld, e.server.Incarnation
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
		reply.Controls = k.controlAddresses()
	}
	if k.leaving {
		reply.Refused = refusedDetached
		return reply
	}
	c.address, c.zone, c.heard = h.Self.PeerAddress, h.Self.Zone, now
	c.children, c.assigned, c.urgency = h.Children, 0, 0
	k.mergeHeartbeat(h, c, reply, now)
	k.takeFollows(c, h, reply)
	k.answer(c, h, reply, now)
	return reply
}

// admit makes the sender a child or states in reply why not.
func (k *core) admit(h *heartbeat, reply *heartbeatReply, now time.Time) *child {
	switch {
	case k.leaving || !k.attached():
		reply.Refused = refusedDetached
	case slices.Contains(k.up.path, h.Self.Node):
		reply.Refused = refusedCycle
	case len(k.children) >= k.limit():
		reply.Refused, reply.Redirect = refusedFull, k.redirect(h)
	case !k.joins.take(now, MaxJoinsPerSecond, joinBurst):
		reply.Refused = refusedBusy
	}
	if reply.Refused != accepted {
		k.stats.ChildrenRefused++
		return nil
	}
	c := &child{node: h.Self.Node, subtree: map[fleet.NodeID]bool{}}
	k.children[c.node] = c
	k.stats.ChildrenAccepted++
	return c
}

// limit returns how many children this member accepts.
func (k *core) limit() int {
	if k.control() {
		return k.maxChildren
	}
	return min(k.maxChildren, MaxRelayChildren)
}

// redirect names the children that the sender may join instead: those with room
// first, in the same availability zone first, the least loaded first.
func (k *core) redirect(h *heartbeat) []string {
	type choice struct {
		c                 *child
		full, other, load int
	}
	var choices []choice
	for _, c := range k.sortedChildren() {
		if c.node == h.Self.Node {
			continue
		}
		x := choice{c: c, load: c.children + c.assigned}
		if x.load >= min(k.maxChildren, MaxRelayChildren) {
			x.full, x.load = 1, len(c.subtree)+c.assigned
		}
		if c.zone != h.Self.Zone {
			x.other = 1
		}
		choices = append(choices, x)
	}
	k.random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(a.full-b.full, a.other-b.other, a.load-b.load)
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
	if e, o := k.reg.put(h.Self, false, now); o == newer {
		e.claimed = true
		k.serverChanged(e, h.Self.State.String())
	}
	k.release(h.Self.Node)
}

// release ends the relation to a child. What was heard through it is no longer
// in the subtree.
func (k *core) release(name fleet.NodeID) {
	c := k.children[name]
	if c == nil {
		return
	}
	delete(k.children, name)
	k.leaveSubtree(name, name)
	for n := range c.subtree {
		k.leaveSubtree(n, name)
	}
}

// leaveSubtree notes that a node is not heard through a child any more.
func (k *core) leaveSubtree(name, through fleet.NodeID) {
	e := k.reg.entries[name]
	if e == nil || !(e.via == through || (name == through && e.via == k.id)) {
		return
	}
	e.via = ""
	k.scanSoon()
	k.reg.touch(e)
	k.refetch(e.server.Service)
}

// refetch requests the complete list of a service from the parent, whose earlier
// word was set aside for a node in the own subtree.
func (k *core) refetch(service string) {
	if f := k.follows[service]; f != nil {
		f.fresh = true
	}
}

// mergeHeartbeat merges what a heartbeat announces.
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
			k.leaveSubtree(n, c.node)
		}
	}
	c.subtree = listed
}

// mergeReport merges one announcement that came through a child, or directly when
// via is the own name.
func (k *core) mergeReport(s fleet.Server, lost bool, via fleet.NodeID, applied uint64, at, now time.Time) {
	e, o := k.reg.put(s, lost, now)
	switch {
	case o == older:
		return
	case o == newer:
		e.claimed = true
		k.serverChanged(e, s.State.String())
	case lost:
		// Only the relay through which the node was heard can tell its loss.
		if e.via == via && !e.lost {
			k.lose(e, now)
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
	direct := e.via == k.id && via != k.id && now.Sub(e.heard) < SuspectAfter
	if !direct && e.via != via && !at.Before(e.heard) {
		e.via, e.claimed = via, true
		k.reg.touch(e)
		// The former parent may be about to drop the node.
		k.up.urgency.raise(immediate)
	}
	if at.After(e.heard) {
		e.heard, e.suspect = at, nil
	}
	e.applied = applied
}

func (k *core) dueNotifications(out []action, now time.Time) []action {
	for _, c := range k.sortedChildren() {
		if c.inFlight || !c.urgency.due(c.notified, now, minNotifyGap) {
			continue
		}
		c.urgency, c.inFlight, c.notified = 0, true, now
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
	if err == nil && reply.Gone {
		k.release(a.node)
	}
}

// onNotify brings forward the heartbeat to the parent.
func (k *core) onNotify(from transport.Peer) *notifyReply {
	u := &k.up
	if len(u.path) == 0 || u.path[len(u.path)-1] != from.Node {
		// A reply that makes the sender the parent may still be on its way.
		return &notifyReply{Gone: !u.inFlight}
	}
	u.urgency.raise(immediate)
	return &notifyReply{}
}

func (k *core) controlAddresses() []string {
	var out []string
	for _, e := range k.reg.sorted() {
		if e.active() && e.server.Control && len(out) < maxControls {
			out = append(out, e.server.PeerAddress)
		}
	}
	return out
}
