package raft

import "time"

// replicationMode is the way in which entries are sent to a replica.
type replicationMode uint8

const (
	probing     replicationMode = iota // the last matching entry is unknown; one Append is sent at a time
	replicating                        // Appends are sent without waiting for replies
	installing                         // a snapshot is being sent
)

// progress is the leader's view of another replica.
type progress struct {
	mode        replicationMode
	match       uint64 // last entry known to be durable on the replica
	next        uint64 // next entry to send
	paused      bool   // probing: an Append is outstanding
	inflight    int    // replicating: unacknowledged Appends
	round       uint64 // newest confirmation round that the replica acknowledged
	lastReplyAt time.Duration
	replied     bool         // lastReplyAt is set
	snapshot    SnapshotMeta // installing: snapshot that is being sent
	offset      uint64       // installing: next byte to send
}

// active reports whether the replica has replied within the minimum election
// timeout.
func (p *progress) active(n *Node) bool {
	return p.replied && n.now.Mono-p.lastReplyAt < n.timing.ElectionMin
}

// replicate sends entries until maxInflight Appends are unacknowledged, or one
// Append while the last matching entry is unknown.
func (n *Node) replicate(id ID, p *progress) {
	for p.mode == replicating && p.inflight < maxInflight && p.next <= n.log.lastIndex() {
		n.sendAppend(id, p)
	}
	if p.mode == probing && !p.paused {
		n.sendAppend(id, p)
	}
}

// replicateOrProbe sends entries like replicate. If all entries were sent but not
// acknowledged, it sends an empty Append, which reveals a lost Append. If a
// snapshot is being sent, it sends the current chunk again.
func (n *Node) replicateOrProbe(id ID, p *progress) {
	switch {
	case p.mode == installing:
		n.sendChunk(id, p)
	case p.mode == replicating && p.next > n.log.lastIndex():
		n.sendAppend(id, p)
	default:
		n.replicate(id, p)
	}
}

func (n *Node) sendAppend(id ID, p *progress) {
	previous, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshotTransfer(id, p)
		return
	}
	m := Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: previous, Commit: n.commit}
	m.Entries = n.log.batch(p.next, maxAppendBytes)
	if p.mode == replicating {
		p.next += uint64(len(m.Entries))
		p.inflight++
	} else {
		p.paused = true
	}
	n.sendBeforePersist(m)
}

func (n *Node) onAppendReply(m Message, p *progress) {
	if m.Refused {
		n.onAppendRefused(m, p)
		return
	}
	p.inflight = max(0, p.inflight-1)
	if m.Index > p.match {
		p.match = m.Index
		n.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	switch p.mode {
	case probing:
		p.mode, p.paused, p.inflight = replicating, false, 0
	case installing:
		if p.match >= p.snapshot.Index {
			p.mode, p.paused, p.inflight = replicating, false, 0
		}
	}
	n.replicate(m.From, p)
	if m.From == n.lead.transferee {
		n.finishTransfer()
	}
}

// onAppendRefused moves next back to the end of the longest prefix that both logs
// may share. It skips whole terms.
func (n *Node) onAppendRefused(m Message, p *progress) {
	stale := m.Probed <= p.match || (p.mode == probing && m.Probed != p.next-1)
	if stale || p.mode == installing {
		return
	}
	shared := n.log.lastIndexWithTermAtMost(min(m.Index, m.Probed), m.LogTerm)
	if t, ok := n.log.term(shared); ok && t > m.LogTerm {
		shared-- // even the last compacted entry differs: a snapshot will be sent
	}
	p.next = max(shared, p.match) + 1
	p.mode, p.paused, p.inflight = probing, false, 0
	n.replicate(m.From, p)
}

func (n *Node) startSnapshotTransfer(id ID, p *progress) {
	p.mode, p.snapshot, p.offset, p.paused = installing, n.snapshot, 0, false
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id ID, p *progress) {
	c := Chunk{Meta: p.snapshot, Offset: p.offset}
	n.beforePersist = append(n.beforePersist, SendChunk{n.setSender(Message{Kind: SnapshotChunk, To: id, Chunk: &c})})
}

func (n *Node) onSnapshotReply(m Message, p *progress) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	if m.Probed != p.offset {
		p.offset = m.Probed
		n.sendChunk(m.From, p)
	}
}

// SnapshotUnavailable reports to the node that the chunk of a SendChunk could not
// be read, usually because a newer snapshot replaced the snapshot that is being
// sent. The transfer to the replica starts again from the beginning.
func (n *Node) SnapshotUnavailable(to ID) {
	if p := n.lead.progress[to]; p != nil && p.mode == installing {
		p.mode, p.paused, p.next = probing, true, p.match+1
	}
}
