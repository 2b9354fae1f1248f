package replica

import (
	"time"

	"bramleymill/fleet"
	"bramleymill/raft"
)

// view is the state of the core that its goroutine publishes for other goroutines after
// each step of run.
type view struct {
	status      raft.Status
	confirmedAt time.Duration // start of the newest confirmation round that a majority acknowledged
	confirmed   bool          // confirmedAt is set
	termStart   uint64        // index of the first entry of the leader's term; 0: not the leader
	commitTerm  uint64        // term of the entry at the commit index; 0: unknown
	diskFull    error         // last write error if the disk is full; nil: not full
}

// publish stores a new view and handles a change of the role of this replica.
func (g *Group) publish() {
	v := &view{status: g.node.Status(), diskFull: g.diskFull}
	v.confirmedAt, v.confirmed = g.node.LastConfirmation()
	v.termStart, _ = g.node.TermStart()
	v.commitTerm = g.node.CommitTerm()
	g.view.Store(v)
	if v.status.Role != raft.Leader || len(v.status.Configuration.Voters) != g.config.MinVoters-1 {
		g.oneMissingSince = -1
	} else if g.oneMissingSince < 0 {
		g.oneMissingSince = g.reading().Mono
	}
	g.reachedMinVoters = g.reachedMinVoters || len(v.status.Configuration.Voters) >= g.config.MinVoters
	if v.status.Role != g.role {
		if g.role == raft.Leader {
			g.applier.failOnLeadershipLoss()
		}
		g.role = v.status.Role
		g.config.Logger.Info("role changed", "role", g.role, "term", v.status.Term)
	}
}

// Status describes a replica.
type Status struct {
	Group         uint32
	ID            raft.ID // node name and disk id
	Role          raft.Role
	Leader        fleet.NodeID // empty: unknown
	LeaderAddress string       // empty: unknown
	Term          uint64
	Commit        uint64 // index of the last committed entry
	Applied       uint64 // index of the last entry applied to the state machine
	ClusterID     uint64 // 0: the replica belongs to no group yet
	ConfIndex     uint64 // index of the entry that set Voters and Learners, which may not be committed
	Voters        []raft.Member
	Learners      []raft.Member
	Stopped       bool  // closed or failed
	Err           error // why the replica stopped or cannot join, or that the disk is full or stalled
}

// Status returns the current state. Its slices must not be modified.
func (g *Group) Status() Status {
	v := g.view.Load()
	s := Status{
		Group: g.config.Group, ID: v.status.ID, Role: v.status.Role, Leader: v.status.Leader.Node,
		Term: v.status.Term, Commit: v.status.Commit, Applied: g.applier.appliedState().Index,
		ClusterID: v.status.Configuration.ClusterID,
		ConfIndex: v.status.ConfIndex,
		Voters:    v.status.Configuration.Voters, Learners: v.status.Configuration.Learners,
		Err: v.diskFull,
	}
	if m, ok := v.status.Configuration.Find(v.status.Leader); ok {
		s.LeaderAddress = m.Address
	}
	if p := g.joinError.Load(); s.Err == nil && p != nil {
		s.Err = *p
	}
	if p := g.haltError.Load(); p != nil {
		s.Err = *p
	}
	if err := g.disk.stallError(); err != nil {
		s.Err, s.Role, s.Leader, s.LeaderAddress = err, raft.Follower, "", ""
	}
	if g.ctx.Err() != nil {
		s.Stopped, s.Role, s.Leader, s.LeaderAddress = true, raft.Follower, "", ""
	}
	return s
}

// ConfirmationAge returns the time since the start of the newest confirmation round,
// in which a majority confirmed that this replica is the leader. It does not wait. ok
// is false if this replica is not the leader, has not yet applied everything that was
// committed when it was elected, is stopped, or has a stalled disk.
func (g *Group) ConfirmationAge() (age time.Duration, ok bool) {
	v := g.view.Load()
	if !v.confirmed || g.ctx.Err() != nil || g.disk.stallError() != nil || g.applier.appliedState().Index < v.termStart {
		return 0, false
	}
	return g.reading().Mono - v.confirmedAt, true
}
