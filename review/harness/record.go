package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer != nil {
		_, _ = fmt.Fprintf(r.writer, "%9.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.writer = nil
	_ = r.file.Close() // everything has been flushed
}
