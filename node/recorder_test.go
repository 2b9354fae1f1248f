package node

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"bramleymill/explain"
	"bramleymill/fleet"
)

// Guards against queued records that are lost when the node stops, and against a full
// queue that blocks requests.
func TestRecorderWritesQueuedRecordsWhenStopped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	r, err := newRecorder(path)
	if err != nil {
		t.Fatal(err)
	}
	s := explain.NewStore(fleet.NodeID("n"), 8, 8)
	s.Observe(r.add)
	for range recorderQueue + 5 {
		s.Add(&explain.Record{RequestID: "n.1.a", Class: "browse"})
	}
	if got := r.dropped.Load(); got != 5 {
		t.Errorf("records dropped after 5 more than fit in the queue were added = %d, want 5", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.run(ctx); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := bytes.Count(b, []byte(`"class":"browse"`)); got != recorderQueue {
		t.Errorf("records in the file after the recorder stopped = %d, want %d", got, recorderQueue)
	}
}
