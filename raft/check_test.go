package raft

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// apply checks that a committed entry is the next one of v and equals the entry
// that other replicas applied at its index.
func (s *sim) apply(v *server, e Entry) {
	if e.Index != v.applied.Index+1 {
		s.t.Fatalf("%s applied entry %d after entry %d, want consecutive indices", v.name, e.Index, v.applied.Index)
	}
	v.state = hashState(v.state, e)
	v.applied.Index, v.applied.Term, v.applied.Time = e.Index, e.Term, e.Time
	if e.Kind == ConfigurationChange {
		v.applied.Configuration = *e.Configuration
	}
	if e.Index == uint64(len(s.committedStates)) {
		s.firstApply(v, e)
	}
	if v.state != s.committedStates[e.Index] {
		s.t.Fatalf("%s applied a different entry at index %d than the replica that applied this index first, want the same entry", v.name, e.Index)
	}
}

// firstApply records an entry that is applied for the first time. It must be
// durable on a majority of the voters in the configuration of v.
func (s *sim) firstApply(v *server, e Entry) {
	if last := s.entryTimes[len(s.entryTimes)-1]; e.Time < last {
		s.t.Fatalf("time of entry %d = %d, want at least %d, the time of the entry before it", e.Index, e.Time, last)
	}
	s.committedStates = append(s.committedStates, v.state)
	s.entryTimes = append(s.entryTimes, e.Time)
	if _, ok := s.firstCommitAt[e.Term]; !ok {
		s.firstCommitAt[e.Term] = s.now
	}
	holders := 0
	voters := v.node.conf.Voters
	for _, m := range voters {
		if w := s.server(m.ID.Node); w.disk.id == m.ID.Disk && w.disk.holds(e) {
			holders++
		}
	}
	// A voter that has since lost its disk may have held the entry, so it counts as a holder.
	if lost := s.lostVoters(voters); holders+lost <= len(voters)/2 {
		s.t.Fatalf("entry %d applied by %s is durable on %d of %d voters, want a majority", e.Index, v.name, holders, len(voters))
	}
}

// lostVoters counts the voters whose disk was lost.
func (s *sim) lostVoters(voters []Member) int {
	lost := 0
	for _, m := range voters {
		if s.lostDisks[m.ID] {
			lost++
		}
	}
	return lost
}

// checkLeader checks that a term has one leader, that the leader holds every
// committed entry, and that no later term committed an entry before the start of
// its newest confirmed round.
func (s *sim) checkLeader(v *server) {
	n := v.node
	if n.role != Leader {
		return
	}
	switch other, ok := s.leaders[n.hardState.Term]; {
	case !ok:
		s.leaders[n.hardState.Term] = n.id
		s.elections++
		if last := uint64(len(s.committedStates) - 1); n.log.lastIndex()-1 < last {
			s.t.Fatalf("%s became leader of term %d without the committed entry %d, want it in the log", v.name, n.hardState.Term, last)
		}
	case other != n.id:
		s.t.Fatalf("%v and %v are both leaders of term %d, want one leader", other, n.id, n.hardState.Term)
	}
	start, ok := n.LastConfirmation()
	if !ok {
		return
	}
	confirmedAt := time.Duration(float64(start) / v.clockRate)
	for term, at := range s.firstCommitAt {
		if term > n.hardState.Term && at < confirmedAt-time.Microsecond {
			s.t.Fatalf("%s in term %d is confirmed at %v, want no confirmation after term %d committed at %v", v.name, n.hardState.Term, confirmedAt, term, at)
		}
	}
}

// checkVote checks that a granted vote is durable and the only one of this disk
// in its term.
func (s *sim) checkVote(v *server, m Message) {
	if h := v.disk.stored.HardState; h.Term != m.Term || h.Vote != m.To {
		s.t.Fatalf("%s sent a vote for %v in term %d that is not durable, want it stored first", v.name, m.To, m.Term)
	}
	// Votes are recorded by replica id, which contains the disk that stores the vote.
	// The check therefore holds even if the core identified voters in another way.
	byTerm := s.votes[m.From]
	if byTerm == nil {
		byTerm = map[uint64]ID{}
		s.votes[m.From] = byTerm
	}
	if other, ok := byTerm[m.Term]; ok && other != m.To {
		s.t.Fatalf("%v voted for %v and %v in term %d, want one vote", m.From, other, m.To, m.Term)
	}
	byTerm[m.Term] = m.To
}

func (s *sim) startRead(v *server) {
	r, ok := v.node.StartRead(s.reading(v))
	if !ok {
		return
	}
	if r.Round == 0 {
		s.leaseReads++
	} else {
		s.roundReads++
	}
	v.reads = append(v.reads, simRead{r, uint64(len(s.committedStates) - 1)})
	s.run(v, -1)
}

// checkReads checks that a confirmed read sees every entry that any replica had
// committed when the read began.
func (s *sim) checkReads(v *server) {
	if v.node == nil {
		return
	}
	v.reads = slices.DeleteFunc(v.reads, func(r simRead) bool {
		confirmed, failed := v.node.ReadConfirmed(r.read)
		if confirmed && r.read.Index < r.minIndex {
			s.t.Fatalf("%s confirmed a read at index %d, want at least %d, which was committed before the read", v.name, r.read.Index, r.minIndex)
		}
		return confirmed || failed
	})
}

// canLoseDisk reports whether the group survives the loss of v's disk: in every
// configuration that any replica knows, lost disks must stay a minority.
func (s *sim) canLoseDisk(v *server) bool {
	id := ID{v.name, v.disk.id}
	var confs []Configuration
	for _, w := range s.servers {
		confs = append(confs, w.disk.stored.Snapshot.Configuration)
		for _, e := range w.disk.stored.Entries {
			if e.Kind == ConfigurationChange {
				confs = append(confs, *e.Configuration)
			}
		}
		if w.node != nil {
			confs = append(confs, w.node.conf)
		}
	}
	for _, c := range confs {
		bound := (len(c.Voters) - 1) / 2
		if !c.IsVoter(id) {
			bound = len(c.Voters) / 2 // a learner may be about to become a voter
		}
		_, member := c.Find(id)
		if lost := s.lostVoters(c.Voters) + s.lostVoters(c.Learners); member && lost+1 > bound {
			return false
		}
	}
	return true
}

// isolate blocks the links of a server in both directions, or unblocks them.
func (s *sim) isolate(name fleet.NodeID, blocked bool) {
	for _, v := range s.servers {
		s.blockedLinks[[2]fleet.NodeID{name, v.name}] = blocked
		s.blockedLinks[[2]fleet.NodeID{v.name, name}] = blocked
	}
}
