package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/errkind"
	"bramleymill/raft"
	"bramleymill/snap"
)

// snapshotBytes is the total size of applied commands after which a snapshot is taken
// even if fewer than Config.SnapshotEvery entries were applied.
const snapshotBytes = 4 << 20

// applyItem holds committed entries to apply or a received snapshot to restore.
type applyItem struct {
	entries []raft.Entry
	restore *raft.Restore
}

// proposalWaiter waits until the entry at the index of a proposal is applied. That
// entry holds the proposed command only if its term is the term of the proposal.
type proposalWaiter struct {
	term uint64
	done chan proposalResult
}

type proposalResult struct {
	result []byte
	err    error
}

// indexWaiter waits until the entry at index or a later one is applied.
type indexWaiter struct {
	index uint64
	done  chan struct{}
}

// applier applies committed entries in order to the state machine of a group.
type applier struct {
	group *Group
	wake  chan struct{}

	mu           sync.Mutex
	queue        []applyItem
	proposals    map[uint64]*proposalWaiter
	lastApplied  raft.SnapshotMeta // last applied entry and the membership at it
	indexWaiters []indexWaiter
	stopped      bool

	savingSnapshot atomic.Bool

	// Used only by the goroutine of run.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

func newApplier(g *Group, start raft.SnapshotMeta) *applier {
	return &applier{group: g, wake: make(chan struct{}, 1), proposals: map[uint64]*proposalWaiter{}, lastApplied: start}
}

// push queues an item. It never blocks. The queue needs no limit, because its entries
// share memory with the log and the size of the log is limited.
func (a *applier) push(i applyItem) {
	a.mu.Lock()
	a.queue = append(a.queue, i)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	for {
		select {
		case <-a.wake:
		case <-a.group.ctx.Done():
			a.stop()
			return
		}
		for a.drainQueue() {
		}
	}
}

// drainQueue handles the queued items and reports whether there were any.
func (a *applier) drainQueue() bool {
	a.mu.Lock()
	items := a.queue
	a.queue = nil
	a.mu.Unlock()
	for _, i := range items {
		if a.group.ctx.Err() != nil {
			return false
		}
		if i.restore != nil {
			a.restore(*i.restore)
		}
		for _, e := range i.entries {
			a.apply(e)
		}
		a.notifyIndexWaiters()
		a.snapshotIfDue()
	}
	return len(items) > 0
}

func (a *applier) apply(e raft.Entry) {
	var r proposalResult
	if e.Kind == raft.Command {
		r.result = a.group.config.Machine.Apply(e.Index, time.Unix(0, e.Time), e.Data)
	}
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += len(e.Data)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastApplied.Index, a.lastApplied.Term, a.lastApplied.Time = e.Index, e.Term, e.Time
	if e.Kind == raft.ConfigurationChange && e.Configuration != nil {
		a.lastApplied.Configuration = *e.Configuration
	}
	if w := a.proposals[e.Index]; w != nil {
		delete(a.proposals, e.Index)
		if w.term != e.Term {
			r = proposalResult{err: errkind.New(errkind.ControlUnavailable, "an entry of another leader replaced the command")}
		}
		w.done <- r
	}
}

// restore replaces the state with that of a received snapshot. The result of a
// command that the snapshot covers is not known.
func (a *applier) restore(r raft.Restore) {
	if err := a.group.config.Machine.Restore(r.Data); err != nil {
		a.group.halt(err)
		return
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastApplied = r.Meta
	for index, w := range a.proposals {
		if index <= r.Meta.Index {
			delete(a.proposals, index)
			w.done <- proposalResult{err: errkind.New(errkind.OutcomeUnknown, "a received snapshot covers the entry of the command, so its result is not known")}
		}
	}
}

// notifyIndexWaiters ends the waits for entries that are applied.
func (a *applier) notifyIndexWaiters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.indexWaiters[:0]
	for _, w := range a.indexWaiters {
		if w.index <= a.lastApplied.Index {
			close(w.done)
		} else {
			rest = append(rest, w)
		}
	}
	a.indexWaiters = rest
}

// snapshotIfDue takes a snapshot once enough entries were applied. Another goroutine
// saves it, so that commands are applied while the disk syncs.
func (a *applier) snapshotIfDue() {
	due := a.entriesSinceSnapshot >= a.group.config.SnapshotEvery || a.bytesSinceSnapshot >= snapshotBytes
	if !due || a.savingSnapshot.Load() {
		return
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	snapshot, err := a.captureSnapshot()
	if err != nil {
		a.group.config.Logger.Error("taking a snapshot of the state machine failed", "error", err)
		return
	}
	meta := a.appliedState()
	a.savingSnapshot.Store(true)
	a.group.goroutines.Go(func() {
		defer a.savingSnapshot.Store(false)
		a.saveSnapshot(meta, snapshot)
	})
}

// captureSnapshot returns a snapshot of the current state of the state machine.
func (a *applier) captureSnapshot() (snap.Snapshot, error) {
	if s, ok := a.group.config.Machine.(SnapshotStreamer); ok {
		return snap.Snapshot{Stream: s.SnapshotStream()}, nil
	}
	data, err := a.group.config.Machine.Snapshot()
	return snap.Snapshot{Data: data}, err
}

// saveSnapshot writes a snapshot to disk and then compacts the log. If the disk is
// full, the next attempt follows after another interval. Any other failure stops the
// replica.
func (a *applier) saveSnapshot(meta raft.SnapshotMeta, snapshot snap.Snapshot) {
	err := a.group.disk.watch(a.group.operationName("saving a snapshot"), snapshotStallLimit, func() error { return a.group.storage.saveSnapshot(meta, snapshot) })
	switch {
	case err == nil:
		// The error is ignored: it means that the replica is stopped or that the disk
		// is stalled, and in the latter case the next snapshot compacts the log.
		_ = a.group.enqueue(a.group.ctx, func(raft.ClockReading) { a.group.compact(meta) })
	case isDiskFull(err):
		a.group.config.Logger.Error("snapshot not saved because the disk is full", "error", err)
	default:
		a.group.halt(err)
	}
}

func (a *applier) appliedState() raft.SnapshotMeta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastApplied
}

// registerProposal registers a waiter for a proposal at index and term.
func (a *applier) registerProposal(index, term uint64) *proposalWaiter {
	w := &proposalWaiter{term: term, done: make(chan proposalResult, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		w.done <- proposalResult{err: stoppedBeforeApplyError()}
		return w
	}
	if old := a.proposals[index]; old != nil {
		// An earlier leadership of this replica ended before its entry at this index
		// was committed. Another replica may still hold that entry and commit it.
		old.done <- proposalResult{err: errkind.New(errkind.OutcomeUnknown, "the leadership changed before the command was committed")}
	}
	a.proposals[index] = w
	return w
}

func (a *applier) pendingProposals() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.proposals)
}

func stoppedBeforeApplyError() error {
	return errkind.New(errkind.OutcomeUnknown, "the replica stopped before the command was applied")
}

// waitApplied waits until the entry at index is applied.
func (a *applier) waitApplied(ctx context.Context, index uint64) error {
	a.mu.Lock()
	if a.lastApplied.Index >= index {
		a.mu.Unlock()
		return nil
	}
	w := indexWaiter{index, make(chan struct{})}
	a.indexWaiters = append(a.indexWaiters, w)
	a.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		a.removeIndexWaiter(w)
		return errkind.New(errkind.ControlUnavailable, "wait until entry %d is applied: %w", index, ctx.Err())
	case <-a.group.ctx.Done():
		return a.group.stoppedError()
	}
}

func (a *applier) removeIndexWaiter(w indexWaiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, x := range a.indexWaiters {
		if x.done == w.done {
			a.indexWaiters = append(a.indexWaiters[:i], a.indexWaiters[i+1:]...)
			return
		}
	}
}

// stop ends all pending proposals with an unknown outcome.
func (a *applier) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.failProposals(stoppedBeforeApplyError())
}

// failOnLeadershipLoss ends all pending proposals with an unknown outcome, because
// the next leader may or may not commit their commands.
func (a *applier) failOnLeadershipLoss() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failProposals(errkind.New(errkind.OutcomeUnknown, "the leadership was lost before the command was committed"))
}

func (a *applier) failProposals(err error) {
	for index, w := range a.proposals {
		delete(a.proposals, index)
		w.done <- proposalResult{err: err}
	}
}
