package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

func newGate(c Config) (*Gate, *clock.Manual) {
	clk := clock.NewManual(start)
	return NewGate(c, clk), clk
}

func ordinary(deadline time.Duration) Request {
	return Request{Urgency: fleet.UrgencyNormal, Deadline: start.Add(deadline), Class: "a"}
}

// waitQueued returns once n requests are queued.
func waitQueued(g *Gate, n int) {
	for g.Load().Queued != n {
		time.Sleep(time.Millisecond)
	}
}

// acquire runs Acquire in a goroutine and returns a channel that receives its error.
func acquire(ctx context.Context, g *Gate, r Request) <-chan *errkind.Error {
	out := make(chan *errkind.Error, 1)
	go func() {
		_, err := g.Acquire(ctx, r)
		out <- err
	}()
	return out
}

func mustAcquire(t *testing.T, g *Gate, r Request) Slot {
	t.Helper()
	slot, err := g.Acquire(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return slot
}

// Guards against more running requests than slots and against slots that are never freed.
// Many requests start, end and are canceled at the same time.
func TestGateNeverExceedsItsSlots(t *testing.T) {
	g := NewGate(Config{Slots: 4, Reserved: 1, QueueLength: 8}, clock.System{})
	var running, peak atomic.Int64
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				if (w+i)%3 == 0 {
					time.AfterFunc(50*time.Microsecond, cancel)
				}
				slot, err := g.Acquire(ctx, Request{Urgency: fleet.UrgencyNormal, Deadline: time.Now().Add(time.Minute), Class: "a"})
				if err == nil {
					n := running.Add(1)
					for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
					}
					time.Sleep(10 * time.Microsecond)
					running.Add(-1)
					slot.Release(0)
					slot.Release(0) // a second call has no effect
				}
				cancel()
			}
		})
	}
	wg.Wait()
	if peak.Load() > 3 {
		t.Errorf("%d ordinary requests ran at the same time, want at most 3", peak.Load())
	}
	if l := g.Load(); l.InFlight != 0 || l.Queued != 0 {
		t.Errorf("load after all requests ended = %+v, want nothing in flight or queued", l)
	}
}

// Guards against a request that stays in the queue after its caller disconnected.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	g, _ := newGate(Config{Slots: 2, QueueLength: 2})
	slot := mustAcquire(t, g, ordinary(time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	waiter := acquire(ctx, g, ordinary(time.Minute))
	waitQueued(g, 1)
	cancel()
	if err := <-waiter; err == nil || err.Kind != errkind.CallerDisconnected {
		t.Errorf("error of the canceled request = %v, want error kind caller_gone", err)
	}
	slot.Release(0)
	if l := g.Load(); l.InFlight != 0 || l.Queued != 0 {
		t.Errorf("load after the cancellation and the release of the slot = %+v, want nothing in flight or queued", l)
	}
}

// Guards against a queued request that is never refused because no other event occurs at the
// server after its deadline. The deadline passes on the manual clock of the gate.
func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	g, clk := newGate(Config{Slots: 2, QueueLength: 2})
	defer mustAcquire(t, g, ordinary(time.Minute)).Release(0)
	waiter := acquire(context.Background(), g, ordinary(time.Millisecond))
	waitQueued(g, 1)
	clk.Advance(time.Millisecond)
	if err := <-waiter; err == nil || err.Kind != errkind.DeadlineBeforeRun {
		t.Errorf("error of the queued request after its deadline = %v, want error kind deadline_before_run", err)
	}
}

// Guards against new or queued requests that start during a drain, and against a drain that
// ends before the running requests do.
func TestDrain(t *testing.T) {
	g, _ := newGate(Config{Slots: 2, QueueLength: 2})
	slot := mustAcquire(t, g, ordinary(time.Minute))
	waiter := acquire(context.Background(), g, ordinary(time.Minute))
	waitQueued(g, 1)
	drained := g.Drain()
	if err := <-waiter; err == nil || err.Kind != errkind.Draining {
		t.Errorf("error of the queued request after Drain = %v, want error kind draining", err)
	}
	if _, err := g.Acquire(context.Background(), ordinary(time.Minute)); err == nil || err.Kind != errkind.Draining {
		t.Errorf("error of a new request during the drain = %v, want error kind draining", err)
	}
	select {
	case <-drained:
		t.Error("drain ended while a request was running, want it to wait")
	default:
	}
	g.Refuse(errkind.BackendDown)
	slot.Release(time.Millisecond)
	<-drained
	if l := g.Load(); l.Closed != errkind.Draining {
		t.Errorf("kind of refusals = %s after Refuse during a drain, want draining", l.Closed)
	}
	<-g.Drain() // ends immediately because no request runs
	g.Open()
	mustAcquire(t, g, ordinary(time.Minute)).Release(0)
}

// Guards against allocations on the request path.
func TestAdmissionAllocatesNothing(t *testing.T) {
	g, _ := newGate(Config{Slots: 10, QueueLength: 10})
	r := ordinary(time.Minute)
	if n := testing.AllocsPerRun(100, func() { mustAcquire(t, g, r).Release(time.Millisecond) }); n != 0 {
		t.Errorf("allocations per admitted request = %v, want 0", n)
	}
}

func BenchmarkGate(b *testing.B) {
	g := NewGate(Config{Slots: 1000, QueueLength: 10}, clock.System{})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := g.Acquire(context.Background(), Request{Urgency: fleet.UrgencyNormal, Deadline: deadline, Class: "a"})
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(time.Millisecond)
		}
	})
}
