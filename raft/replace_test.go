package raft

import (
	"testing"
	"time"
)

// replaceSilentVoters makes the replicas of s replace silent voters.
func (s *sim) replaceSilentVoters(after time.Duration, voters int) {
	for _, v := range s.servers {
		if v.node != nil {
			v.node.replaceAfter, v.node.targetVoters = after, voters
		}
	}
}

// Guards against a group that keeps a voter that is lost for good, so that it
// bears one loss less, and against more than one change of voters at a time.
func TestSilentVoterIsReplacedByLearner(t *testing.T) {
	s := newSim(t, 3, 4)
	s.replaceSilentVoters(20*simTiming.Heartbeat, 3)
	for range 6 {
		s.joinNext()
		s.runFor(20 * simTiming.Heartbeat)
	}
	l := s.leader()
	if len(l.node.conf.Voters) != 3 || len(l.node.conf.Learners) != 1 {
		t.Fatalf("want 3 voters and one that waits for a place:\n%s", s.describe())
	}
	var gone *server
	for _, v := range s.servers {
		if v != l && l.node.conf.IsVoter(ID{v.name, v.disk.id}) {
			gone = v
		}
	}
	s.crash(gone)
	s.joinNext()
	s.runFor(10 * simTiming.Heartbeat)
	if !l.node.conf.IsVoter(ID{gone.name, gone.disk.id}) {
		t.Fatalf("a voter was replaced after a short silence:\n%s", s.describe())
	}
	s.runFor(60 * simTiming.Heartbeat)
	if l = s.leader(); l == nil || l.node.conf.IsVoter(ID{gone.name, gone.disk.id}) || len(l.node.conf.Voters) != 3 {
		t.Fatalf("the silent voter was not replaced:\n%s", s.describe())
	}
	if !s.propose(l) {
		t.Fatal("the group takes no commands")
	}
}

// Guards against a silent voter that is removed although nobody waits for its
// place: fewer voters would bear fewer losses.
func TestSilentVoterStaysWithoutLearner(t *testing.T) {
	s := threeVoterGroup(t, 4)
	s.replaceSilentVoters(10*simTiming.Heartbeat, 3)
	gone := s.followers()[0]
	s.crash(gone)
	s.runFor(100 * simTiming.Heartbeat)
	if l := s.leader(); l == nil || len(l.node.conf.Voters) != 3 {
		t.Fatalf("voters changed:\n%s", s.describe())
	}
}

// Guards against a read by the lease of a machine whose clock stood still while
// it was suspended: another leader may have been elected meanwhile.
func TestQuorumReadsDoNotUseLease(t *testing.T) {
	s := threeVoterGroup(t, 5)
	l := s.leader()
	l.node.proveReads = true
	r, ok := l.node.StartRead(s.reading(l))
	if !ok || r.Round == 0 {
		t.Fatalf("read %+v, started %t: it does not wait for a majority", r, ok)
	}
	if proved, _ := l.node.ReadProved(r); proved {
		t.Error("proved before any answer")
	}
}
