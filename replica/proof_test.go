package replica

import (
	"slices"
	"testing"
	"time"
)

// proofTime returns the time up to which a process is current according to its newest
// proof, and false if it has no proof.
func (c *cluster) proofTime(name string) (time.Time, bool) {
	now := time.Now()
	age, ok := c.processes[name].group.ProofAge()
	return now.Add(-age), ok
}

// Guards against followers that receive no proof with the heartbeats. A proof states the
// time up to which the follower is current. Also guards against a proof that does not
// cover everything that was committed before its token was created.
func TestFollowersReceiveProofsWithHeartbeats(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	for _, command := range []string{"one", "two", "three"} {
		c.propose(leader, command)
		committed := time.Now()
		for name, p := range c.processes {
			if name == leader {
				continue
			}
			c.eventually("a proof that the follower is current as of a time after the commit", func() bool {
				at, ok := c.proofTime(name)
				return ok && at.After(committed)
			})
			if !slices.Contains(p.machine.commands(), command) {
				t.Fatalf("%s has a proof for a time after the commit of %q but has not applied this command, want it applied", name, command)
			}
		}
	}
}

// Guards against a partitioned leader that still proves to a follower in its part of the
// network that the follower is current, while the voters in the other part elect a new
// leader and accept commands.
func TestPartitionedLeaderSendsNoProof(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	old := c.leader()
	var follower string
	var rest []string
	for name := range c.processes {
		switch {
		case name == old:
		case follower == "":
			follower = name
		default:
			rest = append(rest, name)
		}
	}
	c.eventually("a first proof that the follower is current", func() bool { _, ok := c.proofTime(follower); return ok })
	for _, name := range rest {
		for _, minority := range []string{old, follower} {
			c.network.setFault(c.network.partitioned, minority, name, true)
			c.network.setFault(c.network.partitioned, name, minority, true)
		}
	}
	var last time.Time // at or after the start of the newest round that a majority acknowledged
	c.eventually("the old leader is no longer confirmed", func() bool {
		age, leads := c.processes[old].group.ConfirmationAge()
		if leads {
			last = time.Now().Add(-age)
		}
		return !leads
	})
	if at, _ := c.proofTime(follower); at.After(last) {
		t.Fatalf("follower of the partitioned leader: newest proof is for a time %v after the start of the last confirmed round, want none after that start", at.Sub(last))
	}
	c.eventually("a leader in the part of the network without the old leader", func() bool {
		return slices.ContainsFunc(rest, func(n string) bool { _, ok := c.processes[n].group.ConfirmationAge(); return ok })
	})
	c.propose(rest[0], "accepted elsewhere")
	accepted := time.Now()
	for range 20 {
		if at, _ := c.proofTime(follower); at.After(accepted) {
			t.Fatal("follower of the partitioned leader: newest proof is for a time after the commit by the new leader, want none after that commit")
		}
		time.Sleep(testTiming.Heartbeat)
	}
}

// Guards against using a proof with a token of an earlier process start. Its age would
// be wrong, because the clock readings of different process starts cannot be compared.
func TestProofFromEarlierBootIsIgnored(t *testing.T) {
	h := &Host{bootID: 2}
	b := &batch{Proofs: []proof{{Group: 1, Token: token{BootID: 1, At: time.Hour}, Index: 1, LogTerm: 1}}}
	if p := h.proofFor(b, 1); p != nil {
		t.Fatalf("proof with the token of an earlier process start: got %+v, want no proof", p)
	}
	b.Proofs[0].Token.BootID = 2
	if h.proofFor(b, 1) == nil || h.proofFor(b, 2) != nil {
		t.Fatal("wrong proofs in a batch with one for group 1 and the token of this process start, want the proof for group 1 and none for group 2")
	}
}

// Guards against a proof with a token that was received after its confirmation round
// had started. Such a round confirms nothing about the time of the token.
func TestTokensNewestBefore(t *testing.T) {
	var list tokens
	for i := range 6 {
		list.add(receivedToken{token{1, time.Duration(i)}, time.Duration(10 * i)})
	}
	if got, ok := list.newestBefore(40); !ok || got.At != 3 {
		t.Fatalf("newest token received before 40 = %v, found = %t, want At 3 and found true", got, ok)
	}
	if _, ok := list.newestBefore(20); ok {
		t.Fatal("found a token received before 20, want no token: the oldest of the 4 tokens kept was received at 20")
	}
}
