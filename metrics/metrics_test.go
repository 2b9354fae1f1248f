package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleymill/errkind"
)

// Guards against refusals that enter the latency histogram and hide a bad tail,
// and against series that are not exported.
func TestExport(t *testing.T) {
	m := New("katalog-1")
	m.RequestFinished("browse", "", 3*time.Millisecond)
	m.RequestFinished("browse", errkind.QueueFull, time.Microsecond)
	m.Attempt("browse", true)
	m.Count("probes", 2)
	if err := m.UpdateUsage(); err != nil {
		t.Fatal(err)
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, want := range []string{
		`bramleymill_requests{class="browse",kind="none",node="katalog-1",outcome="answered"} 1`,
		`bramleymill_requests{class="browse",kind="queue_full",node="katalog-1",outcome="overloaded"} 1`,
		`bramleymill_request_seconds_count{class="browse",node="katalog-1"} 1`,
		`bramleymill_attempts{class="browse",hedge="true",node="katalog-1"} 1`,
		`bramleymill_probes{node="katalog-1"} 2`,
		`bramleymill_process_resident_bytes`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("export lacks %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

// BenchmarkRequestFinished measures what recording adds to a request.
func BenchmarkRequestFinished(b *testing.B) {
	m := New("n")
	defer m.Close()
	b.ReportAllocs()
	for b.Loop() {
		m.RequestFinished("browse", "", time.Millisecond)
	}
}
