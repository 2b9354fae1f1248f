package standin

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

func start(t *testing.T, configure func(*Config)) *Server {
	t.Helper()
	c := DefaultConfig()
	c.ServiceTime, c.OpenDelay = time.Millisecond, 0
	configure(&c)
	s, err := New(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	return s
}

func send(t *testing.T, s *Server, workID string) (*http.Response, []byte) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/orders", bytes.NewReader([]byte("x")))
	req.Header.Set(HeaderWorkID, workID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, b
}

// Guards against executions without a record, which would hide doubled work, and
// against more concurrent executions than slots.
func TestEveryExecutionIsRecorded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "records")
	s := start(t, func(c *Config) { c.RecordFile = file; c.Slots = 2 })
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { send(t, s, "w") })
	}
	wg.Wait()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	recs, err := ReadRecords(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	running, peak, started := 0, 0, 0
	for _, r := range recs {
		if r.Event == Started {
			started++
			running++
		} else {
			running--
		}
		peak = max(peak, running)
	}
	if started != 20 || peak > 2 {
		t.Fatalf("%d executions started, at most %d at the same time; want 20 and at most 2", started, peak)
	}
}

// Guards against a crash that leaves no record of the execution that it interrupted.
func TestCrashIsRecordedBeforeTheProcessExits(t *testing.T) {
	file := filepath.Join(t.TempDir(), "records")
	s := start(t, func(c *Config) { c.RecordFile = file })
	exitStatus := 0
	s.exit = func(code int) { exitStatus = code }
	req, _ := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/", nil)
	req.Header.Set(HeaderCrash, "yes")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	b, _ := os.ReadFile(file)
	if exitStatus != crashExitCode || !bytes.Contains(b, []byte(`"started"`)) {
		t.Fatalf("exit status %d, records %s; want status 3 and a started record", exitStatus, b)
	}
}

// Guards against an answer whose bytes do not show to which request it belongs.
func TestAnswerRepeatsTheWorkID(t *testing.T) {
	s := start(t, func(c *Config) { c.AnswerBytes = 7 })
	_, b := send(t, s, "abc")
	if string(b) != "abcabca" {
		t.Fatalf("answer of 7 bytes to the work id abc = %q, want \"abcabca\"", b)
	}
}

// Guards against a load report that is more recent than Config.ReportLag allows.
func TestLoadReportLags(t *testing.T) {
	r := newLoadReporter(Config{ReportLag: time.Second})
	at := time.Unix(1000, 0)
	r.report(at, Load{InFlight: 1})
	if got := r.report(at.Add(500*time.Millisecond), Load{InFlight: 9}).InFlight; got != 1 {
		t.Errorf("load reported after 500 ms = %d, want 1", got)
	}
	if got := r.report(at.Add(1600*time.Millisecond), Load{InFlight: 5}).InFlight; got != 9 {
		t.Errorf("load reported after 1.6 s = %d, want 9", got)
	}
}

// Guards against a draining stand-in that starts new work.
func TestDrainingRefusesWork(t *testing.T) {
	s := start(t, func(*Config) {})
	s.draining.Store(true)
	if resp, _ := send(t, s, "w"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("request for work at a draining stand-in: status = %d, want 503", resp.StatusCode)
	}
}
