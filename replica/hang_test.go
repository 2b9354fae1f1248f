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

// diskEvents records the events of the disks of a cluster.
type diskEvents struct {
	mu     sync.Mutex
	events map[string][]DiskEvent
}

func recordDiskEvents(c *cluster) *diskEvents {
	r := &diskEvents{events: map[string][]DiskEvent{}}
	c.setOnDisk(func(name string, e DiskEvent) {
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

// hang makes the syncs of a disk wait until release, or the end of the test.
func (c *cluster) stallSyncs(d *faultfs.FS) (release func()) {
	release = d.HangSyncs()
	c.t.Cleanup(release)
	return release
}

// Guards against a control instance whose disk hangs: that keeps the leadership,
// holds requests up although others could serve them, does not show it, or does
// not recover.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c, disks := newFaultyCluster(t)
	events := recordDiskEvents(c)
	leader := c.leader()
	c.propose(leader, "before")
	release := c.stallSyncs(disks[leader])
	g := c.processes[leader].group
	c.propose(leader, "meanwhile") // through the leader that the others elect
	s := g.Status()
	if s.Role == raft.Leader || s.Leader != "" || !errors.Is(s.Err, ErrDiskStalled) {
		t.Fatalf("status while the disk hangs: %+v", s)
	}
	if _, ok := g.Confirmed(); ok {
		t.Fatal("confirms leadership while the disk hangs")
	}
	c.eventually("the hang reported", func() bool { e, ok := events.last(leader); return ok && e.Hangs })
	if next := c.leader(); next == leader {
		t.Fatal("the replica with the hanging disk leads")
	}
	release()
	c.eventually("the end of the hang reported", func() bool { e, _ := events.last(leader); return !e.Hangs })
	c.noError(g.Confirm(c.context()))
	if s := g.Status(); s.Err != nil {
		t.Fatalf("after the hang: %v", s.Err)
	}
	c.propose(leader, "after")
	c.noError(g.Confirm(c.context()))
	want := []string{"before", "meanwhile", "after"}
	if got := unique(c.processes[leader].machine.commands()); !slices.Equal(got, want) {
		t.Fatalf("applied %q, want %q", got, want)
	}
}

// unique removes repetitions: a proposal with an unknown outcome is made again.
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

// Guards against a disk whose sync fails after it hung being taken for sound.
func TestStalledDiskThatFailsStopsReplica(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	release := c.stallSyncs(disks[leader])
	c.propose(leader, "one")
	disks[leader].FailSyncs(true)
	release()
	c.eventually("the replica stopped", func() bool { return c.processes[leader].group.Status().Stopped })
	if err := c.processes[leader].group.Status().Err; !errors.Is(err, faultfs.ErrInjected) {
		t.Fatalf("stopped by %v", err)
	}
}

// Guards against a hang of an operation beside the log, such as saving a snapshot,
// that leaves a leader in place which refuses every proposal. That the saving of
// snapshots is watched is not checked here: its limit of 10 s is too long for a test.
func TestStallOutsideLogLosesLeadership(t *testing.T) {
	c, _ := newFaultyCluster(t)
	leader := c.leader()
	release := make(chan struct{})
	var saving sync.WaitGroup
	saving.Go(func() {
		_ = c.processes[leader].group.disk.watch("saving a snapshot", time.Millisecond, func() error { <-release; return nil })
	})
	c.eventually("another leader", func() bool { return c.leader() != leader })
	c.propose(leader, "one")
	close(release)
	saving.Wait()
	c.noError(c.processes[leader].group.Confirm(c.context()))
}

// Guards against a stop that waits for a disk that never answers.
func TestCloseWithStalledDisk(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	release := c.stallSyncs(disks[leader])
	c.propose(leader, "one")
	ctx, cancel := context.WithTimeout(c.context(), testTiming.ElectionMin)
	defer cancel()
	if err := c.processes[leader].group.TransferAndClose(ctx); !errors.Is(err, ErrDiskStalled) {
		t.Fatalf("close: %v", err)
	}
	release()
}

// Guards against a group that goes on to lead because only another group of its
// process has met the hanging disk.
func TestStalledDiskAffectsAllGroupsOfProcess(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	p := c.processes[leader]
	other, err := Open(Config{
		Group: 2, Node: p.group.config.Node, Address: leader, Folder: c.folders[leader], Machine: &recordingMachine{},
		Client: p.group.config.Client, Host: p.host, Timing: c.timing, Files: disks[leader],
	})
	c.noError(err)
	c.noError(other.Bootstrap(c.context()))
	release := c.stallSyncs(disks[leader])
	ctx := c.context()
	var proposing sync.WaitGroup
	proposing.Go(func() { _, _ = other.Propose(ctx, []byte("hangs")) })
	c.eventually("another leader of the first group", func() bool { return c.leader() != leader })
	release()
	c.noError(p.group.Confirm(c.context()))
	proposing.Wait()
	c.noError(other.Close())
}

// Guards against the end of a hang that is reported before its start, so that the
// last word about a sound disk is that it hangs.
func TestDiskEventsAlternate(t *testing.T) {
	var mu sync.Mutex
	var events []DiskEvent
	d := newDiskMonitor(func(e DiskEvent) {
		if e.Hangs {
			runtime.Gosched() // room for the end of the hang to overtake
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
	c.eventually("the last event", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(events) > 0 && len(events)%2 == 0 && d.stallError() == nil
	})
	mu.Lock()
	defer mu.Unlock()
	for i, e := range events {
		if e.Hangs != (i%2 == 0) {
			t.Fatalf("event %d of %d: %+v", i, len(events), e)
		}
	}
}
