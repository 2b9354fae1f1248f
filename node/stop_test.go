package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
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
