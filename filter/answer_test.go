package filter

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against an answer of known length that is not flushed at its end, so that the caller
// waits for the work that follows. Also guards against an additional flush of an answer of
// unknown length, which would split it into more parts.
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
			t.Fatalf("length %q: flushed before End = %v, Write error = %v; want false and no error", length, rw.Flushed, err)
		}
		if err := w.End(nil); err != nil || rw.Flushed != flushed {
			t.Errorf("length %q: flushed after End = %v, error = %v, want true for the length 2, false for an unknown length, and no error", length, rw.Flushed, err)
		}
	}
}
