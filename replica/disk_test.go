package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"bramleymill/errkind"
	"bramleymill/raft"
	"bramleymill/wal"
	"bramleymill/wal/faultfs"
)

// newFaultyCluster starts replicas a, b and c on simulated disks that can inject faults.
func newFaultyCluster(t *testing.T) (*cluster, map[string]*faultfs.FS) {
	c := &cluster{t: t}
	disks := map[string]*faultfs.FS{}
	c.init()
	for i, name := range []string{"a", "b", "c"} {
		disks[name] = faultfs.New(uint64(i))
		c.files[name] = disks[name]
	}
	c.start("a", "b", "c")
	return c, disks
}

// Guards against a replica that acknowledges entries after a failed sync, and against a
// failed sync that ends the whole process.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	c, disks := newFaultyCluster(t)
	failing := c.leader()
	c.propose(failing, "one")
	disks[failing].FailSyncs(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTiming.ElectionMin)
	defer cancel()
	if _, err := c.processes[failing].group.proposeAsLeader(ctx, []byte("two")); err == nil {
		t.Fatal("a proposal was accepted although the sync failed, want an error")
	}
	c.eventually("the replica has stopped", func() bool { return c.processes[failing].group.Status().Stopped })
	disks[failing].FailSyncs(false)
	s := c.processes[failing].group.Status()
	if !errors.Is(s.Err, wal.ErrFailed) || s.Role == raft.Leader {
		t.Fatalf("status after a failed sync: %+v, want error wal.ErrFailed and another role than leader", s)
	}
	if _, err := c.processes[failing].group.Propose(c.context(), []byte("x")); errkind.Of(err).Kind != errkind.ControlUnavailable {
		t.Fatalf("propose at a stopped replica: error %v, want error kind ControlUnavailable", err)
	}
	if _, ok := c.processes[failing].group.ConfirmationAge(); ok {
		t.Fatal("a stopped replica is still confirmed as the leader, want not confirmed")
	}
	next := c.leader()
	c.propose(next, "three")
	c.stop(failing)
	c.open(failing)
	c.noError(c.processes[failing].group.ReadBarrier(c.context()))
	if a, b := c.processes[failing].machine.commands(), c.processes[next].machine.commands(); !slices.Equal(a, b) {
		t.Fatalf("after the restart the failed replica applied %q, want %q like the leader", a, b)
	}
}

// Guards against a full disk that stops the replica or the confirmation of the leader,
// and against accepting commands that cannot be stored.
func TestFullDiskRefusesProposalsOnly(t *testing.T) {
	c, disks := newFaultyCluster(t)
	leader := c.leader()
	for _, d := range disks {
		d.SetFreeBytes(0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTiming.ElectionMax)
	defer cancel()
	if _, err := c.processes[leader].group.Propose(ctx, []byte("one")); err == nil {
		t.Fatal("a proposal was accepted while all disks were full, want an error")
	}
	_, err := c.processes[leader].group.proposeAsLeader(c.context(), []byte("two"))
	if errkind.Of(err).Kind != errkind.ControlUnavailable || !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("proposal on a full disk: error %v, want error kind ControlUnavailable and wal.ErrDiskFull", err)
	}
	if age, ok := c.processes[leader].group.ConfirmationAge(); !ok || age > testTiming.ElectionMax {
		t.Fatalf("leader with a full disk: confirmation age %v, confirmed %v, want an age of at most ElectionMax and confirmed true", age, ok)
	}
	for _, d := range disks {
		d.SetFreeBytes(-1)
	}
	c.propose(leader, "three")
}

// Guards against replicas that stop for good, one after the other, because their disks are
// full for a short time. No change is accepted once a majority has stopped.
func TestDisksFullInTurnStopNoReplica(t *testing.T) {
	for operations, name := range map[faultfs.Op]string{
		faultfs.Write: "write", faultfs.Sync: "sync", faultfs.Write | faultfs.Truncate: "write and truncate", ^faultfs.Op(0): "all",
	} {
		t.Run(name, func(t *testing.T) {
			c, disks := newFaultyCluster(t)
			c.snapshotEvery = 5
			for _, full := range []string{"a", "b", "c"} {
				c.propose(c.leader(), "before "+full)
				disks[full].RunOutOfSpace(operations)
				ctx, cancel := context.WithTimeout(context.Background(), 2*testTiming.ElectionMax)
				for i := range 8 {
					// Refused at a leader whose disk is full, otherwise accepted.
					_, _ = c.processes[c.leader()].group.Propose(ctx, fmt.Appendf(nil, "%s-%d", full, i))
				}
				cancel()
				disks[full].RunOutOfSpace(0)
			}
			for _, replica := range []string{"a", "b", "c"} {
				if s := c.processes[replica].group.Status(); s.Stopped {
					t.Errorf("replica %s stopped: %v, want it to continue when its disk has space", replica, s.Err)
				}
			}
			c.propose(c.leader(), "after")
		})
	}
}

// Guards against losing accepted commands when all replicas crash at the same time.
func TestAllReplicasCrash(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.snapshotEvery = 10
	var want []string
	for round := range 5 {
		leader := c.leader()
		for i := range 7 {
			command := fmt.Sprintf("%d-%d", round, i)
			c.propose(leader, command)
			want = append(want, command)
		}
		for name := range disks {
			disks[name].Crash()
			c.stop(name)
		}
		for name := range disks {
			c.open(name)
		}
	}
	at := c.leader()
	c.noError(c.processes[at].group.ReadBarrier(c.context()))
	if got := c.processes[at].machine.commands(); !slices.Equal(got, want) {
		t.Fatalf("leader after five crashes of all replicas applied %q, want %q", got, want)
	}
}

// Guards against a replica that cannot catch up after the leader has compacted the log
// entries that it is missing.
func TestCatchUpBySnapshot(t *testing.T) {
	c, _ := newFaultyCluster(t)
	c.stop("c")
	c.snapshotEvery = 5
	for _, name := range []string{"a", "b"} {
		c.stop(name)
		c.open(name)
	}
	at := c.leader()
	for i := range 40 {
		c.propose(at, fmt.Sprint(i))
	}
	c.open("c")
	c.noError(c.processes["c"].group.ReadBarrier(c.context()))
	if a, b := c.processes["c"].machine.commands(), c.processes[at].machine.commands(); !slices.Equal(a, b) {
		t.Fatalf("caught-up replica applied %d commands, want the same %d commands as the leader", len(a), len(b))
	}
	if n := c.processes["c"].group.applier.appliedState().Index; n < 40 {
		t.Fatalf("applied index of the caught-up replica = %d, want at least 40", n)
	}
}

// Guards against treating a damaged data folder as an empty one.
func TestOpenRejectsDamagedFolder(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.propose("a", "one")
	c.propose("a", "two")
	c.stop("a")
	folder := c.folders["a"] + "/group-1/log"
	names, err := disks["a"].List(folder)
	c.noError(err)
	disks["a"].Corrupt(folder+"/"+names[0], 60)
	var corrupt *wal.CorruptError
	if _, err := c.tryOpen("a"); !errors.As(err, &corrupt) {
		t.Fatalf("open of a damaged folder: error %v, want *wal.CorruptError", err)
	}
}
