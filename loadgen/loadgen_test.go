package loadgen

import (
	"net/http"
	"testing"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Guards against a Verify that overlooks doubled or lost work or a false refusal, or
// that reports idempotent or resent work as a violation.
func TestVerifyFindsViolations(t *testing.T) {
	started := map[string]int{"twice": 2, "refused": 1, "browse": 3, "resent": 1, "ok": 1}
	c := Verify([]Outcome{
		{WorkID: "twice", Verdict: Answered, Sent: 1},
		{WorkID: "refused", Verdict: NotRun, Sent: 1},
		{WorkID: "browse", Verdict: Answered, Idempotent: true, Sent: 1},
		{WorkID: "resent", Verdict: NotRun, Sent: 2},
		{WorkID: "never", Verdict: Answered, Sent: 1},
		{WorkID: "ok", Verdict: Answered, Sent: 1},
		{WorkID: "silent", Sent: 1},
	}, started)
	if c.Doubled != 1 || c.FalseRefusals != 1 || c.Lost != 2 || c.Passed() {
		t.Fatalf("Verify = %+v, want 1 doubled, 1 false refusal and 2 lost, and Passed() = false", c)
	}
}

// Guards against accepting an answer that contains bytes of another request, and
// against counting a refusal as an answer.
func TestClassify(t *testing.T) {
	ok := &http.Response{StatusCode: 200, Header: http.Header{}}
	if got := classify(ok, []byte("abab"), "ab").verdict; got != Answered {
		t.Errorf("verdict of an answer to this request = %q, want answered", got)
	}
	if got := classify(ok, []byte("abxb"), "ab").verdict; got != Mixed {
		t.Errorf("verdict of an answer with bytes of another request = %q, want mixed", got)
	}
	refusal := &http.Response{StatusCode: 503, Header: http.Header{}}
	refusal.Header.Set(fleet.HeaderKind, string(errkind.QueueFull))
	if got := classify(refusal, nil, "ab").verdict; got != NotRun {
		t.Errorf("verdict of a refusal = %q, want not_run", got)
	}
}
