package benchmark

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/freeport"
	"bramleymill/keys"
	"bramleymill/probe"
	"bramleymill/replay"
	"bramleymill/strictjson"
)

func newResult(seconds int, records []replay.Record, usage ...probe.Usage) *replay.Result {
	r := &replay.Result{Trace: &replay.Trace{Classes: []replay.Line{{Name: "order"}}}, Records: records}
	r.Trace.Deployment.Name = "nitra"
	r.Trace.Deployment.Duration = strictjson.Duration(time.Duration(seconds) * time.Second)
	for _, s := range usage {
		r.Servers = append(r.Servers, replay.ServerResult{Usage: s})
	}
	return r
}

// Guards against wrong totals over seeds and traces, and against overload traces in
// the pooled figures.
func TestVariantTotals(t *testing.T) {
	var records []replay.Record
	for i := range 99 {
		records = append(records, replay.Record{Latency: time.Duration(i+1) * time.Millisecond})
	}
	records = append(records, replay.Record{Kind: errkind.QueueFull})
	usage := probe.Usage{Probes: 2, Bytes: 400, ProbeShare: 0.25, ByteShare: 0.1}
	p := newVariantTotals(productionVariant(1))
	p.add("nitra-fail", newResult(4, records, usage, probe.Usage{ByteShare: 0.2}))
	p.add("nitra-fail", newResult(4, records, usage, probe.Usage{}))
	p.add("nitra-overload-2x", newResult(4, records, usage))
	got := p.figures()
	want := Figures{
		Deployment: "nitra", Trace: PooledTrace, Policy: ProductionPolicy, Budget: 1, Class: "order",
		Requests: 200, Answered: 198, Unanswered: map[errkind.Kind]int{errkind.QueueFull: 2},
		Goodput: 24.75, P50: 50, P99: 99, P999: 99,
		Cost: Cost{ProbesPerServer: 0.25, BytesPerServer: 50, ProbeShare: 0.25, ByteShare: 0.2},
	}
	if len(got) != 3 {
		t.Fatalf("figures have %d rows, want 3: one for each of 2 traces and one for the pooled traces", len(got))
	}
	if d := cmp.Diff(want, got[1]); d != "" {
		t.Error(d)
	}
}

// Guards against ratios between rows of different traces or classes and against a
// division by zero.
func TestRatios(t *testing.T) {
	row := func(policy, trace, class string, p99 float64) Figures {
		return Figures{Deployment: "nitra", Policy: policy, Trace: trace, Class: class, P99: p99}
	}
	got := ratios([]Figures{
		row("round-robin", "a", "order", 40), row("round-robin", "b", "order", 80),
		row("all-knowing", "b", "order", 10), row("all-knowing", "a", "order", 0),
		row(ProductionPolicy, "a", "order", 20), row(ProductionPolicy, "b", "order", 20), row(ProductionPolicy, "b", "check", 20),
	})
	want := []Ratio{
		{Deployment: "nitra", Trace: "a", Class: "order", ToRoundRobin: 0.5},
		{Deployment: "nitra", Trace: "b", Class: "order", ToRoundRobin: 0.25, ToAllKnowing: 2},
		{Deployment: "nitra", Trace: "b", Class: "check"},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

const goOutput = `goos: linux
pkg: bramleymill/replica
BenchmarkPropose/callers=16-10   	   10000	    102335 ns/op	      9772 commits/s	   13022 B/op	      41 allocs/op
PASS
pkg: bramleymill/wal
BenchmarkAppend	    4774	    285375.5 ns/op
`

// Guards against dropping units, packages or results from the output of
// "go test -bench", and against accepting the output of a failed package.
func TestParseGoBenchmarks(t *testing.T) {
	got, err := ParseGoBenchmarks(strings.NewReader(goOutput))
	if err != nil {
		t.Fatal(err)
	}
	want := []GoBenchmark{
		{Package: "bramleymill/replica", Name: "Propose/callers=16", N: 10000,
			Metrics: map[string]float64{"ns/op": 102335, "commits/s": 9772, "B/op": 13022, "allocs/op": 41}},
		{Package: "bramleymill/wal", Name: "Append", N: 4774, Metrics: map[string]float64{"ns/op": 285375.5}},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	for _, invalid := range []string{"", "PASS\n", goOutput + "FAIL\tbramleymill/pick\t1s\n", "BenchmarkX 1 fast ns/op\n", "BenchmarkX x 1 ns/op\n"} {
		if _, err := ParseGoBenchmarks(strings.NewReader(invalid)); err == nil {
			t.Errorf("ParseGoBenchmarks accepts %q, want an error", invalid)
		}
	}
}

// Guards against wrong differences between the paths, and against failed requests that
// are counted as latency or not counted at all.
func TestPathTotals(t *testing.T) {
	direct, through := newPathTotals(), newPathTotals()
	for _, added := range []int{1, 9, 2} {
		for range 100 {
			direct.record(2*time.Millisecond, nil)
			through.record(time.Duration(2+added)*time.Millisecond, nil)
		}
		direct.endRound()
		through.endRound()
	}
	through.record(time.Millisecond, &statusError{"503 Service Unavailable", "queue_full"})
	through.record(time.Millisecond, errors.New("reset"))
	r := comparePaths(PathRate{Name: "light"}, direct, through)
	if d := cmp.Diff(map[string]int{"503 Service Unavailable queue_full": 1, "connection error": 1}, r.Through.Failures); d != "" {
		t.Error(d)
	}
	if r.Direct.Requests != 300 || r.Through.Requests != 302 || r.Through.Failed != 2 {
		t.Errorf("direct = %+v, through nodes = %+v, want 300 direct requests, 302 through nodes and 2 of these failed", r.Direct, r.Through)
	}
	// The histograms have a relative error of up to a thousandth.
	near := func(got, want float64) bool { return got > want*0.998 && got < want*1.002 }
	if !near(r.AddedP50, 2) || !near(r.AddedP99, 9) || !near(r.MedianAddedP50, 2) || !near(r.MedianAddedP99, 2) {
		t.Errorf("result of rounds with 1, 9 and 2 ms added = %+v, want 2 ms added to p50, 9 ms added to p99 and medians of 2 ms", r)
	}
}

// Guards against arrivals that differ between runs with the same seed, lie after the
// end of the round, or do not have the configured rate.
func TestArrivals(t *testing.T) {
	arrivalsWithSeed := func(seed uint64) []time.Duration {
		return arrivals(rand.New(rand.NewPCG(seed, 0)), 1000, 10*time.Second)
	}
	a := arrivalsWithSeed(1)
	if !reflect.DeepEqual(a, arrivalsWithSeed(1)) || reflect.DeepEqual(a, arrivalsWithSeed(2)) {
		t.Error("the seed does not determine the arrivals, want equal arrivals for two calls with seed 1 and different ones for seeds 1 and 2")
	}
	if n := len(a); n < 9500 || n > 10500 || a[n-1] >= 10*time.Second {
		t.Errorf("%d arrivals at 1000 per second in 10s, the last after %s; want 9500 to 10500, all before 10s", n, a[n-1])
	}
}

// Guards against accepting a configuration that would flood the machine.
func TestPathConfigBounds(t *testing.T) {
	valid := PathConfig{Round: time.Second, Rates: []PathRate{{Name: "a", PerSecond: 100, Rounds: 2}}}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
	for _, invalid := range []PathConfig{
		{Rates: valid.Rates},
		{Round: time.Minute, Rates: valid.Rates},
		{Round: time.Second, Rates: []PathRate{{PerSecond: 1e6, Rounds: 1}}},
	} {
		if invalid.Validate() == nil {
			t.Errorf("Validate accepts %+v, want an error", invalid)
		}
	}
}

// Guards against a protocol that fails with mutual TLS or that is not measured.
func TestHopMeasuresEveryProtocol(t *testing.T) {
	folder := t.TempDir()
	if err := keys.InitAuthority(folder, keys.Options{}); err != nil {
		t.Fatal(err)
	}
	stores := map[fleet.NodeID]*keys.Store{}
	for _, name := range []fleet.NodeID{"client", "server"} {
		if err := keys.Issue(folder, name, fleet.RoleNode, keys.Options{}); err != nil {
			t.Fatal(err)
		}
		s, err := keys.Load(keys.Config{Files: keys.FilesOf(folder, name)})
		if err != nil {
			t.Fatal(err)
		}
		stores[name] = s
	}
	var a HopAddresses
	for _, address := range []*string{&a.HTTP1, &a.HTTP2, &a.QUIC} {
		var err error
		if *address, err = freeport.Address(); err != nil {
			t.Fatal(err)
		}
	}
	server, err := ListenHop(stores["server"], a)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx) }()
	h, err := MeasureHop(ctx, stores["client"], a, HopConfig{Callers: []int{1, 4}, Rounds: 2, Round: time.Millisecond}, Run{})
	stop()
	if err := errors.Join(err, <-serveErr); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range h.Figures {
		got = append(got, f.Protocol)
		if f.Calls < 1 || f.P50 <= 0 {
			t.Errorf("figures = %+v, want at least 1 call and a positive p50", f)
		}
	}
	if d := cmp.Diff([]string{"HTTP/1.1", "HTTP/2", "QUIC", "HTTP/1.1", "HTTP/2", "QUIC"}, got); d != "" {
		t.Error(d)
	}
}

const tinyTrace = `{"kind":"deployment","name":"nitra","seed":1,"entries":2,"for":"1s","probes_per_second":1,"bytes_per_second":4000}
{"kind":"server","node":"a-1","service":"a","zone":"z","slots":4,"connections":50}
{"kind":"server","node":"a-2","service":"a","zone":"z","slots":4,"connections":50}
{"kind":"class","name":"browse","service":"a","urgency":1,"idempotent":true,"deadline":"1s","service_time":"5ms","spread":0.5}
{"kind":"load","name":"browse","per_second":100}
`

// Guards against results that lack a policy, a budget or the description of the run,
// that differ between runs with the same seed, or that WritePage cannot read.
func TestResultsFiles(t *testing.T) {
	traces, results := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(traces, "nitra-tiny.jsonl"), []byte(tinyTrace), 0o600); err != nil {
		t.Fatal(err)
	}
	run := NewRun([]string{"bin/millbench", "policies"}, 7, "trial")
	p, err := RunPolicies(traces, run)
	if err != nil {
		t.Fatal(err)
	}
	second, err := RunPolicies(traces, run)
	if err != nil || !reflect.DeepEqual(p, second) {
		t.Errorf("second run with the same seed: error = %v, want no error and results equal to those of the first run", err)
	}
	if want := 2 * len(PolicyVariants()); len(p.Figures) != want || len(p.Budgets) != len(BudgetVariants()) {
		t.Errorf("%d rows of policies and %d of budgets, want 2 for each policy variant (the trace and the pooled traces) and 1 for each budget variant", len(p.Figures), len(p.Budgets))
	}
	if p.Budgets[0].Budget != 0 || p.Budgets[0].Cost != (Cost{}) {
		t.Errorf("cost of the first budget row = %+v, want the row to be that of budget 0 and its cost to be zero", p.Budgets[0].Cost)
	}
	for name, v := range map[string]any{
		PoliciesFile: p, HopFile: &Hop{Run: run}, PathFile: &Path{Run: run}, GoFile: &GoBenchmarks{Run: run},
	} {
		if err := WriteJSON(results, name, v); err != nil {
			t.Fatal(err)
		}
	}
	checkRunKeys(t, filepath.Join(results, HopFile))
	if err := WritePage(results); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(results, PageFile))
	if err != nil || !strings.Contains(string(page), "**trial**") || !strings.Contains(string(page), "(policies-nitra.png)") {
		t.Errorf("page: error = %v, want no error and a page with the note **trial** and the plot policies-nitra.png", err)
	}
	if _, err := os.Stat(filepath.Join(results, "policies-nitra.png")); err != nil {
		t.Error(err)
	}
}

func checkRunKeys(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var v struct{ Run map[string]any }
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"date", "command", "go_version", "platform", "cpus", "seed", "note"} {
		if _, ok := v.Run[key]; !ok {
			t.Errorf("run in %s does not have the key %q", filepath.Base(path), key)
		}
	}
	if v.Run["command"] != "millbench policies" {
		t.Errorf("command of the run in the results file = %q, want \"millbench policies\"", v.Run["command"])
	}
}

// Guards against a round in which no caller calls because none of them runs before the
// round is over.
func TestEachCallerCallsInARoundThatIsOver(t *testing.T) {
	client := &hopClient{call: func(context.Context) error { return nil }}
	latencies, err := runCallers(t.Context(), client, 4, func(int) bool { return false })
	if err != nil || len(latencies) != 4 {
		t.Errorf("runCallers in a round that is over: %d calls, error %v, want 4 calls and no error", len(latencies), err)
	}
}
