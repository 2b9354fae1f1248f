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
	segmentSuffix   = ".wal"
	temporarySuffix = ".tmp"
)

// Options configure a Log.
type Options struct {
	SegmentBytes int64 // size at which a new segment starts; 0: DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs           FS
	folder       string
	segmentLimit int64
	file         File
	header       header
	segments     []uint64 // numbers in ascending order; the last one is written to
	offset       int64    // end of the last intact frame
	nextFrame    uint64   // number of the next frame
	tailPending  bool     // remains of a failed record may follow offset; they are removed before the next record
	namePending  bool     // the name of the newest segment may not be durable yet
	failure      error    // returned by all later writes; nil: none
	buffer       []byte
}

// Open opens the log in folder for appending. It passes the records to replay,
// starting with the newest record that replaced all earlier ones. The slice
// passed to replay is valid only until replay returns. An empty folder is an
// empty log.
func Open(fs FS, folder string, o Options, replay func(record []byte) error) (*Log, error) {
	l := &Log{fs: fs, folder: folder, segmentLimit: o.SegmentBytes}
	if l.segmentLimit <= 0 {
		l.segmentLimit = DefaultSegmentBytes
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
	return filepath.Join(l.folder, fmt.Sprintf("%016x%s", segment, segmentSuffix))
}

// findSegments lists the segments and removes unfinished temporary files.
func (l *Log) findSegments() error {
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return fmt.Errorf("wal: create folder: %w", err)
	}
	names, err := l.fs.List(l.folder)
	if err != nil {
		return fmt.Errorf("wal: list folder: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix+temporarySuffix) {
			// A file that a full disk keeps in place is emptied when its segment starts.
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil && !IsDiskFull(err) {
				return fmt.Errorf("wal: remove unfinished segment: %w", err)
			}
			continue
		}
		base, ok := strings.CutSuffix(name, segmentSuffix)
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

// create starts a new segment whose first record is record. The segment is first
// written to a temporary file, so that every segment has a complete header and
// first frame. Once the segment has its name, it is the one that is written to, even if the
// name cannot be made durable on a full disk: a later record in the segment before it would
// be lost if the name survives a crash.
func (l *Log) create(reset bool, record []byte) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1] + 1
	}
	h := newHeader(reset, l.nextFrame)
	content := h.appendFrame(h.encode(), l.nextFrame, record)
	name := l.path(number)
	f, err := l.writeTemporary(name+temporarySuffix, content)
	if err != nil {
		return err
	}
	if err := l.fs.Rename(name+temporarySuffix, name); err != nil {
		f.Close()
		return l.fail(err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.header, l.offset, l.tailPending = f, h, int64(len(content)), false
	l.segments = append(l.segments, number)
	l.nextFrame++
	l.namePending = true
	return l.syncName()
}

// syncName makes the name of the newest segment durable.
func (l *Log) syncName() error {
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return l.fail(err)
	}
	l.namePending = false
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
		return nil, l.failTemporary(name, err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return nil, l.failTemporary(name, err)
	}
	return f, nil
}

// failTemporary is fail for a temporary file. It frees the space of the file.
func (l *Log) failTemporary(name string, err error) error {
	if IsDiskFull(err) {
		_ = l.fs.Remove(name) // if this fails, the next Open removes the file
	}
	return l.fail(err)
}

// fail returns the error of a failed operation. Unless the disk is full, it records the error,
// so that all later writes fail too.
func (l *Log) fail(err error) error {
	if IsDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	l.failure = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failure
}

// Append writes one record and syncs it. After ErrDiskFull the record may still be found by
// the next Open.
func (l *Log) Append(record []byte) error {
	if err := l.check(record); err != nil {
		return err
	}
	if err := l.finishPending(); err != nil {
		return err
	}
	switch {
	case l.file == nil:
		return l.create(true, record)
	case l.offset >= l.segmentLimit:
		return l.create(false, record)
	}
	l.buffer = l.header.appendFrame(l.buffer[:0], l.nextFrame, record)
	_, err := l.file.Write(l.buffer)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return l.undoFailedWrite(err)
	}
	l.offset += int64(len(l.buffer))
	l.nextFrame++
	return nil
}

// check returns an error if the log has failed or record is too large.
func (l *Log) check(record []byte) error {
	if l.failure != nil {
		return l.failure
	}
	if len(record) > MaxRecordBytes {
		return ErrTooLarge
	}
	return nil
}

// finishPending performs what a full disk has prevented earlier.
func (l *Log) finishPending() error {
	if l.namePending {
		if err := l.syncName(); err != nil {
			return err
		}
	}
	if l.tailPending {
		return l.removeTail()
	}
	return nil
}

// undoFailedWrite removes the remains of a record that could not be written or synced. After
// a full disk the log can be used again: everything before the record was synced earlier, and
// the record is written again from its start. Any other failure leaves the state of the file
// unknown.
func (l *Log) undoFailedWrite(cause error) error {
	if !IsDiskFull(cause) {
		return l.fail(cause)
	}
	l.tailPending = true
	if err := l.removeTail(); err != nil && l.failure != nil {
		return err
	}
	return l.fail(cause)
}

// removeTail removes what follows the last intact frame.
func (l *Log) removeTail() error {
	if err := l.file.Truncate(l.offset); err != nil {
		return l.fail(err)
	}
	l.tailPending = false
	return nil
}

// Reset replaces the whole log by one record. After a crash the log holds either
// the old records or the new one. After ErrDiskFull the old records are still there, unless
// Unsettled returns true.
func (l *Log) Reset(record []byte) error {
	if err := l.check(record); err != nil {
		return err
	}
	if err := l.create(true, record); err != nil {
		return err
	}
	return l.removeBefore(len(l.segments) - 1)
}

// removeBefore removes the first n segments, oldest first, so that a crash leaves
// no gap between the segments. Those that a full disk keeps in place are removed by a later
// Reset or Open.
func (l *Log) removeBefore(n int) error {
	removed := 0
	for _, s := range l.segments[:n] {
		err := l.fs.Remove(l.path(s))
		if IsDiskFull(err) {
			break
		}
		if err != nil {
			return l.fail(err)
		}
		removed++
	}
	l.segments = append([]uint64(nil), l.segments[removed:]...)
	return nil
}

// Unsettled reports whether a segment was started although a full disk prevented its name
// from becoming durable. If Reset started it, the log holds only the new record, or after a
// crash the old ones. Settle, Append and Reset try again.
func (l *Log) Unsettled() bool { return l.namePending }

// Settle makes the name of an unsettled segment durable.
func (l *Log) Settle() error {
	if l.failure != nil {
		return l.failure
	}
	return l.finishPending()
}

// Close closes the log. All appended records are durable already.
func (l *Log) Close() error {
	if l.failure == nil {
		l.failure = errClosed
	}
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
