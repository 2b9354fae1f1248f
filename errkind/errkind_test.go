package errkind

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against an unclassified error that states that the work did not run, although it may
// have run.
func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	e := Of(errors.New("socket closed"))
	if e.Kind != Internal || e.ProvedNotRun() {
		t.Fatalf("Of(plain error): error kind = %s, ProvedNotRun = %v, want internal, false", e.Kind, e.ProvedNotRun())
	}
	if got := Lookup(Kind("unlisted")).Outcome; got != Unknown {
		t.Fatalf("outcome of a kind outside the list = %s, want unknown", got)
	}
}

// Guards against an error that loses its kind when it is wrapped.
func TestKindSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("forward: %w", New(QueueFull, "10 queued"))
	if got := Of(err).Kind; got != QueueFull {
		t.Fatalf("kind of a wrapped error = %s, want %s", got, QueueFull)
	}
}

// Guards against a kind that has no HTTP status or a status that is not an error.
func TestEveryKindHasAnErrorStatus(t *testing.T) {
	for _, k := range Kinds() {
		if s := Lookup(k).Status; s < 400 || s > 599 {
			t.Errorf("error kind %s: HTTP status = %d, want 400 to 599", k, s)
		}
	}
}
