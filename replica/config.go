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

// Config configures a Group. Group, Node, Address, Folder, Machine, Client and
// Host are required.
type Config struct {
	Group   uint32
	Node    fleet.NodeID
	Address string // peer address of this process
	// Folder is the data folder of the process. Each group uses a folder of its
	// own in it, with a disk id of its own.
	Folder string
	// Machine is called by one goroutine at a time.
	Machine       StateMachine
	Client        transport.Client
	Clock         clock.Clock // nil: the system clock
	Seed          uint64      // of the election timeouts; differs between replicas
	Logger        *slog.Logger
	Seeds         []string // peer addresses to ask for the group
	SnapshotEvery int      // 0: DefaultSnapshotEvery
	Host          *Host

	// ControlOnly refuses proposals from processes without the control role.
	ControlOnly bool
	// OnFailure is called once when a storage failure stops this replica. The
	// process goes on.
	OnFailure func(error)
	// OnDisk is called when the disk stops answering and when it answers again.
	// It is called for the disk of all groups of the Host, whichever of them noticed.
	// A replica whose disk hangs gives up leadership and takes part in nothing.
	OnDisk func(DiskEvent)
	Timing raft.Timing // zero: raft.DefaultTiming
	// ReplaceAfter and ProveReads are those of raft.Config.
	ReplaceAfter time.Duration
	ProveReads   bool
	// MinVoters is the number of voters that a group needs before it takes its
	// first command, so that nothing is accepted by a group that is still growing.
	// While a voter is being replaced, one less is enough.
	MinVoters int
	Files     wal.FS // nil: the file system of the machine
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
