package raft

import "time"

// leaseHolds reports whether the lease of a leader may still rely on this
// replica, which then must not vote for another candidate.
func (n *Node) leaseHolds() bool {
	if n.role == Leader {
		return true // checkQuorum makes the leader step down when it loses its majority
	}
	return n.now.Mono < n.leaderContactAt+n.timing.ElectionMin
}

func (n *Node) startPreVote() {
	n.role, n.leader, n.preVoting = Candidate, ID{}, true
	n.votes = map[ID]bool{n.id: true}
	n.requestVotes(Message{Kind: PreVote, Term: n.hardState.Term + 1})
	if n.hasVoteMajority() {
		n.startElection(false)
	}
}

func (n *Node) startElection(transfer bool) {
	n.role, n.leader, n.preVoting = Candidate, ID{}, false
	n.setHardState(n.hardState.Term+1, n.id)
	n.backOff()
	n.votes = map[ID]bool{n.id: true}
	n.requestVotes(Message{Kind: Vote, Transfer: transfer})
	if n.hasVoteMajority() {
		n.becomeLeader()
	}
}

func (n *Node) requestVotes(m Message) {
	m.Index, m.LogTerm = n.log.lastIndex(), n.log.lastTerm()
	for _, v := range n.conf.Voters {
		if v.ID != n.id {
			m.To = v.ID
			n.sendAfterPersist(m)
		}
	}
}

func (n *Node) hasVoteMajority() bool {
	granted := 0
	for _, v := range n.conf.Voters {
		if n.votes[v.ID] {
			granted++
		}
	}
	return granted > len(n.conf.Voters)/2
}

// upToDate reports whether the log of the candidate that sent m is at least as up
// to date as the log of this replica. If so, the candidate lacks no entry of this
// replica that may be committed.
func (n *Node) upToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.lastIndex()
}

func (n *Node) onPreVote(m Message) {
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hardState.Term || n.leaseHolds() || !n.upToDate(m) {
		reply.Refused, reply.Term = true, n.hardState.Term
	}
	n.sendAfterPersist(reply)
}

func (n *Node) onPreVoteReply(m Message) {
	if n.role != Candidate || !n.preVoting || m.Refused || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteMajority() {
		n.startElection(false)
	}
}

func (n *Node) onVote(m Message) {
	reply := Message{Kind: VoteReply, To: m.From}
	canVote := n.hardState.Vote == m.From || (n.hardState.Vote == ID{} && n.leader == ID{})
	if canVote && n.upToDate(m) {
		if n.hardState.Vote != m.From {
			n.setHardState(n.hardState.Term, m.From)
		}
		n.resetElectionTimer()
	} else {
		reply.Refused = true
	}
	n.sendAfterPersist(reply)
}

func (n *Node) onVoteReply(m Message) {
	if n.role != Candidate || n.preVoting || m.Refused {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteMajority() {
		n.becomeLeader()
	}
}

func (n *Node) onTimeoutNow(m Message) {
	if n.role != Leader && n.leader == m.From && n.conf.IsVoter(n.id) {
		n.startElection(true)
	}
}

// leaderState is the state that only a leader has. In other roles it has its zero
// value.
//
// A confirmation round is a numbered heartbeat to all replicas. It is confirmed
// once a majority of voters has acknowledged it. This shows that no leader of a
// later term had been elected when the round started. A confirmed round renews
// the lease and confirms the reads that wait for it.
type leaderState struct {
	progress  map[ID]*progress
	peers     []ID   // keys of progress in a fixed order, so that simulations are reproducible
	termStart uint64 // index of the Empty entry of the term

	round          uint64                   // newest confirmation round
	roundStarts    map[uint64]time.Duration // start times of the rounds that are not confirmed yet
	confirmedRound uint64                   // newest round that a majority acknowledged
	confirmedAt    time.Duration            // start of confirmedRound
	nextRound      time.Duration            // time of the next periodic round
	electedAt      time.Duration

	replicationPending bool // new entries have not been sent yet; replicateAll sends them

	commitMark     uint64 // commit index at the newest periodic round
	prevCommitMark uint64 // commit index one periodic round earlier

	retiring     map[ID]time.Duration // time of the last Retire of each replica that ends
	surplusSince time.Duration        // time since which there are more than targetVoters; zero: there are not

	transferee    ID            // voter that the leadership is being transferred to; zero: none
	transferUntil time.Duration // time at which the transfer is abandoned
	leaseDisabled bool          // a TimeoutNow was sent, which may start an election at any time
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.preVoting, n.votes = Leader, n.id, false, nil
	n.fruitlessElections = 0
	n.lead = leaderState{
		progress: map[ID]*progress{}, roundStarts: map[uint64]time.Duration{}, retiring: map[ID]time.Duration{},
		electedAt: n.now.Mono, termStart: n.log.lastIndex() + 1,
	}
	n.syncProgress()
	n.propose(Entry{Kind: Empty})
	n.startRound()
}
