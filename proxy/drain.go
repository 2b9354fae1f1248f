package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleymill/explain"
	"bramleymill/filter"
)

var errCutOff = errors.New("the drain ended before the request")

// work counts the requests in flight at the node and stops accepting them.
type work struct {
	mu      sync.Mutex
	tasks   map[*task]struct{}
	closed  bool
	changed chan struct{} // closed when closed and no task is left
	idle    bool
}

func (w *work) init() {
	w.tasks, w.changed = map[*task]struct{}{}, make(chan struct{})
}

// task is a request in flight.
type task struct {
	work   *work
	mu     sync.Mutex
	cancel context.CancelCauseFunc
	call   *filter.Call
}

// begin returns nil if new work is refused. Calls that work in flight depends on
// are accepted in any case.
func (w *work) begin(dependent bool) *task {
	t := &task{work: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed && !dependent {
		return nil
	}
	w.tasks[t] = struct{}{}
	return t
}

// bind returns a context that ends when the drain cuts the task off.
func (t *task) bind(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	return ctx
}

func (t *task) describe(c *filter.Call) {
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
	t.work.mu.Lock()
	defer t.work.mu.Unlock()
	delete(t.work.tasks, t)
	t.work.signal()
}

// signal wakes a drain that waits for the last task. The caller holds mu.
func (w *work) signal() {
	if w.closed && len(w.tasks) == 0 && !w.idle {
		w.idle = true
		close(w.changed)
	}
}

// close refuses new work. The channel is closed when no task is left.
func (w *work) close() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.signal()
	return w.changed
}

// cut cancels all tasks and describes them.
func (w *work) cut() []CutOff {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []CutOff
	for t := range w.tasks {
		t.mu.Lock()
		if t.cancel != nil {
			t.cancel(errCutOff)
		}
		if t.call != nil {
			out = append(out, CutOff{Method: t.call.Request.Method, Path: t.call.Request.URL.Path, Origin: t.call.Origin})
		}
		t.mu.Unlock()
	}
	return out
}

// CutOff is a request that was cancelled at the end of a drain.
type CutOff struct {
	Method string
	Path   string
	Origin filter.Origin
}

// DrainReport tells how a drain ended.
type DrainReport struct {
	Duration time.Duration
	CutOff   []CutOff
}

// cutGrace bounds the wait for cancelled requests to end.
const cutGrace = time.Second

// Drain refuses new work at once as not run, waits for the work in flight until
// ctx ends, then cancels what is left and reports it. Claims that are in flight
// are ended as ambiguous.
func (p *Proxy) Drain(ctx context.Context) DrainReport {
	start := time.Now()
	if p.local != nil {
		p.local.drain()
	}
	idle := p.work.close()
	var report DrainReport
	select {
	case <-idle:
	case <-ctx.Done():
		report.CutOff = p.work.cut()
		t := time.NewTimer(cutGrace)
		defer t.Stop()
		select {
		case <-idle:
		case <-t.C:
		}
	}
	report.Duration = time.Since(start)
	p.store.AddEvent(p.config.Clock.Now(), explain.Drained, p.config.Node, p.service(), "")
	p.config.Log.Info("drained", "duration", report.Duration, "cut_off", len(report.CutOff))
	return report
}

// DrainBackend starts or ends a drain of the backend server by an operator. The
// node itself keeps serving callers through other servers.
func (p *Proxy) DrainBackend(drain bool) {
	if p.local != nil {
		p.local.order(drain)
	}
}

func (p *Proxy) service() string {
	if p.config.Backend == nil {
		return ""
	}
	return p.config.Backend.Service
}
