package claim

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

// Guards against a table that loses records, returns the wrong one or keeps removed
// ones, above all when a removal inserts the following records again. Also guards
// against indexes that are not reused.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := newTable(), map[digest]uint64{}
		peak := 0
		for i := range uint64(rapid.IntRange(1, 400).Draw(t, "steps")) {
			var key digest
			binary.BigEndian.PutUint16(key[:], rapid.Uint16Range(0, 120).Draw(t, "key"))
			r := table.find(key)
			id, ok := model[key]
			if (r != nil) != ok || (ok && r.id != id) {
				t.Fatalf("find returned record %v, want the record with id %d if the key is stored and nil otherwise; key stored: %v", r, id, ok)
			}
			if ok {
				table.remove(r)
				delete(model, key)
			} else {
				if stored := table.add(record{key: key, id: i}); stored.key != key || stored.id != i {
					t.Fatalf("stored record = %+v, want the key and id of the added one", stored)
				}
				model[key] = i
			}
			peak = max(peak, len(model))
			if table.len() != len(model) {
				t.Fatalf("records in the table after an add or remove = %d, want %d", table.len(), len(model))
			}
		}
		if indexes := table.len() + len(table.free); indexes > peak {
			t.Fatalf("allocated indexes = %d, want at most the peak of %d records", indexes, peak)
		}
		for key, id := range model {
			if r := table.find(key); r == nil || r.id != id {
				t.Fatalf("find does not return the record with id %d, want that record", id)
			}
		}
	})
}

// Guards against an appendSnapshot that encodes a record differently from the CBOR
// encoder. Restore and earlier releases read the format of that encoder.
func TestSnapshotRecordEncoding(t *testing.T) {
	numbers := rapid.SampledFrom([]uint64{0, 1, 23, 24, 255, 256, 65535, 65536, math.MaxUint32, math.MaxUint32 + 1, math.MaxInt64})
	rapid.Check(t, func(t *rapid.T) {
		r := record{
			id:       numbers.Draw(t, "id"),
			phaseEnd: int64(numbers.Draw(t, "when")),
			target:   uint32(numbers.Draw(t, "target")),
			attempt:  uint16(numbers.Draw(t, "attempt")),
			phase:    phase(rapid.IntRange(int(running), int(locked)).Draw(t, "phase")),
			answer:   string(make([]byte, rapid.SampledFrom([]int{0, 1, 23, 24, 300, 70000}).Draw(t, "answer"))),
		}
		if rapid.Bool().Draw(t, "before 1970") {
			r.phaseEnd = -r.phaseEnd - 1
		}
		copy(r.key[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "digest"))
		r.owner, r.fingerprint = r.key, r.key
		s := snapshotRecord{Key: r.key[:], Owner: r.owner[:], ID: r.id, PhaseEnd: r.phaseEnd,
			Target: r.target, Attempt: r.attempt, Phase: r.phase, Answer: []byte(r.answer)}
		if r.phase != locked {
			s.Fingerprint = r.fingerprint[:]
		}
		want, err := encMode.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		got := r.appendSnapshot(nil)
		if !bytes.Equal(got, want) {
			t.Fatalf("encoding = % x\nwant % x", got, want)
		}
	})
}

// Guards against a new field that makes the record larger than its size class of the
// Go allocator.
func TestRecordSize(t *testing.T) {
	if n := unsafe.Sizeof(record{}); n > 96 {
		t.Fatalf("size of a record = %d bytes, want at most 96", n)
	}
}

// Guards against a snapshot that holds an encoded copy of the store in memory. With
// copies of the answers and a growing buffer, writing a snapshot takes three times
// the memory of the store.
func TestSnapshotStreamAllocatesLittle(t *testing.T) {
	m := fullStore(t, 1000)
	var written counter
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := m.SnapshotStream()(&written); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > uint64(written)/4 {
		t.Fatalf("allocated %d bytes to write a snapshot of %d bytes, want at most a quarter", n, written)
	}
}

// counter counts the bytes written to it.
type counter uint64

func (c *counter) Write(b []byte) (int, error) {
	*c += counter(len(b))
	return len(b), nil
}

// Guards against a stream whose content changes with later commands. Its length and
// checksum are written before its content and would then not match.
func TestSnapshotStreamIsConsistent(t *testing.T) {
	m := New()
	for i := range 50 {
		send(t, m, uint64(i+1), start, command{Begin: beginOf(fmt.Sprint("key-", i), "owner")})
	}
	want, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	stream := m.SnapshotStream()
	for i := range 200 {
		send(t, m, uint64(i+100), start.Add(time.Hour), command{Begin: beginOf(fmt.Sprint("later-", i), "owner")})
	}
	for range 2 {
		var got bytes.Buffer
		if err := stream(&got); err != nil || !bytes.Equal(got.Bytes(), want) {
			t.Fatalf("stream after later commands: %d bytes, want exactly the %d bytes of the state at its creation; error %v, want no error", got.Len(), len(want), err)
		}
	}
}
