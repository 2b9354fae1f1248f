package proxy

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleymill/claim"
	"bramleymill/class"
	"bramleymill/clock"
	"bramleymill/explain"
	"bramleymill/filter"
	"bramleymill/fleet"
	"bramleymill/keys"
	"bramleymill/settings"
	"bramleymill/strictjson"
	"bramleymill/suspect"
)

const testClasses = `{"classes":[
 {"name":"browse","service":"shop","match":{"methods":["GET","HEAD","PUT","OPTIONS"],"path_prefix":"/"},"idempotent":true,"latency_target":"1s","deadline":"5m","urgency":"normal"},
 {"name":"order","service":"shop","match":{"methods":["POST"],"path_prefix":"/"},"idempotent":false,"latency_target":"1s","deadline":"5m","urgency":"high","key":"optional"},
 {"name":"check","service":"shop","match":{"methods":["GET","POST"],"path_prefix":"/check"},"idempotent":false,"internal_only":true,"latency_target":"1s","deadline":"5m","urgency":"critical"}]}`

// cluster is a set of nodes that share a directory, a configuration, claims and a
// clock. The clock advances only when the test advances it.
type cluster struct {
	t       testing.TB
	clock   *clock.Manual
	classes atomic.Pointer[class.Set]
	claims  *fakeClaims
	keys    string // folder of the keys
	mu      sync.Mutex
	nodes   []*node
}

type node struct {
	*Proxy
	name       fleet.NodeID
	cluster    *cluster
	caller     *httptest.Server
	service    *httptest.Server
	peer       *httptest.Server
	backend    *httptest.Server
	readyCount atomic.Uint64 // number of times the state became Ready
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, clock: clock.NewManual(time.Now()), claims: newFakeClaims(), keys: t.TempDir()}
	c.configure(testClasses)
	if err := keys.InitAuthority(c.keys, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	return c
}

// issue returns the keys of a node and creates them if they do not exist.
func (c *cluster) issue(name string) *keys.Store {
	c.t.Helper()
	_ = keys.Issue(c.keys, fleet.NodeID(name), fleet.RoleNode, keys.Options{}) // fails if they exist
	s, err := keys.Load(keys.Config{Files: keys.FilesOf(c.keys, fleet.NodeID(name))})
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

func (c *cluster) configure(document string) {
	c.t.Helper()
	d, err := class.Parse([]byte(document))
	if err != nil {
		c.t.Fatal(err)
	}
	c.classes.Store(class.NewSet(3, d))
}

// node adds a node whose backend server has the handler h. If h is nil, the node has
// no backend server, unless change configures one.
func (c *cluster) node(name string, h http.Handler, change ...func(*Config)) *node {
	c.t.Helper()
	n := &node{name: fleet.NodeID(name), cluster: c}
	store := c.issue(name)
	config := Config{Node: n.name, Incarnation: 7, Zone: "a", Directory: c, Configuration: c, Claims: c.claims, Locks: c.claims,
		OnStateChange: func(s fleet.ServerState) {
			if s == fleet.Ready {
				n.readyCount.Add(1)
			}
		},
		Crashes: (*crashReports)(n), ClientTLS: store.PeerClient(), Clock: c.clock, Seed: 1, ServiceToken: "service-secret"}
	if h != nil {
		n.backend = quiet(httptest.NewUnstartedServer(h))
		n.backend.Start()
		config.Backend = &settings.Backend{Service: "shop", Address: n.backend.Listener.Addr().String(), Slots: 10, Connections: 32,
			QueueLength: 20, HealthPath: "/health", CheckEvery: strictjson.Duration(time.Second)}
	}
	for _, f := range change {
		f(&config)
	}
	p, err := New(config)
	if err != nil {
		c.t.Fatal(err)
	}
	n.Proxy = p
	n.caller = quiet(httptest.NewUnstartedServer(p.CallerHandler()))
	n.caller.Start()
	n.service = quiet(httptest.NewUnstartedServer(p.ServiceHandler()))
	n.service.Start()
	n.peer = quiet(httptest.NewUnstartedServer(p.PeerHandler()))
	n.peer.TLS = store.PeerServer()
	n.peer.StartTLS()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	c.t.Cleanup(n.stop)
	if config.Backend != nil {
		n.await(fleet.Ready)
	}
	return n
}

// quiet discards the log messages of s about aborted connections.
func quiet(s *httptest.Server) *httptest.Server {
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	return s
}

func (n *node) stop() {
	n.Close()
	for _, s := range []*httptest.Server{n.caller, n.service, n.peer, n.backend} {
		if s != nil {
			s.CloseClientConnections()
			s.Close()
		}
	}
}

// await blocks until the state of the backend server is s.
func (n *node) await(s fleet.ServerState) {
	n.cluster.t.Helper()
	for n.State() != s {
		if n.cluster.t.Context().Err() != nil {
			n.cluster.t.Fatalf("node %s: state is not %s at the end of the test", n.name, s)
		}
		time.Sleep(time.Millisecond)
	}
}

// record waits for the record of a request, which is stored just after its answer,
// and returns it.
func (n *node) record(id string) *explain.Record {
	n.cluster.t.Helper()
	for {
		if found := n.Explain().Find(id); len(found) > 0 {
			return found[0]
		}
		if n.cluster.t.Context().Err() != nil {
			n.cluster.t.Fatalf("node %s has no record of request %s at the end of the test", n.name, id)
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *cluster) Subscribe(context.Context, string) error { return nil }

func (c *cluster) Servers(service string) []fleet.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.Server
	for _, n := range c.nodes {
		if n.config.Backend != nil && n.config.Backend.Service == service {
			out = append(out, n.announcement())
		}
	}
	return out
}

// announcement returns the directory entry of the server of n. Its state is always
// Ready, even if the server has left that state.
func (n *node) announcement() fleet.Server {
	return fleet.Server{Node: n.name, Incarnation: n.config.Incarnation, Sequence: n.readyCount.Load(), Service: "shop", Zone: "a",
		PeerAddress: n.peer.Listener.Addr().String(), State: fleet.Ready, Slots: 10}
}

func (c *cluster) Current() *class.Set { return c.classes.Load() }

func (c *cluster) ConfirmationAge() time.Duration { return 0 }

// crashReports delivers crash reports to the nodes with backend servers. Other nodes
// do not receive them.
type crashReports node

func (n *crashReports) ReportCrash(_ context.Context, reports []fleet.CrashReport) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, other := range n.cluster.nodes {
		if other.config.Backend != nil {
			for _, r := range reports {
				filter.ReceiveCrash(other.cluster.clock.Now(), other.Suspects(), other.Explain(), r)
			}
		}
	}
}

func (n *crashReports) ReportClearance(cl suspect.Clearance) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, other := range n.cluster.nodes {
		other.Suspects().Clear(other.cluster.clock.Now(), cl)
	}
}

// fakeClaims runs the state machine of the claims group in memory.
type fakeClaims struct {
	*claim.Client
	machine *claim.Machine
	mu      sync.Mutex
	index   uint64
	now     time.Time
	fail    func() error // called after a command was applied; its error replaces the reply
}

func newFakeClaims() *fakeClaims {
	f := &fakeClaims{machine: claim.New(), now: time.Unix(1000, 0)}
	f.Client = claim.NewClient(f)
	return f
}

func (f *fakeClaims) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	out := f.machine.Apply(f.index, f.now, command)
	if f.fail != nil {
		if err := f.fail(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// request sends a request and returns the answer and its body. header holds names
// and values in turn.
func request(t testing.TB, method, url string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// expect sends a request and checks the status, the kind and the body of the answer.
// An empty body matches any body.
func expect(t testing.TB, status int, kind, body string, method, url string, header ...string) *http.Response {
	t.Helper()
	resp, text, err := request(t, method, url, strings.NewReader("payload"), header...)
	if err != nil {
		t.Fatalf("%s %s: error %v, want an answer", method, url, err)
	}
	if resp.StatusCode != status || resp.Header.Get(fleet.HeaderKind) != kind || body != "" && text != body {
		t.Fatalf("%s %s: status %d, error kind %q, body %q; want status %d, error kind %q, body %q",
			method, url, resp.StatusCode, resp.Header.Get(fleet.HeaderKind), text, status, kind, body)
	}
	return resp
}

func answer(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, text)
	})
}
