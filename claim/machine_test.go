package claim

import (
	"testing"
	"time"

	"bramleymill/replica"
)

var _ replica.StateMachine = (*Machine)(nil)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func send(t testing.TB, m *Machine, index uint64, at time.Time, c command) Result {
	t.Helper()
	b, err := encodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeResult(m.Apply(index, at, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func beginOf(key, owner string) *BeginRequest {
	return &BeginRequest{Key: key, Owner: owner, Target: "n1", Incarnation: 1, Remaining: time.Second}
}

// Guards against a finish that is lost because the store has no room left for
// the answer.
func TestFinishInFullStoreKeepsCompletion(t *testing.T) {
	m := New()
	send(t, m, 1, start, command{Limits: &Limits{MaxClaims: 10, MaxBytes: recordBytes + 100, Retention: time.Hour}})
	g := send(t, m, 2, start, command{Begin: beginOf("k", "a")})
	f := &FinishRequest{ClaimID: g.ClaimID, Owner: "a", Attempt: 1, Ending: Answered, Answer: &Answer{Status: 201, Body: make([]byte, 1000)}}
	if r := send(t, m, 3, start, command{Finish: f}); r.State != Recorded {
		t.Fatalf("finish: %s", r.State)
	}
	r := send(t, m, 4, start, command{Begin: beginOf("k", "b")})
	if r.State != Finished || !r.Answer.Truncated || r.Answer.Status != 201 {
		t.Errorf("begin after finish: %s %+v, want a truncated answer", r.State, r.Answer)
	}
	if r := send(t, m, 5, start, command{Begin: beginOf("other", "c")}); r.State != Full {
		t.Errorf("begin in a full store: %s, want full", r.State)
	}
}
