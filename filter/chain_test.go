package filter

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/retry"
)

const testDocument = `{"classes":[
 {"name":"browse","service":"shop","match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,"latency_target":"1s","deadline":"10s","urgency":"normal","when_unconfirmed":"serve"},
 {"name":"order","service":"shop","match":{"methods":["POST"],"path_prefix":"/"},"idempotent":false,"latency_target":"1s","deadline":"10s","urgency":"high","key":"required","max_body":"16B"},
 {"name":"note","service":"shop","match":{"methods":["PUT"],"path_prefix":"/"},"idempotent":false,"latency_target":"1s","deadline":"10s","urgency":"high","max_body":"16B"}]}`

type fakeConfig struct {
	set *class.Set
	age time.Duration
}

func (f *fakeConfig) Current() *class.Set            { return f.set }
func (f *fakeConfig) ConfirmationAge() time.Duration { return f.age }

func testSet(t testing.TB) *class.Set {
	t.Helper()
	d, err := class.Parse([]byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	return class.NewSet(5, d)
}

func newCall(t testing.TB, method, body string, k clock.Clock) *Call {
	t.Helper()
	r := httptest.NewRequest(method, "/x", strings.NewReader(body))
	return &Call{Ctx: t.Context(), Request: r, Answer: NewWriter(httptest.NewRecorder(), nil), Started: k.Now(),
		Record: explain.NewRecord(explain.Entry, "e.1.1", k.Now()), Class: testSet(t).Match(method, "/x")}
}

// kindOf returns the kind of an error, or the empty kind for nil.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.Of(err).Kind
}

// recordingHandler is a next handler that records the calls it receives.
type recordingHandler struct {
	calls int
	last  Call
}

func (p *recordingHandler) Serve(c *Call) error {
	p.calls++
	p.last = *c
	return nil
}

// Guards against serving a request without a class, a required key or a configuration.
func TestClassify(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	config := &fakeConfig{}
	next := &recordingHandler{}
	f := NewClassify(next, config, 1)
	if kind := kindOf(f.Serve(newCall(t, "GET", "", k))); kind != errkind.ConfigAbsent {
		t.Errorf("without a configuration: error kind = %q, want config_absent", kind)
	}
	config.set = testSet(t)
	for _, tt := range []struct {
		method string
		keys   []string
		want   errkind.Kind
	}{
		{"GET", nil, ""}, {"DELETE", nil, errkind.NoClass}, {"POST", nil, errkind.KeyRequired}, {"POST", []string{"k"}, ""},
		{"POST", []string{"k", "l"}, errkind.BadRequest}, {"POST", []string{strings.Repeat("k", MaxKeyBytes+1)}, errkind.BadRequest},
		{"GET", []string{"ignored"}, ""}, {"PUT", nil, ""},
	} {
		c := newCall(t, tt.method, "", k)
		c.Request.Header[fleet.HeaderIdempotencyKey] = tt.keys
		if kind := kindOf(f.Serve(c)); kind != tt.want {
			t.Errorf("%s with keys %q: error kind = %q, want %q", tt.method, tt.keys, kind, tt.want)
		}
		if c.Class != nil && c.Class.Idempotent && c.Key != "" {
			t.Error("the key of an idempotent class was recorded, want it ignored")
		}
	}
}

// Guards against serving work under a configuration that may have been superseded.
func TestConfirmed(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	config := &fakeConfig{age: MaxConfirmationAge}
	f := NewConfirmed(&recordingHandler{}, config)
	if kind := kindOf(f.Serve(newCall(t, "POST", "", k))); kind != "" {
		t.Errorf("confirmation age at the limit: error kind = %q, want no error", kind)
	}
	config.age++
	if kind := kindOf(f.Serve(newCall(t, "POST", "", k))); kind != errkind.ConfigUnconfirmed {
		t.Errorf("confirmation age above the limit: error kind = %q, want config_unconfirmed", kind)
	}
	if kind := kindOf(f.Serve(newCall(t, "GET", "", k))); kind != "" {
		t.Errorf("class that may be served under a stale configuration: error kind = %q, want no error", kind)
	}
}

// Guards against a caller that extends its deadline, and against a call that does not inherit
// the limits of its parent.
func TestDeadline(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	next := &recordingHandler{}
	f := NewDeadline(next, k, 3, fleet.HeaderTimeoutMillis)
	for _, tt := range []struct {
		sent   string
		parent time.Duration
		want   time.Duration
		kind   errkind.Kind
	}{
		{"", 0, 10 * time.Second, ""}, {"500", 0, 500 * time.Millisecond, ""}, {"60000", 0, 10 * time.Second, ""},
		{"60000", time.Second, time.Second, ""}, {"", time.Minute, 10 * time.Second, ""}, {"", -1, 0, errkind.DeadlineBeforeRun},
		{"0", 0, 0, errkind.BadRequest}, {"-1", 0, 0, errkind.BadRequest}, {"x", 0, 0, errkind.BadRequest}, {"99999999999", 0, 0, errkind.BadRequest},
	} {
		c := newCall(t, "GET", "", k)
		if tt.sent != "" {
			c.Request.Header.Set(fleet.HeaderTimeoutMillis, tt.sent)
		}
		if tt.parent != 0 {
			c.Parent = &Parent{Deadline: k.Now().Add(tt.parent), Depth: 4, Attempts: retry.NewAttempts(1)}
		}
		kind := kindOf(f.Serve(c))
		if kind != tt.kind || kind == "" && next.last.Deadline.Sub(k.Now()) != tt.want {
			t.Errorf("header %q, parent deadline in %v: error kind = %q, deadline in %v; want the error kind of the case and, if it is empty, the earliest deadline of header, parent (0s: no parent) and class (10s)", tt.sent, tt.parent, kind, next.last.Deadline.Sub(k.Now()))
		}
		if c.Parent != nil && (c.Meta.Depth != 5 || c.Attempts != c.Parent.Attempts) {
			t.Errorf("call nested in a call of depth 4: depth = %d, want 5 and the attempts of its parent", c.Meta.Depth)
		}
	}
}

// Guards against request ids that are not unique or do not identify the entry node.
func TestRequestID(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	next := &recordingHandler{}
	f := NewRequestID(next, "node-1", 35, k)
	for _, want := range []string{"node-1.z.1", "node-1.z.2"} {
		if err := f.Serve(newCall(t, "GET", "", k)); err != nil || next.last.Meta.RequestID != want {
			t.Errorf("request id = %q, error = %v, want node-1.z.1 for the first call, node-1.z.2 for the second, and no error", next.last.Meta.RequestID, err)
		}
	}
	if node, ok := EntryNode("node-1.z.2"); !ok || node != "node-1" {
		t.Errorf("EntryNode(node-1.z.2) = %q, want node-1", node)
	}
	for _, id := range []string{"", "x", "x.1", ".1.2"} {
		if node, ok := EntryNode(id); ok {
			t.Errorf("EntryNode(%q) = %q, want no node", id, node)
		}
	}
}

// Guards against forgetting an attempt when the tables are rotated for the first time, and
// against keeping attempts forever.
func TestDuplicates(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	next := &recordingHandler{}
	f := NewDuplicates(next, k)
	serve := func(id string, attempt uint32, idempotent bool) errkind.Kind {
		c := newCall(t, "PUT", "", k)
		c.Meta.RequestID, c.Meta.Attempt, c.Meta.Idempotent = id, attempt, idempotent
		return kindOf(f.Serve(c))
	}
	if serve("a", 1, false) != "" || serve("a", 2, false) != "" || serve("b", 1, false) != "" || serve("c", 1, true) != "" || serve("c", 1, true) != "" {
		t.Error("a new attempt, or an attempt of an idempotent request, was refused; want all accepted")
	}
	k.Advance(class.MaxDeadline + 1)
	serve("d", 1, false)
	if serve("a", 1, false) != errkind.DuplicateAttempt {
		t.Error("a duplicate was not refused as duplicate_attempt just after the longest deadline, want it refused")
	}
	k.Advance(class.MaxDeadline + 1)
	serve("e", 1, false)
	if serve("a", 1, false) != "" {
		t.Error("an attempt was refused after more than twice the longest deadline, want it accepted again")
	}
}

// Guards against two attempts of a request that both answer.
func TestRaceHasOneWinner(t *testing.T) {
	rec := httptest.NewRecorder()
	r := &race{answer: NewWriter(rec, nil)}
	ctx, cancel := context.WithCancelCause(t.Context())
	r.add(1, cancel)
	r.add(2, func(error) { t.Error("the winner was cancelled, want it to continue") })
	loser, winner := &raceAnswer{race: r, number: 1}, &raceAnswer{race: r, number: 2}
	if err := winner.Begin(Head{Status: 200}); err != nil {
		t.Fatal(err)
	}
	if err := loser.Begin(Head{Status: 500}); !errors.Is(err, ErrOtherAttemptAnswered) || !errors.Is(context.Cause(ctx), ErrOtherAttemptAnswered) {
		t.Errorf("Begin of the loser = %v, cause of its context = %v, want ErrOtherAttemptAnswered for both", err, context.Cause(ctx))
	}
	loser.Informational(103, http.Header{})
	for _, f := range []func() error{loser.Flush, func() error { return loser.End(nil) }, func() error { _, err := loser.Write([]byte("x")); return err }} {
		if err := f(); !errors.Is(err, ErrOtherAttemptAnswered) {
			t.Errorf("method of the loser returned %v, want ErrOtherAttemptAnswered", err)
		}
	}
	if _, err := winner.Write([]byte("won")); err != nil || rec.Body.String() != "won" || rec.Code != 200 {
		t.Errorf("answer of the winner: Write error = %v, status = %d, body = %q; want no error, status 200 and body \"won\"", err, rec.Code, rec.Body)
	}
	cancelled := false
	r.add(3, func(error) { cancelled = true })
	if !cancelled {
		t.Error("an attempt that starts after another one has answered is not cancelled, want it cancelled")
	}
}

// Guards against an informational answer of a cancelled attempt that arrives late and changes
// the headers of the final answer.
func TestLateInformationalAnswer(t *testing.T) {
	for range 20 {
		w := NewWriter(httptest.NewRecorder(), nil)
		first, done := make(chan struct{}, 1), make(chan struct{})
		go func() {
			defer close(done)
			for range 200 {
				w.Informational(http.StatusEarlyHints, http.Header{"Link": {"x"}})
				select {
				case first <- struct{}{}:
				default:
				}
			}
		}()
		<-first
		if err := w.Begin(Head{Status: 200, Header: http.Header{"A": {"1"}}}); err != nil {
			t.Error(err)
		}
		<-done
		if link := w.rw.Header().Get("Link"); link != "" {
			t.Errorf("the final answer has the header Link = %q of an informational answer, want no header Link", link)
		}
	}
}
