package filter

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a caller that waits for the work that follows its answer, and
// against a flush that would send an answer of unknown length in more parts.
func TestEndSendsAnAnswerOfKnownLength(t *testing.T) {
	for length, flushed := range map[string]bool{"2": true, "": false} {
		rw := httptest.NewRecorder()
		w := NewWriter(rw, nil)
		h := http.Header{}
		if length != "" {
			h.Set("Content-Length", length)
		}
		if err := w.Begin(Head{Status: 200, Header: h}); err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write([]byte("ok")); err != nil || rw.Flushed {
			t.Fatalf("length %q: flushed %v before the end, %v", length, rw.Flushed, err)
		}
		if err := w.End(nil); err != nil || rw.Flushed != flushed {
			t.Errorf("length %q: flushed %v, %v", length, rw.Flushed, err)
		}
	}
}
