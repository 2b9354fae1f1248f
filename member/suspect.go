package member

import (
	"time"

	"bramleymill/fleet"
)

// suspicion is one round of probes of a silent node: a ping from this member and
// probes through helpers. A helper is another node, at another location, that probes
// the silent node at the request of this member.
type suspicion struct {
	began           time.Time
	pending         int // pings and probes without an answer yet
	helperProbes    int // probes through helpers
	negativeAnswers int // answers of helpers that they did not reach the node
}

// scan probes silent nodes, drops those whose lease is over, and sets the time of
// the next scan.
func (k *core) scan(out []action, now time.Time) []action {
	k.nextScan = now.Add(maxScanInterval)
	if k.control() {
		k.copyPeerContacts()
	}
	for _, c := range k.sortedChildren() {
		// The loop over the registry does not drop a silent child whose entry is no
		// longer that of a direct child. The child is therefore removed here.
		if e := k.reg.entries[c.node]; now.Sub(c.lastContact) >= Lease && (e == nil || e.via != k.id) {
			k.removeChild(c.node)
		}
		k.scanBy(now.Add(max(Lease-now.Sub(c.lastContact), minScanInterval)))
	}
	for _, e := range k.reg.sorted() {
		limit, watched := k.silenceLimit(e, now)
		if !watched {
			continue
		}
		silence := now.Sub(e.lastContact)
		if silence < limit {
			k.scanBy(now.Add(limit - silence))
			continue
		}
		k.scanBy(now.Add(minScanInterval))
		switch {
		case silence >= Lease && k.shouldDrop(e, silence):
			k.drop(e, now)
		case e.suspicion == nil && k.probesInFlight < maxProbesInFlight:
			out = k.probe(out, e, now)
		}
	}
	return out
}

// scanBy ensures that the next scan is not later than at.
func (k *core) scanBy(at time.Time) {
	if at.Before(k.nextScan) {
		k.nextScan = at
	}
}

// scanSoon schedules a scan for the next call of due. It is called after a change
// that may have made a node suspect.
func (k *core) scanSoon() { k.nextScan = time.Time{} }

// silenceLimit returns the silence after which a node becomes suspect, and whether
// this member monitors the node at all. A relay monitors its children. A control
// instance monitors its whole subtree and the nodes that no other control instance
// has in its subtree.
func (k *core) silenceLimit(e *entry, now time.Time) (time.Duration, bool) {
	switch {
	case !e.active() || e.server.Node == k.id:
		return 0, false
	case e.via == k.id:
		return SuspectAfter, true
	case !k.control():
		return 0, false
	case e.via != "":
		return SuspectAfter + relayGrace, true
	}
	return SuspectAfter, !k.inOtherSubtree(e)
}

// shouldDrop reports whether to drop a node whose lease is over. After a second lease
// the node is always dropped. Until then it is kept while probes of it are in flight, and
// also if it could not be probed because too many other probes are in flight.
func (k *core) shouldDrop(e *entry, silence time.Duration) bool {
	if silence >= 2*Lease {
		return true
	}
	if e.suspicion != nil && e.suspicion.pending > 0 {
		return false
	}
	return e.suspicion != nil || k.probesInFlight < maxProbesInFlight
}

func (k *core) probe(out []action, e *entry, now time.Time) []action {
	name, address := e.server.Node, e.server.PeerAddress
	e.suspicion = &suspicion{began: now, pending: 1}
	out = append(out, sendPing{node: name, address: address, began: now})
	for _, h := range k.helpers(name, now) {
		e.suspicion.pending++
		e.suspicion.helperProbes++
		out = append(out, sendProbe{node: name, helper: h, request: &probe{name, address}, began: now})
	}
	k.probesInFlight += e.suspicion.pending
	k.stats.Suspicions++
	return out
}

// helpers returns the addresses of random nodes that are asked to probe a suspect node.
// They are children, control instances or the parent, all with recent contact.
func (k *core) helpers(suspect fleet.NodeID, now time.Time) []string {
	var all []string
	for _, c := range k.sortedChildren() {
		if c.node != suspect && now.Sub(c.lastContact) < SuspectAfter {
			all = append(all, c.address)
		}
	}
	for _, p := range k.sortedPeers() {
		if p.node != suspect && p.node != "" && now.Sub(p.lastContact) < SuspectAfter {
			all = append(all, p.address)
		}
	}
	if k.up.address != "" && k.up.failures == 0 {
		all = append(all, k.up.address)
	}
	k.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), helpersPerSuspect)]
}

func (k *core) pingDone(a sendPing, reply *pingReply, err error, now time.Time) {
	k.probeDone(a.node, a.began, err == nil && reply.Self.Node == a.node, reply, now)
}

func (k *core) helperDone(a sendProbe, reply *probeReply, err error, now time.Time) {
	if err == nil && !reply.Reached {
		if e := k.reg.entries[a.node]; e != nil && e.suspicion != nil && e.suspicion.began.Equal(a.began) {
			e.suspicion.negativeAnswers++
		}
	}
	k.probeDone(a.node, a.began, err == nil && reply.Reached && reply.Ping.Self.Node == a.node, &reply.Ping, now)
}

func (k *core) probeDone(name fleet.NodeID, began time.Time, reached bool, reply *pingReply, now time.Time) {
	k.probesInFlight--
	k.scanSoon()
	e := k.reg.entries[name]
	if e == nil {
		return
	}
	if reached {
		k.confirmAlive(e, reply, began, now)
		return
	}
	s := e.suspicion
	if s == nil || !s.began.Equal(began) {
		return
	}
	s.pending--
	if s.pending > 0 {
		return
	}
	switch {
	case s.negativeAnswers > 0:
		k.drop(e, now)
	case s.helperProbes > 0:
		// No helper answered, so the next scan probes through other helpers.
		e.suspicion = nil
	}
}

// confirmAlive records that a silent node answered. If it has another parent by
// now, it is removed from the children.
func (k *core) confirmAlive(e *entry, reply *pingReply, began, now time.Time) {
	if began.After(e.lastContact) {
		e.lastContact = began
	}
	e.suspicion = nil
	if got, o := k.reg.put(reply.Self, false, now); o == newer {
		got.wasInSubtree = true
		k.serverChanged(got, reply.Self.State.String())
	}
	if reply.Parent != "" && reply.Parent != k.id && e.via == k.id {
		k.removeChild(e.server.Node)
	}
}

// drop marks a node as lost, unless another control instance has it in its
// subtree. The nodes that were reported only through it become suspect
// immediately.
func (k *core) drop(e *entry, now time.Time) {
	k.scanSoon()
	k.requestList(e.server.Service)
	e.suspicion = nil
	if c := k.children[e.server.Node]; c != nil {
		k.removeChild(c.node)
		k.orphanAll(c.subtree, now)
	}
	if k.inOtherSubtree(e) {
		k.removeFromSubtree(e.server.Node, e.via)
		return
	}
	k.stats.Dropped++
	k.reg.setLost(e, true, now)
	if p := k.peerNamed(e.server.Node); p != nil {
		subtree := p.subtree
		p.subtree, p.subtreeBoot = nil, 0
		for name := range subtree {
			k.orphan(name, now)
		}
	}
	e.via = ""
	k.serverChanged(e, "lost")
}

func (k *core) orphanAll(names map[fleet.NodeID]bool, now time.Time) {
	for name := range names {
		k.orphan(name, now)
	}
}

// orphan makes a node whose relay is gone suspect, but extends its lease so that
// it has time to find another parent.
func (k *core) orphan(name fleet.NodeID, now time.Time) {
	k.scanSoon()
	if e := k.reg.entries[name]; e != nil && e.via == "" && e.lastContact.Before(now.Add(-SuspectAfter)) {
		e.lastContact = now.Add(-SuspectAfter)
	}
}

// onPing returns this node's announcement and its parent.
func (k *core) onPing() *pingReply {
	r := &pingReply{Self: k.self}
	if n := len(k.up.path); n > 0 {
		r.Parent = k.up.path[n-1]
	}
	return r
}
