package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/suspect"
)

var errCancelledByDrain = errors.New("the request was cancelled at the end of a drain")

// taskTracker tracks the requests in flight at the node. After close it accepts a new
// request only if a request in flight depends on it.
type taskTracker struct {
	mu        sync.Mutex
	active    map[*task]struct{}
	closed    bool
	cancelAt  time.Time     // when the tasks that are left are cancelled; zero: not planned
	drained   chan struct{} // closed when the tracker is closed and no task is left
	signalled bool          // drained is closed
}

func (w *taskTracker) init() {
	w.active, w.drained = map[*task]struct{}{}, make(chan struct{})
}

// task is a request in flight.
type task struct {
	tracker *taskTracker
	mu      sync.Mutex
	cancel  context.CancelCauseFunc
	call    *filter.Call
}

// begin adds a task. It returns nil if the tracker is closed, unless a request in
// flight depends on the new one.
func (w *taskTracker) begin(dependent bool) *task {
	t := &task{tracker: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed && !dependent {
		return nil
	}
	w.active[t] = struct{}{}
	return t
}

// bind returns a context that is cancelled when the drain cancels the task.
func (t *task) bind(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	return ctx
}

// setCall stores the call that cancelAll describes.
func (t *task) setCall(c *filter.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.call = c
}

func (t *task) end() {
	t.mu.Lock()
	if t.cancel != nil {
		t.cancel(nil)
	}
	t.mu.Unlock()
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	delete(t.tracker.active, t)
	t.tracker.signal()
}

// signal notifies the drain if no task is left. The caller holds mu.
func (w *taskTracker) signal() {
	if w.closed && len(w.active) == 0 && !w.signalled {
		w.signalled = true
		close(w.drained)
	}
}

// close stops accepting tasks. Those that are left at cancelAt are cancelled then; a zero
// cancelAt means that they are not. The returned channel is closed when no task is left.
func (w *taskTracker) close(cancelAt time.Time) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.cancelAt = true, cancelAt
	w.signal()
	return w.drained
}

// limitParent returns p with a deadline that is not after the time at which tasks are
// cancelled. A nested call then gets no more time than is left, so that a server which needs
// longer refuses it before it has run. p may be nil.
func (w *taskTracker) limitParent(p *filter.Parent) *filter.Parent {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p == nil || w.cancelAt.IsZero() || p.Deadline.Before(w.cancelAt) {
		return p
	}
	limited := *p
	limited.Deadline = w.cancelAt
	return &limited
}

// cancelAll cancels all tasks and returns their descriptions.
func (w *taskTracker) cancelAll() []CancelledRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []CancelledRequest
	for t := range w.active {
		t.mu.Lock()
		if t.cancel != nil {
			t.cancel(errCancelledByDrain)
		}
		if t.call != nil {
			out = append(out, CancelledRequest{Method: t.call.Request.Method, Path: suspect.ShortPath(t.call.Request.URL.Path), Origin: t.call.Origin})
		}
		t.mu.Unlock()
	}
	return out
}

// CancelledRequest describes a request that was cancelled at the end of a drain.
type CancelledRequest struct {
	Method string
	Path   string
	Origin filter.Origin
}

// DrainReport is the result of a drain.
type DrainReport struct {
	Duration  time.Duration
	Cancelled []CancelledRequest
}

// Drain immediately starts to refuse new requests, with an answer that proves that they
// did not run. It waits for the requests in flight until ctx ends, then cancels the rest,
// waits up to cancelTime for them to end, and reports them. Claims in flight end with an
// unknown outcome.
func (p *Proxy) Drain(ctx context.Context, cancelTime time.Duration) DrainReport {
	start := time.Now()
	if p.local != nil {
		p.local.drain()
	}
	var cancelAt time.Time
	if end, ok := ctx.Deadline(); ok {
		cancelAt = p.config.Clock.Now().Add(time.Until(end))
	}
	idle := p.tasks.close(cancelAt)
	var report DrainReport
	select {
	case <-idle:
	case <-ctx.Done():
		report.Cancelled = p.tasks.cancelAll()
		t := time.NewTimer(cancelTime)
		defer t.Stop()
		select {
		case <-idle:
		case <-t.C:
		}
	}
	report.Duration = time.Since(start)
	p.store.AddEvent(p.config.Clock.Now(), explain.Drained, p.config.Node, p.service(), "")
	p.config.Log.Info("drained", "duration", report.Duration, "cut_off", len(report.Cancelled))
	return report
}

// DrainBackend starts or ends a drain of the backend server on behalf of an
// operator. The node itself continues to serve callers through other servers.
func (p *Proxy) DrainBackend(drain bool) {
	if p.local != nil {
		p.local.setOperatorDrain(drain)
	}
}

// SetZonesOut sets the zones that are out of use. This node selects no server there. It reports
// whether anything has changed.
func (p *Proxy) SetZonesOut(zones []string) bool { return p.selection.SetZonesOut(zones) }

// ZonesOut returns the sorted names of the zones that are out of use.
func (p *Proxy) ZonesOut() []string { return p.selection.ZonesOut() }

// service returns the service whose backend server runs beside this node, which the requests
// of this machine name as their origin. The settings may have been changed since the start.
func (p *Proxy) service() string {
	if p.config.Backend == nil {
		return ""
	}
	if p.local != nil {
		if s := p.local.serviceNow.Load(); s != nil {
			return *s
		}
	}
	return p.config.Backend.Service
}
