package replica

import (
	"fmt"
	"testing"
	"time"

	"bramleymill/wal/faultfs"
)

// newSlowCluster forms a group of five voters on disks that are slowed afterwards: each sync takes
// syncTime at the replicas that are named.
func newSlowCluster(t *testing.T, syncTime time.Duration, slow ...string) *cluster {
	c := &cluster{t: t}
	c.init()
	names := []string{"a", "b", "c", "d", "e"}
	disks := map[string]*faultfs.FS{}
	for i, name := range names {
		disks[name] = faultfs.New(uint64(i))
		c.files[name] = disks[name]
	}
	c.start(names...)
	for _, name := range slow {
		disks[name].SlowSyncs(syncTime)
	}
	return c
}

// Guards against a group without a leader while the disks of most or all replicas are slow for
// good: each sync takes longer than an election timeout, so that each replica took its own disk or
// that of the leader for one that does not respond, and no election ended in time. Commands must be
// accepted and be readable, also after the loss of the leader.
func TestGroupWithSlowDisks(t *testing.T) {
	for _, syncTime := range []time.Duration{testTiming.ElectionMin, testTiming.ElectionMax, testTiming.ElectionMax * 4 / 3} {
		for _, slow := range [][]string{{"a", "b", "c", "d", "e"}, {"b", "c", "d", "e"}} {
			t.Run(fmt.Sprintf("%v at %d of 5", syncTime, len(slow)), func(t *testing.T) {
				t.Parallel()
				c := newSlowCluster(t, syncTime, slow...)
				c.proposeAgain("a", "one")
				c.proposeAgain("b", "two")
				c.noError(c.processes["c"].group.ReadBarrier(c.context()))
				c.stop(c.leader())
				for name := range c.processes {
					c.proposeAgain(name, "after the loss of the leader")
					c.noError(c.processes[name].group.ReadBarrier(c.context()))
					break
				}
			})
		}
	}
}

// proposeAgain proposes a command until it is applied, as an operator does.
func (c *cluster) proposeAgain(at, command string) {
	c.t.Helper()
	c.eventually(command+" is applied", func() bool {
		_, err := c.processes[at].group.Propose(c.context(), []byte(command))
		return err == nil
	})
}

// Guards against an election that a replica starts after a long write, although the leader was
// heard from during the write.
func TestLeaderHeardDuringAWritePreventsAnElection(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	follower := map[bool]string{true: "b", false: "a"}[leader == "a"]
	preVotes := func() int {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		return c.network.preVotes[follower]
	}
	before := preVotes()
	for i := range 8 {
		disks[follower].SlowSyncs(testTiming.ElectionMax * 9 / 10)
		c.propose(leader, fmt.Sprint("slow ", i))
		time.Sleep(testTiming.ElectionMax)
		disks[follower].SlowSyncs(0)
		for j := range len(writeTimes{}.latest) { // the slow write is not usual
			c.propose(leader, fmt.Sprint("fast ", i, j))
		}
		c.noError(c.processes[follower].group.ReadBarrier(c.context()))
		if n := preVotes(); n != before {
			t.Fatalf("write %d: %d requests for a pre-vote, want none", i, n-before)
		}
	}
}
