package replica

import (
	"slices"
	"testing"
	"time"
)

// provedAt returns the time of the newest proof of a process.
func (c *cluster) provedAt(name string) (time.Time, bool) {
	now := time.Now()
	age, ok := c.processes[name].group.Proved()
	return now.Add(-age), ok
}

// Guards against followers that have to ask the leader for proof, or whose proof
// does not cover what was committed before it.
func TestHeartbeatsProveThatFollowersAreCurrent(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	for _, command := range []string{"one", "two", "three"} {
		c.propose(leader, command)
		committed := time.Now()
		for name, p := range c.processes {
			if name == leader {
				continue
			}
			c.eventually("a proof after the commit", func() bool {
				at, ok := c.provedAt(name)
				return ok && at.After(committed)
			})
			if !slices.Contains(p.machine.commands(), command) {
				t.Fatalf("%s is proved current without %q", name, command)
			}
		}
	}
}

// Guards against a leader that proves to a follower on its side of a partition
// that it is current, while the other side elects a leader and accepts commands.
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
	c.eventually("a first proof", func() bool { _, ok := c.provedAt(follower); return ok })
	for _, name := range rest {
		for _, side := range []string{old, follower} {
			c.network.setFault(c.network.partitioned, side, name, true)
			c.network.setFault(c.network.partitioned, name, side, true)
		}
	}
	var last time.Time // no earlier than the newest round that a majority acknowledged
	c.eventually("the end of the old leadership", func() bool {
		age, leads := c.processes[old].group.Confirmed()
		if leads {
			last = time.Now().Add(-age)
		}
		return !leads
	})
	if at, _ := c.provedAt(follower); at.After(last) {
		t.Fatalf("the proof is %v younger than the last confirmed round", at.Sub(last))
	}
	c.eventually("another leader", func() bool {
		return slices.ContainsFunc(rest, func(n string) bool { _, ok := c.processes[n].group.Confirmed(); return ok })
	})
	c.propose(rest[0], "accepted elsewhere")
	accepted := time.Now()
	for range 20 {
		if at, _ := c.provedAt(follower); at.After(accepted) {
			t.Fatal("the cut-off follower is proved current after the commit on the other side")
		}
		time.Sleep(testTiming.Heartbeat)
	}
}

// Guards against a proof whose age is computed from the clock of an earlier life
// of the process.
func TestProofFromEarlierBootIsIgnored(t *testing.T) {
	h := &Host{bootID: 2}
	b := &batch{Proofs: []proof{{Group: 1, Token: token{BootID: 1, At: time.Hour}, Index: 1, LogTerm: 1}}}
	if p := h.proofFor(b, 1); p != nil {
		t.Fatalf("accepted %+v", p)
	}
	b.Proofs[0].Token.BootID = 2
	if h.proofFor(b, 1) == nil || h.proofFor(b, 2) != nil {
		t.Fatal("the proof of this life is not found")
	}
}

// Guards against a token that a reply brought after the round began being
// returned with that round's proof.
func TestTokensNewestBefore(t *testing.T) {
	var s tokens
	for i := range 6 {
		s.add(receivedToken{token{1, time.Duration(i)}, time.Duration(10 * i)})
	}
	if got, ok := s.newestBefore(40); !ok || got.At != 3 {
		t.Fatalf("before 40: %v %v", got, ok)
	}
	if _, ok := s.newestBefore(20); ok {
		t.Fatal("a token received at the start of the round counts")
	}
}
