package replica

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"bramleymill/raft"
	"bramleymill/wal/faultfs"
)

// diskEvents records the disk events of a cluster by process.
type diskEvents struct {
	mu     sync.Mutex
	events map[string][]DiskEvent
}

func recordDiskEvents(c *cluster) *diskEvents {
	r := &diskEvents{events: map[string][]DiskEvent{}}
	c.setOnDiskEvent(func(name string, e DiskEvent) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.events[name] = append(r.events[name], e)
	})
	return r
}

// last returns the newest event of a process.
func (r *diskEvents) last(name string) (DiskEvent, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.events[name]); n > 0 {
		return r.events[name][n-1], true
	}
	return DiskEvent{}, false
}

// stallSyncs blocks the syncs of a disk until release is called or the test ends.
func (c *cluster) stallSyncs(d *faultfs.FS) (release func()) {
	release = d.StallSyncs()
	c.t.Cleanup(release)
	return release
}

// Guards against a control instance with a stalled disk that keeps the leadership, blocks
// requests that other instances could serve, does not report the stall, or does not
// recover after it.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c, disks := newFaultyCluster(t)
	events := recordDiskEvents(c)
	leader := c.leader()
	c.propose(leader, "before")
	release := c.stallSyncs(disks[leader])
	g := c.processes[leader].group
	c.propose(leader, "meanwhile") // applied by the leader that the other replicas elect
	s := g.Status()
	if s.Role == raft.Leader || s.Leader != "" || !errors.Is(s.Err, ErrDiskStalled) {
		t.Fatalf("status while the disk is stalled: %+v, want error ErrDiskStalled, another role than leader and no known leader", s)
	}
	if _, ok := g.ConfirmationAge(); ok {
		t.Fatal("leadership is confirmed while the disk is stalled, want not confirmed")
	}
	c.eventually("the stall is reported", func() bool { e, ok := events.last(leader); return ok && e.Stalled })
	if next := c.leader(); next == leader {
		t.Fatal("the replica with the stalled disk is the leader, want another one")
	}
	release()
	c.eventually("the end of the stall is reported", func() bool { e, _ := events.last(leader); return !e.Stalled })
	c.noError(g.ReadBarrier(c.context()))
	if s := g.Status(); s.Err != nil {
		t.Fatalf("status of the former leader after the stall: error %v, want no error", s.Err)
	}
	c.propose(leader, "after")
	c.noError(g.ReadBarrier(c.context()))
	want := []string{"before", "meanwhile", "after"}
	if got := unique(c.processes[leader].machine.commands()); !slices.Equal(got, want) {
		t.Fatalf("replica whose disk stalled and responds again applied %q, want %q", got, want)
	}
}

// unique removes duplicates. A command may be applied twice, because a proposal with an
// unknown outcome is retried.
func unique(in []string) (out []string) {
	seen := map[string]bool{}
	for _, s := range in {
		if !seen[s] {
			out = append(out, s)
		}
		seen[s] = true
	}
	return out
}

// Guards against a replica that keeps running when a stalled sync finally fails.
func TestStalledDiskThatFailsStopsReplica(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	release := c.stallSyncs(disks[leader])
	c.propose(leader, "one")
	disks[leader].FailSyncs(true)
	release()
	c.eventually("the replica has stopped", func() bool { return c.processes[leader].group.Status().Stopped })
	if err := c.processes[leader].group.Status().Err; !errors.Is(err, faultfs.ErrInjected) {
		t.Fatalf("replica whose stalled sync failed stopped with error %v, want faultfs.ErrInjected", err)
	}
}

// Guards against a leader that refuses every proposal but keeps its leadership while an
// operation outside the log, such as saving a snapshot, is stalled. The test
// starts such an operation itself with a short limit. It does not check that saving a
// real snapshot is monitored, since the limit of 10 s is too long for a test.
func TestStallOutsideLogLosesLeadership(t *testing.T) {
	c, _ := newFaultyCluster(t)
	leader := c.leader()
	release := make(chan struct{})
	var saving sync.WaitGroup
	saving.Go(func() {
		_ = c.processes[leader].group.disk.watch("saving a snapshot", time.Millisecond, func() error { <-release; return nil })
	})
	c.eventually("another replica becomes the leader", func() bool { return c.leader() != leader })
	c.propose(leader, "one")
	close(release)
	saving.Wait()
	c.noError(c.processes[leader].group.ReadBarrier(c.context()))
}

// Guards against a stop that waits for a disk that never responds.
func TestCloseWithStalledDisk(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	release := c.stallSyncs(disks[leader])
	c.propose(leader, "one")
	ctx, cancel := context.WithTimeout(c.context(), testTiming.ElectionMin)
	defer cancel()
	if err := c.processes[leader].group.TransferAndClose(ctx); !errors.Is(err, ErrDiskStalled) {
		t.Fatalf("TransferAndClose with a stalled disk: error %v, want ErrDiskStalled", err)
	}
	release()
}

// Guards against a group that keeps its leadership because only another group of the
// same process has detected the stalled disk.
func TestStalledDiskAffectsAllGroupsOfProcess(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	p := c.processes[leader]
	secondGroup, err := Open(Config{
		Group: 2, Node: p.group.config.Node, Address: leader, Folder: c.folders[leader], Machine: &recordingMachine{},
		Client: p.group.config.Client, Host: p.host, Timing: c.timing, Files: disks[leader],
	})
	c.noError(err)
	c.noError(secondGroup.Bootstrap(c.context()))
	release := c.stallSyncs(disks[leader])
	ctx := c.context()
	var proposing sync.WaitGroup
	proposing.Go(func() { _, _ = secondGroup.Propose(ctx, []byte("hangs")) })
	c.eventually("another replica becomes the leader of the first group", func() bool { return c.leader() != leader })
	release()
	c.noError(p.group.ReadBarrier(c.context()))
	proposing.Wait()
	c.noError(secondGroup.Close())
}

// Guards against reporting the end of a stall before its start. The last event would
// then say that the disk is stalled although it responds again.
func TestDiskEventsAlternate(t *testing.T) {
	var mu sync.Mutex
	var events []DiskEvent
	d := newDiskMonitor(func(e DiskEvent) {
		if e.Stalled {
			runtime.Gosched() // gives the end of the stall a chance to be reported first
		}
		mu.Lock()
		defer mu.Unlock()
		events = append(events, e)
	})
	const limit = 20 * time.Microsecond
	for range 3000 {
		_ = d.watch("x", limit, func() error { time.Sleep(limit); return nil })
	}
	c := &cluster{t: t}
	c.eventually("the last event is reported", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(events) > 0 && len(events)%2 == 0 && d.stallError() == nil
	})
	mu.Lock()
	defer mu.Unlock()
	for i, e := range events {
		if e.Stalled != (i%2 == 0) {
			t.Fatalf("event %d of %d is %+v, want Stalled true for even and false for odd numbers", i, len(events), e)
		}
	}
}
