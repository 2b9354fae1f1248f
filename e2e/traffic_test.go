package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"bramleymill/errkind"
	wire "bramleymill/fleet"
	"bramleymill/loadgen"
	"bramleymill/standin"
	"bramleymill/strictjson"
)

const defaultClasses = `{"classes":[
 {"name":"browse","service":"shop","match":{"methods":["GET","HEAD"],"path_prefix":"/"},"idempotent":true,
  "latency_target":"%s","deadline":"20s","urgency":"normal"},
 {"name":"order","service":"shop","match":{"methods":["POST"],"path_prefix":"/orders"},"idempotent":false,
  "latency_target":"5s","deadline":"20s","urgency":"high","key":"required"}]}`

// document writes a class document and returns its path. The latency target in the document
// depends on the number, so documents with different numbers differ.
func (f *fleet) document(number int) string {
	f.t.Helper()
	name := f.path(fmt.Sprintf("classes-%d.json", number))
	text := fmt.Sprintf(f.options.classes, fmt.Sprintf("%dms", 1000+number))
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
	return name
}

// bootstrap initializes the replicated logs, applies the first class document and waits until
// every node serves requests.
func (f *fleet) bootstrap() {
	f.t.Helper()
	f.await("success of bramleymillctl init", func() bool {
		_, code := f.runWithStatus("bramleymillctl", f.operatorArgsAt(f.instances[0], "init")...)
		return code == 0
	})
	f.await("acceptance of the first class document", func() bool {
		_, code := f.runWithStatus("bramleymillctl", f.operatorArgs("apply", f.document(0), "--wait")...)
		return code == 0
	})
	for _, in := range f.instances {
		f.awaitServing(in)
	}
}

func (f *fleet) awaitServing(in *instance) {
	f.t.Helper()
	f.await(in.name+" serving requests", func() bool {
		a := f.send(in, http.MethodGet, "/page", "probe", "", nil)
		return a.status == http.StatusOK
	})
}

// answer is what a caller receives. err is set if the response did not arrive completely.
type answer struct {
	status int
	kind   errkind.Kind
	header http.Header
	body   string
	err    error
}

// send sends a request to a node as a caller would. work is its work id, key its idempotency key
// unless empty, and editHeader, if not nil, changes its header.
func (f *fleet) send(in *instance, method, path, work, key string, editHeader func(http.Header)) answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return f.sendContext(ctx, in, method, path, work, key, editHeader)
}

// sendContext is like send, but the caller disconnects when ctx ends.
func (f *fleet) sendContext(ctx context.Context, in *instance, method, path, work, key string, editHeader func(http.Header)) answer {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.address["caller"]+path, bytes.NewReader([]byte("body")))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(standin.HeaderWorkID, work)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, fmt.Sprintf("%q", key))
	}
	if editHeader != nil {
		editHeader(req.Header)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return answer{resp.StatusCode, errkind.Kind(resp.Header.Get(wire.HeaderKind)), resp.Header, body.String(), err}
}

// executions returns by work id how often the request was started, over all backend servers.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	started, err := loadgen.ReadExecutions(f.dir)
	if err != nil {
		f.t.Fatal(err)
	}
	return started
}

// executionsAt returns how many executions one backend server has started.
func (f *fleet) executionsAt(in *instance) int {
	f.t.Helper()
	n := 0
	for _, r := range f.recordsAt(in) {
		if r.Event == standin.Started {
			n++
		}
	}
	return n
}

// recordsAt returns the execution records of one backend server.
func (f *fleet) recordsAt(in *instance) []standin.Record {
	f.t.Helper()
	b, err := os.ReadFile(f.path(in.name + ".records"))
	if err != nil {
		f.t.Fatal(err)
	}
	recs, err := standin.ReadRecords(bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	return recs
}

// browseStream and orderStream return load for the classes of the tests, at a rate in requests
// per second.
func browseStream(rate float64) loadgen.Stream {
	return loadgen.Stream{Class: "browse", Method: http.MethodGet, Path: "/page", Rate: rate, Idempotent: true,
		Timeout: strictjson.Duration(waitTimeout)}
}

func orderStream(rate float64) loadgen.Stream {
	return loadgen.Stream{Class: "order", Method: http.MethodPost, Path: "/orders", Rate: rate, BodyBytes: 100, SendKey: true,
		Timeout: strictjson.Duration(waitTimeout)}
}

// load calls sendLoad with requests of the classes browse and order, whose callers send failed
// requests again. It logs the requests that were not answered.
func (f *fleet) load(d time.Duration, fault func()) loadgen.Check {
	f.t.Helper()
	browse, order := browseStream(100), orderStream(60)
	browse.Resends, order.Resends = 3, 8
	check, outcomes := f.sendLoad("load", d, fault, browse, order)
	for _, o := range outcomes {
		if o.Verdict != loadgen.Answered {
			f.t.Logf("%+v", o)
		}
	}
	return check
}

// sendLoad sends the requests of streams for the time d and calls fault while it does so. The
// test fails if the outcomes contradict the execution records or if no request was answered.
// Work ids begin with prefix, so that several loads in one test have different ids.
func (f *fleet) sendLoad(prefix string, d time.Duration, fault func(), streams ...loadgen.Stream) (loadgen.Check, []loadgen.Outcome) {
	f.t.Helper()
	p := &loadgen.Plan{Seed: 1, Duration: strictjson.Duration(d), Streams: streams}
	for _, in := range f.instances {
		if !in.noLoad {
			p.Nodes = append(p.Nodes, in.address["caller"])
		}
	}
	r, err := loadgen.NewRunner(p, prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	finished := make(chan *loadgen.Result, 1)
	go func() {
		result, err := r.Run(context.Background())
		if err != nil {
			result = nil
		}
		finished <- result
	}()
	fault()
	result := <-finished
	if result == nil {
		f.t.Fatal("load generator failed before it completed the load")
	}
	check := loadgen.Verify(result.Outcomes(), f.executions())
	f.t.Log(check.SummaryLine())
	if !check.Passed() {
		f.t.Errorf("outcomes contradict the execution records: %+v", check)
	}
	if check.Answered == 0 {
		f.t.Error("no request was answered, want at least 1")
	}
	return check, result.Outcomes()
}
