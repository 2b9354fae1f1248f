package member

import (
	"time"

	"bramleymill/fleet"
)

// broadcastLog holds the broadcasts that are younger than broadcastLifetime, in the
// order of their arrival.
type broadcastLog struct {
	rev        uint64 // revision of the newest record
	lastNumber uint64 // number of this node's last broadcast
	records    []*broadcastRecord
	seen       map[broadcastID]struct{}
}

type broadcastID struct {
	origin      fleet.NodeID
	incarnation fleet.Incarnation
	number      uint64
}

type broadcastRecord struct {
	broadcast broadcast    // its Age is unused, because createdAt is kept instead
	rev       uint64       // revision that the log assigned to the record
	createdAt time.Time    // when the origin started the broadcast
	from      fleet.NodeID // child or control instance that sent it; empty: this node or its parent
}

func (l *broadcastLog) init() { l.seen = map[broadcastID]struct{}{} }

func (n *broadcast) id() broadcastID { return broadcastID{n.Origin, n.Incarnation, n.Number} }

// add stores a broadcast and reports whether it is new. A full log drops its
// first record. It also rejects a broadcast that is older than the first record,
// because the log may have dropped it before, and it would spread again.
func (l *broadcastLog) add(n broadcast, from fleet.NodeID, now time.Time) bool {
	if n.Age >= broadcastLifetime || len(n.Payload) > maxBroadcastBytes {
		return false
	}
	if _, ok := l.seen[n.id()]; ok {
		return false
	}
	createdAt := now.Add(-max(n.Age, 0))
	if len(l.records) >= maxBroadcasts {
		if createdAt.Before(l.records[0].createdAt) {
			return false
		}
		delete(l.seen, l.records[0].broadcast.id())
		l.records = l.records[1:]
	}
	l.rev++
	l.seen[n.id()] = struct{}{}
	l.records = append(l.records, &broadcastRecord{n, l.rev, createdAt, from})
	return true
}

// after returns the broadcasts with a revision above rev that this member did not
// receive from the node except. The second result is the revision up to
// which broadcasts are included.
func (l *broadcastLog) after(rev uint64, except fleet.NodeID, now time.Time) ([]broadcast, uint64) {
	if rev >= l.rev {
		return nil, l.rev
	}
	var out []broadcast
	for _, r := range l.records {
		age := now.Sub(r.createdAt)
		if r.rev <= rev || age >= broadcastLifetime || (except != "" && r.from == except) {
			continue
		}
		if len(out) == broadcastsPerReply {
			return out, r.rev - 1
		}
		n := r.broadcast
		n.Age = age
		out = append(out, n)
	}
	return out, l.rev
}

func (l *broadcastLog) purge(now time.Time) {
	kept := l.records[:0:0]
	for _, r := range l.records {
		if now.Sub(r.createdAt) >= broadcastLifetime {
			delete(l.seen, r.broadcast.id())
			continue
		}
		kept = append(kept, r)
	}
	l.records = kept
}

// broadcast starts a broadcast from this node.
func (k *core) broadcast(topic string, payload []byte, now time.Time) {
	k.broadcasts.lastNumber++
	n := broadcast{Origin: k.id, Incarnation: k.self.Incarnation, Number: k.broadcasts.lastNumber, Topic: topic, Payload: payload}
	if k.broadcasts.add(n, "", now) {
		k.forward("")
	}
}

// receiveBroadcast stores a broadcast from a neighbour in the tree, reports it to
// the callbacks and forwards it.
func (k *core) receiveBroadcast(n broadcast, from fleet.NodeID, now time.Time) {
	if n.Origin == k.id || !k.broadcasts.add(n, from, now) {
		return
	}
	k.events = append(k.events, broadcastEvent{n.Topic, n.Origin, n.Payload})
	k.forward(from)
}

func (k *core) forward(from fleet.NodeID) {
	for _, c := range k.children {
		if c.node != from {
			c.urgency.raise(immediate)
		}
	}
	k.raiseUpdateUrgency(immediate)
}
