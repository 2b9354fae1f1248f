package node

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleymill/fleet"
	"bramleymill/shutdown"
)

// ErrStopTimeout is returned by Run if a stop has not finished when its time is over.
var ErrStopTimeout = errors.New("the graceful stop did not finish within its time")

// stop stops the node gracefully. The times of its plan count from begin. It returns
// ErrStopTimeout at the exit time of the plan if a part of the node has not ended by then.
func (n *Node) stop(r *running, begin time.Time) error {
	s := &stopSequence{node: n, plan: shutdown.New(n.settings.StopLimits()), start: begin, active: map[string]struct{}{}}
	done := make(chan error, 1)
	go func() {
		err := s.run(r)
		defer s.begin("wait for the parts of the node")()
		done <- errors.Join(err, r.group.Wait())
	}()
	t := time.NewTimer(s.plan.Exit - s.elapsed())
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		n.logger.Error("graceful stop abandoned", "elapsed", s.elapsed(), "unfinished", s.unfinished())
		return ErrStopTimeout
	}
}

// stopSequence performs the steps of a graceful stop at the times of its plan.
type stopSequence struct {
	node  *Node
	plan  shutdown.Plan
	start time.Time

	mu     sync.Mutex
	active map[string]struct{} // steps that have begun and not ended
}

func (s *stopSequence) elapsed() time.Duration { return time.Since(s.start) }

// sleepUntil waits until a time of the plan.
func (s *stopSequence) sleepUntil(at time.Duration) { time.Sleep(at - s.elapsed()) }

// run performs the stop. The departure is announced while the listeners close, because
// both may have to wait for another node. Leadership is transferred after that, so that
// calls of operators that are in flight at a listener still end.
func (s *stopSequence) run(r *running) error {
	n := s.node
	n.logger.Info("node stopping", "accept_until", s.plan.Refuse, "cancel_at", s.plan.Cancel, "exit_at", s.plan.Exit)
	n.stopping.Store(true)
	if n.control != nil {
		// The stop may be the removal of this machine. Nothing tells it from a restart.
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n.issuer.Stop()
		go n.control.retire(ctx)
	}
	if s.plan.Refuse > 0 {
		r.proxy.CloseCallerConnections()
		s.sleepUntil(s.plan.Announce)
	}
	n.member.SetState(fleet.Draining)
	s.sleepUntil(s.plan.Refuse)
	ctx, cancel := context.WithDeadline(context.Background(), s.start.Add(s.plan.Cancel))
	defer cancel()
	report := r.proxy.Drain(ctx, s.plan.StepTime(s.plan.Cancel, shutdown.StepCancel))
	for _, c := range report.Cancelled {
		n.logger.Warn("request cancelled at the end of the drain", "method", c.Method, "path", c.Path)
	}
	s.sleepUntil(s.plan.Close)

	var closing sync.WaitGroup
	for _, l := range r.listeners {
		closing.Go(func() { s.step("close "+l.name, shutdown.StepDepart, l.shutdown) })
	}
	closing.Go(func() { s.step("announce departure", shutdown.StepDepart, n.member.Leave) })
	closing.Wait()
	s.closeProxy(r)
	if n.control != nil {
		s.awaitRetirement()
		s.step("transfer leadership", shutdown.StepLeadership, n.control.close)
	}
	r.cancel()
	n.permits.Close()
	s.step("close endpoint", shutdown.StepEndpoint, n.endpoint.Close)
	n.logger.Info("node stopped", "drain", report.Duration, "cut_off", len(report.Cancelled), "elapsed", s.elapsed())
	return n.metrics.Close()
}

// awaitRetirement waits for the votes of this control instance until the time of the plan.
func (s *stopSequence) awaitRetirement() {
	defer s.begin("hand over votes")()
	ctx, cancel := context.WithDeadline(context.Background(), s.start.Add(s.plan.HandOver))
	defer cancel()
	s.node.control.awaitRetirement(ctx)
}

func (s *stopSequence) closeProxy(r *running) {
	defer s.begin("close proxy")()
	r.proxy.Close()
}

// begin records the start of a step. The returned function records its end.
func (s *stopSequence) begin(name string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[name] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, name)
	}
}

// unfinished returns the names of the steps that have begun and not ended.
func (s *stopSequence) unfinished() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.active {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// step runs one step of the stop within the time that the plan gives it. A step that
// fails does not fail the stop, because no work is lost. For example, the departure cannot
// be announced if no other node is left.
func (s *stopSequence) step(name string, position int, f func(context.Context) error) {
	defer s.begin(name)()
	ctx, cancel := context.WithTimeout(context.Background(), s.plan.StepTime(s.elapsed(), position))
	defer cancel()
	if err := f(ctx); err != nil {
		s.node.logger.Warn("a step of the graceful stop failed", "step", name, "error", err)
	}
}
