package replica

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"bramleymill/errkind"
)

// snapshotHang is the time after which saving a snapshot counts as hanging. A
// snapshot of some 20 MB may take seconds on a slow disk, and nothing waits for it.
const snapshotStallLimit = 10 * time.Second

// DiskEvent tells that an operation on the disk of a replica does not return, or
// that a disk that hung has returned from all of them.
type DiskEvent struct {
	Hangs     bool
	Operation string // that does not return
	Duration  time.Duration
}

// diskWatch finds operations on the disk that do not return. The operating system
// gives no way to end them, so that the goroutine that called one is lost until
// the disk answers; the watch lets everything else do without that goroutine.
type diskMonitor struct {
	report func(DiskEvent)

	mu                sync.Mutex
	stalledOperations int           // operations beyond their limit
	stalledC          chan struct{} // closed while hanging > 0
	respondingC       chan struct{} // closed while hanging is 0
	stalledSince      time.Time     // start of the first of them
	stalledOperation  string
	events            []DiskEvent // to report, in their order
	reporting         bool        // a goroutine reports
}

func newDiskMonitor(report func(DiskEvent)) *diskMonitor {
	d := &diskMonitor{report: report, stalledC: make(chan struct{}), respondingC: make(chan struct{})}
	close(d.respondingC)
	return d
}

// watch runs an operation that ought to return within limit.
func (d *diskMonitor) watch(operation string, limit time.Duration, f func() error) error {
	began := time.Now()
	var decided bool // under mu
	t := time.AfterFunc(limit, func() { d.limitExceeded(operation, began, &decided) })
	defer func() {
		if !t.Stop() {
			d.operationReturned(&decided)
		}
	}()
	return f()
}

// exceeded notes an operation that is over its limit. over is set before by
// returned when the operation has ended in the meantime.
func (d *diskMonitor) limitExceeded(operation string, began time.Time, decided *bool) {
	d.mu.Lock()
	if *decided {
		d.mu.Unlock()
		return
	}
	*decided = true
	d.stalledOperations++
	first := d.stalledOperations == 1
	if first {
		d.stalledSince, d.stalledOperation = began, operation
		close(d.stalledC)
		d.respondingC = make(chan struct{})
		d.queueEvent(DiskEvent{true, operation, time.Since(began)})
	}
	d.mu.Unlock()
}

// tell queues an event. Another goroutine reports it, because the caller may be
// the one that owns the core.
func (d *diskMonitor) queueEvent(e DiskEvent) {
	d.events = append(d.events, e)
	if !d.reporting {
		d.reporting = true
		go d.reportEvents()
	}
}

func (d *diskMonitor) reportEvents() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.events) > 0 {
		e := d.events[0]
		d.events = d.events[1:]
		d.mu.Unlock()
		d.report(e)
		d.mu.Lock()
	}
	d.reporting = false
}

func (d *diskMonitor) operationReturned(decided *bool) {
	d.mu.Lock()
	if !*decided {
		*decided = true
		d.mu.Unlock()
		return
	}
	d.stalledOperations--
	last := d.stalledOperations == 0
	if last {
		d.stalledC = make(chan struct{})
		close(d.respondingC)
		d.queueEvent(DiskEvent{false, d.stalledOperation, time.Since(d.stalledSince)})
	}
	d.mu.Unlock()
}

// stuck returns a channel that is closed while the disk hangs.
func (d *diskMonitor) stalled() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalledC
}

// answering returns a channel that is closed while the disk answers.
func (d *diskMonitor) responding() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.respondingC
}

// err describes the hang, or is nil.
func (d *diskMonitor) stallError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalledOperations == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s has not returned for %v", ErrDiskStalled, d.stalledOperation, time.Since(d.stalledSince).Round(100*time.Millisecond))
}

// onDisk runs an operation of the goroutine that owns the core. Beyond the limit
// the other voters have heard no heartbeat for long enough to elect a leader.
func (g *Group) runDiskOperation(operation string, f func() error) error {
	return g.disk.watch(g.operationName(operation), g.config.Timing.ElectionMax, f)
}

func (g *Group) operationName(what string) string {
	return fmt.Sprintf("%s of group %d", what, g.config.Group)
}

// diskChanged tells every group, because a disk that does not answer one of them
// answers none, though the others may not have written anything yet.
func (h *Host) onDiskEvent(e DiskEvent) {
	h.mu.Lock()
	groups := slices.Collect(maps.Values(h.groups))
	h.mu.Unlock()
	for _, g := range groups {
		g.onDiskEvent(e)
	}
}

// awaitDisk holds the goroutine that owns the core up while another one waits for
// the disk, so that this replica sends no heartbeats and another one leads.
func (g *Group) waitForDisk() {
	select {
	case <-g.disk.responding():
	case <-g.ctx.Done():
	}
}

// diskChanged reports a change of the disk. It runs on any goroutine.
func (g *Group) onDiskEvent(e DiskEvent) {
	if e.Hangs {
		g.config.Logger.Error("disk does not answer, leadership given up", "operation", e.Operation, "for", e.Duration)
	} else {
		g.config.Logger.Info("disk answers again", "operation", e.Operation, "after", e.Duration)
	}
	if g.config.OnDisk != nil {
		g.config.OnDisk(e)
	}
}

// errHangs refuses what would wait for the disk. It proves that nothing was done.
func (g *Group) errDiskStalled() error {
	return errkind.New(errkind.ControlUnavailable, "group %d: %w", g.config.Group, cmp.Or(g.disk.stallError(), ErrDiskStalled))
}

// errHangsNow ends the wait for what was handed to the goroutine that owns the
// core before its disk began to hang.
func errStalledBeforeApply() error {
	return errkind.New(errkind.OutcomeUnknown, "the disk stopped answering before the command was applied")
}
