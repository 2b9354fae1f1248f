package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/raft"
	"bramleymill/transport"
	"bramleymill/wal"
)

// DefaultSnapshotEvery is the number of applied entries between snapshots.
const DefaultSnapshotEvery = 4096

// Config configures a Group. Node, Address, Folder, Machine, Client and Host are
// required. Group may be 0.
type Config struct {
	Group   uint32
	Node    fleet.NodeID
	Address string // peer address of this process
	// Folder is the data folder of the process. Each group stores its data in a
	// separate subfolder with a separate disk id.
	Folder string
	// Machine is the state machine. It is called by one goroutine at a time.
	Machine       StateMachine
	Client        transport.Client
	Clock         clock.Clock // nil: the system clock
	Seed          uint64      // seed of the random election timeouts; must differ between replicas
	Logger        *slog.Logger
	Seeds         []string // peer addresses through which the group is joined
	SnapshotEvery int      // 0: DefaultSnapshotEvery
	Host          *Host

	// ControlOnly rejects proposals from processes without the control role.
	ControlOnly bool
	// OnFailure is called once when a failure stops this replica. The process
	// keeps running.
	OnFailure func(error)
	// OnDiskEvent is called when the disk stops responding and when it responds again.
	// All groups of the Host share one disk, so each of them reports the event, no
	// matter which group detected it. While its disk is stalled, a replica gives up
	// leadership and takes no part in its group.
	OnDiskEvent func(DiskEvent)
	Timing      raft.Timing // zero: raft.DefaultTiming
	// ReplaceAfter is how long a voter must be silent before a learner that has caught
	// up replaces it. Zero: a silent voter stays until it is removed or
	// its node joins again with another disk.
	ReplaceAfter time.Duration
	// QuorumReads makes every linearizable read wait for a confirmation round instead
	// of relying on the lease of the leader.
	QuorumReads bool
	// Founding delays joining the group until Found has decided whether this replica is
	// one of its founders.
	Founding bool
	// MinVoters is the number of voters that a group needs before it accepts its
	// first command, so that a group that is still growing accepts nothing. Once
	// the group has had that many voters, one fewer is enough, so that it keeps
	// accepting commands while a voter is being replaced. A group that never gets its last
	// voter accepts commands without it after 2 ReplaceAfter, if a majority has as many
	// disks then: three of four and of five. With four, two lost disks stop the group
	// until a voter is replaced, but no command is lost.
	MinVoters int
	Files     wal.FS // nil: the file system of the operating system
}

func (c *Config) complete() error {
	switch {
	case c.Node == "" || c.Address == "" || c.Folder == "":
		return errors.New("replica: Node, Address and Folder are required")
	case c.Machine == nil || c.Client == nil || c.Host == nil:
		return errors.New("replica: Machine, Client and Host are required")
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.Timing == (raft.Timing{}) {
		c.Timing = raft.DefaultTiming
	}
	if c.Files == nil {
		c.Files = wal.OS{}
	}
	c.Logger = c.Logger.With("group", c.Group)
	return nil
}

func (c *Config) folder() string {
	return filepath.Join(c.Folder, fmt.Sprintf("group-%d", c.Group))
}
