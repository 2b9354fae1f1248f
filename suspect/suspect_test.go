package suspect

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bramleymill/fleet"
)

var start = time.Unix(1_700_000_000, 0)

// crash returns the report of a crash: the backend server of node, in the given generation,
// crashed while a request with the fingerprint was in flight.
func crash(node string, generation, fingerprint uint64) fleet.CrashReport {
	return fleet.CrashReport{
		Service: "katalog", Fingerprint: fingerprint, Node: fleet.NodeID(node), Incarnation: 1, BackendGeneration: generation,
		Class: "browse", Path: "/p",
	}
}

func confined(r fleet.CrashReport) fleet.CrashReport {
	r.Confined = true
	return r
}

func key(fingerprint uint64) Key { return Key{"katalog", fingerprint} }

func expect(t *testing.T, table *Table, now time.Time, k Key, want Verdict) {
	t.Helper()
	if got := table.Check(now, k); got != want {
		t.Errorf("verdict on %v = %d, want %d (1: clear, 2: suspect, 3: refuse)", k, got, want)
	}
}

// Guards against a request that crashes one server after another, and against a crash that
// counts twice because its report arrives twice.
func TestTwoCrashesRefuseUntilTheTimeLimit(t *testing.T) {
	table := New(Config{})
	expect(t, table, start, key(1), Clear)
	if !table.Report(start, crash("a", 1, 1)) || table.Report(start, crash("a", 1, 1)) {
		t.Error("Report: want true for a new report and false when the same report arrives again")
	}
	expect(t, table, start, key(1), Suspect)
	expect(t, table, start, Key{"zasielky", 1}, Clear)
	table.Report(start, crash("b", 1, 1))
	expect(t, table, start.Add(DefaultRefuseFor-1), key(1), Refuse)
	expect(t, table, start.Add(DefaultRefuseFor), key(1), Clear)
}

// Guards against a fingerprint that stays suspect permanently.
func TestSuspicionEnds(t *testing.T) {
	table := New(Config{})
	table.Report(start, crash("a", 1, 1))
	expect(t, table, start.Add(DefaultSuspectFor-1), key(1), Suspect)
	expect(t, table, start.Add(DefaultSuspectFor), key(1), Clear)
	if got := table.List(start.Add(DefaultSuspectFor)); len(got) != 0 {
		t.Errorf("List = %v after the entries expired, want it empty", got)
	}
	table.Report(start.Add(DefaultSuspectFor), crash("b", 1, 1))
	expect(t, table, start.Add(DefaultSuspectFor), key(1), Suspect) // the expired crash does not count
}

// Guards against attributing a crash to other requests when a confined request was in flight,
// in any order in which the reports arrive.
func TestCrashIsAttributedToConfinedAttemptOnly(t *testing.T) {
	inFlight := []fleet.CrashReport{crash("a", 1, 1), confined(crash("a", 1, 2)), crash("a", 1, 3)}
	if got := AttributeCrash(inFlight); len(got) != 1 || got[0].Fingerprint != 2 {
		t.Errorf("AttributeCrash = %v, want only the report of the confined request", got)
	}
	if got := AttributeCrash(inFlight[:1]); len(got) != 1 {
		t.Errorf("AttributeCrash of one report without a confined request = %v, want that report", got)
	}
	for _, order := range [][]int{{0, 1, 2}, {1, 0, 2}} {
		table := New(Config{})
		for _, i := range order {
			table.Report(start, inFlight[i])
		}
		expect(t, table, start, key(1), Clear)
		expect(t, table, start, key(2), Suspect)
		expect(t, table, start, key(3), Clear)
	}
}

// Guards against a request that stays suspect after it finished on another server, and
// against a clearance by an attempt that was sent before the crash.
func TestFinishingAfterTheCrashClears(t *testing.T) {
	here, there := New(Config{}), New(Config{})
	for _, table := range []*Table{here, there} {
		table.Report(start, crash("a", 1, 1))
	}
	if _, ok := here.Finished(start.Add(time.Second), key(1), start.Add(-time.Second)); ok {
		t.Error("Finished cleared the request after an attempt that was sent before the crash, want no clearance")
	}
	c, ok := here.Finished(start.Add(time.Second), key(1), start.Add(time.Millisecond))
	if !ok || !there.Clear(start.Add(time.Second), c) || there.Clear(start.Add(time.Second), c) {
		t.Error("want Finished to return a clearance, and Clear to return true for it at first and false when it is repeated")
	}
	for _, table := range []*Table{here, there} {
		expect(t, table, start.Add(time.Second), key(1), Clear)
		table.Report(start.Add(2*time.Second), crash("a", 1, 1))
		expect(t, table, start.Add(2*time.Second), key(1), Clear) // a delayed copy of the report
		table.Report(start.Add(2*time.Second), crash("a", 2, 1))
		expect(t, table, start.Add(2*time.Second), key(1), Suspect) // a new crash
	}
}

// Guards against a refusal that ends before its time limit although no operator released the
// request.
func TestOnlyAnOperatorReleasesARefusal(t *testing.T) {
	table := New(Config{})
	table.Report(start, crash("a", 1, 1))
	table.Report(start, crash("b", 1, 1))
	later := start.Add(time.Second)
	if _, ok := table.Finished(later, key(1), later); ok {
		t.Error("Finished returned a clearance for a refused request, want no clearance")
	}
	table.Clear(later, Clearance{Key: key(1), Crashes: []Crash{{"a", 1, 1}}})
	expect(t, table, later, key(1), Refuse)
	other := New(Config{})
	for _, r := range table.Reports(later) {
		other.Report(later, r)
	}
	c, ok := table.Release(later, key(1))
	if !ok || !other.Clear(later, c) {
		t.Error("want Release to return a clearance, and Clear on another table to return true for it")
	}
	expect(t, table, later, key(1), Clear)
	expect(t, other, later, key(1), Clear)
}

// Guards against unbounded memory use and against the eviction of a refused entry.
func TestEvictionKeepsRefusedEntries(t *testing.T) {
	table := New(Config{MaxEntries: 3})
	table.Report(start, crash("a", 1, 1))
	table.Report(start, crash("b", 1, 1))
	for i := range uint64(100) {
		table.Report(start.Add(time.Duration(i)*time.Second), crash("c", i, 10+i))
	}
	now := start.Add(100 * time.Second)
	expect(t, table, now, key(1), Refuse)
	expect(t, table, now, key(109), Suspect)
	if got := len(table.List(now)); got != 3 || table.Dropped() != 98 {
		t.Errorf("entries of a table with MaxEntries = 3 after crashes of 101 fingerprints = %d, dropped = %d, want 3 and 98", got, table.Dropped())
	}
	full := New(Config{MaxEntries: 1})
	full.Report(start, crash("a", 1, 1))
	full.Report(start, crash("b", 1, 1))
	if full.Report(start, crash("c", 1, 2)) {
		t.Error("Report added an entry to a table full of refused entries, want false")
	}
	expect(t, full, start, key(1), Refuse)
	for i := range uint64(100) {
		full.Report(start, confined(crash("d", i, 5)))
		full.Clear(start, Clearance{Key: key(i), Crashes: []Crash{{"e", 1, i}}})
	}
	if n, m := len(full.confined), len(full.cleared); n > 1 || m > 1 {
		t.Errorf("crashes stored in a table with MaxEntries = 1: confined = %d, cleared = %d, want at most 1 of each", n, m)
	}
}

// Guards against tables of two nodes that differ although both received the same reports and
// clearances, because the order differed or some arrived more than once.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []fleet.CrashReport
		for node, fingerprints := range rapid.SliceOfN(rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3), 1, 5).Draw(t, "crashes") {
			confinedIndex := rapid.IntRange(-1, len(fingerprints)-1).Draw(t, "confined")
			for i, f := range fingerprints {
				r := crash(string(rune('a'+node)), 1, f)
				r.Confined = i == confinedIndex
				reports = append(reports, r)
			}
		}
		var clearances []Clearance
		for _, r := range reports {
			if rapid.IntRange(0, 4).Draw(t, "clear") == 0 {
				clearances = append(clearances, Clearance{Key: keyOf(r), Crashes: []Crash{crashOf(r)}, Operator: true})
			}
		}
		merge := func(order []int) []Entry {
			table := New(Config{})
			for _, i := range order {
				if i < len(reports) {
					table.Report(start, reports[i])
				} else {
					table.Clear(start, clearances[i-len(reports)])
				}
			}
			return table.List(start)
		}
		order := make([]int, len(reports)+len(clearances))
		for i := range order {
			order[i] = i
		}
		want := merge(order)
		other := rapid.Permutation(order).Draw(t, "order")
		other = append(other, rapid.SliceOf(rapid.SampledFrom(order)).Draw(t, "repeated")...)
		if diff := cmp.Diff(want, merge(other)); diff != "" {
			t.Fatalf("table after order %v differs from the table after the original order (-original +other):\n%s", other, diff)
		}
	})
}

// Guards against a list whose order changes between calls.
func TestListIsSorted(t *testing.T) {
	table := New(Config{})
	for _, f := range []uint64{5, 2, 9, 1} {
		table.Report(start, crash("b", 1, f))
		table.Report(start, crash("a", 1, f))
	}
	list := table.List(start)
	if !slices.IsSortedFunc(list, func(a, b Entry) int { return compare(a.Key, b.Key) }) || list[0].Crashes[0].Node != "a" {
		t.Errorf("List = %+v, want it sorted by service, fingerprint and node", list)
	}
}
