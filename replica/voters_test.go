package replica

import (
	"context"
	"testing"
	"time"

	"bramleymill/errkind"
)

// Guards against a group that accepts commands before it has all its voters. A failure
// that the full group must survive could destroy every disk that holds such a command.
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
		t.Fatalf("proposal with two of three voters: error %v, want one that proves that the command was not proposed", err)
	}
	c.open("c")
	c.waitVoters("a", 3)
	if _, err := c.processes["a"].group.Propose(c.context(), []byte("one")); err != nil {
		t.Fatal(err)
	}
	// The group keeps accepting commands while one voter is being replaced.
	c.noError(c.processes["a"].group.Remove(c.context(), "c"))
	if _, err := c.processes["a"].group.Propose(c.context(), []byte("two")); err != nil {
		t.Errorf("proposal while a voter is being replaced: error %v, want no error", err)
	}
	if got := c.processes["a"].machine.commands(); len(got) != 2 {
		t.Errorf("after the refused and two accepted proposals replica a applied %q, want one and two", got)
	}
}
