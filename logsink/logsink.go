// Package logsink writes log lines to a slow output without holding up those who
// log. Lines that do not fit into its buffer are dropped and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// MaxBufferedBytes bounds the lines that wait for the output.
const MaxBufferedBytes = 1 << 20

// Sink is an io.Writer that never blocks. Each Write is one line.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	unreportedDrops uint64
	totalDropped   uint64
	wake    *sync.Cond
	closed  bool
	done    chan struct{}
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write takes a line or drops it.
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

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalDropped
}

// run writes what waits together with one call.
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
		// There is nowhere to report that the log itself cannot be written.
		_, _ = s.out.Write(batch.Bytes())
		batch.Reset()
	}
}

// Close writes what waits and ends the Sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	<-s.done
}
