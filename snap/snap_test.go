package snap_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"bramleymill/snap"
	"bramleymill/wal/faultfs"
)

const folder = "snapshots"

func open(t *testing.T, fs *faultfs.FS) *snap.Store {
	t.Helper()
	s, err := snap.Open(fs, folder)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func snapshot(index uint64, size int) *snap.Snapshot {
	return &snap.Snapshot{Index: index, Header: []byte("header"), Data: bytes.Repeat([]byte{byte(index)}, size)}
}

// Guards against losing a saved snapshot, or reading an unfinished one, when the
// process crashes or the disk is full at any time.
func TestSavedSnapshotSurvivesFaults(t *testing.T) {
	for seed := range uint64(200) {
		fs := faultfs.New(seed)
		random := rand.New(rand.NewPCG(seed, 4))
		s := open(t, fs)
		newest := uint64(0)
		for index := uint64(1); index < 40; index++ {
			switch random.IntN(4) {
			case 0:
				fs.SetFreeBytes(random.IntN(90))
				if err := s.Save(snapshot(index, 100)); !errors.Is(err, snap.ErrDiskFull) {
					t.Fatalf("save on a full disk: got error %v, want ErrDiskFull", err)
				}
				fs.SetFreeBytes(-1)
			case 1:
				fs.Crash()
				s = open(t, fs)
			default:
				if err := s.Save(snapshot(index, 100)); err != nil {
					t.Fatal(err)
				}
				newest = index
			}
			got, err := s.Latest()
			if newest == 0 && errors.Is(err, snap.ErrNotFound) {
				continue
			}
			if err != nil || got.Index != newest || !bytes.Equal(got.Data, snapshot(newest, 100).Data) {
				t.Fatalf("seed %d: Latest = %+v, error %v, want index %d and its data", seed, got, err, newest)
			}
		}
	}
}

// Guards against a store that saves no more snapshots after a full disk has failed an
// operation other than a write.
func TestStoreRecoversFromEveryOperationWithoutSpace(t *testing.T) {
	for name, failing := range map[string]faultfs.Op{
		"sync": faultfs.Sync, "create": faultfs.Create, "rename": faultfs.Rename, "remove": faultfs.Remove,
		"folder": faultfs.SyncFolder, "all": ^faultfs.Op(0),
	} {
		fs := faultfs.New(1)
		s := open(t, fs)
		newest := uint64(0)
		for index := uint64(1); index < 20; index++ {
			full := index%3 == 0
			if full {
				fs.RunOutOfSpace(failing)
			}
			err := s.Save(snapshot(index, 100))
			fs.RunOutOfSpace(0)
			if err != nil && !(full && errors.Is(err, snap.ErrDiskFull)) {
				t.Fatalf("%s: save of snapshot %d: error %v (disk full: %v), want none, or ErrDiskFull on a full disk", name, index, err, full)
			}
			if err == nil {
				newest = index
			}
			if index%5 == 0 {
				fs.Crash()
				s = open(t, fs)
			}
			if got, err := s.Latest(); err != nil || got.Index < newest {
				t.Fatalf("%s: Latest = %+v, error %v; want at least snapshot %d", name, got, err, newest)
			}
		}
	}
}

// Guards against restoring a damaged snapshot.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	fs := faultfs.New(1)
	s := open(t, fs)
	if err := s.Save(snapshot(7, 20)); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(folder, "0000000000000007.snap")
	for offset := range fs.Size(name) {
		fs.Corrupt(name, offset)
		var corrupt *snap.CorruptError
		if _, err := s.Latest(); !errors.As(err, &corrupt) {
			t.Fatalf("Latest with a bit flipped in byte %d: got error %v, want CorruptError", offset, err)
		}
		fs.Corrupt(name, offset)
	}
}

// Guards against a store that reports snapshots as saved after a failed sync, which
// may have lost data.
func TestFailedSyncIsSticky(t *testing.T) {
	fs := faultfs.New(1)
	s := open(t, fs)
	fs.FailSyncs(true)
	if err := s.Save(snapshot(1, 20)); !errors.Is(err, snap.ErrFailed) {
		t.Fatalf("save with a failing sync: got error %v, want ErrFailed", err)
	}
	fs.FailSyncs(false)
	if err := s.Save(snapshot(2, 20)); !errors.Is(err, snap.ErrFailed) {
		t.Fatalf("save after a failed sync: got error %v, want ErrFailed", err)
	}
}

// Guards against a transfer that mixes up the parts of a snapshot, and against
// removing a snapshot too early while it is transferred.
func TestReadAt(t *testing.T) {
	fs := faultfs.New(1)
	s := open(t, fs)
	for index := uint64(1); index <= 3; index++ {
		if err := s.Save(snapshot(index, 10)); err != nil {
			t.Fatal(err)
		}
	}
	var data []byte
	for total := uint64(10); uint64(len(data)) < total; {
		chunk, n, err := s.ReadAt(2, uint64(len(data)), 4)
		if err != nil || n != total {
			t.Fatalf("ReadAt of snapshot 2: total %d, error %v, want total 10 and no error", n, err)
		}
		data = append(data, chunk...)
	}
	if !bytes.Equal(data, snapshot(2, 10).Data) {
		t.Fatalf("data of snapshot 2 read in chunks = %v, want 10 times the byte 2", data)
	}
	if _, _, err := s.ReadAt(1, 0, 4); !errors.Is(err, snap.ErrNotFound) {
		t.Fatalf("read of a removed snapshot: got error %v, want ErrNotFound", err)
	}
}

// Guards against a streamed snapshot that is stored differently from one whose
// data are passed as a whole.
func TestStreamedSnapshotIsStoredLikeData(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 30_000)
	var stored [2]*snap.Snapshot
	for i, x := range []*snap.Snapshot{
		{Index: 7, Header: []byte("header"), Data: data},
		{Index: 7, Header: []byte("header"), Stream: func(w io.Writer) error {
			for part := data; len(part) > 0; part = part[min(len(part), 777):] {
				if _, err := w.Write(part[:min(len(part), 777)]); err != nil {
					return err
				}
			}
			return nil
		}},
	} {
		s, err := snap.Open(faultfs.New(1), "f")
		if err == nil {
			err = s.Save(x)
		}
		if err == nil {
			stored[i], err = s.Latest()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(stored[0].Data, data) || !bytes.Equal(stored[1].Data, data) || !bytes.Equal(stored[0].Header, stored[1].Header) {
		t.Fatal("streamed and unstreamed snapshots differ, want the same header and data")
	}
}
