package e2e

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	wire "bramleymill/fleet"
	"bramleymill/standin"
)

// maxDepth is the number of requests in the longest call chain that is served: the request of the
// caller and its nested calls.
const maxDepth = 17

// ringClasses defines three services that call each other in a ring, so the target of a
// call is never the node that makes it. Callers outside the fleet send requests for /page.
const ringClasses = `{"classes":[
 {"name":"page","service":"ant","match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,
  "latency_target":"%s","deadline":"25s","urgency":"normal"},
 {"name":"ant","service":"ant","match":{"methods":["GET"],"path_prefix":"/ant"},"idempotent":true,"internal_only":true,
  "latency_target":"1s","deadline":"25s","urgency":"normal"},
 {"name":"bee","service":"bee","match":{"methods":["GET"],"path_prefix":"/bee"},"idempotent":true,"internal_only":true,
  "latency_target":"1s","deadline":"25s","urgency":"normal"},
 {"name":"cat","service":"cat","match":{"methods":["GET"],"path_prefix":"/cat"},"idempotent":true,"internal_only":true,
  "latency_target":"1s","deadline":"25s","urgency":"normal"}]}`

// newRing starts a fleet whose services call each other as ringClasses describes.
func newRing(t *testing.T) *fleet {
	f := newFleet(t, fleetOptions{controls: 3, plain: 3, classes: ringClasses, services: []string{"ant", "bee", "cat"},
		calls: map[string]string{"ant": "/bee", "bee": "/cat", "cat": "/ant"}})
	f.bootstrap()
	return f
}

// nestedCalls returns a function that sets the headers of a request that starts a chain of nested
// calls with the given number of levels. headers lists further headers, each name followed by its
// value.
func nestedCalls(levels int, headers ...string) func(http.Header) {
	return func(h http.Header) {
		h.Set(standin.HeaderLevels, strconv.Itoa(levels))
		for i := 0; i < len(headers); i += 2 {
			h.Set(headers[i], headers[i+1])
		}
	}
}

// records returns the execution records of all backend servers.
func (f *fleet) records() []standin.Record {
	f.t.Helper()
	var all []standin.Record
	for _, in := range f.instances {
		all = append(all, f.recordsAt(in)...)
	}
	return all
}

// levels returns the execution records of a request and of its nested calls, by level and event.
// Level 0 is the request itself. The work id of a nested call is that of the calling request
// followed by "/nested".
func (f *fleet) levels(work string) [maxDepth + 1]map[standin.Event][]standin.Record {
	f.t.Helper()
	var out [maxDepth + 1]map[standin.Event][]standin.Record
	for i := range out {
		out[i] = map[standin.Event][]standin.Record{}
	}
	for _, r := range f.records() {
		if suffix, ok := strings.CutPrefix(r.WorkID, work); ok && strings.ReplaceAll(suffix, "/nested", "") == "" {
			level := strings.Count(suffix, "/nested")
			out[level][r.Event] = append(out[level][r.Event], r)
		}
	}
	return out
}

// Guards against three faults of a chain of calls: a chain of the greatest allowed depth does
// not complete, a chain one level deeper is run, or a nested call gets a later deadline than the
// call that makes it.
func TestCallDepth(t *testing.T) {
	t.Parallel()
	f := newRing(t)
	const timeout = 20_000 // less than the deadlines of the classes
	for round := range 5 {
		work := "deep-" + strconv.Itoa(round)
		a := f.send(f.instances[round], http.MethodGet, "/page", work, "", nestedCalls(maxDepth-1, wire.HeaderTimeoutMillis, strconv.Itoa(timeout)))
		if a.status != http.StatusOK {
			t.Fatalf("chain of %d calls: got %+v, want status 200", maxDepth, a)
		}
		remaining := int64(timeout)
		for level, events := range f.levels(work) {
			if n := len(events[standin.Started]); n != min(1, maxDepth-level) {
				t.Fatalf("level %d ran %d times, want 1 run of each level within the chain and 0 of the level after its end", level, n)
			}
			for _, r := range events[standin.Started] {
				if r.DeadlineMillis <= 0 || r.DeadlineMillis > remaining {
					t.Errorf("level %d: remaining time = %d ms, want more than 0 and at most %d ms, the remaining time of the calling level", level, r.DeadlineMillis, remaining)
				}
				remaining = r.DeadlineMillis
			}
		}
	}
	if a := f.send(f.instances[0], http.MethodGet, "/page", "too-deep", "", nestedCalls(maxDepth)); a.status != http.StatusFailedDependency {
		t.Errorf("chain of %d calls: got %+v, want status 424", maxDepth+1, a)
	}
	if n := len(f.levels("too-deep")[maxDepth][standin.Started]); n != 0 {
		t.Errorf("a nested call at depth %d ran, want a refusal", maxDepth+1)
	}
}

// Guards against retries that multiply with the depth of a call chain. Each call fails when its
// nested call fails, and each level is allowed to retry.
func TestRetriesDoNotMultiplyThroughTheDepth(t *testing.T) {
	t.Parallel()
	f := newRing(t)
	maxRuns := 0
	for round := range 5 {
		work := "broken-" + strconv.Itoa(round)
		a := f.send(f.instances[round], http.MethodGet, "/page", work, "", nestedCalls(maxDepth-1, standin.HeaderBreak, "yes"))
		if a.status == http.StatusOK {
			t.Errorf("round %d: chain whose last call fails: got success, want an error: %+v", round, a)
		}
		for level, events := range f.levels(work) {
			n := len(events[standin.Started])
			if maxRuns = max(maxRuns, n); n > 1+maxRetries {
				t.Errorf("round %d: chain whose last call fails: level %d ran %d times, want at most %d", round, level, n, 1+maxRetries)
			}
		}
	}
	if maxRuns < 2 {
		t.Error("no level was retried, want at least one retry, because otherwise the limit is not tested")
	}
}

// maxRetries is the limit on the retries and hedges of a request and all its nested calls
// together. It equals retry.DefaultAttempts.
const maxRetries = 3

// Guards against nested calls that continue and occupy slots after the caller has disconnected or
// the deadline has passed.
func TestCancellationTravelsThroughTheDepth(t *testing.T) {
	t.Parallel()
	f := newRing(t)
	for _, in := range f.instances {
		f.freezeBackend(in, 10*time.Minute)
	}
	// The chains together need more slots than the fleet has, so slots that are not released
	// make a later chain fail.
	chains := len(f.instances)*slots/maxDepth + 2
	for round := range chains {
		work := "left-" + strconv.Itoa(round)
		if round%2 == 0 {
			a := f.send(f.instances[0], http.MethodGet, "/page", work, "", nestedCalls(maxDepth-1, wire.HeaderTimeoutMillis, "3000"))
			if a.status == http.StatusOK {
				t.Errorf("%s: got success, want an error at the deadline: %+v", work, a)
			}
		} else {
			ctx, disconnect := context.WithCancel(context.Background())
			returned := make(chan struct{})
			go func() {
				defer close(returned)
				f.sendContext(ctx, f.instances[0], http.MethodGet, "/page", work, "", nestedCalls(maxDepth-1))
			}()
			f.await(work+" running at the lowest level", func() bool {
				return len(f.levels(work)[maxDepth-1][standin.Started]) == 1
			})
			disconnect()
			<-returned
		}
		f.await(work+" canceled at every level", func() bool {
			for _, events := range f.levels(work) {
				if len(events[standin.Started]) != len(events[standin.Aborted]) {
					return false
				}
			}
			return true
		})
	}
	for _, in := range f.instances {
		f.freezeBackend(in, 0)
	}
	if a := f.send(f.instances[0], http.MethodGet, "/page", "after", "", nestedCalls(maxDepth-1)); a.status != http.StatusOK {
		t.Errorf("request after %d canceled chains: got %+v, want status 200", chains, a)
	}
}

// freezeBackend delays the executions that a backend server starts within d until d has passed.
// With 0, later executions are no longer delayed.
func (f *fleet) freezeBackend(in *instance, d time.Duration) {
	f.t.Helper()
	resp, err := http.Post("http://"+in.address["backend"]+"/standin/freeze?for="+d.String(), "", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatalf("freeze the backend server of %s: response %v, error %v", in.name, resp, err)
	}
	resp.Body.Close()
}
