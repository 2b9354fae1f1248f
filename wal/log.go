package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// DefaultSegmentBytes is the size at which a new segment starts.
const DefaultSegmentBytes = 8 << 20

const (
	suffix    = ".wal"
	temporary = ".tmp"
)

// Options configure a Log.
type Options struct {
	SegmentBytes int64 // 0: DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs       FS
	folder   string
	limit    int64
	file     File
	head     header
	segments []uint64 // numbers, ascending; the last one is written to
	offset   int64    // end of the last whole frame
	next     uint64   // number of the next frame
	failed   error
	buffer   []byte
}

// Open replays the records of the log in folder, starting with the newest one
// that replaced the earlier ones, and opens the log for appending. The slice
// passed to replay is valid during the call. An empty folder gives an empty log.
func Open(fs FS, folder string, o Options, replay func(record []byte) error) (*Log, error) {
	l := &Log{fs: fs, folder: folder, limit: o.SegmentBytes}
	if l.limit <= 0 {
		l.limit = DefaultSegmentBytes
	}
	if err := l.findSegments(); err != nil {
		return nil, err
	}
	if len(l.segments) == 0 {
		return l, nil
	}
	if err := l.replay(replay); err != nil {
		return nil, err
	}
	return l, nil
}

// Empty reports whether the log holds no record.
func (l *Log) Empty() bool { return len(l.segments) == 0 }

func (l *Log) path(segment uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016x%s", segment, suffix))
}

// findSegments lists the segments and removes unfinished temporary files.
func (l *Log) findSegments() error {
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return fmt.Errorf("wal: make folder: %w", err)
	}
	names, err := l.fs.List(l.folder)
	if err != nil {
		return fmt.Errorf("wal: list folder: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, suffix+temporary) {
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
				return fmt.Errorf("wal: remove unfinished segment: %w", err)
			}
			continue
		}
		base, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return &CorruptError{File: name, Reason: "unexpected file name"}
		}
		l.segments = append(l.segments, number)
	}
	return nil
}

// create starts a new segment that holds record. It is written to a temporary
// file first, so that every segment has a whole header and first frame.
func (l *Log) create(reset bool, record []byte) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1] + 1
	}
	h := newHeader(reset, l.next)
	content := h.appendFrame(h.encode(), l.next, record)
	name := l.path(number)
	f, err := l.writeTemporary(name+temporary, content)
	if err != nil {
		return err
	}
	if err := l.fs.Rename(name+temporary, name); err != nil {
		f.Close()
		return l.fail(err)
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		f.Close()
		return l.fail(err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.head, l.offset = f, h, int64(len(content))
	l.segments = append(l.segments, number)
	l.next++
	return nil
}

func (l *Log) writeTemporary(name string, content []byte) (File, error) {
	f, err := l.fs.Create(name)
	if err == nil {
		_, err = f.Write(content)
	}
	if err != nil {
		if f != nil {
			f.Close()
		}
		if IsDiskFull(err) {
			_ = l.fs.Remove(name) // removed by the next Open otherwise
			return nil, fmt.Errorf("%w: %w", ErrDiskFull, err)
		}
		return nil, l.fail(err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, l.fail(err)
	}
	return f, nil
}

// fail makes the error stick.
func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}

// Append writes one record and syncs it.
func (l *Log) Append(record []byte) error {
	switch {
	case l.failed != nil:
		return l.failed
	case len(record) > MaxRecordBytes:
		return ErrTooLarge
	case l.file == nil:
		return l.create(true, record)
	case l.offset >= l.limit:
		return l.create(false, record)
	}
	l.buffer = l.head.appendFrame(l.buffer[:0], l.next, record)
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.undoWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.offset += int64(len(l.buffer))
	l.next++
	return nil
}

// undoWrite removes what a failed write has left. After a full disk the log can
// be used again; any other failure leaves the state of the file unknown.
func (l *Log) undoWrite(cause error) error {
	if !IsDiskFull(cause) {
		return l.fail(cause)
	}
	if err := l.file.Truncate(l.offset); err != nil {
		return l.fail(err)
	}
	return fmt.Errorf("%w: %w", ErrDiskFull, cause)
}

// Reset replaces the whole log by one record. A crash leaves either the old
// records or the new one.
func (l *Log) Reset(record []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(record) > MaxRecordBytes {
		return ErrTooLarge
	}
	if err := l.create(true, record); err != nil {
		return err
	}
	return l.removeBefore(len(l.segments) - 1)
}

// removeBefore removes the first n segments, oldest first, so that a crash
// leaves no gap.
func (l *Log) removeBefore(n int) error {
	for _, s := range l.segments[:n] {
		if err := l.fs.Remove(l.path(s)); err != nil {
			return l.fail(err)
		}
	}
	l.segments = append([]uint64(nil), l.segments[n:]...)
	return nil
}

// Close closes the log. Everything appended is durable already.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errClosed
	}
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
