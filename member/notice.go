package member

import (
	"time"

	"bramleymill/fleet"
)

// noticeLog holds the notices of the last minutes in the order of their arrival.
type noticeLog struct {
	rev     uint64
	number  uint64 // of the last own notice
	records []*noticeRecord
	known   map[noticeID]struct{}
}

type noticeID struct {
	origin      fleet.NodeID
	incarnation fleet.Incarnation
	number      uint64
}

type noticeRecord struct {
	notice notice // Age is unused
	rev    uint64
	born   time.Time
	from   fleet.NodeID // child or control instance that sent it
}

func (l *noticeLog) init() { l.known = map[noticeID]struct{}{} }

func (n *notice) id() noticeID { return noticeID{n.Origin, n.Incarnation, n.Number} }

// add stores a notice and reports whether it is new. A full log drops its oldest
// notice, and refuses one that is older than all it holds: having been dropped
// here before, it would otherwise spread again.
func (l *noticeLog) add(n notice, from fleet.NodeID, now time.Time) bool {
	if n.Age >= noticeLife || len(n.Payload) > maxNoticeBytes {
		return false
	}
	if _, ok := l.known[n.id()]; ok {
		return false
	}
	born := now.Add(-max(n.Age, 0))
	if len(l.records) >= maxNotices {
		if born.Before(l.records[0].born) {
			return false
		}
		delete(l.known, l.records[0].notice.id())
		l.records = l.records[1:]
	}
	l.rev++
	l.known[n.id()] = struct{}{}
	l.records = append(l.records, &noticeRecord{n, l.rev, born, from})
	return true
}

// after lists the notices above a revision that did not come from a node, and
// the revision that the list reaches.
func (l *noticeLog) after(rev uint64, except fleet.NodeID, now time.Time) ([]notice, uint64) {
	if rev >= l.rev {
		return nil, l.rev
	}
	var out []notice
	for _, r := range l.records {
		age := now.Sub(r.born)
		if r.rev <= rev || age >= noticeLife || (except != "" && r.from == except) {
			continue
		}
		if len(out) == noticesPerReply {
			return out, r.rev - 1
		}
		n := r.notice
		n.Age = age
		out = append(out, n)
	}
	return out, l.rev
}

func (l *noticeLog) purge(now time.Time) {
	kept := l.records[:0:0]
	for _, r := range l.records {
		if now.Sub(r.born) >= noticeLife {
			delete(l.known, r.notice.id())
			continue
		}
		kept = append(kept, r)
	}
	l.records = kept
}

// publish spreads a notice of this node.
func (k *core) publish(topic string, payload []byte, now time.Time) {
	k.notices.number++
	n := notice{Origin: k.id, Incarnation: k.self.Incarnation, Number: k.notices.number, Topic: topic, Payload: payload}
	if k.notices.add(n, "", now) {
		k.forward("")
	}
}

// takeNotice stores a notice from a neighbour and passes it on.
func (k *core) takeNotice(n notice, from fleet.NodeID, now time.Time) {
	if n.Origin == k.id || !k.notices.add(n, from, now) {
		return
	}
	k.events = append(k.events, noticeEvent{n.Topic, n.Origin, n.Payload})
	k.forward(from)
}

func (k *core) forward(from fleet.NodeID) {
	for _, c := range k.children {
		if c.node != from {
			c.urgency.raise(immediate)
		}
	}
	k.changed(immediate)
}
