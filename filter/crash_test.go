package filter

import (
	"context"
	"testing"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/suspect"
)

// fakeBackend is the Liveness of a backend server whose generation a test advances.
type fakeBackend struct{ generation uint64 }

func (b *fakeBackend) Generation() uint64 { return b.generation }
func (b *fakeBackend) Died(_ context.Context, generation uint64) bool {
	return generation < b.generation
}

// recordingPublisher records the crash reports.
type recordingPublisher struct{ reports []fleet.CrashReport }

func (p *recordingPublisher) ReportCrash(_ context.Context, r []fleet.CrashReport) {
	p.reports = append(p.reports, r...)
}
func (p *recordingPublisher) ReportClearance(suspect.Clearance) {}

// Guards against a queued copy of a request that crashed the server: if it were refused as
// backend_down before the crash report, it would reach another server first.
func TestRefusalAsDownFollowsTheCrashReport(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	backend, out := &fakeBackend{generation: 1}, &recordingPublisher{}
	var queued Handler
	guard := NewCrashGuard(HandlerFunc(func(c *Call) error {
		backend.generation++ // the server dies while this request runs
		if kind := kindOf(queued.Serve(c)); kind != errkind.CrashSuspect || len(out.reports) != 1 {
			t.Errorf("queued copy: error kind = %q after %d reports, want crash_suspect after 1", kind, len(out.reports))
		}
		return errkind.New(errkind.ConnectionLost, "broken")
	}), CrashGuardConfig{Node: "n", Incarnation: 1, Service: "shop", Suspects: suspect.New(suspect.Config{}), Publisher: out,
		Liveness: backend, Events: explain.NewStore("n", 1, 8), Clock: k})
	queued = NewDownReport(HandlerFunc(func(*Call) error { return errkind.New(errkind.BackendDown, "down") }), guard)
	if kind := kindOf(queued.Serve(newCall(t, "GET", "", k))); kind != errkind.BackendDown || len(out.reports) != 0 {
		t.Errorf("before the first crash: error kind = %q, %d reports, want backend_down and 0", kind, len(out.reports))
	}
	if kind := kindOf(guard.Serve(newCall(t, "GET", "", k))); kind != errkind.ConnectionLost || len(out.reports) != 1 {
		t.Errorf("crashing request: error kind = %q, %d reports, want connection_lost and 1", kind, len(out.reports))
	}
}

// Guards against copies of a request that spread over the pool before one of them has
// finished, and against restricting a request to few servers after that.
func TestCopiesRunOnFewServersUntilOneHasFinished(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	pool := &poolN{n: 12}
	var serveErr error
	var running []*Call
	f := NewServerSelection(HandlerFunc(func(c *Call) error { running = append(running, c); return serveErr }), pool, "", k, 1, explain.NewStore("e", 1, 64))
	targets := func(fingerprint uint64, key string) map[fleet.NodeID]bool {
		running = nil
		for range 12 {
			c := newCall(t, "GET", "", k).withHistory()
			c.Meta.Fingerprint, c.Key = fingerprint, key
			_ = f.Serve(c)
		}
		seen := map[fleet.NodeID]bool{}
		for _, c := range running {
			seen[c.Target.Node] = true
		}
		return seen
	}
	serveErr = errkind.New(errkind.QueueFull, "full")
	spread := map[fleet.NodeID]bool{}
	for fingerprint := range uint64(60) {
		seen := targets(fingerprint*0x9e3779b97f4a7c15, "")
		if len(seen) > pick.KeyedServers {
			t.Fatalf("copies of one fingerprint use %d servers, want at most 2 (KeyedServers)", len(seen))
		}
		for n := range seen {
			spread[n] = true
		}
	}
	if len(spread) != pool.n {
		t.Errorf("all fingerprints together use %d of %d servers, want all", len(spread), pool.n)
	}
	if n := len(targets(7, "key")); n <= pick.KeyedServers {
		t.Errorf("copies of a request with a key use %d servers, want more than 2 (KeyedServers)", n)
	}
	serveErr = nil
	targets(7, "")
	if n := len(targets(7, "")); n <= pick.KeyedServers {
		t.Errorf("copies of a request that has finished use %d servers, want more than 2 (KeyedServers)", n)
	}
	serveErr = errkind.New(errkind.ConnectionLost, "broken")
	targets(7, "")
	if n := len(targets(7, "")); n > pick.KeyedServers {
		t.Errorf("copies of a request that lost its connection use %d servers, want at most 2 (KeyedServers)", n)
	}
	serveErr = nil
	targets(7, "")
	k.Advance(2 * finishedPeriod)
	serveErr = errkind.New(errkind.QueueFull, "full")
	if n := len(targets(7, "")); n > pick.KeyedServers {
		t.Errorf("copies of a request that finished long ago use %d servers, want at most 2 (KeyedServers)", n)
	}
}

// poolN is a Directory with n servers.
type poolN struct{ n int }

func (*poolN) Subscribe(context.Context, string) error { return nil }

func (p *poolN) Servers(service string) []fleet.Server {
	var out []fleet.Server
	for i := range p.n {
		out = append(out, fleet.Server{Node: fleet.NodeID(string(rune('a' + i))), Incarnation: 1, Service: service, State: fleet.Ready, Slots: 10})
	}
	return out
}
