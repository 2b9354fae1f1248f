package replica

import (
	"slices"
	"testing"
)

// Guards against a replica that cannot join the group, forward proposals to the leader
// or confirm reads.
func TestReplicasJoinAndApplyTheSameCommands(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	for _, at := range []string{"a", "b", "c", "b"} {
		c.propose(at, "from "+at)
	}
	want := []string{"from a", "from b", "from c", "from b"}
	for name, p := range c.processes {
		c.noError(p.group.ReadBarrier(c.context()))
		if got := p.machine.commands(); !slices.Equal(got, want) {
			t.Errorf("after proposals at all replicas %s applied %q, want %q", name, got, want)
		}
	}
}
