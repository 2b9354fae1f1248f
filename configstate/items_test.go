package configstate

import (
	"strings"
	"testing"
	"time"

	"bramleymill/class"
	"bramleymill/itemset"
)

func mergeChange(id string, version uint64) Change {
	return Change{ID: id, Action: MergeItems, Operator: "ana", Items: []itemset.Item{
		{Key: itemset.Key{Kind: itemset.KindService, Name: "shop"}, Version: version, Service: &class.Service{Name: "shop"}},
	}}
}

func applyChange(t *testing.T, m *Machine, c Change) Answer {
	t.Helper()
	command, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	a, err := DecodeAnswer(m.Apply(1, time.Unix(1000, 0), command))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against items that are lost by a later drain or by a snapshot and restore,
// and against changes of items without an entry in the audit trail.
func TestItemsSurviveLaterChangesAndRestore(t *testing.T) {
	m := New(nil)
	if a := applyChange(t, m, mergeChange("1", 3)); a.Outcome != Accepted || a.ItemsRevision != 1 {
		t.Fatalf("first change: answer = %+v, want accepted with revision 1", a)
	}
	if a := applyChange(t, m, mergeChange("2", 3)); a.Outcome != Accepted || a.ItemsRevision != 1 {
		t.Fatalf("change with the same item version: answer = %+v, want accepted with revision 1", a)
	}
	bad := mergeChange("3", 9)
	bad.Items[0].Service = nil
	if a := applyChange(t, m, bad); a.Outcome != Invalid || m.View().Items.Revision != 1 {
		t.Fatalf("invalid change: answer = %+v, want invalid; revision = %d, want 1", a, m.View().Items.Revision)
	}
	applyChange(t, m, Change{ID: "4", Action: Drain, Operator: "ana", Node: "n1"})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	it, ok := restored.View().Items.Item(itemset.Key{Kind: itemset.KindService, Name: "shop"})
	if !ok || it.Version != 3 || restored.View().Items.Revision != 1 {
		t.Errorf("restored item = %+v, found %t, want version 3 in a set of revision 1", it, ok)
	}
	entries := restored.History(0, 10).Entries
	if len(entries) != 4 || !strings.Contains(entries[0].Subject, "set service shop@3") {
		t.Errorf("audit entries = %+v, want 4 entries and the item as the subject of the first", entries)
	}
}
