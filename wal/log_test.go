package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"bramleymill/wal"
	"bramleymill/wal/faultfs"
)

const folder = "log"

func open(t *testing.T, fs wal.FS) (*wal.Log, []string) {
	t.Helper()
	l, records, err := tryOpen(fs)
	if err != nil {
		t.Fatal(err)
	}
	return l, records
}

func tryOpen(fs wal.FS) (*wal.Log, []string, error) {
	var records []string
	l, err := wal.Open(fs, folder, wal.Options{SegmentBytes: 300}, func(r []byte) error {
		records = append(records, string(r))
		return nil
	})
	return l, records, err
}

func appendRecords(t *testing.T, l *wal.Log, from, to int) (records []string) {
	t.Helper()
	for i := from; i < to; i++ {
		r := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte{'x'}, i%50))
		if err := l.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
		records = append(records, r)
	}
	return records
}

func segments(t *testing.T, fs wal.FS) []string {
	t.Helper()
	names, err := fs.List(folder)
	if err != nil || len(names) == 0 {
		t.Fatalf("List of the log folder: got no file names, error %v, want at least one name and no error", err)
	}
	for i := range names {
		names[i] = filepath.Join(folder, names[i])
	}
	return names
}

// Guards against losing a synced record, or replaying one that was never synced,
// after a crash. Crashes occur at random while new segments start, the log is
// reset and the disk is full at times.
func TestSyncedRecordsSurviveCrashes(t *testing.T) {
	for seed := range uint64(300) {
		fs := faultfs.New(seed)
		random := rand.New(rand.NewPCG(seed, 3))
		l, want := open(t, fs)
		for step := range 60 {
			r := fmt.Sprintf("%d-%d", seed, step)
			switch random.IntN(12) {
			case 0:
				fs.Crash()
				var got []string
				if l, got = open(t, fs); !slices.Equal(got, want) {
					t.Fatalf("seed %d step %d: replayed %q after a crash, want %q", seed, step, got, want)
				}
			case 1:
				if err := l.Reset([]byte(r)); err != nil {
					t.Fatal(err)
				}
				want = []string{r}
			case 2:
				fs.SetFreeBytes(random.IntN(100))
				long := append([]byte(r), make([]byte, 200)...)
				if err := l.Append(long); !errors.Is(err, wal.ErrDiskFull) {
					t.Fatalf("append to a full disk in a random step: got error %v, want ErrDiskFull", err)
				}
				fs.SetFreeBytes(-1)
			default:
				if err := l.Append([]byte(r)); err != nil {
					t.Fatal(err)
				}
				want = append(want, r)
			}
		}
	}
}

// Guards against a log that cannot be read or appended to after a crash between
// write and sync. Such a crash leaves a torn record at the end, which must be
// truncated.
func TestTornTailIsTruncated(t *testing.T) {
	for seed := range uint64(200) {
		fs := faultfs.New(seed)
		l, _ := open(t, fs)
		want := appendRecords(t, l, 0, 5)
		fs.FailSyncs(true)
		_ = l.Append(bytes.Repeat([]byte("torn"), 20))
		fs.FailSyncs(false)
		appendRaw(t, fs, bytes.Repeat([]byte("torn"), 20), int(seed%80))
		fs.Crash()
		l, got := open(t, fs)
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: replayed %q from a log with a torn tail, want %q", seed, got, want)
		}
		want = append(want, appendRecords(t, l, 5, 8)...)
		if _, got = open(t, fs); !slices.Equal(got, want) {
			t.Fatalf("seed %d: replayed %q after the torn tail was truncated and 3 records appended, want %q", seed, got, want)
		}
	}
}

// appendRaw appends the first n bytes of b to the last segment, as an unfinished
// write leaves them.
func appendRaw(t *testing.T, fs wal.FS, b []byte, n int) {
	t.Helper()
	names := segments(t, fs)
	f, err := fs.OpenAppend(names[len(names)-1])
	if err == nil {
		_, err = f.Write(b[:n])
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against skipping damaged records that had been durable.
func TestCorruptionBeforeTailIsReported(t *testing.T) {
	fs := faultfs.New(1)
	l, _ := open(t, fs)
	records := appendRecords(t, l, 0, 30)
	const frameBytes = 24
	last := frameBytes + len(records[len(records)-1])
	names := segments(t, fs)
	if len(names) < 3 {
		t.Fatalf("30 records are in %d segments, want at least 3", len(names))
	}
	for i, name := range names {
		size := fs.Size(name)
		for offset := 0; offset < size; offset += 7 {
			if i == len(names)-1 && offset >= size-last {
				break // damage here looks like a torn write, which is truncated
			}
			fs.Corrupt(name, offset)
			_, _, err := tryOpen(fs)
			fs.Corrupt(name, offset)
			var corrupt *wal.CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("open of a log with a bit flipped in segment %d, byte %d: got error %v, want CorruptError", i, offset, err)
			}
		}
	}
	if err := fs.Remove(names[1]); err != nil {
		t.Fatal(err)
	}
	var corrupt *wal.CorruptError
	if _, _, err := tryOpen(fs); !errors.As(err, &corrupt) {
		t.Fatalf("open of a log without its second segment: got error %v, want CorruptError", err)
	}
}

// Guards against acknowledging records after a failed sync. The operating system
// drops the data that it could not write, so a later sync may succeed without
// them. All later writes must therefore fail too.
func TestFailedSyncIsSticky(t *testing.T) {
	fs := faultfs.New(1)
	l, _ := open(t, fs)
	want := appendRecords(t, l, 0, 3)
	fs.FailSyncs(true)
	if err := l.Append([]byte("lost")); !errors.Is(err, wal.ErrFailed) {
		t.Fatalf("append with a failing sync: got error %v, want ErrFailed", err)
	}
	fs.FailSyncs(false)
	if err := l.Append([]byte("later")); !errors.Is(err, wal.ErrFailed) {
		t.Fatalf("append after a failed sync: got error %v, want ErrFailed", err)
	}
	if err := l.Reset([]byte("later")); !errors.Is(err, wal.ErrFailed) {
		t.Fatalf("reset after a failed sync: got error %v, want ErrFailed", err)
	}
	if _, got := open(t, fs); !slices.Equal(got, want) {
		t.Fatalf("replayed %q after a failed sync, want %q", got, want)
	}
}

// Guards against a log that stays unusable after the disk was full.
func TestDiskFullIsNotSticky(t *testing.T) {
	fs := faultfs.New(1)
	l, _ := open(t, fs)
	want := appendRecords(t, l, 0, 3)
	fs.SetFreeBytes(20)
	if err := l.Append(make([]byte, 100)); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("append to a full disk: got error %v, want ErrDiskFull", err)
	}
	if err := l.Reset(make([]byte, 100)); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("reset on a full disk: got error %v, want ErrDiskFull", err)
	}
	fs.SetFreeBytes(-1)
	want = append(want, appendRecords(t, l, 3, 5)...)
	if _, got := open(t, fs); !slices.Equal(got, want) {
		t.Fatalf("replayed %q after the disk was full, want %q", got, want)
	}
}

// Guards against a log that stays unusable after a full disk has failed an operation other
// than a write, and against one that loses a synced record then.
func TestLogRecoversFromEveryOperationWithoutSpace(t *testing.T) {
	for name, failing := range map[string]faultfs.Op{
		"sync": faultfs.Sync, "write, truncate": faultfs.Write | faultfs.Truncate, "sync, truncate": faultfs.Sync | faultfs.Truncate,
		"create": faultfs.Create, "rename": faultfs.Rename, "remove": faultfs.Remove, "folder": faultfs.SyncFolder, "all": ^faultfs.Op(0),
	} {
		for seed := range uint64(40) {
			fs := faultfs.New(seed)
			random := rand.New(rand.NewPCG(seed, 5))
			l, want := open(t, fs)
			for step := range 30 {
				full := random.IntN(3) == 0
				if full {
					fs.RunOutOfSpace(failing)
				}
				r := fmt.Sprintf("%s-%d-%d-%s", name, seed, step, bytes.Repeat([]byte{'x'}, random.IntN(60)))
				replace := random.IntN(6) == 0
				write := l.Append
				if replace {
					write = l.Reset
				}
				err := write([]byte(r))
				fs.RunOutOfSpace(0)
				switch {
				case err != nil && !(full && errors.Is(err, wal.ErrDiskFull)):
					t.Fatalf("%s, seed %d, step %d: error %v (disk full: %v), want none, or ErrDiskFull on a full disk", name, seed, step, err, full)
				case err != nil && replace && l.Unsettled():
					want = nil // the reset may have taken effect
					continue
				case err != nil:
					continue
				case replace:
					want = nil
				}
				want = append(want, r)
				if random.IntN(4) == 0 {
					fs.Crash()
					var got []string
					if l, got = open(t, fs); !containsInOrder(got, want) {
						t.Fatalf("%s, seed %d, step %d: replayed %q, want all of %q in this order", name, seed, step, got, want)
					}
				}
			}
		}
	}
}

// containsInOrder reports whether all of want are in got, in the same order. Between them may
// be records of writes that failed.
func containsInOrder(got, want []string) bool {
	for _, r := range got {
		if len(want) > 0 && r == want[0] {
			want = want[1:]
		}
	}
	return len(want) == 0
}

func BenchmarkAppend(b *testing.B) {
	l, err := wal.Open(wal.OS{}, b.TempDir(), wal.Options{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	record := make([]byte, 512)
	for b.Loop() {
		if err := l.Append(record); err != nil {
			b.Fatal(err)
		}
	}
}
