package errkind

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against an unclassified error being reported as proof that the work did not run.
func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	e := Of(errors.New("socket closed"))
	if e.Kind != Internal || e.ProvedNotRun() {
		t.Fatalf("Of(plain error) = %v, ProvedNotRun %v", e.Kind, e.ProvedNotRun())
	}
	if got := Lookup(Kind("unlisted")).Outcome; got != Unknown {
		t.Fatalf("outcome of an unlisted kind = %s, want unknown", got)
	}
}

// Guards against losing the kind when an error is wrapped on its way up.
func TestKindSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("forward: %w", New(QueueFull, "10 queued"))
	if got := Of(err).Kind; got != QueueFull {
		t.Fatalf("kind = %s, want %s", got, QueueFull)
	}
}

// Guards against a kind whose HTTP answer is missing or reads as success.
func TestEveryKindHasAnErrorStatus(t *testing.T) {
	for _, k := range Kinds() {
		if s := Lookup(k).Status; s < 400 || s > 599 {
			t.Errorf("%s: status %d", k, s)
		}
	}
}
