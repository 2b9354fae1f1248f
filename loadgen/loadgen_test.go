package loadgen

import (
	"net/http"
	"testing"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Guards against a check that overlooks a broken promise.
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
		t.Fatalf("check = %+v", c)
	}
}

// Guards against bytes of another request being taken for the right answer.
func TestJudge(t *testing.T) {
	ok := &http.Response{StatusCode: 200, Header: http.Header{}}
	if got := judge(ok, []byte("abab"), "ab").verdict; got != Answered {
		t.Errorf("own answer judged %s", got)
	}
	if got := judge(ok, []byte("abxb"), "ab").verdict; got != Mixed {
		t.Errorf("mixed answer judged %s", got)
	}
	refusal := &http.Response{StatusCode: 503, Header: http.Header{}}
	refusal.Header.Set(fleet.HeaderKind, string(errkind.QueueFull))
	if got := judge(refusal, nil, "ab").verdict; got != NotRun {
		t.Errorf("refusal judged %s", got)
	}
}
