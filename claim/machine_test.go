package claim

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"bramleymill/fleet"
	"bramleymill/replica"
)

var _ replica.StateMachine = (*Machine)(nil)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func send(t testing.TB, m *Machine, index uint64, at time.Time, c command) Result {
	t.Helper()
	b, err := encodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeResult(m.Apply(index, at, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func beginOf(key, owner string) *BeginRequest {
	return &BeginRequest{Key: key, Owner: owner, Target: "n1", Incarnation: 1, Remaining: time.Second}
}

// Guards against a Finish that is lost because the store has no space left for the
// answer.
func TestFinishInFullStoreKeepsCompletion(t *testing.T) {
	m := New()
	send(t, m, 1, start, command{Limits: &Limits{MaxClaims: 10, MaxBytes: recordBytes + 100, Retention: time.Hour}})
	g := send(t, m, 2, start, command{Begin: beginOf("k", "a")})
	f := &FinishRequest{ClaimID: g.ClaimID, Owner: "a", Attempt: 1, Ending: Answered, Answer: &Answer{Status: 201, Body: make([]byte, 1000)}}
	if r := send(t, m, 3, start, command{Finish: f}); r.State != Recorded {
		t.Fatalf("finish: state = %s, want recorded", r.State)
	}
	r := send(t, m, 4, start, command{Begin: beginOf("k", "b")})
	if r.State != Finished || !r.Answer.Truncated || r.Answer.Status != 201 {
		t.Errorf("begin after finish: state = %s, answer = %+v, want finished with a truncated answer of status 201", r.State, r.Answer)
	}
	if r := send(t, m, 5, start, command{Begin: beginOf("other", "c")}); r.State != Full {
		t.Errorf("begin in a full store: state = %s, want full", r.State)
	}
}

func nodeID(s string) fleet.NodeID { return fleet.NodeID(s) }

// Guards against a command that removes an unbounded number of claims, against a
// backlog of expired claims that never shrinks, and against replicas that remove
// claims with equal expiry times in different orders.
func TestExpiryWorkIsBounded(t *testing.T) {
	const claims = 1000
	m, restored := New(), New()
	for i := range claims {
		send(t, m, uint64(i), start, command{Begin: beginOf(fmt.Sprint("k", i), "a")})
	}
	for i := range claims {
		id := (&record{key: digestOf(claimPrefix, fmt.Sprint("k", i)), id: uint64(i)}).claimID()
		send(t, m, 0, start, command{Finish: &FinishRequest{ClaimID: id, Owner: "a", Attempt: 1, Ending: Ambiguous}})
	}
	snapshot, _ := m.Snapshot()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	late := start.Add(DefaultRetention)
	for left := claims; left > 0; left = m.Stats().Records {
		send(t, m, 0, late, command{Unlock: &UnlockRequest{}})
		send(t, restored, 0, late, command{Unlock: &UnlockRequest{}})
		if n := m.Stats().Records; left-n > expiriesPerCommand || n == left {
			t.Fatalf("claims removed by one command = %d, want 1 to %d", left-n, expiriesPerCommand)
		}
		a, _ := m.Snapshot()
		if b, _ := restored.Snapshot(); !bytes.Equal(a, b) {
			t.Fatal("the restored and the original machine have different snapshots after the same command")
		}
	}
	if s := m.Stats(); s.Bytes != 0 {
		t.Errorf("bytes counted in an empty store = %d, want 0", s.Bytes)
	}
}

// Guards against decoding that panics or returns an undecodable reply for malformed
// input, and against a restored snapshot that encodes to other bytes.
func FuzzDecode(f *testing.F) {
	b, _ := encodeCommand(command{Begin: beginOf("order/1", "a")})
	f.Add(b)
	b, _ = encodeCommand(command{Finish: &FinishRequest{ClaimID: "x-1", Ending: Answered, Answer: &Answer{Status: 200}}})
	f.Add(b)
	m := New()
	send(f, m, 1, start, command{Begin: beginOf("order/1", "a")})
	send(f, m, 2, start, command{Lock: &LockRequest{Key: "suspect/x", Owner: "a", Lease: time.Second}})
	s, _ := m.Snapshot()
	f.Add(s)
	f.Add([]byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if _, err := decodeResult(m.Apply(1, start, data)); err != nil {
			t.Fatalf("decode the reply to an arbitrary command: %v", err)
		}
		_, _, _ = parseClaimID(string(data))
		if m.Restore(data) != nil {
			return
		}
		first, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		reloaded := New()
		if err := reloaded.Restore(first); err != nil {
			t.Fatalf("restore the snapshot that the machine returned: %v", err)
		}
		if second, _ := reloaded.Snapshot(); !bytes.Equal(first, second) {
			t.Fatal("the snapshot of the restored machine differs from the one it was restored from")
		}
	})
}

// BenchmarkBeginFinish applies encoded commands. Each key is reused after its claim
// expired.
func BenchmarkBeginFinish(b *testing.B) {
	const slots = 4096
	m := New()
	m.limits.Retention = time.Second
	answer := &Answer{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 256)}
	var commands [slots][2][]byte
	for i := range commands {
		key := fmt.Sprint("order/", i)
		id := (&record{key: digestOf(claimPrefix, key), id: uint64(i)}).claimID()
		commands[i][0], _ = encodeCommand(command{Begin: beginOf(key, "node-1/42")})
		commands[i][1], _ = encodeCommand(command{Finish: &FinishRequest{ClaimID: id, Owner: "node-1/42", Attempt: 1, Ending: Answered, Answer: answer}})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at := start.Add(time.Duration(i) * time.Millisecond)
		m.Apply(uint64(i%slots), at, commands[i%slots][0])
		if r, _ := decodeResult(m.Apply(uint64(i%slots), at, commands[i%slots][1])); r.State != Recorded {
			b.Fatal(r.State)
		}
	}
}

// BenchmarkMemoryPerClaim reports the live heap of 200,000 claims without
// answers and the size and time of their snapshot.
func BenchmarkMemoryPerClaim(b *testing.B) {
	const claims = 200_000
	for range b.N {
		before := liveHeap()
		m := New()
		m.limits.MaxBytes = 1 << 40
		for i := range claims {
			send(b, m, uint64(i+1), start, command{Begin: beginOf(fmt.Sprint("order/", i), "node-1/42")})
		}
		b.ReportMetric(float64(liveHeap()-before)/claims, "B/claim")
		begun := time.Now()
		s, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(begun).Milliseconds()), "ms/snapshot")
		b.ReportMetric(float64(len(s))/claims, "snapshot-B/claim")
		begun = time.Now()
		if err := New().Restore(s); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(begun).Milliseconds()), "ms/restore")
		runtime.KeepAlive(m)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// Guards against storing data that is not an answer, because no later reply with it
// could be decoded, and against storing an answer above the size limits.
func TestOnlyAnswersAreStored(t *testing.T) {
	m := New()
	g := send(t, m, 1, start, command{Begin: beginOf("k", "a")})
	for i, c := range []struct {
		answer any
		want   State
	}{{nil, Invalid}, {7, Invalid}, {[]byte("x"), Invalid}, {map[int]any{1: "x", 3: make([]byte, MaxAnswerBytes)}, Invalid},
		{Answer{Status: 201, Body: make([]byte, MaxAnswerBytes+1)}, Recorded}} {
		data, err := encMode.Marshal(map[int]any{3: map[int]any{1: g.ClaimID, 2: "a", 3: 1, 4: Answered, 5: c.answer}})
		if err != nil {
			t.Fatal(err)
		}
		r, err := decodeResult(m.Apply(uint64(i+2), start, data))
		if err != nil || r.State != c.want {
			t.Errorf("finish with answer %d: state = %s, error %v, want %s", i, r.State, err, c.want)
		}
	}
	if r := send(t, m, 10, start, command{Begin: beginOf("k", "b")}); r.State != Finished || !r.Answer.Truncated || r.Answer.Status != 201 {
		t.Errorf("begin after a finish with an answer that is too large: state = %s, answer = %+v, want finished with a truncated answer of status 201", r.State, r.Answer)
	}
}

// fullStore returns a Machine that is filled up to the default limits with claims
// whose answers have a body of the given size. Size 0 leaves the claims running.
func fullStore(b testing.TB, body int) *Machine {
	m := New()
	index := uint64(0)
	next := func(c command) Result {
		index++
		return send(b, m, index, start, c)
	}
	for i := 0; ; i++ {
		r := next(command{Begin: beginOf(fmt.Sprint("key-", i), "owner")})
		if r.State == Full {
			return m
		}
		if body > 0 {
			next(command{Finish: &FinishRequest{ClaimID: r.ClaimID, Owner: "owner", Attempt: 1, Ending: Answered,
				Answer: &Answer{Status: 200, Body: make([]byte, body)}}})
		}
	}
}

// BenchmarkFullStore reports the memory that a full store occupies and what writing
// its snapshot allocates.
func BenchmarkFullStore(b *testing.B) {
	for _, body := range []int{0, 200, 1000, 8000} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			before := liveHeap()
			m := fullStore(b, body)
			held := liveHeap() - before
			records := m.Stats().Records
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if err := m.SnapshotStream()(io.Discard); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(records), "records")
			b.ReportMetric(float64(held)/1e6, "held-MB")
			b.ReportMetric(float64(held)/float64(records), "held-B/record")
			runtime.KeepAlive(m)
		})
	}
}
