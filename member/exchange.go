package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/fleet"
	"bramleymill/transport"
)

// peer is the state that a control instance keeps about another one.
type peer struct {
	address        string
	node           fleet.NodeID             // empty until its first exchange arrives
	subtreeBoot    uint64                   // random id of the peer's process start that reported subtree
	subtree        map[fleet.NodeID]stamp   // announcement stamps of the nodes in the subtree of the peer
	appliedVersion uint64                   // configuration version of the nodes in subtree outside exceptions
	exceptions     map[fleet.NodeID]renewal // nodes with another version or an old last contact
	lastContact    time.Time
	fullReceived   bool // the peer has sent its whole subtree since this process started

	replyBoot        uint64    // random id of the process start in the last reply of the peer
	ackedRev         uint64    // revision of this member's registry up to which the peer has received the changes
	ackedBroadcasts  uint64    // revision of this member's broadcast log up to which the peer has received the broadcasts
	next             time.Time // when the next exchange is due
	lastSent         time.Time
	urgency          urgency // urgency of the next exchange
	inFlight         bool
	pendingPiggyback *sendExchange   // exchange that was sent in a reply and is not answered yet
	piggybackReply   *piggybackReply // answer to the exchange in the last reply of the peer
	lastPiggyback    uint64          // number of the last exchange sent in a reply
}

func (k *core) sortedPeers() []*peer {
	out := make([]*peer, 0, len(k.peers))
	for _, p := range k.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return strings.Compare(a.address, b.address) })
	return out
}

func (k *core) peerNamed(name fleet.NodeID) *peer {
	for _, p := range k.peers {
		if p.node == name {
			return p
		}
	}
	return nil
}

func (k *core) dueExchanges(out []action, now time.Time) []action {
	if !k.synced && now.Sub(k.started) >= syncTimeout {
		k.finishSync()
	}
	for _, p := range k.sortedPeers() {
		if p.inFlight || (now.Before(p.next) && !p.urgency.due(p.lastSent, now, minNotifyGap)) {
			continue
		}
		p.inFlight, p.urgency, p.lastSent, p.pendingPiggyback = true, 0, now, nil
		p.next = now.Add(k.jitter(HeartbeatInterval, heartbeatJitter))
		a := k.exchangeFor(p, now)
		a.request.AcceptsPiggyback, a.request.PiggybackReply = true, p.piggybackReply
		out = append(out, a)
	}
	return out
}

// piggyback returns the exchange to send to p in a reply, or nil if the next exchange
// must be sent in a call. While a piggybacked exchange is unanswered, no other one is
// piggybacked: p may not have received it, and only a call shows what p has received.
func (k *core) piggyback(p *peer, now time.Time) *exchange {
	if p.inFlight || p.pendingPiggyback != nil || p.urgency > 0 || p.ackedRev == 0 {
		return nil
	}
	a := k.exchangeFor(p, now)
	p.lastPiggyback++
	a.request.Number = p.lastPiggyback
	p.pendingPiggyback, p.lastSent, p.next = &a, now, now.Add(piggybackTimeout)
	return a.request
}

// receivePiggyback handles the exchange in a reply. The node that sends a reply
// is not authenticated by name. The node and boot in the exchange must therefore be
// those of an earlier exchange that the peer sent in a call.
func (k *core) receivePiggyback(p *peer, x *exchange, now time.Time) {
	if x == nil || p.node == "" || p.node != x.Self.Node || p.subtreeBoot != x.Boot {
		return
	}
	reply := k.onExchange(transport.Peer{Node: p.node, Role: fleet.RoleControl, Address: p.address}, x, now)
	p.piggybackReply = &piggybackReply{x.Number, *reply}
}

// exchangeFor returns the exchange with the changes in this member's subtree that p
// has not received.
func (k *core) exchangeFor(p *peer, now time.Time) sendExchange {
	x := &exchange{Self: k.self, Boot: k.boot, Full: p.ackedRev == 0}
	counts := map[uint64]int{}
	entries := k.reg.sorted()
	for _, e := range entries {
		inSubtree := e.active() && e.via != ""
		if inSubtree {
			x.Digest ^= stampHash(e.server.Node, e.stamp())
			counts[e.appliedVersion]++
		}
		left := e.server.State == fleet.Left
		if e.rev > p.ackedRev && (inSubtree || left || (e.wasInSubtree && !x.Full)) {
			x.Items = append(x.Items, item{Server: e.server, Lost: e.lost, Released: e.active() && !inSubtree})
		}
	}
	for v, n := range counts {
		if best := counts[x.Applied]; n > best || (n == best && v > x.Applied) {
			x.Applied = v
		}
	}
	for _, e := range entries {
		age := now.Sub(e.lastContact)
		if e.active() && e.via != "" && (e.appliedVersion != x.Applied || age >= 2*HeartbeatInterval) {
			x.Exceptions = append(x.Exceptions, renewal{e.server.Node, e.server.Incarnation, e.server.Sequence, e.appliedVersion, uint32(age.Milliseconds())})
		}
	}
	var broadcastsUpTo uint64
	x.Broadcasts, broadcastsUpTo = k.broadcasts.after(p.ackedBroadcasts, p.node, now)
	return sendExchange{address: p.address, request: x, upTo: k.reg.rev, broadcastsUpTo: broadcastsUpTo}
}

func stampHash(name fleet.NodeID, s stamp) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(name), uint64(s.incarnation))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, s.sequence))
}

func (k *core) exchangeDone(a sendExchange, reply *exchangeReply, err error, now time.Time) {
	p := k.peers[a.address]
	if p == nil {
		return
	}
	p.inFlight = false
	if err != nil {
		return
	}
	if p.piggybackReply == a.request.PiggybackReply {
		p.piggybackReply = nil
	}
	k.exchangeAccepted(p, a, reply)
	k.receivePiggyback(p, reply.Piggyback, now)
}

// exchangeAccepted records which revisions p has received, according to its reply.
func (k *core) exchangeAccepted(p *peer, a sendExchange, reply *exchangeReply) {
	restarted := p.replyBoot != 0 && p.replyBoot != reply.Boot
	p.replyBoot = reply.Boot
	if restarted {
		p.ackedBroadcasts = 0
	}
	if reply.Resync || (restarted && !a.request.Full) {
		p.ackedRev = 0
		if restarted {
			p.urgency.raise(immediate)
		}
		return
	}
	p.ackedRev, p.ackedBroadcasts = a.upTo, a.broadcastsUpTo
	if p.ackedBroadcasts < k.broadcasts.rev {
		p.urgency.raise(immediate)
	}
}

// onExchange merges the subtree of another control instance.
func (k *core) onExchange(from transport.Peer, x *exchange, now time.Time) *exchangeReply {
	reply := &exchangeReply{Boot: k.boot}
	p := k.peers[x.Self.PeerAddress]
	if p == nil {
		p = &peer{address: x.Self.PeerAddress, next: now}
		k.peers[p.address] = p
	}
	if p.subtreeBoot != x.Boot && !x.Full {
		reply.Resync = true
		return reply
	}
	if p.subtreeBoot != x.Boot {
		// The peer was started again, or this member had dropped it. It may not know
		// the subtree of this member.
		p.subtreeBoot, p.ackedRev, p.ackedBroadcasts = x.Boot, 0, 0
		p.pendingPiggyback, p.piggybackReply = nil, nil
		p.urgency.raise(immediate)
	}
	p.node, p.lastContact = from.Node, now
	if t := x.PiggybackReply; t != nil && p.pendingPiggyback != nil && p.pendingPiggyback.request.Number == t.Number {
		a := *p.pendingPiggyback
		p.pendingPiggyback = nil
		k.exchangeAccepted(p, a, &t.Reply)
	}
	k.applySubtree(p, x, now)
	p.appliedVersion = x.Applied
	p.exceptions = make(map[fleet.NodeID]renewal, len(x.Exceptions))
	for _, e := range x.Exceptions {
		p.exceptions[e.Node] = e
	}
	for _, n := range x.Broadcasts {
		k.receiveBroadcast(n, p.node, now)
	}
	digest := uint64(0)
	for name, s := range p.subtree {
		digest ^= stampHash(name, s)
	}
	reply.Resync = digest != x.Digest
	if x.Full {
		p.fullReceived = true
		k.checkSync()
	}
	if x.AcceptsPiggyback && !reply.Resync {
		reply.Piggyback = k.piggyback(p, now)
	}
	return reply
}

func (k *core) applySubtree(p *peer, x *exchange, now time.Time) {
	previous := p.subtree
	if x.Full || p.subtree == nil {
		p.subtree = make(map[fleet.NodeID]stamp, len(x.Items))
	}
	for _, i := range x.Items {
		k.applySubtreeItem(p, i, now)
	}
	if !x.Full {
		return
	}
	for name := range previous {
		if _, ok := p.subtree[name]; !ok {
			k.orphan(name, now)
		}
	}
}

func (k *core) applySubtreeItem(p *peer, i item, now time.Time) {
	name := i.Server.Node
	if i.Lost || i.Released || i.Server.State == fleet.Left {
		delete(p.subtree, name)
		k.scanSoon()
	} else {
		p.subtree[name] = stampOf(i.Server)
	}
	e, relation := k.reg.put(i.Server, i.Lost, now)
	switch {
	case relation == older:
		return
	case relation == newer:
		e.lastContact = now
		k.addStateEvent(i.Server, i.Server.State.String())
		k.notifySubscribers(e)
		if name == k.id {
			k.handleNewerAnnouncement(i.Server.Incarnation, now)
		}
	case i.Lost && e.via == "" && !e.lost && !k.inOtherSubtree(e):
		k.drop(e, now)
	case i.Released:
		k.orphan(name, now)
	case !i.Lost && e.lost:
		e.lastContact = now
		k.reg.setLost(e, false, now)
		k.addStateEvent(i.Server, "returned")
		k.notifySubscribers(e)
	}
}

// inOtherSubtree reports whether another control instance has a node in its
// subtree.
func (k *core) inOtherSubtree(e *entry) bool {
	for _, p := range k.peers {
		s, ok := p.subtree[e.server.Node]
		if !ok || s != e.stamp() || p.node == e.server.Node {
			continue
		}
		return true
	}
	return false
}

// copyPeerContacts copies the last contact with each control instance to its registry
// entry, so that scan monitors control instances like other nodes. The subtree that a
// control instance reported stays valid until that instance is dropped.
func (k *core) copyPeerContacts() {
	for _, p := range k.peers {
		if e := k.reg.entries[p.node]; e != nil && p.lastContact.After(e.lastContact) {
			e.lastContact = p.lastContact
		}
	}
}

// checkSync marks this control instance as synced when every peer has sent its
// whole subtree. Before that, it does not know all servers of a service.
func (k *core) checkSync() {
	for _, p := range k.peers {
		if !p.fullReceived {
			return
		}
	}
	k.finishSync()
}

func (k *core) finishSync() {
	if k.synced {
		return
	}
	k.synced = true
	k.notifyAllChildren()
	for s := range k.reg.services {
		k.reg.dirty[s] = struct{}{}
	}
	for _, f := range k.subscriptions {
		f.markComplete()
	}
}

// leaseAge returns the time since the last contact of any control instance with a
// node, and the configuration version that the node has applied.
func (k *core) leaseAge(e *entry, now time.Time) (time.Duration, uint64) {
	age, applied := now.Sub(e.lastContact), e.appliedVersion
	if e.via != "" {
		return age, applied
	}
	for _, p := range k.peers {
		if s, ok := p.subtree[e.server.Node]; !ok || s != e.stamp() {
			continue
		}
		peerAge, version := now.Sub(p.lastContact), p.appliedVersion
		if x, ok := p.exceptions[e.server.Node]; ok {
			peerAge, version = peerAge+time.Duration(x.AgeMillis)*time.Millisecond, x.Applied
		}
		if peerAge <= age || applied == 0 {
			age, applied = peerAge, version
		}
	}
	return age, applied
}
