package filter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/guard"
	"bramleymill/suspect"
)

// Guards against replaying a body after a part of it was consumed, and against refusing to
// replay a fully buffered body.
func TestOnlyFullyBufferedBodyIsReplayable(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	long := strings.Repeat("y", prefixBytes+1)
	for _, tt := range []struct {
		name, method, body string
		unknownLength      bool
		buffered           bool
	}{
		{"empty", "GET", "", false, true}, {"short", "GET", "abc", false, true}, {"short, length unknown", "GET", "abc", true, true},
		{"above the limit of the class", "PUT", "more than sixteen bytes", false, false},
		{"long, length unknown", "GET", long, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCall(t, tt.method, "", k)
			c.Request = httptest.NewRequest(tt.method, "/x", iotest.HalfReader(strings.NewReader(tt.body)))
			c.Request.ContentLength = int64(len(tt.body))
			if tt.unknownLength {
				c.Request.ContentLength = -1
			}
			c.Deadline = k.Now().Add(time.Second)
			next := &recordingHandler{}
			if err := NewBodyFilter(next, k).Serve(c); err != nil {
				t.Fatal(err)
			}
			b := next.last.Body
			if b.FullyBuffered() != tt.buffered {
				t.Fatalf("FullyBuffered() = %v, want the opposite for this body", b.FullyBuffered())
			}
			for range 2 { // reading from the prefix only leaves the body replayable
				r, err := b.Open()
				if err != nil {
					t.Fatal(err)
				}
				if len(b.prefix) > 0 {
					_, _ = r.Read(make([]byte, 1))
				}
				_ = r.Close()
			}
			r, err := b.Open()
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(r); err != nil || string(got) != tt.body {
				t.Errorf("read body: error = %v, got %d bytes, want the %d bytes that were sent and no error", err, len(got), len(tt.body))
			}
			if _, err := b.Open(); (err == nil) != tt.buffered {
				t.Errorf("Open after the body was read to its end: error = %v, want no error for a fully buffered body and an error for any other", err)
			}
		})
	}
}

// Guards against a ReadAhead that does not buffer a small body, which the server node could
// then not send again, and against one that buffers a large body.
func TestReadAhead(t *testing.T) {
	for _, tt := range []struct {
		length   int64
		buffered bool
	}{{8, true}, {9, false}, {-1, false}} {
		r := httptest.NewRequest("POST", "/x", strings.NewReader("123456789"[:max(tt.length, 1)]))
		r.ContentLength = tt.length
		b := NewBody(r)
		if err := b.ReadAhead(8); err != nil || b.FullyBuffered() != tt.buffered {
			t.Errorf("case {length buffered} = %+v: FullyBuffered() = %v, ReadAhead error = %v; want FullyBuffered() = buffered and no error", tt, b.FullyBuffered(), err)
		}
	}
}

// Guards against a claim whose fingerprint does not cover the whole body, and against
// accepting a body that ends early.
func TestBodyWithKey(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	serve := func(body string, length int64) (Call, errkind.Kind) {
		c := newCall(t, "POST", "", k)
		c.Request = httptest.NewRequest("POST", "/x", iotest.OneByteReader(strings.NewReader(body)))
		c.Request.ContentLength, c.Key, c.Deadline = length, "k", k.Now().Add(time.Second)
		next := &recordingHandler{}
		err := NewBodyFilter(next, k).Serve(c)
		return next.last, kindOf(err)
	}
	largestBody := strings.Repeat("x", 16)
	for _, tt := range []struct {
		body   string
		length int64
		want   errkind.Kind
	}{
		{largestBody, 16, ""}, {largestBody, -1, ""}, {largestBody + "x", 17, errkind.BodyTooLarge}, {largestBody + "x", -1, errkind.BodyTooLarge}, {"short", 16, errkind.BadRequest},
	} {
		if _, kind := serve(tt.body, tt.length); kind != tt.want {
			t.Errorf("body of %d bytes with the stated length %d: error kind = %q, want %q", len(tt.body), tt.length, kind, tt.want)
		}
	}
	a, _ := serve("abc", 3)
	b, _ := serve("abd", 3)
	same, _ := serve("abc", -1)
	if a.BodyHash == b.BodyHash || a.BodyHash != same.BodyHash || a.Meta.Fingerprint == b.Meta.Fingerprint || a.Meta.Fingerprint != same.Meta.Fingerprint {
		t.Error("calls with one key: want equal BodyHash and Meta.Fingerprint for the two bodies abc, and others for body abd, which a crash of the former must not make a suspect")
	}
}

// Guards against different requests with the same fingerprint: a crash by one of them would
// make all of them crash suspects.
func TestFingerprint(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	seen := map[uint64]string{}
	for _, tt := range []struct{ method, target, body string }{
		{"GET", "/x", ""}, {"GET", "/y", ""}, {"GET", "/x?q=1", ""}, {"GET", "/x", "b"}, {"PUT", "/x", "b"},
	} {
		c := newCall(t, tt.method, "", k)
		c.Request = httptest.NewRequest(tt.method, tt.target, strings.NewReader(tt.body))
		next := &recordingHandler{}
		if err := NewBodyFilter(next, k).Serve(c); err != nil {
			t.Fatal(err)
		}
		name := tt.method + tt.target + tt.body
		if other, ok := seen[next.last.Meta.Fingerprint]; ok {
			t.Errorf("requests %q and %q have the same fingerprint, want different ones", name, other)
		}
		seen[next.last.Meta.Fingerprint] = name
	}
}

// Guards against reporting a broken request body, which is an error of the caller, as an
// unknown outcome.
func TestBrokenBodyIsRejected(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	c := newCall(t, "PUT", "", k)
	c.Request = httptest.NewRequest("PUT", "/x", iotest.ErrReader(errors.New("connection reset")))
	c.Request.ContentLength, c.Deadline = 3, k.Now().Add(time.Second)
	if kind := kindOf(NewBodyFilter(&recordingHandler{}, k).Serve(c)); kind != errkind.BadRequest {
		t.Errorf("body whose read fails: error kind = %q, want bad_request", kind)
	}
}

// attributed returns the fingerprints to which g would attribute the end of a generation.
func attributed(g *CrashGuard, generation uint64) map[uint64]bool {
	out := map[uint64]bool{}
	for _, r := range g.attribute(generation) {
		out[r.Fingerprint] = true
	}
	return out
}

// immortalBackend is a Liveness whose backend server never dies.
type immortalBackend struct{ fixedGeneration }

func (immortalBackend) Died(context.Context, uint64) bool { return false }

type fixedGeneration uint64

func (g fixedGeneration) Generation() uint64 { return uint64(g) }

// Guards against attributing a crash to other requests although a confined one was in flight,
// or to requests of another generation. Also guards against ignoring a request that was
// cancelled just before the crash.
func TestCrashAttribution(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	g := NewCrashGuard(&recordingHandler{}, CrashGuardConfig{Service: "shop", Suspects: suspect.New(suspect.Config{}), Liveness: immortalBackend{fixedGeneration(3)}, Clock: k})
	enter := func(fingerprint uint64, confined bool) *trackedRequest {
		c := newCall(t, "PUT", "", k)
		c.Meta.Fingerprint, c.Meta.Confined = fingerprint, confined
		return g.track(c)
	}
	enter(1, false)
	g.untrack(enter(2, false), true)
	g.untrack(enter(3, false), false)
	if b := attributed(g, 3); len(b) != 2 || !b[1] || !b[2] || len(attributed(g, 2)) != 0 {
		t.Errorf("end of generation 3 attributed to fingerprints %v, want 1 and 2; end of generation 2 attributed to fingerprints %v, want no fingerprint", b, attributed(g, 2))
	}
	enter(4, true)
	if b := attributed(g, 3); len(b) != 1 || !b[4] {
		t.Errorf("with a confined request in flight: attributed to fingerprints %v, want 4", b)
	}
	k.Advance(cancelledRetention)
	g.untrack(enter(5, false), true)
	for i := range uint64(maxCancelled) {
		g.untrack(enter(100+i, false), true)
	}
	if len(g.cancelled) != maxCancelled {
		t.Errorf("%d cancelled requests are kept, want 128, the limit maxCancelled", len(g.cancelled))
	}
}

// growthReader yields a few bytes at a time and checks how much memory the body takes when it
// is asked for more.
type growthReader struct {
	t    *testing.T
	body *Body
	left int
	read int
}

func (r *growthReader) Read(p []byte) (int, error) {
	if got, want := cap(r.body.prefix), max(firstBuffer, 2*r.read); got > want {
		r.t.Fatalf("the body takes %d bytes of memory when %d have arrived, want at most %d", got, r.read, want)
	}
	n := min(len(p), r.left, 700)
	if n == 0 {
		return 0, io.EOF
	}
	r.left, r.read = r.left-n, r.read+n
	return n, nil
}

func (r *growthReader) Close() error { return nil }

// Guards against clients that make the process allocate bodies that they do not send.
func TestBodyTakesMemoryAsItArrives(t *testing.T) {
	for _, known := range []bool{true, false} {
		from := &growthReader{t: t, left: 100_000}
		r := httptest.NewRequest("POST", "/x", from)
		r.ContentLength = -1
		if known {
			r.ContentLength = 100_000
		}
		from.body = NewBody(r)
		if err := from.body.buffer(1 << 20); err != nil || !from.body.FullyBuffered() || len(from.body.prefix) != 100_000 {
			t.Errorf("length known %v: error = %v, complete = %v, %d bytes; want none, true and 100000", known, err, from.body.FullyBuffered(), len(from.body.prefix))
		}
	}
	short := NewBody(httptest.NewRequest("POST", "/x", &growthReader{t: t, body: &Body{}}))
	short.Length, short.complete = 10, false
	if err := short.buffer(100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body that ends early: error = %v, want io.ErrUnexpectedEOF", err)
	}
}

// Guards against a body that the memory budget does not hold and that is refused as if the
// caller had made a mistake, or as if it might have run.
func TestBodyBeyondTheMemoryBudget(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	errs := make(chan error, 1)
	next := &recordingHandler{}
	h := guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCall(t, "POST", "", k)
		class := *c.Class
		class.MaxBody = 1 << 20
		c.Class, c.Request, c.Deadline = &class, r, k.Now().Add(time.Minute)
		errs <- NewBodyFilter(next, k).Serve(c)
	}))
	s := httptest.NewUnstartedServer(h)
	limits := guard.Limits{HeadBytes: 1 << 16, HeadTime: time.Minute, IdleTime: time.Minute}
	s.Listener = guard.New(100<<10, nil, slog.New(slog.DiscardHandler)).Door(s.Listener, guard.DoorConfig{Limits: func() guard.Limits { return limits }})
	s.Config.ConnContext, s.Config.ConnState = guard.ConnContext, guard.ConnState
	s.Start()
	defer s.Close()
	for size, want := range map[int]errkind.Kind{10 << 10: "", 200 << 10: errkind.MemoryUsedUp} {
		resp, err := http.Post(s.URL, "", strings.NewReader(strings.Repeat("x", size)))
		if err == nil {
			_ = resp.Body.Close()
		}
		if kind := kindOf(<-errs); kind != want {
			t.Errorf("body of %d bytes: error kind = %q, want %q", size, kind, want)
		}
	}
	if next.calls != 1 {
		t.Errorf("%d requests were passed on, want 1", next.calls)
	}
}
