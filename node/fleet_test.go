package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleymill/configstate"
	"bramleymill/fleet"
	"bramleymill/freeport"
	"bramleymill/keys"
	"bramleymill/settings"
	"bramleymill/standin"
	"bramleymill/strictjson"
)

// waitTimeout is how long a test waits for an expected state before it fails. It is far
// longer than needed, because the tests set no requirement on speed.
const waitTimeout = 60 * time.Second

const testClasses = `{"classes":[
 {"name":"browse","service":"shop","match":{"methods":["GET","HEAD"],"path_prefix":"/"},"idempotent":true,
  "latency_target":"5s","deadline":"20s","urgency":"normal"},
 {"name":"order","service":"shop","match":{"methods":["POST"],"path_prefix":"/orders"},"idempotent":false,
  "latency_target":"5s","deadline":"20s","urgency":"high","key":"required"}]}`

// testFleet runs control instances with one stand-in each, in one process and on real
// sockets.
type testFleet struct {
	t        *testing.T
	keys     string
	settings []*settings.Settings
	nodes    []*Node
	cancels  []context.CancelFunc
	done     []chan error
	backends []*standin.Server
	records  []string  // record files of the stand-ins
	logs     io.Writer // of the nodes that are started from now on; nil: discarded
}

func freePort(t *testing.T) string {
	t.Helper()
	a, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newTestFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	return newTestFleetWith(t, size, func(*settings.Settings) {})
}

// newTestFleetWith is like newTestFleet, with settings that edit has changed.
func newTestFleetWith(t *testing.T, size int, edit func(*settings.Settings)) *testFleet {
	t.Helper()
	f := &testFleet{t: t, keys: t.TempDir()}
	if err := keys.InitAuthority(f.keys, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for range size {
		seeds = append(seeds, freePort(t))
	}
	for i := range size {
		f.addBackend()
		f.addSettings(i, seeds)
		edit(f.settings[i])
	}
	for i := range size {
		f.nodes = append(f.nodes, nil)
		f.cancels = append(f.cancels, nil)
		f.done = append(f.done, nil)
		f.start(i)
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *testFleet) addBackend() {
	f.t.Helper()
	c := standin.DefaultConfig()
	c.ServiceTime, c.Service = time.Millisecond, "shop"
	c.RecordFile = filepath.Join(f.t.TempDir(), "shop.records")
	s, err := standin.New(c, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	go s.Serve()
	f.t.Cleanup(func() { s.Shutdown(context.Background()) })
	f.backends = append(f.backends, s)
	f.records = append(f.records, c.RecordFile)
}

func (f *testFleet) addSettings(i int, seeds []string) {
	f.t.Helper()
	name := fleet.NodeID(fmt.Sprintf("shop-%d", i+1))
	if err := keys.Issue(f.keys, name, fleet.RoleControl, keys.Options{}); err != nil {
		f.t.Fatal(err)
	}
	files := keys.FilesOf(f.keys, name)
	f.settings = append(f.settings, &settings.Settings{
		Node: string(name), Region: "r", Zone: fmt.Sprintf("z%d", i),
		CallerAddress: freePort(f.t), PeerAddress: seeds[i], AdvertisedAddress: seeds[i], AdminAddress: freePort(f.t), ServiceAddress: freePort(f.t),
		Seeds:        seeds,
		Backend:      &settings.Backend{Service: "shop", Address: f.backends[i].Address(), Slots: 10, Connections: 250, QueueLength: 20, HealthPath: "/health", LoadPath: "/load", CheckEvery: strictjson.Duration(time.Second)},
		Control:      &settings.Control{DataFolder: f.t.TempDir(), MaxChildren: 48, MaxClaims: 1000, MaxClaimBytes: 1 << 20, ClaimRetention: strictjson.Duration(time.Hour), SnapshotInterval: 1000},
		Keys:         settings.Keys{Authority: files.Authority, Certificate: files.Certificate, PrivateKey: files.PrivateKey},
		DrainTimeout: strictjson.Duration(10 * time.Second),
		LogLevel:     "warn",
	})
}

func (f *testFleet) start(i int) {
	f.t.Helper()
	logger := slog.New(slog.DiscardHandler)
	if f.logs != nil {
		logger = slog.New(slog.NewTextHandler(f.logs, nil))
	} else if os.Getenv("BRAMLEYMILL_TEST_LOG") != "" {
		logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	n, err := New(f.settings[i], logger)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	f.nodes[i], f.cancels[i], f.done[i] = n, cancel, done
	go func() { done <- n.Run(ctx) }()
}

// addPlainNode starts a node called shop-plain that has neither the control role nor a
// backend server. A second call starts another process with the same name.
func (f *testFleet) addPlainNode(edits ...func(*settings.Settings)) {
	f.t.Helper()
	const name = "shop-plain"
	if err := keys.Issue(f.keys, name, fleet.RoleNode, keys.Options{Overwrite: true}); err != nil {
		f.t.Fatal(err)
	}
	files := keys.FilesOf(f.keys, name)
	s := &settings.Settings{
		Node: name, Region: "r", Zone: "z", CallerAddress: freePort(f.t), PeerAddress: freePort(f.t), AdminAddress: freePort(f.t),
		Seeds:        f.settings[0].Seeds,
		Keys:         settings.Keys{Authority: files.Authority, Certificate: files.Certificate, PrivateKey: files.PrivateKey},
		DrainTimeout: strictjson.Duration(10 * time.Second),
	}
	s.AdvertisedAddress = s.PeerAddress
	for _, edit := range edits {
		edit(s)
	}
	f.settings = append(f.settings, s)
	f.nodes, f.cancels, f.done = append(f.nodes, nil), append(f.cancels, nil), append(f.done, nil)
	f.start(len(f.settings) - 1)
}

// stop ends a node gracefully and returns its error.
func (f *testFleet) stop(i int) error {
	if f.cancels[i] == nil {
		return nil
	}
	f.cancels[i]()
	f.cancels[i] = nil
	return <-f.done[i]
}

func (f *testFleet) stopAll() {
	for i := range f.nodes {
		f.stop(i)
	}
}

// bootstrap starts the replicated groups, applies the test classes and waits until all
// nodes use them and see all servers as ready.
func (f *testFleet) bootstrap() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := f.nodes[0].control
	if err := c.config.Bootstrap(ctx); err != nil {
		f.t.Fatal(err)
	}
	if err := c.claims.Bootstrap(ctx); err != nil {
		f.t.Fatal(err)
	}
	f.apply("first", 0, testClasses)
	f.await("every node as a voter of both groups", func() bool {
		return len(c.config.Status().Voters) == len(f.nodes) && len(c.claims.Status().Voters) == len(f.nodes)
	})
	for i, n := range f.nodes {
		f.awaitState("a confirmed configuration and ready servers", func() bool {
			return n.config.Current() != nil && n.proxy.Load() != nil && n.config.ConfirmationAge() < time.Second &&
				len(n.member.Servers("shop")) == len(f.nodes) && f.allReady(i)
		}, func() string { return f.state(i) })
	}
}

// state describes what bootstrap waits for on node i, for the message of a failed test.
func (f *testFleet) state(i int) string {
	n := f.nodes[i]
	var b strings.Builder
	fmt.Fprintf(&b, "%s: has configuration %v, has proxy %v, confirmed %v ago, servers", n.settings.Node, n.config.Current() != nil, n.proxy.Load() != nil, n.config.ConfirmationAge())
	for _, s := range n.member.Servers("shop") {
		fmt.Fprintf(&b, " %s=%v", s.Node, s.State)
	}
	for j, done := range f.done {
		if len(done) > 0 {
			fmt.Fprintf(&b, "; %s ended: %v", f.settings[j].Node, <-done)
		}
	}
	return b.String()
}

func (f *testFleet) allReady(i int) bool {
	for _, s := range f.nodes[i].member.Servers("shop") {
		if s.State != fleet.Ready {
			return false
		}
	}
	return true
}

func (f *testFleet) apply(id string, expected uint64, document string) configstate.Answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	command, err := configstate.EncodeChange(configstate.Change{ID: id, Action: configstate.ApplyDocument, Operator: "op", ExpectedVersion: expected, Document: []byte(document)})
	if err != nil {
		f.t.Fatal(err)
	}
	result, err := f.nodes[0].control.config.Propose(ctx, command)
	if err != nil {
		f.t.Fatal(err)
	}
	a, err := configstate.DecodeAnswer(result)
	if err != nil {
		f.t.Fatal(err)
	}
	return a
}

func (f *testFleet) await(what string, ok func() bool) {
	f.t.Helper()
	f.awaitState(what, ok, func() string { return "" })
}

func (f *testFleet) awaitState(what string, ok func() bool, state func() string) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s; state: %s", what, state())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// send sends a request to node i as a caller would and returns the answer and its body.
func (f *testFleet) send(i int, method, path, work, key string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+f.settings[i].CallerAddress+path, strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(standin.HeaderWorkID, work)
	if key != "" {
		req.Header.Set(fleet.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp, string(b)
}

// executions counts the started executions of a work id on all stand-ins.
func (f *testFleet) executions(work string) int {
	f.t.Helper()
	n := 0
	for _, runs := range f.countExecutions(func(id string) bool { return id == work }) {
		n += runs
	}
	return n
}

// executionsByServer counts the started executions of work ids with a prefix on each stand-in.
func (f *testFleet) executionsByServer(prefix string) []int {
	f.t.Helper()
	return f.countExecutions(func(id string) bool { return strings.HasPrefix(id, prefix) })
}

func (f *testFleet) countExecutions(counts func(work string) bool) []int {
	f.t.Helper()
	out := make([]int, len(f.records))
	for i, name := range f.records {
		b, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		recs, err := standin.ReadRecords(strings.NewReader(string(b)))
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range recs {
			if r.Event == standin.Started && counts(r.WorkID) {
				out[i]++
			}
		}
	}
	return out
}
