package pick

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleymill/fleet"
)

// failConsecutively records as many consecutive failures of node as eject a server.
func failConsecutively(b *Balancer, node fleet.NodeID, now time.Time) {
	for range DefaultConsecutiveFailures {
		answer(b, node, now, time.Millisecond, Failed, nil)
	}
}

func ejected(b *Balancer, node fleet.NodeID) bool {
	return b.Endpoint(node).load.ejectedUntil.Load() != 0
}

// Guards against an ejected server that receives requests before the end of its ejection
// period or more than one trial request at a time, and against a period that does not double.
func TestEjectionBacksOffAndAllowsOneTrial(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(6))
	now := start
	for _, backoff := range []time.Duration{DefaultEjectionBase, 2 * DefaultEjectionBase, 4 * DefaultEjectionBase} {
		if !ejected(b, nodeName(0)) {
			failConsecutively(b, nodeName(0), now)
		}
		end := now.Add(time.Millisecond + backoff)
		if got := counts(b, rng, end.Add(-time.Millisecond), 200, nil)[nodeName(0)]; got != 0 {
			t.Fatalf("ejection of %v: %d requests before its end, want 0", backoff, got)
		}
		if got := counts(b, rng, end, 200, nil)[nodeName(0)]; got != 1 {
			t.Fatalf("ejection of %v: %d trial requests at its end, want 1", backoff, got)
		}
		now = end.Add(time.Millisecond)
		answer(b, nodeName(0), now, time.Millisecond, Failed, nil)
	}
	end := now.Add(time.Millisecond + 8*DefaultEjectionBase)
	answer(b, nodeName(0), end, time.Millisecond, Succeeded, nil)
	if ejected(b, nodeName(0)) {
		t.Fatal("server is still ejected after a successful trial request, want it readmitted")
	}
}

// Guards against a server that stays ejected because its trial request was canceled and so
// neither succeeded nor failed.
func TestCanceledTrialIsFollowedByAnother(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(3))
	failConsecutively(b, nodeName(0), start)
	end := start.Add(time.Millisecond + DefaultEjectionBase)
	counts(b, rng, end, 100, nil)
	answer(b, nodeName(0), end, time.Millisecond, Canceled, nil)
	if got := counts(b, rng, end.Add(time.Millisecond), 100, nil)[nodeName(0)]; got != 1 {
		t.Fatalf("%d trial requests after a canceled one, want 1", got)
	}
}

// Guards against the ejection of more than a third of the pool or of its only server, and
// against a Pick that returns no server because of ejections. Failures and changes of the
// pool are random.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		b, rng := newBalancer(Config{}, servers(n))
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "resize") {
				n = rapid.IntRange(1, 12).Draw(t, "size")
				b.Update(now, servers(n), "zone-a")
			}
			failConsecutively(b, nodeName(rapid.IntRange(0, n-1).Draw(t, "failing")), now)
			if got := b.pool.Load().countEjected(); got > n/3 {
				t.Fatalf("%d of %d servers are ejected, want at most a third", got, n)
			}
			if e, kind := b.Pick(now, rng, nil); e == nil {
				t.Fatalf("Pick among %d servers returned nil with error kind %s, want a server", n, kind)
			}
		}
	})
}

// Guards against requests that fail because every server that accepts work is ejected. An
// ejected server must then be selected.
func TestEjectedServerIsSelectedWhenOthersDrain(t *testing.T) {
	list := servers(3)
	b, rng := newBalancer(Config{}, list)
	failConsecutively(b, list[0].Node, start)
	for _, s := range list[1:] {
		b.Observe(s.Node, start, &fleet.LoadReport{Incarnation: 1, Sequence: 1, Draining: true})
	}
	if got := counts(b, rng, start.Add(10*time.Millisecond), 10, nil)[list[0].Node]; got != 10 {
		t.Fatalf("the only server that does not drain was selected %d times in 10 calls, want 10", got)
	}
}

// Guards against a server that fails most of its requests but is never ejected, because
// single successes keep its consecutive failures below the limit. A failed server must also
// cost more.
func TestFailureRateAddsCostAndEjects(t *testing.T) {
	b, rng := newBalancer(Config{}, servers(4))
	for i := range 4 {
		answer(b, nodeName(i), start, 10*time.Millisecond, Succeeded, nil)
	}
	answer(b, nodeName(0), start, time.Millisecond, Failed, nil)
	now := start.Add(10 * time.Millisecond)
	if got := counts(b, rng, now, 400, nil)[nodeName(0)]; got > 0 {
		t.Errorf("server with a recent failure was selected %d times in 400 calls, want 0", got)
	}
	for i := range 40 {
		o := Failed
		if i%3 == 0 {
			o = Succeeded
		}
		answer(b, nodeName(0), now, time.Millisecond, o, nil)
	}
	if !ejected(b, nodeName(0)) {
		t.Error("server that fails two of three requests is not ejected, want it ejected")
	}
}
