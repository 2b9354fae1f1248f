package configstate

import (
	"testing"
	"time"
)

// Guards against an audit entry with the time of the log entry. That time falls behind
// the wall clock while all control instances are stopped. Also guards against a resent
// change that is treated as a different one because it was submitted later.
func TestAuditStatesWhenAChangeWasSubmitted(t *testing.T) {
	m := New(nil)
	logTime := time.Unix(1_000_000, 0)
	submitted := time.Unix(2_000_000, 0).UTC()
	for i := range 2 {
		command, err := EncodeChange(Change{ID: "c", Action: Drain, Operator: "op", Node: "n", Submitted: submitted.Add(time.Duration(i) * time.Minute).UnixNano()})
		if err != nil {
			t.Fatal(err)
		}
		a, err := DecodeAnswer(m.Apply(uint64(i+1), logTime, command))
		if err != nil || a.Outcome != Accepted || a.Repeated != (i == 1) {
			t.Fatalf("submission %d: answer = %+v, error %v, want accepted with Repeated = false for submission 0 and true for submission 1", i, a, err)
		}
	}
	if e := m.History(0, 1).Entries[0]; !e.Time.Equal(submitted) {
		t.Errorf("time of the audit entry = %v, want %v, when the change was first submitted", e.Time, submitted)
	}
}
