package replica

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bramleymill/raft"
)

// Guards against a record of the log that makes the process end when it starts: it would end
// again at each start. A record that does not fit must be reported as corrupt.
func FuzzReplayRecord(f *testing.F) {
	for _, r := range []logRecord{
		{},
		{Disk: "d", HardState: &raft.HardState{Term: math.MaxUint64}, Base: &raft.SnapshotMeta{Index: math.MaxUint64}, Entries: []raft.Entry{{Index: math.MaxUint64}}},
		{Base: &raft.SnapshotMeta{Index: math.MaxUint64 - 1}, Entries: []raft.Entry{{Index: math.MaxUint64}, {Index: 0}}},
		{Entries: []raft.Entry{{Index: 2, Term: 1}}},
		{Entries: []raft.Entry{{Index: 3, Term: 1, Kind: 255}, {Index: 1}}},
	} {
		b, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, record []byte) {
		s, out := &storage{}, &recoveredState{}
		for _, r := range []logRecord{{Disk: "d"}, {Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}} {
			b, err := cbor.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.replay(b, out); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			_ = s.replay(record, out) // an error is expected for most records
		}
	})
}
