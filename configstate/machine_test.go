package configstate

import (
	"fmt"
	"testing"
	"time"

	"bramleymill/replica"
)

var _ replica.StateMachine = (*Machine)(nil)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a valid class document that differs for each n.
func document(n int) []byte {
	return fmt.Appendf(nil, `{"classes":[{"name":"browse","service":"katalog",
 "match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,
 "latency_target":"%dms","deadline":"20s","urgency":"normal"}]}
`, n+1)
}

func send(t testing.TB, m *Machine, at time.Time, c Change) Answer {
	t.Helper()
	command, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	a, err := DecodeAnswer(m.Apply(0, at, command))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func apply(id string, expected uint64, n int) Change {
	return Change{ID: id, Action: ApplyDocument, Operator: "ada", Origin: "10.0.0.1:4000", Expected: expected, Document: document(n)}
}

// Guards against a resent change that applies twice or gets another answer
// after the version moved on, also when the resending reads the version again.
func TestResentChangeGetsFirstAnswer(t *testing.T) {
	m := New(nil)
	first := send(t, m, start, apply("a", 0, 1))
	send(t, m, start, apply("b", 1, 2))
	for _, expected := range []uint64{0, 2} {
		again := send(t, m, start, apply("a", expected, 1))
		if !again.Repeated || again.Version != first.Version || again.Sequence != first.Sequence {
			t.Errorf("resent with expected version %d: %+v, want the first answer %+v", expected, again, first)
		}
	}
	if v := m.View().Version; v != 2 {
		t.Errorf("version = %d, want 2", v)
	}
	if a := send(t, m, start, apply("a", 2, 3)); a.Outcome != IDReused {
		t.Errorf("id with another document: %s, want %s", a.Outcome, IDReused)
	}
}
