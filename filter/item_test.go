package filter

import (
	"math"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/strictjson"
)

// itemSet returns a configuration of items: a class that is shared among services, an
// idempotent class of low urgency and a class of high urgency that is not idempotent.
func itemSet() *class.Set {
	newClass := func(name, urgency string, idempotent bool) *class.Class {
		return &class.Class{Name: name, Service: "shop", Match: class.Match{Hosts: []string{"shop.example"}, PathPrefix: "/" + name + "/"},
			Idempotent: idempotent, Deadline: strictjson.Duration(time.Second), LatencyTarget: strictjson.Duration(500 * time.Millisecond),
			Urgency: urgency, MaxAttempts: 2}
	}
	split := newClass("split", "normal", true)
	split.Shares = []class.Share{{Service: "shop", Share: 90}, {Service: "other", Share: 10}, {Service: "unused", Share: 0}}
	return class.NewItemSet(4, []*class.Class{split, newClass("browse", "low", true), newClass("order", "high", false)}, nil, class.Limits{})
}

func itemCall(t testing.TB, name string, k clock.Clock) *Call {
	c := newCall(t, "GET", "", k)
	c.Request.Host, c.Request.URL.Path = "shop.example", "/"+name+"/x"
	c.Class = itemSet().MatchHost("shop.example", "GET", "/"+name+"/x")
	c.Body = NewBody(c.Request)
	c.Meta.Idempotent = c.Class.Idempotent
	c.Deadline = k.Now().Add(time.Second)
	return c
}

// Guards against shares that are met only after many requests or only across all nodes. A
// single node may send few requests of a class.
func TestRequestsAreSharedAmongServices(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	for seed := range uint64(20) {
		counts := map[string]int{}
		f := NewClassify(HandlerFunc(func(c *Call) error { counts[c.Class.Service]++; return nil }), &fakeConfig{set: itemSet()}, seed)
		const requests = 60
		for range requests {
			if err := f.Serve(itemCall(t, "split", k)); err != nil {
				t.Fatal(err)
			}
		}
		if got := float64(counts["shop"]) / requests; math.Abs(got-0.9) > 0.035 || counts["unused"] > 0 {
			t.Fatalf("seed %d: requests per service %v, want about 90%% for \"shop\" and 0 for \"unused\" (share 0)", seed, counts)
		}
	}
}

// refusing answers each attempt with the next kind of a list. The empty kind and attempts
// beyond the list succeed.
type refusing struct {
	kinds      []errkind.Kind
	reroutable []bool
	numbers    []uint32
}

func (r *refusing) Serve(c *Call) error {
	r.reroutable, r.numbers = append(r.reroutable, c.Meta.Reroutable), append(r.numbers, c.Meta.Attempt)
	k := errkind.Kind("")
	if n := len(r.reroutable); n <= len(r.kinds) {
		k = r.kinds[n-1]
	}
	if k == "" {
		return nil
	}
	return errkind.New(k, "attempt failed by the test")
}

// Guards against refusals by server nodes that use up the attempts or the budget of a class,
// against endless reroutes, and against repeating work that may have run.
func TestReroutesOfItemClasses(t *testing.T) {
	slow := errkind.ServerSlow
	for _, c := range []struct {
		name, class string
		kinds       []errkind.Kind
		attempts    int
		want        errkind.Kind
	}{
		{"reroutes until a server accepts", "order", []errkind.Kind{slow, errkind.QueueFull, errkind.Draining}, 4, ""},
		{"ends after the last reroute", "order", slices.Repeat([]errkind.Kind{slow}, 9), 8, slow},
		{"one retry after a refusal by the backend server", "order", []errkind.Kind{errkind.BackendRefused, errkind.BackendRefused, ""}, 2, errkind.BackendRefused},
		{"no retry of work that may have run", "order", []errkind.Kind{errkind.ConnectionLost, ""}, 1, errkind.ConnectionLost},
		{"one retry of idempotent work", "browse", []errkind.Kind{errkind.ConnectionLost, errkind.ConnectionLost, ""}, 2, errkind.ConnectionLost},
		{"no reroute of a request that crashes servers", "browse", []errkind.Kind{errkind.CrashSuspect, ""}, 1, errkind.CrashSuspect},
	} {
		k := clock.NewManual(time.Unix(1000, 0))
		next := &refusing{kinds: c.kinds}
		f := NewDeadline(NewAttempts(next, k, nil), k, 3, fleet.HeaderTimeoutMillis)
		err := f.Serve(itemCall(t, c.class, k))
		if kindOf(err) != c.want || len(next.reroutable) != c.attempts {
			t.Errorf("%s: %d attempts, error kind %q; want %d attempts, error kind %q", c.name, len(next.reroutable), kindOf(err), c.attempts, c.want)
		}
		for i, n := range next.numbers {
			if n != uint32(i+1) {
				t.Errorf("%s: attempt numbers %v, want 1, 2, 3 and so on", c.name, next.numbers)
			}
		}
	}
}

// Guards against a last attempt that a server node refuses because it is marked as
// reroutable, and against more reroutes than there are servers.
func TestLastRerouteMayWait(t *testing.T) {
	slow := errkind.ServerSlow
	for name, c := range map[string]struct {
		kinds    []errkind.Kind
		attempts int
	}{
		"many servers":             {slices.Repeat([]errkind.Kind{slow}, 7), 8},
		"every server has refused": {[]errkind.Kind{slow, slow, errkind.NoBackendServer}, 4},
	} {
		k := clock.NewManual(time.Unix(1000, 0))
		next := &refusing{kinds: c.kinds}
		f := NewDeadline(NewAttempts(next, k, nil), k, 3, fleet.HeaderTimeoutMillis)
		if err := f.Serve(itemCall(t, "order", k)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		n := len(next.reroutable)
		if n != c.attempts || !next.reroutable[0] || next.reroutable[n-1] {
			t.Errorf("%s: reroutable = %v, want %d attempts, the first reroutable and the last not", name, next.reroutable, c.attempts)
		}
	}
}

// Guards against ignoring the time-out that callers state in the header that the dialect of
// a platform names, instead of the header of this product.
func TestDeadlineReadsTheHeaderOfTheDialect(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	next := &recordingHandler{}
	c := itemCall(t, "browse", k)
	c.Request.Header.Set("Wait", "70")
	c.Request.Header.Set(fleet.HeaderTimeoutMillis, "5")
	if err := NewDeadline(next, k, 3, "Wait").Serve(c); err != nil {
		t.Fatal(err)
	}
	if left := next.last.Deadline.Sub(k.Now()); left != 70*time.Millisecond || next.last.Attempts.Left() != 1 {
		t.Errorf("call whose header Wait states 70: deadline in %v with %d further attempts, want 70ms with 1", left, next.last.Attempts.Left())
	}
}

// Guards against a configured limit of the body size that is not enforced.
func TestBodyOverTheConfiguredLimitIsRejected(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	for size, want := range map[int]errkind.Kind{8: "", 9: errkind.BodyTooLarge} {
		c := newCall(t, "POST", strings.Repeat("x", size), k)
		limited := *itemCall(t, "order", k).Class
		limited.BodyLimit = 8
		c.Class, c.Deadline = &limited, k.Now().Add(time.Second)
		if got := kindOf(NewBodyFilter(&recordingHandler{}, k).Serve(c)); got != want {
			t.Errorf("body of %d bytes with a limit of 8: error kind = %q, want %q", size, got, want)
		}
	}
}

// Guards against discarding an answer that comes just after the deadline of its class, and
// against making callers wait longer than they have stated.
func TestDeadlineLeavesTimeForAnAnswerThatIsNearlyReady(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	for sent, want := range map[string]time.Duration{"": time.Second + answerGrace, "5000": time.Second + answerGrace, "1050": 1050 * time.Millisecond, "700": 700 * time.Millisecond} {
		c := itemCall(t, "order", k)
		c.Started = k.Now()
		if sent != "" {
			c.Request.Header.Set("Wait", sent)
		}
		next := &recordingHandler{}
		if err := NewDeadline(next, k, 3, "Wait").Serve(c); err != nil {
			t.Fatal(err)
		}
		if got := c.Deadline.Sub(k.Now()); got != want {
			t.Errorf("caller states a wait of %q ms: deadline in %v, want %v", sent, got, want)
		}
	}
}

// Guards against a last reroute to a server with an old load report while another one, which
// has just refused the request, reported a shorter queue.
func TestLastRerouteGoesToTheLeastLoadedServer(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	loads := map[fleet.NodeID]int{"n0": 9, "n1": 1, "n2": 7}
	var targets []fleet.NodeID
	choose := NewServerSelection(HandlerFunc(func(c *Call) error {
		targets = append(targets, c.Target.Node)
		c.SentAt = k.Now()
		c.Load = &fleet.LoadReport{Incarnation: 1, Sequence: uint64(len(targets)), InFlight: 10, Queued: loads[c.Target.Node], Slots: 10}
		if c.Meta.Reroutable {
			return errkind.New(errkind.QueueFull, "refused by the test")
		}
		return nil
	}), pool3{}, "", k, 1, nil)
	choose.AnyPlacement = true
	f := NewDeadline(NewAttempts(choose, k, nil), k, 3, fleet.HeaderTimeoutMillis)
	if err := f.Serve(itemCall(t, "order", k)); err != nil {
		t.Fatal(err)
	}
	if n := len(targets); n != 4 || targets[n-1] != "n1" {
		t.Errorf("targets of the attempts = %v, want all three servers and then n1", targets)
	}
}

// Guards against sending a request to another node although the local server would start it
// immediately, and against several attempts at a local server without free capacity.
func TestLocalServerComesFirstWhileItHasFreeCapacity(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	for _, c := range []struct {
		name        string
		hasCapacity bool
		kinds       []errkind.Kind
		first       bool // the first attempt must go to the local server
		visits      int  // expected attempts at the local server; -1: any number
	}{
		{"free capacity", true, nil, true, 1},
		{"refused despite free capacity", true, []errkind.Kind{errkind.QueueFull, errkind.QueueFull}, true, 1},
		{"no free capacity", false, slices.Repeat([]errkind.Kind{errkind.QueueFull}, 2), false, -1},
	} {
		firsts := map[fleet.NodeID]bool{}
		for seed := range uint64(20) {
			var targets []fleet.NodeID
			choose := NewServerSelection(HandlerFunc(func(a *Call) error {
				targets = append(targets, a.Target.Node)
				if n := len(targets); n <= len(c.kinds) {
					return errkind.New(c.kinds[n-1], "refused by the test")
				}
				return nil
			}), pool3{}, "", k, seed, nil)
			choose.AnyPlacement, choose.Self, choose.HasLocalCapacity = true, "n1", func() bool { return c.hasCapacity }
			if err := NewDeadline(NewAttempts(choose, k, nil), k, 3, fleet.HeaderTimeoutMillis).Serve(itemCall(t, "order", k)); err != nil {
				t.Fatal(err)
			}
			firsts[targets[0]] = true
			visits := 0
			for _, n := range targets {
				if n == "n1" {
					visits++
				}
			}
			if c.first && targets[0] != "n1" || c.visits >= 0 && visits != c.visits || len(targets) != len(c.kinds)+1 {
				t.Errorf("%s, seed %d: targets %v, want one attempt more than the case has refusals; if the case has free capacity, want n1 first and in no later attempt", c.name, seed, targets)
			}
		}
		if others := len(firsts) > 1; others == c.first {
			t.Errorf("%s: first targets %v, want only n1 in the cases with free capacity and several in the case without", c.name, firsts)
		}
	}
}

// Guards against a request whose path was decoded before its class is selected.
func TestClassOfAnEncodedPath(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	item := func(prefix string) *class.Class {
		return &class.Class{Name: prefix, Service: "shop", Match: class.Match{Hosts: []string{"shop.example"}, PathPrefix: prefix},
			Deadline: strictjson.Duration(time.Second), Urgency: "normal"}
	}
	set := class.NewItemSet(1, []*class.Class{item("/orders/"), item("/orders/archive/")}, nil, class.Limits{})
	f := NewClassify(&recordingHandler{}, &fakeConfig{set: set}, 1)
	for path, want := range map[string]string{"/orders/archive%2F7": "/orders/", "/orders/archive/7": "/orders/archive/"} {
		c := newCall(t, "GET", "", k)
		c.Request = httptest.NewRequest("GET", "http://shop.example"+path, nil)
		if err := f.Serve(c); err != nil || c.Class.Name != want {
			t.Errorf("path %s: class %+v, error %v; want class %s", path, c.Class, err, want)
		}
	}
}
