package raft

import (
	"errors"
	"slices"
	"time"
)

// Errors of Propose and of other requests that only a leader serves.
var (
	ErrNotLeader    = errors.New("raft: this replica is not the leader")
	ErrTransferring = errors.New("raft: the leadership is being transferred")
	ErrTooLarge     = errors.New("raft: command exceeds the size limit")
)

// Propose appends a command to the log and returns its index and term. The
// command is committed when an entry with this index and term is applied.
func (n *Node) Propose(now ClockReading, command []byte) (index, term uint64, err error) {
	n.advance(now)
	switch {
	case n.role != Leader:
		return 0, 0, ErrNotLeader
	case n.lead.transferee != ID{}:
		return 0, 0, ErrTransferring
	case len(command) > MaxCommandBytes:
		return 0, 0, ErrTooLarge
	}
	return n.propose(Entry{Kind: Command, Data: command}), n.hardState.Term, nil
}

func (n *Node) propose(e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.hardState.Term
	e.Time = n.timestamp()
	n.appendEntries(e)
	n.lead.replicationPending = true
	n.lead.nextRound = min(n.lead.nextRound, n.now.Mono+n.timing.Heartbeat)
	return e.Index
}

// replicateAll sends new entries to every replica that can receive more.
func (n *Node) replicateAll() {
	n.lead.replicationPending = false
	for _, id := range n.lead.peers {
		n.replicate(id, n.lead.progress[id])
	}
}

// checkQuorum makes a leader step down when no confirmation round succeeded for
// ElectionMax, or longer if the disks of a majority are slow. Such a leader is cut off from
// the majority or has just resumed after a freeze. checkQuorum runs before every input is
// processed, so that the leader accepts no more commands.
func (n *Node) checkQuorum() {
	silence := n.now.Mono - max(n.lead.confirmedAt, n.lead.electedAt)
	if n.role == Leader && silence > n.timing.ElectionMax+n.quorumSlack() && len(n.conf.Voters) > 1 {
		n.becomeFollower(n.hardState.Term, ID{})
	}
}

func (n *Node) tickLeader() {
	if n.lead.transferee != (ID{}) && n.now.Mono >= n.lead.transferUntil {
		n.lead.transferee = ID{}
	}
	if n.now.Mono < n.lead.nextRound {
		return
	}
	n.lead.prevCommitMark, n.lead.commitMark = n.lead.commitMark, n.commit
	n.startRound()
	n.adjustMembership()
}

// startRound starts a confirmation round: it sends a heartbeat with a new round
// number to every replica. It returns the round number.
func (n *Node) startRound() uint64 {
	l := &n.lead
	l.round++
	l.roundStarts[l.round] = n.now.Mono
	// Periodic rounds start at multiples of the interval, so that all groups of one
	// process send their heartbeats at the same time.
	interval := n.roundInterval()
	l.nextRound = n.now.Mono.Truncate(interval) + interval
	for _, id := range l.peers {
		commit := min(l.progress[id].match, n.commit)
		n.sendBeforePersist(Message{Kind: Heartbeat, To: id, Round: l.round, Commit: commit})
	}
	n.confirmRounds()
	return l.round
}

// roundInterval returns the time between periodic rounds. In an idle group no
// entry waits to be committed or resent, so the interval is doubled, which halves
// the cost of the rounds. This happens only if the longer interval still renews
// the lease in time.
func (n *Node) roundInterval() time.Duration {
	last := n.log.lastIndex()
	idle := n.commit == last && n.lead.prevCommitMark == last && 2*n.timing.Heartbeat < n.timing.lease()
	for _, p := range n.lead.progress {
		idle = idle && (p.match == last || !p.active(n))
	}
	if idle {
		return 2 * n.timing.Heartbeat
	}
	return n.timing.Heartbeat
}

// confirmRounds records the newest round that a majority of voters acknowledged.
func (n *Node) confirmRounds() {
	l := &n.lead
	r := n.majority(func(id ID) uint64 {
		if id == n.id {
			return l.round
		}
		return l.progress[id].round
	})
	if r <= l.confirmedRound {
		return
	}
	l.confirmedAt = l.roundStarts[r]
	for i := l.confirmedRound + 1; i <= r; i++ {
		delete(l.roundStarts, i)
	}
	l.confirmedRound = r
}

// majority returns the largest value that a majority of voters has reached.
func (n *Node) majority(value func(ID) uint64) uint64 {
	var buffer [MaxVoters + 1]uint64
	values := buffer[:0]
	for _, v := range n.conf.Voters {
		values = append(values, value(v.ID))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// advanceCommit advances the commit index to the last entry that is durable on a
// majority of voters. Only entries of the current term are counted, because a
// later leader may still replace an entry of an earlier term that a majority
// holds. Earlier entries are committed along with them.
func (n *Node) advanceCommit() {
	index := n.majority(func(id ID) uint64 {
		if id == n.id {
			return n.stable
		}
		return n.lead.progress[id].match
	})
	if t, ok := n.log.term(index); index > n.commit && ok && t == n.hardState.Term {
		n.commit = index
	}
}

func (n *Node) onReply(m Message) {
	p := n.lead.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastReplyAt, p.replied = n.now.Mono, true
	if m.Round > p.round && m.Round <= n.lead.round {
		p.round = m.Round
		n.confirmRounds()
	}
	switch m.Kind {
	case AppendReply:
		n.onAppendReply(m, p)
	case HeartbeatReply:
		p.paused = false
		p.inflight = max(0, p.inflight-1)
		if p.match < n.log.lastIndex() {
			n.replicateOrProbe(m.From, p)
		}
	case SnapshotReply:
		n.onSnapshotReply(m, p)
	}
}

// LastConfirmation returns the start of the newest round that a majority
// acknowledged. ok is false when there is none, when this replica is not the
// leader, or when it has not yet committed an entry of its current term: until
// then it cannot know which entries are committed.
func (n *Node) LastConfirmation() (start time.Duration, ok bool) {
	return n.lead.confirmedAt, n.established() && n.lead.confirmedRound > 0
}

// TermStart returns the index of the first entry of the leader's term. ok
// reports whether this replica is the leader and has committed that entry.
func (n *Node) TermStart() (termStart uint64, ok bool) {
	return n.lead.termStart, n.established()
}

func (n *Node) established() bool { return n.role == Leader && n.commit >= n.lead.termStart }

// Read is a request for a linearizable read on the leader.
type Read struct {
	Index   uint64 // read index: the state at this entry includes everything committed before the request
	LogTerm uint64 // term of that entry
	Term    uint64 // leader's term at the request
	Round   uint64 // confirmation round that confirms the read; 0: the lease suffices
}

// StartRead begins a linearizable read. It starts a confirmation round if the
// read cannot rely on the lease. It returns false if this replica is not the
// leader or has not yet committed an entry of its current term.
func (n *Node) StartRead(now ClockReading) (Read, bool) {
	n.advance(now)
	if !n.established() {
		return Read{}, false
	}
	r := Read{Index: n.commit, Term: n.hardState.Term}
	r.LogTerm, _ = n.log.term(r.Index)
	l := &n.lead
	if n.quorumReads || l.leaseDisabled || n.now.Mono >= l.confirmedAt+n.timing.lease() || l.confirmedRound == 0 {
		r.Round = n.startRound()
	}
	return r, true
}

// ReadConfirmed reports whether r is confirmed, which means that its result is
// linearizable. failed is true when r can no longer be confirmed, because this
// replica is not the leader of that term any more.
func (n *Node) ReadConfirmed(r Read) (confirmed, failed bool) {
	if n.role != Leader || n.hardState.Term != r.Term {
		return false, true
	}
	return n.lead.confirmedRound >= r.Round, false
}

// Transfer starts a leader transfer to the reachable voter with the most advanced
// log, and to one that retires only if there is no other. It reports false if this replica
// is not the leader or no other voter is reachable.
func (n *Node) Transfer(now ClockReading) bool {
	n.advance(now)
	if n.role != Leader {
		return false
	}
	var best ID
	for _, v := range n.conf.Voters {
		p := n.lead.progress[v.ID]
		if v.ID == n.id || p == nil || !p.active(n) {
			continue
		}
		b := n.lead.progress[best]
		switch retires := n.retires(v.ID); {
		case b == nil, n.retires(best) && !retires, n.retires(best) == retires && p.match > b.match:
			best = v.ID
		}
	}
	if best == (ID{}) {
		return false
	}
	n.lead.transferee, n.lead.transferUntil = best, n.now.Mono+n.timing.ElectionMax+n.quorumSlack()
	n.finishTransfer()
	return true
}

// finishTransfer sends TimeoutNow to the transferee once it holds the whole log.
func (n *Node) finishTransfer() {
	l := &n.lead
	if l.transferee == (ID{}) || l.progress[l.transferee] == nil {
		return
	}
	if l.progress[l.transferee].match == n.log.lastIndex() {
		l.leaseDisabled = true
		n.sendAfterPersist(Message{Kind: TimeoutNow, To: l.transferee})
	}
}
