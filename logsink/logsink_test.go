package logsink

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowOutput blocks its first Write until the channel release is closed.
type slowOutput struct {
	mu      sync.Mutex
	text    bytes.Buffer
	entered chan struct{}
	release chan struct{}
	once    sync.Once
}

func (o *slowOutput) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.entered); <-o.release })
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against a node that waits for its log output, and against dropped lines that
// are neither counted nor reported in the log.
func TestSlowOutputDropsLinesAndCountsThem(t *testing.T) {
	out := &slowOutput{entered: make(chan struct{}), release: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("first\n"))
	<-out.entered
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	const lines = 2 * MaxBufferedBytes / (1 << 10)
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	dropped := s.Dropped()
	close(out.release)
	if err := s.Close(time.Minute); err != nil {
		t.Error(err)
	}
	written := strings.Count(out.text.String(), string(line))
	if dropped == 0 || uint64(written)+dropped != lines {
		t.Errorf("while the output blocks: %d lines written and %d dropped of %d; want some dropped, and each line either written or counted as dropped", written, dropped, lines)
	}
	if !strings.HasPrefix(out.text.String(), "first\n") || !strings.Contains(out.text.String(), "log lines dropped") {
		t.Error("output after Close: the line \"first\" at its start or the report \"log lines dropped\" is missing, want both")
	}
}

// Guards against a process that cannot end because its log output takes no more lines.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	out := &slowOutput{entered: make(chan struct{}), release: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("first\n"))
	<-out.entered
	if err := s.Close(time.Millisecond); !errors.Is(err, ErrNotWritten) {
		t.Errorf("Close while the output blocks: error %v, want ErrNotWritten", err)
	}
	close(out.release)
}
