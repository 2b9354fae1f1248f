package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleymill/settings"
	"bramleymill/strictjson"
)

// Guards against a process that outlives its permitted time because a part of it does not
// end: the platform would kill it, with the lines of its log that are not yet written.
func TestStopEndsAlthoughAPartHangs(t *testing.T) {
	f := newTestFleet(t, 0)
	f.addBackend()
	f.addSettings(0, []string{freePort(t)})
	s := f.settings[0]
	s.DrainTimeout = strictjson.Duration(100 * time.Millisecond)
	s.StopTimeout = strictjson.Duration(time.Second)
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := n.start(ctx.Done())
	if err != nil {
		t.Fatal(err)
	}
	r.group.Go(func() error { <-release; return nil })
	if err := n.stop(r, time.Now()); !errors.Is(err, ErrStopTimeout) {
		t.Errorf("stop with a part that does not end: error %v, want ErrStopTimeout", err)
	}
	close(release)
	if err := r.group.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a request that is cut off although time is left, and against a request
// that never ends and holds up the stop: the first must be answered, the second cancelled,
// and the process must end by itself.
func TestStopWithRequestsThatOutlastIt(t *testing.T) {
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			arrived <- struct{}{}
			<-proceed
		case "/endless":
			arrived <- struct{}{}
			<-r.Context().Done()
		}
	}))
	defer backend.Close()
	f := newTestFleet(t, 0)
	f.addBackend()
	f.addSettings(0, []string{freePort(t)})
	s := f.settings[0]
	s.Backend.Address = strings.TrimPrefix(backend.URL, "http://")
	s.Backend.LoadPath = ""
	s.StopDelay = strictjson.Duration(100 * time.Millisecond)
	s.DrainTimeout = strictjson.Duration(2 * time.Second)
	s.StopTimeout = strictjson.Duration(5 * time.Second)
	f.nodes, f.cancels, f.done = make([]*Node, 1), make([]context.CancelFunc, 1), make([]chan error, 1)
	f.start(0)
	defer f.stopAll()
	f.bootstrap()

	get := func(path string) <-chan int {
		status := make(chan int, 1)
		go func() {
			resp, err := http.Get("http://" + s.CallerAddress + path)
			if err != nil {
				status <- 0
				return
			}
			resp.Body.Close()
			status <- resp.StatusCode
		}()
		<-arrived
		return status
	}
	slow, endless := get("/slow"), get("/endless")
	stopped := make(chan error, 1)
	go func() { stopped <- f.stop(0) }()
	f.await("a stop that has begun", f.nodes[0].stopping.Load)
	f.await("a refusal of new requests", func() bool {
		resp, err := http.Get("http://" + s.CallerAddress + "/new")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	close(proceed)
	if got := <-slow; got != http.StatusOK {
		t.Errorf("request that ends while the node drains: status %d, want 200", got)
	}
	if got := <-endless; got == http.StatusOK || got == http.StatusServiceUnavailable {
		t.Errorf("request that never ends: status %d, want a failure that does not claim that the request did not run", got)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop beside a request that never ends: error %v, want none", err)
	}
}

// Guards against a node that waits for its parent when it is told to stop while it starts:
// the time of the stop counts from the signal, so the node would stop too late.
func TestStopDuringStartDoesNotWaitForAParent(t *testing.T) {
	f := newTestFleet(t, 0)
	f.settings = append(f.settings, &settings.Settings{Seeds: []string{freePort(t)}})
	f.nodes, f.cancels, f.done = make([]*Node, 1), make([]context.CancelFunc, 1), make([]chan error, 1)
	f.addPlainNode(func(s *settings.Settings) {
		s.DrainTimeout = strictjson.Duration(100 * time.Millisecond)
		s.StopTimeout = strictjson.Duration(joinTimeout)
	})
	n, cancel, done := f.nodes[1], f.cancels[1], f.done[1]
	f.cancels[1] = nil
	cancel()
	if err := <-done; err != nil {
		t.Errorf("stop of a node that is still starting: error %v, want none", err)
	}
	if n.member.Parent() != "" {
		t.Error("the node has a parent, want none: the test needs a node that waits for one")
	}
}

// syncBuffer is a buffer for log lines of several goroutines.
type syncBuffer struct {
	mu     sync.Mutex
	buffer strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against a control instance that stops without waiting for its vote to be taken over, or
// that ends with it without a word. The learner that could take it is cut off.
func TestStopWaitsForTheVoteAndSaysThatItIsKept(t *testing.T) {
	f := newTestFleet(t, 0)
	seeds := []string{freePort(t), freePort(t)}
	f.nodes, f.cancels, f.done = make([]*Node, 2), make([]context.CancelFunc, 2), make([]chan error, 2)
	logs := &syncBuffer{}
	for i := range seeds {
		f.addBackend()
		f.addSettings(i, seeds)
		f.settings[i].Control.Voters, f.settings[i].Control.ReplaceAfter = 1, strictjson.Duration(time.Minute)
		f.settings[i].DrainTimeout, f.settings[i].StopTimeout = strictjson.Duration(100*time.Millisecond), strictjson.Duration(4*time.Second)
	}
	f.logs = logs
	f.start(0)
	f.logs = nil
	f.start(1)
	defer f.stopAll()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	c := f.nodes[0].control
	if err := errors.Join(c.config.Bootstrap(ctx), c.claims.Bootstrap(ctx)); err != nil {
		t.Fatal(err)
	}
	f.await("a learner in both groups", func() bool {
		return len(c.config.Status().Learners) == 1 && len(c.claims.Status().Learners) == 1
	})
	if err := f.nodes[1].endpoint.Close(ctx); err != nil {
		t.Fatal(err)
	}
	if err := f.stop(0); err != nil {
		t.Errorf("stop of the only voter: error %v, want none", err)
	}
	if got := strings.Count(logs.String(), "ends with a vote"); got != 2 {
		t.Errorf("%d log lines say that the instance ends with a vote, want one for each group:\n%s", got, logs)
	}
}
