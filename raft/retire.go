package raft

import "slices"

// A planned replacement moves the vote of a replica that ends soon to a learner that has
// caught up, while both still run. The invariant: from the moment at which a replica is told
// that its vote is gone, the group has as many voters as before and none of them is known to
// end, so that it survives the loss of any f of its 2f+1 voters. A replica that ends before
// has to count as lost until it has been silent for Config.ReplaceAfter.
//
// The successor is added before the vote is taken away. In between, the group has one voter
// more than Config.TargetVoters; of 2f+2 voters, f may be lost as well while the replica that
// retires still runs. Taking the vote away first would leave 2f voters, which survive the
// loss of f-1. The replica becomes a learner, so that it can serve until it ends.

// silentLearnerFactor is the number of ReplaceAfter periods after which a silent learner is
// removed. It joins again when it returns; one that has ended would get messages forever.
const silentLearnerFactor = 20

// removeSilentLearner removes a learner that has been silent for long.
func (n *Node) removeSilentLearner() {
	if n.replaceAfter == 0 {
		return
	}
	i := slices.IndexFunc(n.conf.Learners, func(m Member) bool { return n.silence(m.ID) >= silentLearnerFactor*n.replaceAfter })
	if i < 0 {
		return
	}
	c := n.conf.clone()
	c.Learners = slices.Delete(c.Learners, i, i+1)
	_ = n.changeMembership(c) // tried again in the next round
}

// Retirement is what a replica that is about to end has to know about its vote.
type Retirement uint8

// The states of a retirement.
const (
	VotePending Retirement = iota + 1 // the replica has a vote, and another one can take it
	VoteKept                          // the replica has a vote, and no other replica can take it now
	VoteGone                          // the replica has no vote, and the change is committed
)

// String returns the state in words.
func (r Retirement) String() string {
	switch r {
	case VotePending:
		return "pending"
	case VoteKept:
		return "kept"
	case VoteGone:
		return "gone"
	}
	return "invalid"
}

// Retire tells the leader that the replica id ends soon, and returns the state of its vote.
// The replica repeats the call until its vote is gone; the leader forgets a replica that
// has not repeated it for ElectionMax. A replica that retires is not promoted and does not
// become the leader by a transfer while there is another choice.
func (n *Node) Retire(now ClockReading, id ID) (Retirement, error) {
	n.advance(now)
	if !n.established() {
		return 0, ErrNotLeader
	}
	n.lead.retiring[id] = n.now.Mono
	n.adjustMembership()
	switch {
	case !n.conf.IsVoter(id) && n.confIndex <= n.commit:
		return VoteGone, nil
	case n.replaceAfter > 0 && (n.confIndex > n.commit || len(n.conf.Voters) > n.targetVoters || n.hasSuccessor()):
		return VotePending, nil
	}
	return VoteKept, nil
}

func (n *Node) retires(id ID) bool {
	at, ok := n.lead.retiring[id]
	return ok && n.now.Mono-at < n.timing.ElectionMax
}

// retiringVoter returns the index of a voter that retires, or -1. The leader itself has to
// transfer the leadership first.
func (n *Node) retiringVoter() int {
	return slices.IndexFunc(n.conf.Voters, func(v Member) bool { return v.ID != n.id && n.retires(v.ID) })
}

// mayReplaceRetiring reports whether a successor may be added beside one of voters that
// retires. The limit of one voter above the target keeps the changes apart.
func (n *Node) mayReplaceRetiring(voters []Member) bool {
	return n.replaceAfter > 0 && len(voters) == n.targetVoters && n.retiringVoter() >= 0
}

// hasSuccessor reports whether a learner can take over a vote, at once or after it has
// caught up. Like a voter, a learner counts as lost only after it has been silent for
// replaceAfter: a replica that retires ends with its vote if no successor is left, so that a
// short interruption of its only successor must not look like a loss.
func (n *Node) hasSuccessor() bool {
	return slices.ContainsFunc(n.conf.Learners, func(m Member) bool { return !n.retires(m.ID) && n.silence(m.ID) < n.replaceAfter })
}

// removeSurplusVoter takes the vote of one voter while there are more than targetVoters, and
// reports whether it proposed this change. The vote is that of a replica that retires, or
// else of one that has been silent for replaceAfter. If neither exists for replaceAfter,
// because the replica that retired was restarted, it is that of the newest voter.
func (n *Node) removeSurplusVoter() bool {
	i := n.surplusVoter()
	if i < 0 {
		return false
	}
	c := n.conf.clone()
	if i != n.silentVoter() {
		c.Learners = append(c.Learners, c.Voters[i])
	}
	c.Voters = slices.Delete(c.Voters, i, i+1)
	return n.changeMembership(c) == nil
}

func (n *Node) surplusVoter() int {
	if len(n.conf.Voters) <= n.targetVoters {
		n.lead.surplusSince = 0
		return -1
	}
	if n.lead.surplusSince == 0 {
		n.lead.surplusSince = n.now.Mono
	}
	if i := n.retiringVoter(); i >= 0 {
		return i
	}
	if i := n.silentVoter(); i >= 0 {
		return i
	}
	if n.now.Mono-n.lead.surplusSince < n.replaceAfter {
		return -1
	}
	newest := len(n.conf.Voters) - 1
	if n.conf.Voters[newest].ID == n.id {
		newest--
	}
	return newest
}
