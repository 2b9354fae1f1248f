package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Event is the start or one of the possible ends of an execution.
type Event string

// The events of an execution.
const (
	Started  Event = "started"  // the work is about to begin
	Finished Event = "finished" // the work is complete and the answer follows
	Aborted  Event = "aborted"  // ended early because the caller disconnected or a nested call failed
)

// Record is one line of the execution records. The caller chooses WorkID and keeps
// it when it sends the request again.
type Record struct {
	Event   Event     `json:"event"`
	WorkID  string    `json:"work_id"`
	Service string    `json:"service"`
	Server  string    `json:"server"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	At      time.Time `json:"at"`

	DeadlineMillis int64 `json:"deadline_ms,omitempty"` // remaining time according to the node
}

// Recorder appends records to a file. It writes each record with one write call, so
// that the records of a killed process are complete. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	file *os.File
}

// OpenRecorder opens the file at path for appending. With an empty path the
// Recorder discards all records.
func OpenRecorder(path string) (*Recorder, error) {
	if path == "" {
		return &Recorder{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open execution records: %w", err)
	}
	return &Recorder{file: f}, nil
}

// Write appends a record to the file.
func (r *Recorder) Write(rec Record) error {
	if r.file == nil {
		return nil
	}
	b, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode execution record: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("write execution record: %w", err)
	}
	return nil
}

// Close closes the file. The Recorder must not be used afterwards.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// ReadRecords reads execution records until the end of the input.
func ReadRecords(in io.Reader) ([]Record, error) {
	var out []Record
	s := bufio.NewScanner(in)
	for s.Scan() {
		var rec Record
		if err := json.Unmarshal(s.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("decode execution record %d: %w", len(out)+1, err)
		}
		out = append(out, rec)
	}
	return out, s.Err()
}
