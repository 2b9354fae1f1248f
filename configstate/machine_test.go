package configstate

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleymill/replica"
)

var _ replica.StateMachine = (*Machine)(nil)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a valid class document that is different for each n.
func document(n int) []byte {
	return fmt.Appendf(nil, `{"classes":[{"name":"browse","service":"katalog",
 "match":{"methods":["GET"],"path_prefix":"/"},"idempotent":true,
 "latency_target":"%dms","deadline":"20s","urgency":"normal"}]}
`, n+1)
}

func send(t testing.TB, m *Machine, at time.Time, c Change) Answer {
	t.Helper()
	command, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	a, err := DecodeAnswer(m.Apply(0, at, command))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func documentChange(id string, expected uint64, n int) Change {
	return Change{ID: id, Action: ApplyDocument, Operator: "ada", Origin: "10.0.0.1:4000", ExpectedVersion: expected, Document: document(n)}
}

// Guards against a resent change that applies twice or gets another answer after the
// version increased, whether its sender expects the old version or the new one.
func TestResentChangeGetsFirstAnswer(t *testing.T) {
	m := New(nil)
	first := send(t, m, start, documentChange("a", 0, 1))
	send(t, m, start, documentChange("b", 1, 2))
	for _, expected := range []uint64{0, 2} {
		resent := send(t, m, start, documentChange("a", expected, 1))
		if !resent.Repeated || resent.Version != first.Version || resent.Sequence != first.Sequence {
			t.Errorf("resent with expected version %d: answer = %+v, want the first answer %+v", expected, resent, first)
		}
	}
	if v := m.View().Version; v != 2 {
		t.Errorf("version after two changes and two resent copies = %d, want 2", v)
	}
	if a := send(t, m, start, documentChange("a", 2, 3)); a.Outcome != IDReused {
		t.Errorf("id with another document: outcome = %s, want %s", a.Outcome, IDReused)
	}
}

// Guards against a Trail.Verify that accepts an altered, removed or renumbered entry,
// and against a checkpoint that is not part of the hash chain.
func TestTrailDetectsEveryChange(t *testing.T) {
	m := New(nil)
	for i := range 4 {
		send(t, m, start, documentChange(fmt.Sprint("c", i), uint64(i), i))
	}
	if err := m.Verify(); err != nil {
		t.Fatal(err)
	}
	for i := range reflect.TypeFor[Entry]().NumField() {
		trail := m.History(1, 10)
		alter(reflect.ValueOf(&trail.Entries[1]).Elem().Field(i))
		if trail.Verify() == nil {
			t.Errorf("trail with the altered field %s in an entry: Verify returned no error, want one", reflect.TypeFor[Entry]().Field(i).Name)
		}
	}
	trail := m.History(1, 10)
	trail.Entries = slices.Delete(trail.Entries, 1, 2)
	if trail.Verify() == nil {
		t.Error("trail with a removed entry: Verify returned no error, want one")
	}
	trail = m.History(1, 10)
	last := &trail.Entries[len(trail.Entries)-1]
	last.Sequence++
	last.Hash = last.contentHash()
	if trail.Verify() == nil {
		t.Error("trail with a gap in the sequence: Verify returned no error, want one")
	}
	trail = m.History(1, 10)
	trail.Checkpoint.Hash[0]++
	if trail.Verify() == nil {
		t.Error("trail with an altered checkpoint: Verify returned no error, want one")
	}
}

func alter(f reflect.Value) {
	switch f.Kind() {
	case reflect.Uint64:
		f.SetUint(f.Uint() + 1)
	case reflect.String:
		f.SetString(f.String() + "x")
	case reflect.Array:
		f.Index(0).SetUint(f.Index(0).Uint() ^ 1)
	default:
		f.Set(reflect.ValueOf(f.Interface().(time.Time).Add(1)))
	}
}

// Guards against memory that grows without bound with the number of changes, and
// against a trail that cannot be verified once its oldest entries are dropped.
func TestHistoryIsBounded(t *testing.T) {
	m := New(nil)
	const documents, orders = 2 * fullInterval, MaxEntries + 100 - 2*fullInterval
	for i := range documents {
		send(t, m, start, documentChange(fmt.Sprint("c", i), uint64(i), i%20))
	}
	for i := range orders {
		send(t, m, start, Change{ID: fmt.Sprint("r", i), Action: ReleaseSuspect, Operator: "eva", Service: "katalog"})
	}
	if n := len(m.View().Orders.Releases); n != MaxReleases {
		t.Errorf("number of kept releases = %d, want %d", n, MaxReleases)
	}
	trail := m.History(0, documents+orders)
	if n := len(trail.Entries); n != MaxEntries || trail.Checkpoint.Sequence != 100 {
		t.Errorf("kept entries = %d after checkpoint %d, want %d after 100", n, trail.Checkpoint.Sequence, MaxEntries)
	}
	if err := trail.Verify(); err != nil {
		t.Error(err)
	}
	if len(m.answers.queue) != MaxAnswers || len(m.answers.byID) != MaxAnswers {
		t.Errorf("number of stored answers = %d, want %d", len(m.answers.queue), MaxAnswers)
	}
	for v := m.docs.current().Version + 1; v < 2*MaxDocuments; v++ {
		m.docs.add(Version{Version: v, Document: document(int(v))})
	}
	if n := len(m.Versions()); n != MaxDocuments {
		t.Errorf("number of kept documents = %d, want %d", n, MaxDocuments)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for v := m.docs.current().Version + 1; v < 3*MaxDocuments; v++ {
		long := make([]byte, 16<<10)
		long[random.IntN(len(long))], long[random.IntN(len(long))] = 1, 1
		m.docs.add(Version{Version: v, Document: long})
	}
	message := strings.Repeat("m", maxMessageBytes)
	for i := range maxAnswerBytes / maxMessageBytes {
		m.trail.append(Entry{Message: message})
		m.answers.add(&storedAnswer{ID: fmt.Sprint("m", i), Answer: Answer{Outcome: Invalid, Message: message}})
	}
	checkBounds(t, m)
}

func checkBounds(t *testing.T, m *Machine) {
	t.Helper()
	if m.docs.bytes > MaxDocumentStore || m.trail.bytes > MaxTrailBytes || m.answers.bytes > maxAnswerBytes {
		t.Errorf("bytes of documents = %d, trail = %d, answers = %d, want at most MaxDocumentStore, MaxTrailBytes and maxAnswerBytes", m.docs.bytes, m.trail.bytes, m.answers.bytes)
	}
	if err := m.Verify(); err != nil {
		t.Error(err)
	}
}

// Guards against an older version that is rebuilt incorrectly, and against a restored
// machine that counts a different number of bytes.
func TestEveryVersionIsRebuilt(t *testing.T) {
	m := New(nil)
	const versions = 2*fullInterval + 10
	for i := range versions {
		send(t, m, start, documentChange(fmt.Sprint("c", i), uint64(i), i*i%977))
	}
	snapshot, _ := m.Snapshot()
	restored := New(nil)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for i := range versions {
		for _, m := range []*Machine{m, restored} {
			if v, ok := m.Version(uint64(i + 1)); !ok || !bytes.Equal(v.Document, document(i*i%977)) {
				t.Fatalf("document rebuilt for version %d = %s, want the one that was sent", i+1, v.Document)
			}
		}
	}
	if limit := int64(versions*(versionBytes+20)) + 4*int64(len(document(0))+10); m.docs.bytes > limit {
		t.Errorf("bytes of similar documents = %d, want at most %d", m.docs.bytes, limit)
	}
	if restored.docs.bytes != m.docs.bytes || restored.trail.bytes != m.trail.bytes || restored.answers.bytes != m.answers.bytes {
		t.Error("the restored machine counts a different number of bytes of documents, trail or answers than the original")
	}
}

// Guards against a Restore that accepts a damaged or altered snapshot.
func TestRestoreRefusesDamage(t *testing.T) {
	source := New(nil)
	for i := range 3 {
		send(t, source, start, documentChange(fmt.Sprint("c", i), uint64(i), i))
	}
	good, _ := source.Snapshot()
	for name, damage := range map[string]func(*snapshot){
		"format":   func(s *snapshot) { s.Format++ },
		"entry":    func(s *snapshot) { s.Entries[1].Operator = "eva" },
		"gap":      func(s *snapshot) { s.Versions = slices.Delete(s.Versions, 1, 2) },
		"document": func(s *snapshot) { s.Versions[0].Middle = []byte("8") },
		"distance": func(s *snapshot) { s.Versions[0].Prefix = 1 << 20 },
		"last":     func(s *snapshot) { s.Versions[2].Middle, s.Versions[2].Full = s.Versions[2].Full, nil },
	} {
		var s snapshot
		if err := decMode.Unmarshal(good, &s); err != nil {
			t.Fatal(err)
		}
		damage(&s)
		m := New(nil)
		if m.Restore(mustEncode(s)) == nil || m.View().Version != 0 {
			t.Errorf("%s: Restore accepted the damaged snapshot, want an error and version 0 in the view", name)
		}
	}
}

// Guards against a reader of View that sees a version with the class set of another
// one, and against an onChange callback that misses a change. Run it with the race
// detector, which checks that View needs no lock.
func TestViewIsConsistentDuringChanges(t *testing.T) {
	var seen []uint64
	m := New(func(v *View) { seen = append(seen, v.Version) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for m.View().Version < 50 {
			if v := m.View(); v.Set != nil && v.Set.Version != v.Version {
				t.Errorf("view of version %d has the class set of version %d", v.Version, v.Set.Version)
			}
		}
	}()
	for i := range 50 {
		send(t, m, start, documentChange(fmt.Sprint("c", i), uint64(i), i))
	}
	<-done
	for i, v := range seen {
		if v != uint64(i+1) {
			t.Fatalf("versions passed to onChange = %v, want 1, 2, 3 and so on", seen)
		}
	}
}

// Guards against decoding that panics or returns an undecodable answer for malformed
// input, and against a restored snapshot that encodes to other bytes.
func FuzzDecode(f *testing.F) {
	m := New(nil)
	send(f, m, start, documentChange("a", 0, 1))
	send(f, m, start, Change{ID: "b", Action: Drain, Operator: "eva", Node: "n1"})
	s, _ := m.Snapshot()
	f.Add(s)
	c, _ := EncodeChange(documentChange("a", 0, 1))
	f.Add(c)
	f.Add([]byte{0xa1, 0x07, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(nil)
		if _, err := DecodeAnswer(m.Apply(1, start, data)); err != nil {
			t.Fatalf("decode the answer to an arbitrary command: %v", err)
		}
		if m.Restore(data) != nil {
			return
		}
		first, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		reloaded := New(nil)
		if err := reloaded.Restore(first); err != nil {
			t.Fatalf("restore the snapshot that the machine returned: %v", err)
		}
		if second, _ := reloaded.Snapshot(); !bytes.Equal(first, second) {
			t.Fatal("the snapshot of the restored machine differs from the one it was restored from")
		}
	})
}

// BenchmarkOldVersion reports the memory for one day of changes to a document of about
// 100 KiB, and the time to rebuild the version that takes the most steps.
func BenchmarkOldVersion(b *testing.B) {
	const changes = 5700
	var d documents
	base := bytes.Repeat(document(1), (100<<10)/len(document(1)))
	for v := range changes {
		next := bytes.Clone(base)
		copy(next[v*17%len(next):], fmt.Sprint(v))
		d.add(Version{Version: uint64(v + 1), Document: next})
	}
	b.ResetTimer()
	for range b.N {
		if v, ok := d.get(fullInterval + 1); !ok || len(v.Document) != len(base) {
			b.Fatal("the version is not kept")
		}
	}
	b.ReportMetric(float64(d.bytes)/changes, "B/version")
}
