package raft

import (
	"testing"
	"time"
)

// threeVoterGroup returns a group of three voters with an established leader.
func threeVoterGroup(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed, 3)
	s.formGroup(3)
	if l := s.leader(); l == nil || len(l.node.conf.Voters) != 3 {
		t.Fatalf("state of the newly formed group, want a leader and 3 voters:\n%s", s.describe())
	}
	return s
}

func (s *sim) followers() []*server {
	var out []*server
	for _, v := range s.servers {
		if v != s.leader() {
			out = append(out, v)
		}
	}
	return out
}

// Guards against a replica that ends a working leadership when it returns from a
// partition. Without pre-vote its elections during the partition raise its term,
// and the leader would step down for the higher term.
func TestReturningReplicaDoesNotEndLeadership(t *testing.T) {
	s := threeVoterGroup(t, 1)
	l, f := s.leader(), s.followers()[0]
	term := l.node.hardState.Term
	s.isolate(f.name, true)
	s.runFor(20 * simTiming.ElectionMax)
	s.propose(l)
	s.isolate(f.name, false)
	s.runFor(4 * simTiming.ElectionMax)
	if s.leader() != l || l.node.hardState.Term != term || f.node.hardState.Term != term {
		t.Fatalf("state after the partitioned replica returned, want %s still leader and all replicas in term %d:\n%s", l.name, term, s.describe())
	}
	if f.applied.Index != l.applied.Index {
		t.Fatalf("state after the partitioned replica returned, want it caught up with the leader:\n%s", s.describe())
	}
}

// Guards against the vote of a replica whose disk was emptied: with that vote, a
// replica that never had a committed entry could become leader. The test fails
// when the emptied disk keeps its id, or when votes are counted by node name.
func TestReplicaWithLostDiskCannotVote(t *testing.T) {
	s := threeVoterGroup(t, 1)
	l, behind, holder := s.leader(), s.followers()[0], s.followers()[1]
	s.isolate(behind.name, true)
	s.propose(l)
	s.runFor(2 * simTiming.Heartbeat) // clocks run up to a tenth slow
	if holder.applied.Index != l.applied.Index || behind.applied.Index >= l.applied.Index {
		t.Fatalf("state after a proposal with one isolated follower, want the entry applied by the leader and the other follower only:\n%s", s.describe())
	}
	s.crash(holder)
	s.wipe(holder)
	s.restart(holder)
	clear(s.blockedLinks)
	s.isolate(l.name, true)
	s.runFor(20 * simTiming.ElectionMax)
	if n := s.leader(); n != nil {
		t.Fatalf("%s became leader although the old leader was isolated and one of the two other disks lost, want no leader:\n%s", n.name, s.describe())
	}
}

// Guards against a partitioned leader that confirms reads after another leader has
// committed entries. The test fails when the lease outlives the election timeout,
// when a read does not wait for its round, and without check-quorum.
func TestPartitionedLeaderConfirmsNoStaleRead(t *testing.T) {
	overlapping := 0
	for seed := range uint64(40) {
		s := threeVoterGroup(t, seed)
		old := s.leader()
		s.isolate(old.name, true)
		cut := s.now
		for old.node.role == Leader {
			if d := s.now - cut; d > 2*simTiming.ElectionMax {
				t.Fatalf("seed %d: partitioned leader still leads after %v, want at most twice the maximum election timeout", seed, d)
			}
			s.runFor(time.Millisecond)
			if n := s.leader(); n != nil && n != old {
				s.propose(n)
				s.runFor(time.Millisecond)
			}
			s.startRead(old) // checkReads fails the test when a read is stale
			if uint64(len(s.committedStates)-1) > old.applied.Index {
				overlapping++
			}
		}
		if start, ok := old.node.LastConfirmation(); ok {
			t.Fatalf("seed %d: partitioned replica that stepped down is still confirmed at %v, want no confirmation", seed, start)
		}
	}
	if overlapping == 0 {
		t.Fatal("no read started after a commit by another leader, want at least one, else the test checks nothing")
	}
}

// Guards against an old leader that still relies on its lease after it has
// started a leader transfer.
func TestLeaderTransferDisablesLease(t *testing.T) {
	s := threeVoterGroup(t, 1)
	l := s.leader()
	if !l.node.Transfer(s.reading(l)) {
		t.Fatal("Transfer at the leader of three reachable voters = false, want true")
	}
	s.run(l, -1)
	if _, _, err := l.node.Propose(s.reading(l), []byte("x")); err != ErrTransferring {
		t.Fatalf("Propose during a transfer: got error %v, want ErrTransferring", err)
	}
	if r, ok := l.node.StartRead(s.reading(l)); ok && r.Round == 0 {
		t.Fatal("read relies on the lease during a transfer, want a confirmation round")
	}
}

// Guards against a replica that votes soon after its restart, while the lease of a
// leader may still rely on it.
func TestRestartedReplicaRefusesVotesDuringLease(t *testing.T) {
	s := threeVoterGroup(t, 1)
	f, g := s.followers()[0], s.followers()[1]
	s.crash(f)
	s.restart(f)
	m := Message{Kind: Vote, From: g.node.id, To: f.node.id, Term: f.node.hardState.Term + 1, Index: 1 << 40, LogTerm: 1 << 40}
	f.node.Step(s.reading(f), m)
	if f.node.hardState.Term == m.Term {
		t.Fatal("restarted replica processed a Vote while the lease of the old leader may hold, want it ignored")
	}
}

// Guards against two faults. With QuorumReads, a group whose replicas all lost
// power would wait for the end of a lease although no read uses one. Without
// QuorumReads, a replica would vote after its start before the lease has ended.
func TestReplicaWithQuorumReadsVotesRightAfterStart(t *testing.T) {
	conf := Configuration{ClusterID: 7}
	for _, name := range []nodeName{"n1", "n2", "n3"} {
		conf.Voters = append(conf.Voters, Member{ID: ID{name, "d"}})
	}
	for _, quorumReads := range []bool{false, true} {
		now := ClockReading{Mono: time.Second}
		n := New(Config{ID: conf.Voters[0].ID, Timing: simTiming, Seed: 1, QuorumReads: quorumReads}, StoredState{
			HardState: HardState{Term: 1},
			Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfigurationChange, Configuration: &conf}},
		}, now)
		if early := n.Deadline() < now.Mono+simTiming.ElectionMin; early != quorumReads {
			t.Errorf("QuorumReads %[1]t: first election %[2]v after the start, want earlier than the minimum election timeout = %[1]t", quorumReads, n.Deadline()-now.Mono)
		}
		n.Step(now, Message{Kind: PreVote, From: conf.Voters[1].ID, To: n.id, ClusterID: 7, Term: 2, Index: 1, LogTerm: 1})
		for _, a := range n.Actions() {
			if m, ok := a.(Send); ok && m.Message.Kind == PreVoteReply && m.Message.Refused == quorumReads {
				t.Errorf("QuorumReads %t: pre-vote right after the start refused = %t, want the opposite of QuorumReads", quorumReads, m.Message.Refused)
			}
		}
		now.Mono += 2 * time.Millisecond
		n.Step(now, Message{Kind: Heartbeat, From: conf.Voters[2].ID, To: n.id, ClusterID: 7, Term: 1, Round: 1})
		n.Step(now, Message{Kind: PreVote, From: conf.Voters[1].ID, To: n.id, ClusterID: 7, Term: 2, Index: 1, LogTerm: 1})
		refused := false
		for _, a := range n.Actions() {
			if m, ok := a.(Send); ok && m.Message.Kind == PreVoteReply {
				refused = m.Message.Refused
			}
		}
		if !refused {
			t.Errorf("QuorumReads %t: pre-vote granted just after a heartbeat of a leader, want it refused", quorumReads)
		}
	}
}

// Guards against committing an entry of an earlier term because a majority holds
// it: a later leader may still replace it until an entry of the current term is
// committed.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	conf := Configuration{ClusterID: 7}
	for _, name := range []nodeName{"n1", "n2", "n3"} {
		conf.Voters = append(conf.Voters, Member{ID: ID{name, "d"}})
	}
	n2, now := conf.Voters[1].ID, ClockReading{Mono: time.Second}
	n := New(Config{ID: conf.Voters[0].ID, Timing: simTiming, Seed: 1}, StoredState{
		HardState: HardState{Term: 2},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfigurationChange, Configuration: &conf}, {Index: 2, Term: 2, Kind: Command}},
	}, now)
	persist := func() {
		for _, a := range n.Actions() {
			if p, ok := a.(Persist); ok {
				n.Persisted(p)
			}
		}
	}
	now.Mono += simTiming.ElectionMax
	n.Tick(now)
	n.Step(now, Message{Kind: PreVoteReply, From: n2, To: n.id, Term: 3})
	persist()
	n.Step(now, Message{Kind: VoteReply, From: n2, To: n.id, Term: 3})
	persist()
	n.Step(now, Message{Kind: AppendReply, From: n2, To: n.id, Term: 3, Index: 2})
	if n.role != Leader || n.commit != 0 {
		t.Fatalf("after a majority holds the entry of an earlier term: role %v, commit index %d; want leader and commit index 0", n.role, n.commit)
	}
	if err := n.Join(now, Member{ID: ID{"n4", "d"}}); err != ErrNotLeader {
		t.Fatalf("membership change before an entry of the leader's term is committed: got error %v, want ErrNotLeader", err)
	}
	n.Step(now, Message{Kind: AppendReply, From: n2, To: n.id, Term: 3, Index: 3})
	if n.commit != 3 {
		t.Fatalf("commit index %d after the entry of the leader's term was acknowledged, want 3", n.commit)
	}
	if err := n.Join(now, Member{ID: ID{"n4", "d"}}); err != nil {
		t.Fatal(err)
	}
	if err := n.Join(now, Member{ID: ID{"n5", "d"}}); err != ErrChangePending {
		t.Fatalf("membership change while another one is pending: got error %v, want ErrChangePending", err)
	}
}
