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

// snapshotStallLimit is the time after which the disk counts as stalled while a
// snapshot is saved. It is long because saving a snapshot of about 20 MB may take
// seconds on a slow disk and no other operation waits for it.
const snapshotStallLimit = 10 * time.Second

// DiskEvent reports that an operation on the disk does not return, or that all
// operations on a stalled disk have returned.
type DiskEvent struct {
	Stalled   bool          // true: the disk stopped responding; false: it responds again
	Operation string        // first operation that did not return in time
	Duration  time.Duration // since the start of Operation
}

// diskMonitor detects operations on the disk that do not return. The operating system
// offers no way to cancel them, so the calling goroutine is blocked until the disk
// responds. The monitor signals the stall so that nothing else waits for that
// goroutine.
type diskMonitor struct {
	report func(DiskEvent)

	mu                sync.Mutex
	stalledOperations int           // operations that exceeded their limit and have not returned
	stalledC          chan struct{} // closed while stalledOperations > 0
	respondingC       chan struct{} // closed while stalledOperations is 0
	stalledSince      time.Time     // start of stalledOperation
	stalledOperation  string        // first operation that exceeded its limit
	events            []DiskEvent   // events that are not reported yet, oldest first
	reporting         bool          // a goroutine is reporting the queued events
}

func newDiskMonitor(report func(DiskEvent)) *diskMonitor {
	d := &diskMonitor{report: report, stalledC: make(chan struct{}), respondingC: make(chan struct{})}
	close(d.respondingC)
	return d
}

// watch runs f. If f does not return within limit, the disk counts as stalled until f
// returns.
func (d *diskMonitor) watch(operation string, limit time.Duration, f func() error) error {
	began := time.Now()
	// decided is set, under d.mu, by the first of limitExceeded and operationReturned.
	var decided bool
	t := time.AfterFunc(limit, func() { d.limitExceeded(operation, began, &decided) })
	defer func() {
		if !t.Stop() {
			d.operationReturned(&decided)
		}
	}()
	return f()
}

// limitExceeded counts an operation as stalled when its timer fires. The operation may
// return at that moment. If operationReturned has then already set decided, the
// operation has ended and is not counted.
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

// queueEvent queues an event. Another goroutine reports it, because the caller may be
// the goroutine that owns the core, which a callback must not block. The caller
// holds d.mu.
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

// operationReturned is called when an operation returns after its timer has fired. If
// limitExceeded has counted the operation as stalled, operationReturned removes it from
// the count. Otherwise it sets decided, so that limitExceeded does not count it.
func (d *diskMonitor) operationReturned(decided *bool) {
	d.mu.Lock()
	if !*decided {
		*decided = true
		d.mu.Unlock()
		return
	}
	d.stalledOperations--
	stallEnded := d.stalledOperations == 0
	if stallEnded {
		d.stalledC = make(chan struct{})
		close(d.respondingC)
		d.queueEvent(DiskEvent{false, d.stalledOperation, time.Since(d.stalledSince)})
	}
	d.mu.Unlock()
}

// stalled returns a channel that is closed while the disk is stalled.
func (d *diskMonitor) stalled() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalledC
}

// responding returns a channel that is closed while the disk responds.
func (d *diskMonitor) responding() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.respondingC
}

// stallError returns an error that describes the stall, or nil without one.
func (d *diskMonitor) stallError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalledOperations == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s has not returned for %v", ErrDiskStalled, d.stalledOperation, time.Since(d.stalledSince).Round(100*time.Millisecond))
}

// runDiskOperation runs a disk operation on the goroutine that owns the core. Its
// limit is the longest election timeout. By then the other voters have received no
// heartbeat for long enough to elect another leader. The limit of a disk that is slow for
// good is longer: it responds, and the disks of the other voters may be as slow.
func (g *Group) runDiskOperation(operation string, f func() error) error {
	limit := g.config.Timing.ElectionMax + 2*min(g.writes.usual(), g.config.Timing.MaxDiskTime())
	return g.disk.watch(g.operationName(operation), limit, f)
}

// write runs an operation that makes something durable, and tells the core how long the disk
// takes for it at present.
func (g *Group) write(operation string, f func() error) error {
	began := time.Now()
	err := g.runDiskOperation(operation, f)
	g.writes.add(time.Since(began))
	usual := g.writes.usual()
	g.node.SetDiskTime(usual)
	if slow := usual >= g.config.Timing.ElectionMin; slow != g.slowDisk {
		g.slowDisk = slow
		g.config.Logger.Warn("speed of the disk changed", "slow", slow, "usual_write", usual.Round(time.Millisecond))
	}
	return err
}

// writeTimes holds the durations of the latest writes, in a ring.
type writeTimes struct {
	latest [5]time.Duration
	next   int
}

func (w *writeTimes) add(d time.Duration) {
	w.latest[w.next] = d
	w.next = (w.next + 1) % len(w.latest)
}

// usual returns the median of the latest writes, so that single stalls do not count.
func (w *writeTimes) usual() time.Duration {
	times := w.latest
	slices.Sort(times[:])
	return times[len(times)/2]
}

func (g *Group) operationName(what string) string {
	return fmt.Sprintf("%s of group %d", what, g.config.Group)
}

// onDiskEvent notifies all groups, because they share the disk: a disk that does not
// respond to one group responds to none, although the other groups may not have
// detected it yet.
func (h *Host) onDiskEvent(e DiskEvent) {
	h.mu.Lock()
	groups := slices.Collect(maps.Values(h.groups))
	h.mu.Unlock()
	for _, g := range groups {
		g.onDiskEvent(e)
	}
}

// waitForDisk blocks the goroutine that owns the core while another goroutine waits
// for a stalled disk. This replica then sends no heartbeats, so that another replica
// becomes the leader.
func (g *Group) waitForDisk() {
	select {
	case <-g.disk.responding():
	case <-g.ctx.Done():
	}
}

// onDiskEvent logs a disk event and calls Config.OnDiskEvent. It may run on any goroutine.
func (g *Group) onDiskEvent(e DiskEvent) {
	if e.Stalled {
		g.config.Logger.Error("disk does not respond; replica gives up leadership and takes no part in its group", "operation", e.Operation, "for", e.Duration)
	} else {
		g.config.Logger.Info("disk responds again", "operation", e.Operation, "after", e.Duration)
	}
	if g.config.OnDiskEvent != nil {
		g.config.OnDiskEvent(e)
	}
}

// diskStalledError is returned for a request that would have to wait for a stalled
// disk. It proves that the request had no effect.
func (g *Group) diskStalledError() error {
	return errkind.New(errkind.ControlUnavailable, "replication group %d cannot process the request: %w", g.config.Group, cmp.Or(g.disk.stallError(), ErrDiskStalled))
}

// stalledBeforeApplyError is returned for a request that had already been passed to the
// goroutine that owns the core when the disk stalled.
func stalledBeforeApplyError() error {
	return errkind.New(errkind.OutcomeUnknown, "the disk stopped responding before the command was applied")
}
