package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"bramleymill/explain"
)

const (
	// recorderQueue is the number of records that may wait for the disk. Records beyond
	// it are dropped and counted, so that a slow disk does not delay requests.
	recorderQueue = 4096
	// recorderFlush is the longest time for which a record stays in the write buffer.
	recorderFlush = time.Second
)

// recorder appends the record of each request to a file, one JSON object per line.
type recorder struct {
	file    *os.File
	queue   chan *explain.Record
	dropped atomic.Uint64
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("record_file: %w", err)
	}
	return &recorder{file: f, queue: make(chan *explain.Record, recorderQueue)}, nil
}

// add queues a record, or drops it if the queue is full. It does not block.
func (r *recorder) add(rec *explain.Record) {
	select {
	case r.queue <- rec:
	default:
		r.dropped.Add(1)
	}
}

// run writes records until ctx ends. It then writes the records that are still queued
// and closes the file.
func (r *recorder) run(ctx context.Context) error {
	w := bufio.NewWriter(r.file)
	enc := json.NewEncoder(w)
	flush := time.NewTicker(recorderFlush)
	defer flush.Stop()
	for {
		var err error
		select {
		case rec := <-r.queue:
			err = enc.Encode(rec)
		case <-flush.C:
			err = w.Flush()
		case <-ctx.Done():
			return errors.Join(r.writeQueued(enc), w.Flush(), r.file.Close())
		}
		if err != nil {
			return errors.Join(fmt.Errorf("write record_file: %w", err), r.file.Close())
		}
	}
}

func (r *recorder) writeQueued(enc *json.Encoder) error {
	for {
		select {
		case rec := <-r.queue:
			if err := enc.Encode(rec); err != nil {
				return fmt.Errorf("write record_file: %w", err)
			}
		default:
			return nil
		}
	}
}
