package replica

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/raft"
	"bramleymill/snap"
	"bramleymill/wal"
)

// logRecord is one record of the write-ahead log. The first record of a new or
// compacted log has Disk set. Replay discards what it has read before such a record.
type logRecord struct {
	Disk      raft.DiskID        `cbor:"1,keyasint,omitempty"`
	HardState *raft.HardState    `cbor:"2,keyasint,omitempty"`
	Base      *raft.SnapshotMeta `cbor:"3,keyasint,omitempty"`
	Entries   []raft.Entry       `cbor:"4,keyasint,omitempty"`
	Heard     []raft.DiskID      `cbor:"5,keyasint,omitempty"` // all founders that have sent a message
}

// storage is the log and the snapshots of a group on disk. The log is used by one
// goroutine only; snapshots are saved by several.
type storage struct {
	disk      raft.DiskID
	heard     []raft.DiskID // founders that have sent a message
	log       *wal.Log
	snapshots *snap.Store
}

// recoveredState is the content of the disk when it was opened.
type recoveredState struct {
	raft.StoredState
	snapshotData []byte // data of the newest snapshot; nil: none
}

// openStorage opens the folder of a group. It assigns a new disk id to an empty folder.
func openStorage(fs wal.FS, folder string) (*storage, *recoveredState, error) {
	s, out := &storage{}, &recoveredState{}
	var err error
	if s.snapshots, err = snap.Open(fs, filepath.Join(folder, "snapshots")); err != nil {
		return nil, nil, err
	}
	latest, err := s.snapshots.Latest()
	if err != nil && !errors.Is(err, snap.ErrNotFound) {
		return nil, nil, err
	}
	if s.log, err = wal.Open(fs, filepath.Join(folder, "log"), wal.Options{}, func(record []byte) error {
		return s.replay(record, out)
	}); err != nil {
		return nil, nil, err
	}
	if err := s.finishOpen(folder, latest, out); err != nil {
		_ = s.log.Close()
		return nil, nil, err
	}
	return s, out, nil
}

func (s *storage) finishOpen(folder string, latest *snap.Snapshot, out *recoveredState) error {
	if s.log.Empty() {
		if latest != nil {
			return &wal.CorruptError{File: folder, Reason: "the folder contains a snapshot but no log"}
		}
		s.disk = newDiskID()
		return s.reset(raft.HardState{}, raft.SnapshotMeta{}, nil)
	}
	if s.disk == "" {
		return &wal.CorruptError{File: folder, Reason: "the log contains no disk id"}
	}
	if latest != nil {
		out.snapshotData = latest.Data
		if err := cbor.Unmarshal(latest.Header, &out.Snapshot); err != nil {
			return &snap.CorruptError{File: folder, Reason: err.Error()}
		}
	}
	return s.reconcile(folder, out)
}

// reconcile ensures that the log continues the snapshot. After a crash between saving
// a received snapshot and emptying the log, the log ends before the end of the snapshot
// or conflicts with it. Such a log is replaced by an empty one that starts after the
// snapshot.
func (s *storage) reconcile(folder string, out *recoveredState) error {
	if out.Base.Index > out.Snapshot.Index {
		return &wal.CorruptError{File: folder, Reason: fmt.Sprintf(
			"the log starts after entry %d but the snapshot ends at %d", out.Base.Index, out.Snapshot.Index)}
	}
	i := out.Snapshot.Index - out.Base.Index
	matches := i == 0 || (i <= uint64(len(out.Entries)) && out.Entries[i-1].Term == out.Snapshot.Term)
	if matches {
		return nil
	}
	out.Base, out.Entries = out.Snapshot, nil
	return s.reset(out.HardState, out.Base, nil)
}

func newDiskID() raft.DiskID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return raft.DiskID(hex.EncodeToString(b[:]))
}

func (s *storage) replay(record []byte, out *recoveredState) error {
	var r logRecord
	if err := cbor.Unmarshal(record, &r); err != nil {
		return &wal.CorruptError{File: "log", Reason: fmt.Sprintf("decode record: %v", err)}
	}
	if r.Disk != "" {
		s.disk = r.Disk
		out.HardState, out.Base, out.Entries = raft.HardState{}, raft.SnapshotMeta{}, nil
	}
	if r.Disk != "" || len(r.Heard) > 0 {
		s.heard = r.Heard
	}
	if r.Base != nil {
		out.Base = *r.Base
	}
	if r.HardState != nil {
		out.HardState = *r.HardState
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first := r.Entries[0].Index
	next := out.Base.Index + uint64(len(out.Entries)) + 1
	if first <= out.Base.Index || first > next {
		return &wal.CorruptError{File: "log", Reason: fmt.Sprintf("record starts at entry %d, expected %d or an earlier uncompacted entry", first, next)}
	}
	out.Entries = append(out.Entries[:first-out.Base.Index-1], r.Entries...)
	return nil
}

// recordSplitBytes is the total size of commands after which further entries go into
// another record. It is well below the size limit of a record.
const recordSplitBytes = 8 << 20

// persist appends hard state and entries to the log. This takes one sync unless the
// entries exceed recordSplitBytes.
func (s *storage) persist(p raft.Persist) error {
	entries := p.Entries
	for {
		size, n := 0, 0
		for n < len(entries) && size < recordSplitBytes {
			size += len(entries[n].Data)
			n++
		}
		b, err := cbor.Marshal(logRecord{HardState: p.HardState, Entries: entries[:n]})
		if err != nil {
			return fmt.Errorf("encode log record: %w", err)
		}
		if err := s.log.Append(b); err != nil {
			return err
		}
		if entries = entries[n:]; len(entries) == 0 {
			return nil
		}
	}
}

// reset replaces the content of the log.
func (s *storage) reset(h raft.HardState, base raft.SnapshotMeta, entries []raft.Entry) error {
	b, err := cbor.Marshal(logRecord{Disk: s.disk, HardState: &h, Base: &base, Entries: entries, Heard: s.heard})
	if err != nil {
		return fmt.Errorf("encode log record: %w", err)
	}
	return s.log.Reset(b)
}

func (s *storage) saveSnapshot(m raft.SnapshotMeta, x snap.Snapshot) error {
	header, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode snapshot header: %w", err)
	}
	x.Index, x.Header = m.Index, header
	return s.snapshots.Save(&x)
}

// restore stores a received snapshot. The log is emptied only after the snapshot is
// durable; reconcile handles a crash in between.
func (s *storage) restore(r raft.Restore) error {
	if err := s.saveSnapshot(r.Meta, snap.Snapshot{Data: r.Data}); err != nil {
		return err
	}
	err := s.reset(r.HardState, r.Meta, nil)
	// The log has already been emptied, so that entries before the snapshot can no longer be
	// appended. The disk counts as stalled meanwhile.
	for isDiskFull(err) && s.log.Unsettled() {
		time.Sleep(settleInterval)
		err = s.log.Settle()
	}
	return err
}

// settleInterval is the time between two attempts to make an emptied log durable.
const settleInterval = 50 * time.Millisecond

// readChunk reads the data of the part of a snapshot that c describes.
func (s *storage) readChunk(c *raft.Chunk) error {
	data, total, err := s.snapshots.ReadAt(c.Meta.Index, c.Offset, raft.MaxChunkBytes)
	c.Data, c.Total = data, total
	return err
}

// isDiskFull reports whether err means that the disk is full: nothing was stored, and
// a later attempt may succeed.
func isDiskFull(err error) bool {
	return errors.Is(err, wal.ErrDiskFull) || errors.Is(err, snap.ErrDiskFull)
}
