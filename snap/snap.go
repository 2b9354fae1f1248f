// Package snap stores snapshots of a state machine, one file for each. Once Save
// has returned without an error, the snapshot is complete and durable.
package snap

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"bramleymill/wal"
)

// A file is: magic 8 | header length 4 | data length 8 | CRC32C 4 | header | data.
// The CRC covers the lengths, header and data.
const (
	magic           = "BMSNAP\x00\x01"
	prefixBytes     = 24
	fileSuffix      = ".snap"
	temporarySuffix = ".tmp"

	// keptSnapshots is the number of snapshots that stay on disk. The one before
	// the newest is kept so that its transfer to a replica can finish.
	keptSnapshots = 2

	// writeBytes is the size of the buffer through which a snapshot file is
	// written.
	writeBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of a store.
var (
	// ErrNotFound reports that there is no such snapshot.
	ErrNotFound = errors.New("snap: no such snapshot")
	// ErrDiskFull reports that a snapshot was not saved because the disk is full. The
	// earlier snapshots are intact.
	ErrDiskFull = errors.New("snap: disk full")
	// ErrFailed reports a failed write or sync. All later calls of Save fail too.
	ErrFailed = errors.New("snap: write or sync failed")
)

// CorruptError reports a damaged snapshot file.
type CorruptError struct {
	File   string
	Reason string
}

// Error describes the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("snap: %s is corrupt: %s", e.File, e.Reason)
}

// Snapshot is a stored snapshot. Index orders snapshots; the store does not
// interpret Header.
type Snapshot struct {
	Index  uint64
	Header []byte
	Data   []byte
	// Stream, if set, writes the data of a snapshot to save, so that a large
	// snapshot need not be held in Data. Save calls it three times, and it must
	// write the same bytes each time.
	Stream func(w io.Writer) error
}

// Store keeps the snapshots of one folder. It is safe for concurrent use.
type Store struct {
	fs     wal.FS
	folder string

	mu      sync.Mutex
	indices []uint64 // indices of the stored snapshots, ascending
	failure error    // returned by all later calls of Save; nil: none
}

// Open opens the store in folder and removes unfinished files.
func Open(fs wal.FS, folder string) (*Store, error) {
	s := &Store{fs: fs, folder: folder}
	if err := fs.MkdirAll(folder); err != nil {
		return nil, fmt.Errorf("snap: create folder: %w", err)
	}
	names, err := fs.List(folder)
	if err != nil {
		return nil, fmt.Errorf("snap: list folder: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, fileSuffix+temporarySuffix) {
			// A file that a full disk keeps in place is emptied by the next Save of its index.
			if err := fs.Remove(filepath.Join(folder, name)); err != nil && !wal.IsDiskFull(err) {
				return nil, fmt.Errorf("snap: remove unfinished file: %w", err)
			}
		}
		if base, ok := strings.CutSuffix(name, fileSuffix); ok {
			index, err := strconv.ParseUint(base, 16, 64)
			if err != nil {
				return nil, &CorruptError{File: name, Reason: "unexpected file name"}
			}
			s.indices = append(s.indices, index)
		}
	}
	return s, nil
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%016x%s", index, fileSuffix))
}

// Latest returns the newest snapshot, or ErrNotFound.
func (s *Store) Latest() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.indices) == 0 {
		return nil, ErrNotFound
	}
	index := s.indices[len(s.indices)-1]
	b, err := wal.ReadFile(s.fs, s.path(index))
	if err != nil {
		return nil, fmt.Errorf("snap: read snapshot: %w", err)
	}
	n, err := parsePrefix(s.path(index), b)
	if err != nil {
		return nil, err
	}
	if uint64(len(b)) != prefixBytes+n.header+n.data || checksum(b[8:20], b[prefixBytes:]) != n.crc {
		return nil, &CorruptError{File: s.path(index), Reason: "checksum or length does not match"}
	}
	body := b[prefixBytes:]
	return &Snapshot{Index: index, Header: body[:n.header:n.header], Data: body[n.header:]}, nil
}

// prefix holds the lengths and the checksum at the start of a snapshot file.
type prefix struct {
	header, data uint64
	crc          uint32
}

func parsePrefix(file string, b []byte) (prefix, error) {
	if len(b) < prefixBytes || string(b[:8]) != magic {
		return prefix{}, &CorruptError{File: file, Reason: "damaged file header"}
	}
	return prefix{
		header: uint64(binary.LittleEndian.Uint32(b[8:])),
		data:   binary.LittleEndian.Uint64(b[12:]),
		crc:    binary.LittleEndian.Uint32(b[20:]),
	}, nil
}

func checksum(lengths []byte, parts ...[]byte) uint32 {
	crc := crc32.Checksum(lengths, castagnoli)
	for _, p := range parts {
		crc = crc32.Update(crc, castagnoli, p)
	}
	return crc
}

// ReadAt returns up to limit bytes from offset on of the data of the snapshot at
// index, and the total length of the data.
func (s *Store) ReadAt(index, offset uint64, limit int) (chunk []byte, total uint64, err error) {
	f, err := s.fs.Open(s.path(index))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	defer f.Close()
	b := make([]byte, prefixBytes)
	if _, err := f.ReadAt(b, 0); err != nil {
		return nil, 0, fmt.Errorf("snap: read snapshot: %w", err)
	}
	n, err := parsePrefix(s.path(index), b)
	if err != nil {
		return nil, 0, err
	}
	if offset > n.data {
		return nil, 0, fmt.Errorf("snap: offset %d exceeds the %d bytes of data", offset, n.data)
	}
	chunk = make([]byte, min(uint64(limit), n.data-offset))
	if len(chunk) > 0 {
		if _, err := f.ReadAt(chunk, int64(prefixBytes+n.header+offset)); err != nil {
			return nil, 0, fmt.Errorf("snap: read data of snapshot: %w", err)
		}
	}
	return chunk, n.data, nil
}

// Save stores x durably and removes snapshots that are no longer needed. It
// ignores x if the newest stored snapshot has the same or a higher index.
func (s *Store) Save(x *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	if n := len(s.indices); n > 0 && x.Index <= s.indices[n-1] {
		return nil
	}
	name := s.path(x.Index)
	if err := s.writeTemporary(name+temporarySuffix, x); err != nil {
		return err
	}
	if err := s.fs.Rename(name+temporarySuffix, name); err != nil {
		return s.fail(err)
	}
	if err := s.fs.SyncFolder(s.folder); err != nil {
		return s.fail(err)
	}
	s.indices = append(s.indices, x.Index)
	return s.removeOld()
}

func (s *Store) writeTemporary(name string, x *Snapshot) error {
	f, err := s.fs.Create(name)
	if err == nil {
		defer f.Close()
		err = write(f, x)
	}
	if err == nil {
		err = f.Sync()
	}
	if wal.IsDiskFull(err) {
		_ = s.fs.Remove(name) // if this fails, the next Open removes the file
	}
	if err != nil {
		return s.fail(err)
	}
	return nil
}

func write(f wal.File, x *Snapshot) error {
	b := []byte(magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(x.Header)))
	// The length and the checksum precede the data in the file. A stream is therefore
	// run twice to compute them before it writes the data.
	var length, sum counter
	if err := x.writeData(&length); err != nil {
		return err
	}
	b = binary.LittleEndian.AppendUint64(b, length.n)
	sum.crc = checksum(b[8:20], x.Header)
	if err := x.writeData(&sum); err != nil {
		return err
	}
	b = binary.LittleEndian.AppendUint32(b, sum.crc)
	out := bufio.NewWriterSize(f, writeBytes)
	for _, part := range [][]byte{b, x.Header} {
		if _, err := out.Write(part); err != nil {
			return err
		}
	}
	if err := x.writeData(out); err != nil {
		return err
	}
	return out.Flush()
}

// writeData writes the data from Stream, if it is set, or from Data.
func (x *Snapshot) writeData(w io.Writer) error {
	if x.Stream != nil {
		return x.Stream(w)
	}
	_, err := w.Write(x.Data)
	return err
}

// counter counts the bytes that are written to it and computes their checksum.
type counter struct {
	n   uint64
	crc uint32
}

func (c *counter) Write(b []byte) (int, error) {
	c.n += uint64(len(b))
	c.crc = crc32.Update(c.crc, castagnoli, b)
	return len(b), nil
}

// removeOld removes the snapshots that are no longer needed. Those that a full disk keeps in
// place are removed later.
func (s *Store) removeOld() error {
	for len(s.indices) > keptSnapshots {
		err := s.fs.Remove(s.path(s.indices[0]))
		if wal.IsDiskFull(err) {
			return nil
		}
		if err != nil {
			return s.fail(err)
		}
		s.indices = s.indices[1:]
	}
	return nil
}

// fail returns the error of a failed operation. Unless the disk is full, it records the error,
// so that all later calls of Save fail too.
func (s *Store) fail(err error) error {
	if wal.IsDiskFull(err) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	s.failure = fmt.Errorf("%w: %w", ErrFailed, err)
	return s.failure
}
