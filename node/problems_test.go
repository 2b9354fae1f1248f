package node

import (
	"strings"
	"testing"
	"time"

	"bramleymill/explain"
	"bramleymill/replica"
)

// Guards against a disk stall that is neither recorded as an event nor counted.
func TestDiskEventsAreRecordedAndCounted(t *testing.T) {
	var kinds []explain.EventKind
	var reasons []string
	c := &control{recordEvent: func(k explain.EventKind, reason string) {
		kinds, reasons = append(kinds, k), append(reasons, reason)
	}}
	c.recordDiskEvent(replica.DiskEvent{Stalled: true, Operation: "writing the log", Duration: time.Second})
	c.recordDiskEvent(replica.DiskEvent{Operation: "writing the log", Duration: time.Minute})
	if len(kinds) != 2 || kinds[0] != explain.DiskStalls || kinds[1] != explain.DiskResponds {
		t.Fatalf("events of a disk that stalled and responded again = %q, want [\"disk_hangs\" \"disk_answers\"]", kinds)
	}
	if !strings.Contains(reasons[0], "writing the log") {
		t.Fatalf("reason of the event disk_hangs = %q, want one with the operation \"writing the log\"", reasons[0])
	}
	if c.diskStalls.Load() != 1 {
		t.Fatalf("disk stalls counted after one stall = %d, want 1", c.diskStalls.Load())
	}
}
