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
const snapshotHang = 10 * time.Second

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
type diskWatch struct {
	report func(DiskEvent)

	mu      sync.Mutex
	hanging int           // operations beyond their limit
	hung    chan struct{} // closed while hanging > 0
	answers chan struct{} // closed while hanging is 0
	since   time.Time     // start of the first of them
	what    string
	events  []DiskEvent // to report, in their order
	busy    bool        // a goroutine reports
}

func newDiskWatch(report func(DiskEvent)) *diskWatch {
	d := &diskWatch{report: report, hung: make(chan struct{}), answers: make(chan struct{})}
	close(d.answers)
	return d
}

// watch runs an operation that ought to return within limit.
func (d *diskWatch) watch(operation string, limit time.Duration, f func() error) error {
	began := time.Now()
	var over bool // under mu
	t := time.AfterFunc(limit, func() { d.exceeded(operation, began, &over) })
	defer func() {
		if !t.Stop() {
			d.returned(&over)
		}
	}()
	return f()
}

// exceeded notes an operation that is over its limit. over is set before by
// returned when the operation has ended in the meantime.
func (d *diskWatch) exceeded(operation string, began time.Time, over *bool) {
	d.mu.Lock()
	if *over {
		d.mu.Unlock()
		return
	}
	*over = true
	d.hanging++
	first := d.hanging == 1
	if first {
		d.since, d.what = began, operation
		close(d.hung)
		d.answers = make(chan struct{})
		d.tell(DiskEvent{true, operation, time.Since(began)})
	}
	d.mu.Unlock()
}

// tell queues an event. Another goroutine reports it, because the caller may be
// the one that owns the core.
func (d *diskWatch) tell(e DiskEvent) {
	d.events = append(d.events, e)
	if !d.busy {
		d.busy = true
		go d.reportAll()
	}
}

func (d *diskWatch) reportAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.events) > 0 {
		e := d.events[0]
		d.events = d.events[1:]
		d.mu.Unlock()
		d.report(e)
		d.mu.Lock()
	}
	d.busy = false
}

func (d *diskWatch) returned(over *bool) {
	d.mu.Lock()
	if !*over {
		*over = true
		d.mu.Unlock()
		return
	}
	d.hanging--
	last := d.hanging == 0
	if last {
		d.hung = make(chan struct{})
		close(d.answers)
		d.tell(DiskEvent{false, d.what, time.Since(d.since)})
	}
	d.mu.Unlock()
}

// stuck returns a channel that is closed while the disk hangs.
func (d *diskWatch) stuck() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hung
}

// answering returns a channel that is closed while the disk answers.
func (d *diskWatch) answering() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answers
}

// err describes the hang, or is nil.
func (d *diskWatch) err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hanging == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s has not returned for %v", ErrDiskHangs, d.what, time.Since(d.since).Round(100*time.Millisecond))
}

// onDisk runs an operation of the goroutine that owns the core. Beyond the limit
// the other voters have heard no heartbeat for long enough to elect a leader.
func (g *Group) onDisk(operation string, f func() error) error {
	return g.disk.watch(g.operation(operation), g.config.Timing.ElectionMax, f)
}

func (g *Group) operation(what string) string {
	return fmt.Sprintf("%s of group %d", what, g.config.Group)
}

// diskChanged tells every group, because a disk that does not answer one of them
// answers none, though the others may not have written anything yet.
func (h *Host) diskChanged(e DiskEvent) {
	h.mu.Lock()
	groups := slices.Collect(maps.Values(h.groups))
	h.mu.Unlock()
	for _, g := range groups {
		g.diskChanged(e)
	}
}

// awaitDisk holds the goroutine that owns the core up while another one waits for
// the disk, so that this replica sends no heartbeats and another one leads.
func (g *Group) awaitDisk() {
	select {
	case <-g.disk.answering():
	case <-g.ctx.Done():
	}
}

// diskChanged reports a change of the disk. It runs on any goroutine.
func (g *Group) diskChanged(e DiskEvent) {
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
func (g *Group) errHangs() error {
	return errkind.New(errkind.ControlUnavailable, "group %d: %w", g.config.Group, cmp.Or(g.disk.err(), ErrDiskHangs))
}

// errHangsNow ends the wait for what was handed to the goroutine that owns the
// core before its disk began to hang.
func errHangsNow() error {
	return errkind.New(errkind.OutcomeUnknown, "the disk stopped answering before the command was applied")
}
