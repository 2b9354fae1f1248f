package replica

import (
	"context"
	"testing"
	"time"

	"bramleymill/errkind"
)

// Guards against a command that is accepted by a group that is still growing: the
// disks that hold it could all be lost although no more are than must be borne.
func TestProposalsRequireMinVoters(t *testing.T) {
	c := &cluster{t: t}
	c.init()
	c.minVoters = 3
	c.open("a")
	c.noError(c.processes["a"].group.Bootstrap(c.context()))
	c.open("b")
	c.waitVoters("a", 2)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := c.processes["a"].group.Propose(ctx, []byte("early"))
	if e := errkind.Of(err); err == nil || !e.ProvedNotRun() {
		t.Fatalf("two of three voters: error %v, want proof that nothing was proposed", err)
	}
	c.open("c")
	c.waitVoters("a", 3)
	if _, err := c.processes["a"].group.Propose(c.context(), []byte("one")); err != nil {
		t.Fatal(err)
	}
	// With the place of one voter free for its successor, the group goes on.
	c.noError(c.processes["a"].group.Remove(c.context(), "c"))
	if _, err := c.processes["a"].group.Propose(c.context(), []byte("two")); err != nil {
		t.Errorf("while a voter is replaced: %v", err)
	}
	if got := c.processes["a"].machine.commands(); len(got) != 2 {
		t.Errorf("commands %q", got)
	}
}
