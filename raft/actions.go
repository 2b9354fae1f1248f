package raft

// Actions returns the actions that the caller must execute now, in this order.
func (n *Node) Actions() []Action {
	if n.lead.replicationPending {
		n.replicateAll()
	}
	var out []Action
	if !n.hardStateDirty {
		out = n.beforePersist
	} else {
		n.afterPersist = append(n.beforePersist, n.afterPersist...)
	}
	n.beforePersist = nil
	if n.restore != nil {
		n.restore.HardState = n.hardState
		out = append(out, *n.restore)
	}
	if p, ok := n.persist(); ok {
		out = append(out, p)
	}
	out = append(out, n.afterPersist...)
	n.afterPersist = nil
	if n.commit > n.applied && n.restore == nil {
		out = append(out, Apply{n.log.slice(n.applied+1, n.commit)})
		n.applied = n.commit
	}
	return out
}

func (n *Node) persist() (Persist, bool) {
	p := Persist{Entries: n.log.slice(n.stable+1, n.log.lastIndex())}
	if n.hardStateDirty {
		h := n.hardState
		p.HardState = &h
	}
	return p, n.hardStateDirty || len(p.Entries) > 0
}

// Persisted reports to the node that p is durable.
func (n *Node) Persisted(p Persist) {
	if p.HardState != nil && *p.HardState == n.hardState {
		n.hardStateDirty = false
	}
	if len(p.Entries) == 0 {
		return
	}
	last := p.Entries[len(p.Entries)-1]
	if t, ok := n.log.term(last.Index); ok && t == last.Term && last.Index > n.stable {
		n.stable = last.Index
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Restored reports to the node that r is durable.
func (n *Node) Restored(r Restore) {
	if n.restore == nil || n.restore.Meta.Index != r.Meta.Index {
		return
	}
	n.restore = nil
	n.snapshot = r.Meta
	if r.HardState == n.hardState {
		n.hardStateDirty = false
	}
}

// Compact reports to the node that the snapshot m is durable, and removes entries
// that it covers. The newest of them stay, at most keep entries with a total size
// of keepBytes: a replica that is only slightly behind can then catch up without a
// snapshot.
// Compact reports false and does nothing when a newer snapshot exists or is being
// stored, or when the log lacks entries that m covers.
func (n *Node) Compact(m SnapshotMeta, keep uint64, keepBytes int) bool {
	if n.restore != nil || m.Index <= n.snapshot.Index || m.Index > min(n.applied, n.stable) {
		return false
	}
	n.snapshot = m
	first := m.Index
	for size := 0; first > n.log.baseIndex && m.Index-first < keep; first-- {
		if size += n.log.at(first).size(); size > keepBytes {
			break
		}
	}
	n.log.compact(first)
	n.trimConfigurations(m.Index)
	return true
}

// DurableLog returns the base of the log and its durable entries. The caller
// writes them to a compacted log file.
func (n *Node) DurableLog() (SnapshotMeta, []Entry) {
	base := SnapshotMeta{Index: n.log.baseIndex, Term: n.log.baseTerm, Time: n.log.baseTime}
	return base, n.log.slice(n.log.baseIndex+1, n.stable)
}

// HardState returns the hard state, which may be newer than the durable one.
func (n *Node) HardState() HardState { return n.hardState }

// CommitTerm returns the term of the entry at the commit index, or 0 if that
// entry was compacted.
func (n *Node) CommitTerm() uint64 {
	t, _ := n.log.term(n.commit)
	return t
}

// Status describes the state of a node.
type Status struct {
	ID            ID
	Role          Role
	Leader        ID
	Term          uint64
	Commit        uint64       // index of the last entry known to be committed
	LastIndex     uint64       // index of the last entry in the log
	LogBytes      int          // size of the entries in memory
	Snapshot      SnapshotMeta // newest durable snapshot
	Configuration Configuration
	ConfIndex     uint64 // index of the entry that set Configuration, which may not be committed
}

// Status returns the current state. Its slices must not be modified.
func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Leader: n.leader, Term: n.hardState.Term, Commit: n.commit,
		LastIndex: n.log.lastIndex(), LogBytes: n.log.bytes, Snapshot: n.snapshot, Configuration: n.conf, ConfIndex: n.confIndex,
	}
}
