package node

import (
	"strings"
	"testing"
	"time"

	"bramleymill/explain"
	"bramleymill/replica"
)

// Guards against a hanging disk that leaves no event and no count behind.
func TestDiskEventsAreRecordedAndCounted(t *testing.T) {
	var kinds []explain.EventKind
	var reasons []string
	c := &control{recordEvent: func(k explain.EventKind, reason string) {
		kinds, reasons = append(kinds, k), append(reasons, reason)
	}}
	c.recordDiskEvent(replica.DiskEvent{Hangs: true, Operation: "writing the log", Duration: time.Second})
	c.recordDiskEvent(replica.DiskEvent{Operation: "writing the log", Duration: time.Minute})
	if len(kinds) != 2 || kinds[0] != explain.DiskHangs || kinds[1] != explain.DiskAnswers {
		t.Fatalf("events %q", kinds)
	}
	if !strings.Contains(reasons[0], "writing the log") {
		t.Fatalf("reason %q", reasons[0])
	}
	if c.diskStalls.Load() != 1 {
		t.Fatalf("%d hangs counted", c.diskStalls.Load())
	}
}
