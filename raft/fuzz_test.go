package raft

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a message of another replica that ends the process: every control instance
// that receives it would end, and end again after each start if the message is sent again.
func FuzzStep(f *testing.F) {
	conf := Configuration{ClusterID: 7}
	for _, name := range []nodeName{"n1", "n2", "n3"} {
		conf.Voters = append(conf.Voters, Member{ID: ID{name, "d"}})
	}
	self, other := conf.Voters[0].ID, conf.Voters[1].ID
	for kind := range MessageKind(16) {
		for _, m := range []Message{
			{Term: 3, Index: 2, LogTerm: 2, Commit: 1},
			{Term: math.MaxUint64, Index: math.MaxUint64, LogTerm: math.MaxUint64, Commit: math.MaxUint64, Round: math.MaxUint64, Probed: math.MaxUint64},
			{Term: 2, Index: 1, LogTerm: 1, Commit: math.MaxUint64, Entries: []Entry{{Index: math.MaxUint64, Kind: 255}, {}}},
			{Term: 2, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 2, Kind: ConfigurationChange}}},
			{Term: 2, Chunk: &Chunk{Meta: SnapshotMeta{Index: math.MaxUint64}, Offset: math.MaxUint64, Total: math.MaxUint64, Data: []byte("x")}},
			{Term: 2, Chunk: &Chunk{Meta: SnapshotMeta{Index: 9, Term: 2}, Total: 1, Data: []byte("xy")}, Refused: true, Transfer: true},
		} {
			m.Kind, m.From, m.To, m.ClusterID = kind, other, self, 7
			b, err := cbor.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b, false)
			f.Add(b, true)
		}
	}
	f.Fuzz(func(t *testing.T, payload []byte, leader bool) {
		var m Message
		if cbor.Unmarshal(payload, &m) != nil {
			return
		}
		m.From, m.To = other, self
		now := ClockReading{Mono: time.Second}
		n := New(Config{ID: self, Timing: simTiming, Seed: 1}, StoredState{
			HardState: HardState{Term: 2},
			Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfigurationChange, Configuration: &conf}, {Index: 2, Term: 2, Kind: Command}},
		}, now)
		act := func() {
			for _, a := range n.Actions() {
				if p, ok := a.(Persist); ok {
					n.Persisted(p)
				}
			}
		}
		if leader {
			now.Mono += simTiming.ElectionMax
			n.Tick(now)
			n.Step(now, Message{Kind: PreVoteReply, From: other, To: self, Term: 3})
			act()
			n.Step(now, Message{Kind: VoteReply, From: other, To: self, Term: 3})
			act()
		}
		for range 2 {
			n.Step(now, m)
			act()
			now.Mono += simTiming.ElectionMin
			n.Tick(now)
			act()
		}
	})
}
