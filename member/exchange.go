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

// peer is another control instance.
type peer struct {
	address    string
	node       fleet.NodeID // empty until heard
	life       uint64       // epoch that its claims belong to
	claims     map[fleet.NodeID]stamp
	applied    uint64
	exceptions map[fleet.NodeID]renewal
	heard      time.Time
	full       bool // sent everything since this process started

	epoch    uint64 // in its replies
	acked    uint64 // own registry revision that it has
	noticed  uint64 // own notice revision that it has
	next     time.Time
	last     time.Time
	urgency  urgency
	inFlight bool
	back     *sendExchange  // sent in a reply and not answered yet
	taken    *exchangeTaken // answer to the exchange in the last reply
	numbered uint64         // exchanges sent in replies
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
	if !k.synced && now.Sub(k.started) >= syncWait {
		k.finishSync()
	}
	for _, p := range k.sortedPeers() {
		if p.inFlight || (now.Before(p.next) && !p.urgency.due(p.last, now, minNotifyGap)) {
			continue
		}
		p.inFlight, p.urgency, p.last, p.back = true, 0, now, nil
		p.next = now.Add(k.jitter(HeartbeatInterval, heartbeatJitter))
		a := k.exchangeFor(p, now)
		a.request.Both, a.request.Taken = true, p.taken
		out = append(out, a)
	}
	return out
}

// exchangeBack returns the exchange to send in the reply to p, or nil when p is
// to get it in a call. An unanswered one is not followed by another: p may have
// lost the reply, and a call finds out.
func (k *core) exchangeBack(p *peer, now time.Time) *exchange {
	if p.inFlight || p.back != nil || p.urgency > 0 || p.acked == 0 {
		return nil
	}
	a := k.exchangeFor(p, now)
	p.numbered++
	a.request.Number = p.numbered
	p.back, p.last, p.next = &a, now, now.Add(exchangeBackWait)
	return a.request
}

// takeBack handles the exchange in a reply. The sender of a reply is not
// authenticated by name, so that it must be the life of the peer that has sent
// an exchange of its own before.
func (k *core) takeBack(p *peer, x *exchange, now time.Time) {
	if x == nil || p.node == "" || p.node != x.Self.Node || p.life != x.Epoch {
		return
	}
	reply := k.onExchange(transport.Peer{Node: p.node, Role: fleet.RoleControl, Address: p.address}, x, now)
	p.taken = &exchangeTaken{x.Number, *reply}
}

// exchangeFor lists what changed in the own subtree since the peer's last reply.
func (k *core) exchangeFor(p *peer, now time.Time) sendExchange {
	x := &exchange{Self: k.self, Epoch: k.epoch, Full: p.acked == 0}
	counts := map[uint64]int{}
	entries := k.reg.sorted()
	for _, e := range entries {
		claim := e.active() && e.via != ""
		if claim {
			x.Digest ^= claimHash(e.server.Node, e.stamp())
			counts[e.applied]++
		}
		left := e.server.State == fleet.Left
		if e.rev > p.acked && (claim || left || (e.claimed && !x.Full)) {
			x.Items = append(x.Items, item{Server: e.server, Lost: e.lost, Released: e.active() && !claim})
		}
	}
	for v, n := range counts {
		if best := counts[x.Applied]; n > best || (n == best && v > x.Applied) {
			x.Applied = v
		}
	}
	for _, e := range entries {
		age := now.Sub(e.heard)
		if e.active() && e.via != "" && (e.applied != x.Applied || age >= 2*HeartbeatInterval) {
			x.Exceptions = append(x.Exceptions, renewal{e.server.Node, e.server.Incarnation, e.server.Sequence, e.applied, uint32(age.Milliseconds())})
		}
	}
	var noticed uint64
	x.Notices, noticed = k.notices.after(p.noticed, p.node, now)
	return sendExchange{address: p.address, request: x, upTo: k.reg.rev, notices: noticed}
}

func claimHash(name fleet.NodeID, s stamp) uint64 {
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
	if p.taken == a.request.Taken {
		p.taken = nil
	}
	k.exchangeAnswered(p, a, reply)
	k.takeBack(p, reply.Back, now)
}

// exchangeAnswered notes what p has received.
func (k *core) exchangeAnswered(p *peer, a sendExchange, reply *exchangeReply) {
	restarted := p.epoch != 0 && p.epoch != reply.Epoch
	p.epoch = reply.Epoch
	if restarted {
		p.noticed = 0
	}
	if reply.Resync || (restarted && !a.request.Full) {
		p.acked = 0
		if restarted {
			p.urgency.raise(immediate)
		}
		return
	}
	p.acked, p.noticed = a.upTo, a.notices
	if p.noticed < k.notices.rev {
		p.urgency.raise(immediate)
	}
}

// onExchange merges what another control instance hears.
func (k *core) onExchange(from transport.Peer, x *exchange, now time.Time) *exchangeReply {
	reply := &exchangeReply{Epoch: k.epoch}
	p := k.peers[x.Self.PeerAddress]
	if p == nil {
		p = &peer{address: x.Self.PeerAddress, next: now}
		k.peers[p.address] = p
	}
	if p.life != x.Epoch && !x.Full {
		reply.Resync = true
		return reply
	}
	if p.life != x.Epoch {
		// The peer started anew, or was taken for dead: it may lack what is heard here.
		p.life, p.acked, p.noticed = x.Epoch, 0, 0
		p.back, p.taken = nil, nil
		p.urgency.raise(immediate)
	}
	p.node, p.heard = from.Node, now
	if t := x.Taken; t != nil && p.back != nil && p.back.request.Number == t.Number {
		a := *p.back
		p.back = nil
		k.exchangeAnswered(p, a, &t.Reply)
	}
	k.takeClaims(p, x, now)
	p.applied = x.Applied
	p.exceptions = make(map[fleet.NodeID]renewal, len(x.Exceptions))
	for _, e := range x.Exceptions {
		p.exceptions[e.Node] = e
	}
	for _, n := range x.Notices {
		k.takeNotice(n, p.node, now)
	}
	digest := uint64(0)
	for name, s := range p.claims {
		digest ^= claimHash(name, s)
	}
	reply.Resync = digest != x.Digest
	if x.Full {
		p.full = true
		k.checkSync()
	}
	if x.Both && !reply.Resync {
		reply.Back = k.exchangeBack(p, now)
	}
	return reply
}

func (k *core) takeClaims(p *peer, x *exchange, now time.Time) {
	before := p.claims
	if x.Full || p.claims == nil {
		p.claims = make(map[fleet.NodeID]stamp, len(x.Items))
	}
	for _, i := range x.Items {
		k.takeClaim(p, i, now)
	}
	if !x.Full {
		return
	}
	for name := range before {
		if _, ok := p.claims[name]; !ok {
			k.orphanOne(name, now)
		}
	}
}

func (k *core) takeClaim(p *peer, i item, now time.Time) {
	name := i.Server.Node
	if i.Lost || i.Released || i.Server.State == fleet.Left {
		delete(p.claims, name)
		k.scanSoon()
	} else {
		p.claims[name] = stampOf(i.Server)
	}
	e, o := k.reg.put(i.Server, i.Lost, now)
	switch {
	case o == older:
		return
	case o == newer:
		e.heard = now
		k.stateChanged(i.Server, i.Server.State.String())
		k.spread(e)
		if name == k.id {
			k.outdated(i.Server.Incarnation, now)
		}
	case i.Lost && e.via == "" && !e.lost && !k.heardElsewhere(e):
		k.lose(e, now)
	case i.Released:
		k.orphanOne(name, now)
	case !i.Lost && e.lost:
		e.heard = now
		k.reg.setLost(e, false, now)
		k.stateChanged(i.Server, "returned")
		k.spread(e)
	}
}

// heardElsewhere reports whether another control instance hears a node.
func (k *core) heardElsewhere(e *entry) bool {
	for _, p := range k.peers {
		s, ok := p.claims[e.server.Node]
		if !ok || s != e.stamp() || p.node == e.server.Node {
			continue
		}
		return true
	}
	return false
}

// scanPeers carries the silence of a control instance over to its registry
// entry, which is watched like any other. Its claims hold until it is dropped.
func (k *core) scanPeers() {
	for _, p := range k.peers {
		if e := k.reg.entries[p.node]; e != nil && p.heard.After(e.heard) {
			e.heard = p.heard
		}
	}
}

// checkSync ends the time in which this control instance answers partially.
func (k *core) checkSync() {
	for _, p := range k.peers {
		if !p.full {
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
	k.notifyAll()
	for s := range k.reg.services {
		k.reg.dirty[s] = struct{}{}
	}
	for _, f := range k.follows {
		f.finish()
	}
}

// leaseAge returns the time since any control instance heard a node, and the
// configuration version that the node has applied.
func (k *core) leaseAge(e *entry, now time.Time) (time.Duration, uint64) {
	age, applied := now.Sub(e.heard), e.applied
	if e.via != "" {
		return age, applied
	}
	for _, p := range k.peers {
		if s, ok := p.claims[e.server.Node]; !ok || s != e.stamp() {
			continue
		}
		heard, version := now.Sub(p.heard), p.applied
		if x, ok := p.exceptions[e.server.Node]; ok {
			heard, version = heard+time.Duration(x.AgeMillis)*time.Millisecond, x.Applied
		}
		if heard <= age || applied == 0 {
			age, applied = heard, version
		}
	}
	return age, applied
}
