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

// snapshotBytes is the size of applied commands after which a snapshot is taken
// before the configured number of entries is reached.
const snapshotBytes = 4 << 20

// applyItem is a batch of committed entries or a received snapshot.
type applyItem struct {
	entries []raft.Entry
	restore *raft.Restore
}

// waiter waits for the entry at an index. The command was its own only when the
// terms match.
type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result []byte
	err    error
}

type appliedWaiter struct {
	index uint64
	done  chan struct{}
}

// applier applies committed entries in order on a goroutine of its own.
type applier struct {
	group *Group
	wake  chan struct{}

	mu       sync.Mutex
	queue    []applyItem
	waiters  map[uint64]*waiter
	applied  raft.SnapshotMeta // state of the machine
	awaiting []appliedWaiter
	stopped  bool

	saving atomic.Bool // a snapshot

	// Owned by the goroutine of run.
	sinceEntries int
	sinceBytes   int
}

func newApplier(g *Group, start raft.SnapshotMeta) *applier {
	return &applier{group: g, wake: make(chan struct{}, 1), waiters: map[uint64]*waiter{}, applied: start}
}

// push queues an item. It never blocks: the queue shares its entries with the
// log, which bounds it.
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
		for a.step() {
		}
	}
}

// step handles what is queued and reports whether there was anything.
func (a *applier) step() bool {
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
		a.signalApplied()
		a.snapshotIfDue()
	}
	return len(items) > 0
}

func (a *applier) apply(e raft.Entry) {
	var o outcome
	if e.Kind == raft.Command {
		o.result = a.group.config.Machine.Apply(e.Index, time.Unix(0, e.Time), e.Data)
	}
	a.sinceEntries++
	a.sinceBytes += len(e.Data)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied.Index, a.applied.Term, a.applied.Time = e.Index, e.Term, e.Time
	if e.Kind == raft.Reconfigure && e.Configuration != nil {
		a.applied.Configuration = *e.Configuration
	}
	if w := a.waiters[e.Index]; w != nil {
		delete(a.waiters, e.Index)
		if w.term != e.Term {
			o = outcome{err: errkind.New(errkind.ControlUnavailable, "another leader replaced the command")}
		}
		w.done <- o
	}
}

func (a *applier) restore(r raft.Restore) {
	if err := a.group.config.Machine.Restore(r.Data); err != nil {
		a.group.halt(err)
		return
	}
	a.sinceEntries, a.sinceBytes = 0, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = r.Meta
	for index, w := range a.waiters {
		if index <= r.Meta.Index {
			delete(a.waiters, index)
			w.done <- outcome{err: errkind.New(errkind.OutcomeUnknown, "the command's entry is covered by a snapshot")}
		}
	}
}

func (a *applier) signalApplied() {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.awaiting[:0]
	for _, w := range a.awaiting {
		if w.index <= a.applied.Index {
			close(w.done)
		} else {
			rest = append(rest, w)
		}
	}
	a.awaiting = rest
}

// snapshotIfDue takes a snapshot and saves it on another goroutine, so that
// commands are applied while the disk syncs.
func (a *applier) snapshotIfDue() {
	due := a.sinceEntries >= a.group.config.SnapshotEvery || a.sinceBytes >= snapshotBytes
	if !due || a.saving.Load() {
		return
	}
	a.sinceEntries, a.sinceBytes = 0, 0
	image, err := a.image()
	if err != nil {
		a.group.config.Logger.Error("state machine gave no snapshot", "error", err)
		return
	}
	meta := a.state()
	a.saving.Store(true)
	a.group.wait.Go(func() {
		defer a.saving.Store(false)
		a.save(meta, image)
	})
}

// image returns the present state of the machine.
func (a *applier) image() (snap.Snapshot, error) {
	if s, ok := a.group.config.Machine.(Streamer); ok {
		return snap.Snapshot{Stream: s.SnapshotStream()}, nil
	}
	data, err := a.group.config.Machine.Snapshot()
	return snap.Snapshot{Data: data}, err
}

// save stores a snapshot. A failure other than a full disk stops the replica;
// after a full disk the next interval tries again.
func (a *applier) save(meta raft.SnapshotMeta, image snap.Snapshot) {
	err := a.group.disk.watch(a.group.operation("saving a snapshot"), snapshotHang, func() error { return a.group.storage.saveSnapshot(meta, image) })
	switch {
	case err == nil:
		// Fails when stopped, or when the log hangs; the next snapshot compacts then.
		_ = a.group.post(a.group.ctx, func(raft.Reading) { a.group.compact(meta) })
	case isDiskFull(err):
		a.group.config.Logger.Error("snapshot not saved", "error", err)
	default:
		a.group.halt(err)
	}
}

func (a *applier) state() raft.SnapshotMeta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// expect registers a waiter for the entry at index.
func (a *applier) expect(index, term uint64) *waiter {
	w := &waiter{term: term, done: make(chan outcome, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		w.done <- outcome{err: errStopped()}
		return w
	}
	if old := a.waiters[index]; old != nil {
		// This replica led before and lost its entry at this index. Another
		// replica may still hold that entry and commit it.
		old.done <- outcome{err: errkind.New(errkind.OutcomeUnknown, "the leadership changed before the command was committed")}
	}
	a.waiters[index] = w
	return w
}

func (a *applier) pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}

func errStopped() error {
	return errkind.New(errkind.OutcomeUnknown, "the replica stopped before the command was applied")
}

// waitApplied waits until the entry at index is applied.
func (a *applier) waitApplied(ctx context.Context, index uint64) error {
	a.mu.Lock()
	if a.applied.Index >= index {
		a.mu.Unlock()
		return nil
	}
	w := appliedWaiter{index, make(chan struct{})}
	a.awaiting = append(a.awaiting, w)
	a.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		a.forget(w)
		return errkind.New(errkind.ControlUnavailable, "wait for entry %d: %w", index, ctx.Err())
	case <-a.group.ctx.Done():
		return a.group.stoppedError()
	}
}

func (a *applier) forget(w appliedWaiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, x := range a.awaiting {
		if x.done == w.done {
			a.awaiting = append(a.awaiting[:i], a.awaiting[i+1:]...)
			return
		}
	}
}

// stop ends every waiting proposal with an unknown outcome.
func (a *applier) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.endAll(errStopped())
}

// abandon ends every waiting proposal when the leadership is lost: the next
// leader may or may not commit its command.
func (a *applier) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endAll(errkind.New(errkind.OutcomeUnknown, "the leadership was lost before the command was committed"))
}

func (a *applier) endAll(err error) {
	for index, w := range a.waiters {
		delete(a.waiters, index)
		w.done <- outcome{err: err}
	}
}
