package raft

import (
	"errors"
	"slices"
	"time"

	"bramleymill/fleet"
)

// Errors of membership changes.
var (
	ErrChangePending = errors.New("raft: another membership change is not committed yet")
	ErrNotMember     = errors.New("raft: no such member")
	ErrLastVoter     = errors.New("raft: the last voter cannot be removed")
	ErrNoMajority    = errors.New("raft: too few of the remaining voters are reachable")
	ErrSelfRemoval   = errors.New("raft: the leader cannot remove itself")
)

// appendEntries appends entries to the log. A configuration takes effect as soon
// as its entry is in the log, before it is committed.
func (n *Node) appendEntries(entries ...Entry) {
	n.log.append(entries...)
	n.recordEntryArrival()
	changed := false
	for _, e := range entries {
		if e.Kind == ConfigurationChange && e.Configuration != nil {
			n.confs = append(n.confs, indexedConfiguration{e.Index, *e.Configuration})
			changed = true
		}
	}
	if changed {
		n.useLatestConfiguration()
	}
}

func (n *Node) rebuildConfigurations() {
	n.confs = []indexedConfiguration{{n.snapshot.Index, n.snapshot.Configuration}}
	for _, e := range n.log.entries {
		if e.Kind == ConfigurationChange && e.Configuration != nil && e.Index > n.snapshot.Index {
			n.confs = append(n.confs, indexedConfiguration{e.Index, *e.Configuration})
		}
	}
	n.useLatestConfiguration()
}

// trimConfigurations removes configurations that a later one replaced at or
// before index.
func (n *Node) trimConfigurations(index uint64) {
	for len(n.confs) > 1 && n.confs[1].index <= index {
		n.confs = n.confs[1:]
	}
}

func (n *Node) useLatestConfiguration() {
	last := n.confs[len(n.confs)-1]
	n.conf, n.confIndex = last.conf, last.index
	if n.role == Leader {
		n.syncProgress()
	}
}

// syncProgress adds a progress for every new member other than this replica and
// removes those of former members.
func (n *Node) syncProgress() {
	old := n.lead.progress
	n.lead.progress, n.lead.peers = map[ID]*progress{}, nil
	for _, m := range slices.Concat(n.conf.Voters, n.conf.Learners) {
		if m.ID == n.id {
			continue
		}
		p := old[m.ID]
		if p == nil {
			p = &progress{next: n.log.lastIndex() + 1}
		}
		n.lead.progress[m.ID] = p
		n.lead.peers = append(n.lead.peers, m.ID)
	}
}

// changeMembership proposes conf, which differs from the current configuration by
// at most one voter, so that majorities of the two overlap (single-server
// membership change). The previous change must be committed, and the leader must
// have committed an entry of its current term. Otherwise two configurations that
// differ by two voters could be in use at the same time.
func (n *Node) changeMembership(conf Configuration) error {
	if !n.established() {
		return ErrNotLeader
	}
	if n.confIndex > n.commit {
		return ErrChangePending
	}
	// A configuration that cannot commit its own entry would block the group permanently.
	if n.reachableVoters(conf.Voters) <= len(conf.Voters)/2 {
		return ErrNoMajority
	}
	n.propose(Entry{Kind: ConfigurationChange, Configuration: &conf})
	return nil
}

// reachableVoters returns how many of voters have replied recently, counting this
// replica.
func (n *Node) reachableVoters(voters []Member) int {
	reached := 0
	for _, v := range voters {
		if p := n.lead.progress[v.ID]; v.ID == n.id || p != nil && p.active(n) {
			reached++
		}
	}
	return reached
}

// Join adds m as a learner unless it is already a member with this address. It
// replaces a learner of the same node with another disk, and updates the address
// of an existing member.
func (n *Node) Join(now ClockReading, m Member) error {
	n.advance(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if current, ok := n.conf.Find(m.ID); ok && current.Address == m.Address {
		return nil
	}
	c := n.conf.clone()
	if i := indexOf(c.Voters, m.ID); i >= 0 {
		c.Voters[i] = m
	} else {
		c.Learners = slices.DeleteFunc(c.Learners, func(l Member) bool { return l.ID.Node == m.ID.Node })
		c.Learners = append(c.Learners, m)
	}
	return n.changeMembership(c)
}

// Remove removes all learners of a node or, if it has none, its voter.
func (n *Node) Remove(now ClockReading, node fleet.NodeID) error {
	n.advance(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	ofNode := func(m Member) bool { return m.ID.Node == node }
	c := n.conf.clone()
	switch {
	case node == n.id.Node:
		return ErrSelfRemoval
	case slices.ContainsFunc(c.Learners, ofNode):
		c.Learners = slices.DeleteFunc(c.Learners, ofNode)
	case !slices.ContainsFunc(c.Voters, ofNode):
		return ErrNotMember
	case len(c.Voters) == 1:
		return ErrLastVoter
	default:
		c.Voters = slices.DeleteFunc(c.Voters, ofNode)
	}
	return n.changeMembership(c)
}

// adjustMembership proposes at most one change: it removes a surplus voter, promotes a
// learner that has caught up, or removes a voter to make this possible. A voter of the same node
// with another disk has lost that disk and is removed first, because replacing it
// in one step would change two voters at once.
func (n *Node) adjustMembership() {
	if !n.established() || n.confIndex > n.commit || n.lead.transferee != (ID{}) {
		return
	}
	if n.removeSurplusVoter() {
		return
	}
	for i, m := range n.conf.Learners {
		if !n.caughtUp(m.ID) || n.retires(m.ID) {
			continue
		}
		c := n.conf.clone()
		c.Learners = slices.Delete(c.Learners, i, i+1)
		old := slices.IndexFunc(c.Voters, func(v Member) bool { return v.ID.Node == m.ID.Node })
		switch {
		case old >= 0 && c.Voters[old].ID == n.id:
			continue
		case old >= 0:
			c.Voters = slices.Delete(c.Voters, old, old+1)
			c.Learners = slices.Insert(c.Learners, 0, m) // is promoted before other learners
		case len(c.Voters) >= n.targetVoters && n.silentVoter() >= 0:
			// The learner is promoted in a separate change: majorities of
			// configurations that differ by two voters need not overlap.
			silent := n.silentVoter()
			c.Voters = slices.Delete(c.Voters, silent, silent+1)
			c.Learners = slices.Insert(c.Learners, 0, m)
		case (len(c.Voters) < n.targetVoters || n.mayReplaceRetiring(c.Voters)) && n.canAddVoter(c.Voters):
			c.Voters = append(c.Voters, m)
		case len(c.Voters) < n.targetVoters && n.silentVoter() >= 0:
			// A group that grows with a silent voter, such as one of three founding voters
			// that never came up, could not add another: two of three are no majority of four.
			silent := n.silentVoter()
			c.Voters = slices.Delete(c.Voters, silent, silent+1)
			c.Learners = slices.Insert(c.Learners, 0, m)
		default:
			continue
		}
		if n.changeMembership(c) == nil {
			return
		}
	}
	n.removeSilentLearner()
}

// silentVoter returns the index of the voter that has been silent for the longest
// time. It returns -1 if no voter has been silent for replaceAfter, or if silent
// voters are not replaced.
func (n *Node) silentVoter() int {
	if n.replaceAfter == 0 {
		return -1
	}
	found, longest := -1, n.replaceAfter
	for i, v := range n.conf.Voters {
		if silence := n.silence(v.ID); silence >= longest {
			found, longest = i, silence
		}
	}
	return found
}

// silence returns how long the leader has heard nothing from another member, counted from
// its election at the earliest. It is zero for the leader itself.
func (n *Node) silence(id ID) time.Duration {
	p := n.lead.progress[id]
	if id == n.id || p == nil {
		return 0
	}
	return n.now.Mono - max(p.lastReplyAt, n.lead.electedAt)
}

// canAddVoter reports whether another voter may be added to voters: a majority of
// the larger configuration must be reachable without the new voter, so that its
// loss right after the change does not block the group. A group of one voter
// cannot meet this condition and is exempt.
func (n *Node) canAddVoter(voters []Member) bool {
	return len(voters) == 1 || n.reachableVoters(voters) > (len(voters)+1)/2
}

// caughtUp reports whether a replica holds every entry that was committed one
// periodic round ago.
func (n *Node) caughtUp(id ID) bool {
	p := n.lead.progress[id]
	return p != nil && p.mode == replicating && p.active(n) && p.match >= n.lead.prevCommitMark
}
