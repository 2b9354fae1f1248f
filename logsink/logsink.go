// Package logsink writes log lines to an output that may be slow without blocking the
// goroutines that log. Lines that do not fit into its buffer are dropped and counted.
package logsink

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// MaxBufferedBytes is the largest total size of the lines that wait to be written.
const MaxBufferedBytes = 1 << 20

// Sink is an io.Writer that does not wait for its output. Each call of Write must
// contain one line.
type Sink struct {
	out io.Writer

	mu              sync.Mutex
	pending         bytes.Buffer
	unreportedDrops uint64 // lines dropped since the output last received their number
	totalDropped    uint64
	wake            *sync.Cond
	closed          bool
	done            chan struct{}
}

// New returns a Sink that writes to out in the background until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write adds a line to the buffer. It drops the line if the buffer is full or the Sink
// is closed. It always reports success.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.Len()+len(p) > MaxBufferedBytes || s.closed {
		s.unreportedDrops++
		s.totalDropped++
		return len(p), nil
	}
	s.pending.Write(p)
	s.wake.Signal()
	return len(p), nil
}

// Dropped returns the number of lines that were dropped since the Sink was created.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalDropped
}

// run writes all pending lines with one call of the output, followed by the number of
// lines dropped since the last report, until the Sink is closed.
func (s *Sink) run() {
	defer close(s.done)
	var batch bytes.Buffer
	for {
		s.mu.Lock()
		for s.pending.Len() == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.pending.Len() == 0 {
			s.mu.Unlock()
			return
		}
		batch, s.pending = s.pending, batch
		dropped := s.unreportedDrops
		s.unreportedDrops = 0
		s.mu.Unlock()
		if dropped > 0 {
			fmt.Fprintf(&batch, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped)
		}
		// An error is ignored, because it could only be reported to the log itself.
		_, _ = s.out.Write(batch.Bytes())
		batch.Reset()
	}
}

// Close writes the pending lines and stops the Sink. Later lines are dropped. It returns
// ErrNotWritten if the output has not taken all lines within timeout, so that an output
// that blocks does not keep the process from ending.
func (s *Sink) Close(timeout time.Duration) error {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-s.done:
		return nil
	case <-t.C:
		return ErrNotWritten
	}
}

// ErrNotWritten is returned by Close if lines are left that the output has not taken.
var ErrNotWritten = errors.New("log lines are left that the output did not take in time")
