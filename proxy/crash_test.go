package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/fleet"
)

// crashingBackend is a backend server that crashes when it runs a request for
// /poison: it closes its listener and all of its connections together.
type crashingBackend struct {
	listener net.Listener
	server   *http.Server
	crashes  *atomic.Int32
	once     sync.Once
}

func newCrashingBackend(t *testing.T, crashes *atomic.Int32, work http.HandlerFunc) *crashingBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &crashingBackend{listener: l, crashes: crashes}
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poison" {
			f.crash()
			panic(http.ErrAbortHandler)
		}
		work(w, r)
	})}
	go func() { _ = f.server.Serve(l) }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *crashingBackend) crash() {
	f.once.Do(func() {
		f.crashes.Add(1)
		_ = f.server.Close()
	})
}

// Guards against a request that crashes one backend server after another when its
// caller sends it again through different nodes.
func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	for _, tt := range []struct {
		name, method string
		header       []string
		crashes      int32
		kind         string // kind of the answer to the third request and all later ones
	}{
		{"idempotent", "GET", nil, 2, "crash_suspect"},
		{"at most once", "POST", nil, 2, "crash_suspect"},
		{"with a key", "POST", []string{key, "k"}, 1, "outcome_unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			var crashes atomic.Int32
			for i := range 5 {
				f := newCrashingBackend(t, &crashes, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
				c.node(fmt.Sprintf("n%d", i), nil, (&rawBackend{listener: f.listener}).use)
			}
			c.node("entry", nil) // receives no crash reports
			for i := range 10 {
				resp, body, err := request(t, tt.method, c.nodes[(i+5)%6].caller.URL+"/poison", nil, tt.header...)
				if err != nil || resp.StatusCode == 200 {
					t.Fatalf("answer to the crashing request = %v, error = %v, body = %q; want an answer with a status other than 200", resp, err, body)
				}
				if kind := resp.Header.Get(fleet.HeaderKind); i >= 2 && kind != tt.kind {
					t.Errorf("crashing request sent after two others (index %d): error kind = %q; want outcome_unknown in the subtest \"with a key\", crash_suspect in any other", i, kind)
				}
			}
			if n := crashes.Load(); n != tt.crashes {
				t.Errorf("backend servers crashed by 10 sends of the request = %d; want 1 in the subtest \"with a key\", 2 in any other", n)
			}
			for _, n := range c.nodes {
				expect(t, 200, "", "ok", "GET", n.caller.URL+"/x")
			}
		})
	}
}

// Guards against a crash suspect that runs beside other requests because its entry
// node has not received the crash report.
func TestSuspectUnknownToEntryNodeIsConfined(t *testing.T) {
	c := newCluster(t)
	entry := c.node("entry", nil)
	var crashes atomic.Int32
	for i := range 3 {
		f := newCrashingBackend(t, &crashes, func(w http.ResponseWriter, r *http.Request) {})
		c.node(fmt.Sprintf("n%d", i), nil, (&rawBackend{listener: f.listener}).use)
	}
	for _, confined := range []bool{false, true} {
		id := expect(t, 502, "connection_lost", "", "POST", entry.caller.URL+"/poison").Header.Get(fleet.HeaderRequestID)
		if r := entry.record(id); r.Confined != confined {
			t.Errorf("attempt of the crashing request: want an entry record with Confined = %v, got %+v", confined, r)
		}
	}
	if len(entry.Suspects().List(c.clock.Now())) != 0 || crashes.Load() != 2 {
		t.Errorf("after two sends of the crashing request: suspects at the entry node = %v, crashes = %d; want no suspects and 2 crashes", entry.Suspects().List(c.clock.Now()), crashes.Load())
	}
}

// All requests in flight during a crash become crash suspects. Guards against innocent
// ones that remain suspects, and against attributing the crash of a confined request to
// them.
func TestInnocentRequestsRecover(t *testing.T) {
	c := newCluster(t)
	var crashes atomic.Int32
	arrived := make(chan struct{}, 1)
	var wait atomic.Bool
	wait.Store(true)
	for i := range 3 {
		f := newCrashingBackend(t, &crashes, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/innocent" && wait.CompareAndSwap(true, false) {
				arrived <- struct{}{}
				<-r.Context().Done()
			}
			_, _ = io.WriteString(w, "ok")
		})
		c.node(fmt.Sprintf("n%d", i), nil, (&rawBackend{listener: f.listener}).use)
	}
	result := make(chan string, 1)
	go func() {
		resp, _, err := request(t, "POST", c.nodes[0].caller.URL+"/innocent", nil, "X", "1")
		result <- fmt.Sprint(err == nil && resp.StatusCode == 502)
	}()
	<-arrived
	// The server that runs the innocent request also gets the crashing request.
	for _, n := range c.nodes {
		m := n.meta("entry")
		m.RequestID, m.Fingerprint, m.Confined = "entry.1."+string(n.name), 99, false
		if n.Admission().InFlight == 1 {
			if resp := n.forwardTo(t, "/poison", "entry", "POST", m); resp.StatusCode != 502 {
				t.Errorf("crashing request at the server of the innocent one: status = %d, want 502", resp.StatusCode)
			}
		}
	}
	if <-result != "true" {
		t.Error("innocent request in flight during the crash: no answer with status 502, want one")
	}
	if crashes.Load() != 1 || len(c.nodes[0].Suspects().List(c.clock.Now())) != 2 {
		t.Fatalf("after the crash with two requests in flight: crashes = %d, suspects = %+v; want 1 crash and 2 suspects", crashes.Load(), c.nodes[0].Suspects().List(c.clock.Now()))
	}
	expect(t, 200, "", "ok", "POST", c.nodes[1].caller.URL+"/innocent", "X", "1")
}

// Guards against copies of a crashing request that run on all servers at the same
// time, so that all of them crash before the first crash is reported.
func TestConcurrentCopiesCrashAtMostTwoServers(t *testing.T) {
	const copies = 30
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			c := newCluster(t)
			var crashes atomic.Int32
			release := make(chan struct{})
			for i := range 5 {
				var f *crashingBackend
				f = newCrashingBackend(t, &crashes, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/later" {
						return
					}
					<-release
					f.crash()
					panic(http.ErrAbortHandler)
				})
				c.node(fmt.Sprintf("n%d", i), nil, (&rawBackend{listener: f.listener}).use)
			}
			c.node("entry", nil)
			var done sync.WaitGroup
			for i := range copies {
				done.Go(func() {
					resp, _, err := request(t, method, c.nodes[i%len(c.nodes)].caller.URL+"/later", nil)
					if err != nil || resp.StatusCode == 200 {
						t.Errorf("copy of the crashing request: answer = %v, error = %v; want an answer with a status other than 200", resp, err)
					}
				})
			}
			for admitted := 0; admitted < copies; time.Sleep(time.Millisecond) {
				admitted = 0
				for _, n := range c.nodes {
					l := n.Admission()
					admitted += l.InFlight + l.Queued
				}
			}
			close(release)
			done.Wait()
			for _, n := range c.nodes {
				if resp, _, err := request(t, method, n.caller.URL+"/later", nil); err != nil || resp.StatusCode == 200 {
					t.Errorf("crashing request after the crashes: answer = %v, error = %v; want an answer with a status other than 200", resp, err)
				}
			}
			if n := crashes.Load(); n > 2 {
				t.Errorf("backend servers crashed by 30 concurrent copies = %d, want at most 2", n)
			}
			for _, n := range c.nodes {
				expect(t, 200, "", "", "GET", n.caller.URL+"/x")
			}
		})
	}
}
