package replica

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"bramleymill/errkind"
	"bramleymill/raft"
	"bramleymill/transport"
)

// expectApplied checks that the replica that has returned has applied what the replica that stayed
// has applied, and that these are the given commands. Propose may apply a command more than once
// if the disk does not respond for a while, but then at every replica.
func (c *cluster) expectApplied(returned, stayed string, want ...string) {
	c.t.Helper()
	applied := func(name string) []string { return c.processes[name].machine.commands() }
	c.eventually("the same commands at both replicas", func() bool { return slices.Equal(applied(returned), applied(stayed)) })
	got := applied(returned)
	if !slices.Equal(unique(got), want) {
		c.t.Fatalf("replica %s, which has returned, applied %q, want %q", returned, got, want)
	}
}

// Guards against losing committed commands, or the availability of the group, when the
// leader is lost.
func TestLeaderLossAndReturn(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.propose("a", "one")
	old := c.leader()
	c.stop(old)
	next := c.leader()
	c.propose(next, "two")
	c.open(old)
	c.noError(c.processes[old].group.ReadBarrier(c.context()))
	c.expectApplied(old, next, "one", "two")
}

// Guards against a partitioned leader that accepts commands or counts as confirmed, and
// against an election that it causes when it is reconnected.
func TestPartitionedLeaderNeitherAcceptsNorConfirms(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	c.network.isolate(old, true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTiming.ElectionMax)
	defer cancel()
	if _, err := c.processes[old].group.Propose(ctx, []byte("lost")); err == nil {
		t.Fatal("a partitioned leader accepted a command, want an error")
	}
	next := c.leader()
	if age, ok := c.processes[old].group.ConfirmationAge(); ok {
		t.Fatalf("a partitioned leader is confirmed with age %v, want not confirmed", age)
	}
	ctx, cancel = context.WithTimeout(context.Background(), testTiming.ElectionMax)
	defer cancel()
	if err := c.processes[old].group.ReadBarrier(ctx); errkind.Of(err).Kind != errkind.ControlUnavailable {
		t.Fatalf("ReadBarrier while partitioned: error %v, want error kind ControlUnavailable", err)
	}
	c.propose(next, "kept")
	term := c.processes[next].group.Status().Term
	c.network.isolate(old, false)
	c.noError(c.processes[old].group.ReadBarrier(c.context()))
	c.propose(old, "after")
	if s := c.processes[next].group.Status(); s.Term != term {
		t.Errorf("term changed from %d to %d when the replica was reconnected, want no change", term, s.Term)
	}
	if got := c.processes[next].machine.commands(); !slices.Equal(got, []string{"kept", "after"}) {
		t.Errorf("leader elected during the partition applied %q, want kept and after", got)
	}
}

// Guards against a lost disk that keeps its vote, and against a group that is left with
// fewer working voters after the loss.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.propose("a", "one")
	lost := c.processes["c"].group.Status().ID
	c.stop("c")
	delete(c.folders, "c")
	g := c.open("c")
	if g.Status().ID.Disk == lost.Disk {
		t.Fatal("the empty folder has the disk id of the lost one, want a new id")
	}
	c.eventually("the new disk is a voter and the old one is removed", func() bool {
		s := c.processes[c.leader()].group.Status()
		return len(s.Voters) == 3 && len(s.Learners) == 0 &&
			!slices.ContainsFunc(s.Voters, func(m member) bool { return m.ID == lost })
	})
	c.noError(g.ReadBarrier(c.context()))
	c.expectApplied("c", c.leader(), "one")
}

// Guards against bootstrapping a second group on a folder that belongs to a group.
func TestBootstrapOfMemberFails(t *testing.T) {
	c := newCluster(t, "a", "b")
	for name, p := range c.processes {
		if err := p.group.Bootstrap(c.context()); !errors.Is(err, ErrAlreadyMember) {
			t.Errorf("bootstrap of %s: error %v, want ErrAlreadyMember", name, err)
		}
	}
}

// Guards against a planned stop of the leader after which the group waits for an
// election timeout.
func TestTransferAndClose(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	term := c.processes[old].group.Status().Term
	c.noError(c.processes[old].group.TransferAndClose(c.context()))
	c.stop(old)
	if s := c.processes[c.leader()].group.Status(); s.Term != term+1 {
		t.Errorf("term = %d after one leadership transfer in term %d, want the next term", s.Term, term)
	}
}

// Guards against reporting an accepted command as not proposed when the reply of the
// leader is lost, and against a Remote that keeps proposing to a lost leader.
func TestRemoteFindsNewLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	cl := &client{n: c.network, address: "node", role: "node"}
	r := NewRemote(cl, []string{"a", "b", "c"}, 1)
	if _, err := r.Propose(c.context(), []byte("one")); err != nil {
		t.Fatal(err)
	}
	old := c.leader()
	c.network.setFault(c.network.lostReplies, "node", old, true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := r.Propose(ctx, []byte("two")); errkind.Of(err).Kind != errkind.OutcomeUnknown {
		t.Fatalf("proposal with a lost reply: error %v, want error kind OutcomeUnknown", err)
	}
	c.network.setFault(c.network.lostReplies, "node", old, false)
	c.stop(old)
	if result, err := r.Propose(c.context(), []byte("three")); err != nil || string(result) != "done three" {
		t.Fatalf("proposal after the loss of the leader: result %q, error %v, want done three and no error", result, err)
	}
}

// Guards against accepting control messages from processes without the control role or
// with a forged sender, and against mixing groups that were bootstrapped separately.
func TestUnauthorizedMessagesAreRejected(t *testing.T) {
	c := newCluster(t, "a")
	node := &client{n: c.network, address: "node", role: "node"}
	b := batch{Messages: []groupMessage{{1, raft.Message{Kind: raft.Vote, From: raft.ID{Node: "node"}, Term: 99}}}}
	for kind, request := range map[transport.Kind]any{
		kindBatch: &b, kindReadIndex: &readIndexRequest{Group: 1}, kindJoin: &joinRequest{Group: 1},
	} {
		var reply batch
		if err := node.Call(c.context(), "a", kind, request, &reply); errkind.Of(err).Kind != errkind.Unauthorized {
			t.Errorf("message of kind %d from a node without the control role: error %v, want error kind Unauthorized", kind, err)
		}
	}
	forged := &client{n: c.network, address: "b", role: "control"}
	var reply batch
	if err := forged.Call(c.context(), "a", kindBatch, &b, &reply); errkind.Of(err).Kind != errkind.Unauthorized {
		t.Errorf("message with a forged sender: error %v, want error kind Unauthorized", err)
	}
	foreignJoin := &joinRequest{Group: 1, ClusterID: 1, Member: raft.Member{ID: raft.ID{Node: "b", Disk: "d"}, Address: "b"}}
	if r := c.processes["a"].group.admit(c.context(), foreignJoin); r.Accepted {
		t.Error("a replica of a separately bootstrapped group was admitted, want it rejected")
	}
}
