package raft

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// recordLeaderContact records the arrival of a message from the current leader
// and restarts the election timer.
func (n *Node) recordLeaderContact(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderContactAt, n.fruitlessElections = n.now.Mono, 0
	n.resetElectionTimer()
}

func (n *Node) onHeartbeat(m Message) {
	n.recordLeaderContact(m)
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	// The reply promises nothing about entries, so it need not wait until they are
	// durable. Confirmation rounds therefore continue while a disk is full.
	n.sendBeforePersist(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) onAppend(m Message) {
	n.recordLeaderContact(m)
	if m.Index < n.commit { // committed entries match the log of every leader: skip them
		committed := min(n.commit-m.Index, uint64(len(m.Entries)))
		m.Entries = m.Entries[committed:]
		m.Index = n.commit
		m.LogTerm, _ = n.log.term(n.commit)
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.refuseAppend(m)
		return
	}
	n.storeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendAfterPersist(Message{Kind: AppendReply, To: m.From, Index: last})
}

// refuseAppend rejects an Append. The reply identifies the last entry of this
// replica that may match the leader's log.
func (n *Node) refuseAppend(m Message) {
	hint := n.log.lastIndexWithTermAtMost(m.Index, m.LogTerm)
	term, _ := n.log.term(hint)
	n.sendAfterPersist(Message{Kind: AppendReply, To: m.From, Refused: true, Probed: m.Index, Index: hint, LogTerm: term})
}

// storeEntries appends the entries that are not in the log. From the first
// conflicting entry on, it replaces the entries of the log. Matching entries
// stay, because a delayed Append must not remove entries that a later one has
// added and that this replica has acknowledged.
func (n *Node) storeEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.appendEntries(entries[i:]...)
		return
	}
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.stable = min(n.stable, index-1)
	for len(n.confs) > 1 && n.confs[len(n.confs)-1].index >= index {
		n.confs = n.confs[:len(n.confs)-1]
	}
	n.useLatestConfiguration()
}

func (n *Node) commitTo(index uint64) {
	if index > n.commit {
		n.commit = index
	}
}

// ObserveCommit records that the leader has committed the entry with this index and
// term. If the log holds that entry, the commit index advances to it, so that a
// read need not wait for the next heartbeat.
func (n *Node) ObserveCommit(index, term uint64) {
	if t, ok := n.log.term(index); ok && t == term {
		n.commitTo(index)
	}
}

func (n *Node) onSnapshotChunk(m Message) {
	n.recordLeaderContact(m)
	if m.Chunk == nil {
		return
	}
	meta := m.Chunk.Meta
	if t, ok := n.log.term(meta.Index); meta.Index <= n.commit || (ok && t == meta.Term) {
		n.incoming = nil
		n.commitTo(meta.Index)
		n.sendAfterPersist(Message{Kind: AppendReply, To: m.From, Index: max(n.commit, meta.Index)})
		return
	}
	if n.addChunk(m.Chunk) {
		n.installSnapshot()
		n.sendAfterPersist(Message{Kind: AppendReply, To: m.From, Index: meta.Index})
		return
	}
	n.sendAfterPersist(Message{Kind: SnapshotReply, To: m.From, Index: meta.Index, Probed: uint64(len(n.incoming.data))})
}

// addChunk adds a chunk to the incoming snapshot and reports whether the snapshot
// is complete. It ignores a chunk that does not start where the received data
// end.
func (n *Node) addChunk(c *Chunk) bool {
	in := n.incoming
	if in == nil || in.meta.Index != c.Meta.Index || in.meta.Term != c.Meta.Term {
		in = &incomingSnapshot{meta: c.Meta}
		n.incoming = in
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	return uint64(len(in.data)) == c.Total
}

func (n *Node) installSnapshot() {
	in := n.incoming
	n.incoming = nil
	n.log.reset(in.meta)
	n.recordEntryArrival()
	n.stable, n.commit, n.applied = in.meta.Index, in.meta.Index, in.meta.Index
	n.confs = []indexedConfiguration{{in.meta.Index, in.meta.Configuration}}
	n.useLatestConfiguration()
	n.restore = &Restore{Meta: in.meta, Data: in.data}
}
