package wal

import (
	"fmt"
	"slices"
)

// segment is a segment file that was read into memory.
type segment struct {
	name   string
	data   []byte
	header header
}

func (l *Log) read(number uint64) (segment, error) {
	s := segment{name: l.path(number)}
	var err error
	if s.data, err = ReadFile(l.fs, s.name); err != nil {
		return s, fmt.Errorf("wal: read segment: %w", err)
	}
	var ok bool
	if s.header, ok = decodeHeader(s.data); !ok {
		return s, &CorruptError{File: s.name, Reason: "damaged segment header"}
	}
	return s, nil
}

// findStart returns the position in l.segments of the newest segment that
// replaced all earlier ones.
func (l *Log) findStart() (int, error) {
	for i := len(l.segments) - 1; i >= 0; i-- {
		s, err := l.read(l.segments[i])
		if err != nil {
			return 0, err
		}
		if s.header.reset {
			return i, nil
		}
	}
	return 0, &CorruptError{File: l.path(l.segments[0]), Reason: "the segments before this one are missing"}
}

func (l *Log) replay(f func([]byte) error) error {
	start, err := l.findStart()
	if err != nil {
		return err
	}
	first := l.segments[start]
	if err := l.removeBefore(start); err != nil {
		return err
	}
	kept := l.segments[slices.Index(l.segments, first):]
	for i, number := range kept {
		s, err := l.read(number)
		if err != nil {
			return err
		}
		if i > 0 && (number != kept[i-1]+1 || s.header.first != l.nextFrame) {
			return &CorruptError{File: s.name, Reason: "the segment before this one is missing or incomplete"}
		}
		l.header, l.nextFrame = s.header, s.header.first
		if err := l.replaySegment(s, i == len(kept)-1, f); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) replaySegment(s segment, last bool, f func([]byte) error) error {
	offset := headerBytes
	for offset < len(s.data) {
		number, payload, ok := s.header.frame(s.data[offset:])
		if !ok || number != l.nextFrame {
			break
		}
		if err := f(payload); err != nil {
			return fmt.Errorf("wal: %s at byte %d: %w", s.name, offset, err)
		}
		offset += frameBytes + len(payload)
		l.nextFrame++
	}
	l.offset = int64(offset)
	intact := offset == len(s.data)
	if offset == headerBytes || !intact && (!last || s.header.containsFrame(s.data[offset+1:])) {
		return &CorruptError{File: s.name, Offset: l.offset, Reason: "damaged record before the end of the log"}
	}
	if last {
		return l.openLast(s.name, intact)
	}
	return nil
}

// openLast opens the last segment for appending and truncates a record that was
// cut off.
func (l *Log) openLast(name string, intact bool) error {
	f, err := l.fs.OpenAppend(name)
	if err != nil {
		return fmt.Errorf("wal: open segment: %w", err)
	}
	l.file = f
	if intact {
		return nil
	}
	err = f.Truncate(l.offset)
	if err == nil {
		err = f.Sync()
	}
	if IsDiskFull(err) {
		l.tailPending = true
		return nil
	}
	if err != nil {
		return l.fail(err)
	}
	return nil
}
