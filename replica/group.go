package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/raft"
)

const (
	// pollInterval is the interval between checks of something that sends no signal
	// when it changes, such as a clock that is advanced by a test.
	pollInterval = 20 * time.Millisecond
	maxInputs    = 1024 // capacity of the input queue and limit of the inputs handled before the log is synced
	// keepLogBytes bounds the entries that compaction keeps although a snapshot
	// covers them, for replicas that are slightly behind.
	keepLogBytes = 2 << 20
)

// input is a function that runs on the goroutine that owns the raft core.
type input func(now raft.ClockReading)

// Group is the replica of one group in this process. It implements Proposer.
type Group struct {
	config  Config
	origin  time.Time
	node    *raft.Node
	storage *storage
	applier *applier
	inputs  chan input

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	haltOnce   sync.Once

	view            atomic.Pointer[view]
	seeds           atomic.Pointer[[]string]
	haltError       atomic.Pointer[error]
	joinError       atomic.Pointer[error] // why the last attempt to join failed; nil: it succeeded
	disk            *diskMonitor
	mayJoin         atomic.Bool           // false: Found has not decided yet whether this replica is a founder
	retirement      atomic.Uint32         // raft.Retirement in the last reply to Retire; zero: none
	retirementError atomic.Pointer[error] // of the last request of Retire that failed
	proofs          proofs

	// Used only by the goroutine of run.
	pendingReads     []*pendingRead
	pendingReplies   map[raft.ID][]*replyCollector
	senderAddresses  map[raft.ID]string // used to reply to senders that are not members
	diskFull         error              // last write error if the disk is full; nil: not full
	writes           writeTimes         // of the log
	slowDisk         bool               // the usual write takes as long as an election timeout
	role             raft.Role          // role at the last call of publish
	reachedMinVoters bool               // the group has had MinVoters voters
	oneMissingSince  time.Duration      // since when this leader has had one voter fewer than MinVoters; negative: it has not
}

// Open opens the replica that is stored in the folder of c, or creates an empty one.
// An empty replica joins the group through the seeds. It never starts a new group
// unless Bootstrap is called.
func Open(c Config) (*Group, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	s, recovered, err := openStorage(c.Files, c.folder())
	if err != nil {
		return nil, fmt.Errorf("replica: open group %d: %w", c.Group, err)
	}
	g := &Group{
		config: c, storage: s, inputs: make(chan input, maxInputs),
		pendingReplies: map[raft.ID][]*replyCollector{}, senderAddresses: map[raft.ID]string{}, disk: c.Host.disk,
	}
	g.seeds.Store(&c.Seeds)
	g.mayJoin.Store(!c.Founding)
	if recovered.Snapshot.Index > 0 {
		if err := c.Machine.Restore(recovered.snapshotData); err != nil {
			_ = s.log.Close()
			return nil, fmt.Errorf("replica: restore the snapshot of group %d: %w", c.Group, err)
		}
	}
	g.initCore(recovered.StoredState)
	if err := c.Host.add(g); err != nil {
		_ = s.log.Close()
		return nil, err
	}
	g.goroutines.Go(g.run)
	g.goroutines.Go(g.applier.run)
	g.goroutines.Go(g.maintainMembership)
	return g, nil
}

// initCore creates the raft core and the applier of g.
func (g *Group) initCore(state raft.StoredState) {
	c := g.config
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.origin = c.Host.monotonicOrigin(c.Clock)
	g.node = g.newCore(replicaID(c.Node, g.storage.disk), state)
	g.applier = newApplier(g, state.Snapshot)
	g.publish()
}

func (g *Group) newCore(id raft.ID, state raft.StoredState) *raft.Node {
	c := g.config
	return raft.New(raft.Config{ID: id, Timing: c.Timing, Seed: c.Seed, ReplaceAfter: c.ReplaceAfter, TargetVoters: c.MinVoters, QuorumReads: c.QuorumReads},
		state, g.reading())
}

func (g *Group) reading() raft.ClockReading {
	now := g.config.Clock.Now()
	return raft.ClockReading{Mono: now.Sub(g.origin), Unix: now.UnixNano()}
}

// enqueue passes f to the goroutine that owns the core. It fails while the disk is
// stalled, because that goroutine is then blocked.
func (g *Group) enqueue(ctx context.Context, f input) error {
	if g.disk.stallError() != nil {
		return g.diskStalledError()
	}
	select {
	case g.inputs <- f:
		return nil
	case <-g.disk.stalled():
		return g.diskStalledError()
	case <-ctx.Done():
		return errkind.New(errkind.ControlUnavailable, "group %d did not accept the request in time: %w", g.config.Group, ctx.Err())
	case <-g.ctx.Done():
		return g.stoppedError()
	}
}

// runOnCore runs f on the goroutine that owns the core and returns its result. After
// an error of kind OutcomeUnknown, f may still run later: the goroutine may be
// blocked by the disk.
func runOnCore[T any](ctx context.Context, g *Group, f func(now raft.ClockReading) T) (T, error) {
	var zero T
	result := make(chan T, 1)
	if err := g.enqueue(ctx, func(now raft.ClockReading) { result <- f(now) }); err != nil {
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-g.disk.stalled():
		return zero, stalledBeforeApplyError()
	case <-ctx.Done():
		return zero, errkind.New(errkind.OutcomeUnknown, "group %d did not process the request in time: %w", g.config.Group, ctx.Err())
	case <-g.ctx.Done():
		return zero, stoppedBeforeApplyError()
	}
}

func (g *Group) stoppedError() error {
	if p := g.haltError.Load(); p != nil {
		return errkind.New(errkind.ControlUnavailable, "group %d stopped: %w", g.config.Group, *p)
	}
	return errkind.New(errkind.ControlUnavailable, "group %d is closed", g.config.Group)
}

// run is the goroutine that owns the raft core and the log. Inputs that are queued at
// the same time are handled with one sync.
func (g *Group) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.ctx.Err() == nil {
		g.waitForDisk()
		timer.Reset(g.untilDeadline())
		select {
		case f := <-g.inputs:
			g.runInputs(f)
		case <-timer.C:
			g.runQueuedInputs()
			g.node.Tick(g.reading())
		case <-g.ctx.Done():
		}
		g.processActions()
	}
	g.finishReplies()
	if err := g.storage.log.Close(); err != nil {
		g.config.Logger.Warn("closing the log failed", "error", err)
	}
}

// untilDeadline returns how long the core may sleep. An idle replica wakes up only
// for received heartbeats and for the heartbeat rounds that it starts as leader.
func (g *Group) untilDeadline() time.Duration {
	d := max(0, g.node.Deadline()-g.reading().Mono)
	if _, ok := g.config.Clock.(clock.System); !ok {
		d = min(d, pollInterval)
	}
	return d
}

// runQueuedInputs runs the inputs that wait. It precedes the timer of the core, which may be
// overdue because of a slow write during which messages of the leader arrived.
func (g *Group) runQueuedInputs() {
	select {
	case f := <-g.inputs:
		g.runInputs(f)
	default:
	}
}

// runInputs runs f and the inputs that are already queued, at most maxInputs.
func (g *Group) runInputs(f input) {
	now := g.reading()
	f(now)
	for range maxInputs {
		select {
		case f = <-g.inputs:
			f(now)
		default:
			return
		}
	}
}

// processActions executes the actions of the core until there are none left.
func (g *Group) processActions() {
	for g.ctx.Err() == nil {
		actions := g.node.Actions()
		if len(actions) == 0 || !g.execute(actions) {
			break
		}
	}
	g.publish()
	g.resolveReads()
	g.finishReplies()
}

// execute executes actions in order and reports whether all writes succeeded. After a
// failed write it skips the later writes, because they build on the failed one, and
// the messages, because they may promise that the failed write is durable.
func (g *Group) execute(actions []raft.Action) bool {
	writesSucceeded := true
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case raft.Persist:
			if !writesSucceeded {
				continue
			}
			err = g.write("writing the log", func() error { return g.storage.persist(a) })
			if err == nil {
				g.node.Persisted(a)
			}
		case raft.Restore:
			err = g.runDiskOperation("storing a received snapshot", func() error { return g.storage.restore(a) })
			if err == nil {
				g.node.Restored(a)
				g.applier.push(applyItem{restore: &a})
			}
		case raft.Apply:
			g.applier.push(applyItem{entries: a.Entries})
		case raft.Send:
			if writesSucceeded {
				g.route(a.Message)
			}
		case raft.SendChunk:
			g.sendChunk(a.Message)
		}
		if err != nil {
			writesSucceeded = false
			if !g.handleWriteError(err) {
				return false
			}
		} else if _, ok := a.(raft.Persist); ok && writesSucceeded {
			g.diskFull = nil
		}
	}
	return writesSucceeded
}

// handleWriteError reports whether the replica keeps running after a failed write. A
// full disk delays only what depends on the write; the write is retried. Any other
// failure stops the replica.
func (g *Group) handleWriteError(err error) bool {
	if !isDiskFull(err) {
		g.halt(err)
		return false
	}
	if g.diskFull == nil {
		g.config.Logger.Error("disk full; proposals are refused until the log can be written", "error", err)
	}
	g.diskFull = err
	return true
}

// sendChunk reads the data of a snapshot chunk from disk and sends it.
func (g *Group) sendChunk(m raft.Message) {
	c := *m.Chunk
	if err := g.runDiskOperation("reading a snapshot", func() error { return g.storage.readChunk(&c) }); err != nil {
		g.config.Logger.Warn("snapshot chunk could not be read", "to", m.To.Node, "error", err)
		g.node.SnapshotUnavailable(m.To)
		return
	}
	m.Chunk = &c
	g.route(m)
}

// halt stops this replica after a failure. The process keeps running.
func (g *Group) halt(err error) {
	g.haltOnce.Do(func() {
		g.haltError.Store(&err)
		g.config.Logger.Error("replica stopped", "error", err)
		g.cancel()
		if g.config.OnFailure != nil {
			go g.config.OnFailure(err)
		}
	})
}

// compact drops log entries that the durable snapshot m covers.
func (g *Group) compact(m raft.SnapshotMeta) {
	if !g.node.Compact(m, uint64(g.config.SnapshotEvery), keepLogBytes) {
		return
	}
	base, entries := g.node.DurableLog()
	err := g.runDiskOperation("compacting the log", func() error { return g.storage.reset(g.node.HardState(), base, entries) })
	switch {
	case err == nil:
	case isDiskFull(err):
		g.config.Logger.Error("log not compacted because the disk is full", "error", err)
	default:
		g.halt(err)
	}
}

// Bootstrap starts a new group with this replica as its only voter and waits until
// it is the leader. It fails with ErrAlreadyMember when the folder already belongs to a
// group.
func (g *Group) Bootstrap(ctx context.Context) error {
	ok, err := runOnCore(ctx, g, func(raft.ClockReading) bool { return g.node.Bootstrap(g.config.Address, newRandomID()) })
	if err != nil {
		return err
	}
	if !ok {
		return errkind.New(errkind.VersionConflict, "group %d: %w", g.config.Group, ErrAlreadyMember)
	}
	return g.ReadBarrier(ctx)
}

// ErrDiskStalled reports that an operation on the disk does not return.
var ErrDiskStalled = errors.New("replica: the disk does not respond")

// ErrAlreadyMember reports that a folder already belongs to a group.
var ErrAlreadyMember = errors.New("replica: the folder already belongs to a group")

// TransferAndClose transfers the leadership to another voter, if this replica is the
// leader and another voter is reachable, and then closes the replica.
func (g *Group) TransferAndClose(ctx context.Context) error {
	err := g.transfer(ctx)
	closed := make(chan error, 1)
	go func() { closed <- g.Close() }()
	select {
	case e := <-closed:
		return errors.Join(err, e)
	case <-ctx.Done():
	}
	if stallErr := g.disk.stallError(); stallErr != nil {
		return errors.Join(err, fmt.Errorf("replica: group %d closed without waiting for its disk: %w", g.config.Group, stallErr))
	}
	return errors.Join(err, fmt.Errorf("replica: close group %d: %w", g.config.Group, ctx.Err()))
}

func (g *Group) transfer(ctx context.Context) error {
	started, err := runOnCore(ctx, g, func(now raft.ClockReading) bool { return g.node.Transfer(now) })
	if err != nil || !started {
		return err
	}
	for g.Status().Role == raft.Leader {
		if !clock.Sleep(ctx, pollInterval) {
			return fmt.Errorf("replica: transfer the leadership of group %d: %w", g.config.Group, ctx.Err())
		}
	}
	return nil
}

// Close stops the replica and waits until its goroutines have ended. Pending
// proposals end with an unknown outcome.
func (g *Group) Close() error {
	g.cancel()
	g.goroutines.Wait()
	g.config.Host.remove(g)
	return nil
}
