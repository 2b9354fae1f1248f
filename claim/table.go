package claim

import "hash/maphash"

const (
	// chunkRecords is the number of records that are allocated together, which
	// avoids one allocation for each record.
	chunkRecords = 512
	minSlots     = 64
)

// table stores the records of a Machine by key. It is a hash table with open
// addressing and linear probing. Its slots refer to records by their index in
// chunks. The slots take 5 to 11 bytes for each record; a map from keys to pointers
// would take about 45. Records do not change their address, and the indexes of
// removed records are reused.
type table struct {
	seed   maphash.Seed // random, because callers choose keys and could otherwise make them collide
	slots  []uint32     // index of a record plus one; 0 marks an empty slot
	count  int
	chunks [][]record
	free   []uint32 // indexes of removed records
}

func newTable() *table {
	return &table{seed: maphash.MakeSeed(), slots: make([]uint32, minSlots)}
}

func (t *table) len() int { return t.count }

func (t *table) at(index uint32) *record {
	return &t.chunks[index/chunkRecords][index%chunkRecords]
}

// homeSlot returns the slot at which the search for key starts.
func (t *table) homeSlot(key *digest) uint32 {
	return uint32(maphash.Bytes(t.seed, key[:])) & uint32(len(t.slots)-1)
}

func (t *table) nextSlot(slot uint32) uint32 { return (slot + 1) & uint32(len(t.slots)-1) }

// find returns the record of key, or nil.
func (t *table) find(key digest) *record {
	for s := t.homeSlot(&key); t.slots[s] != 0; s = t.nextSlot(s) {
		if r := t.at(t.slots[s] - 1); r.key == key {
			return r
		}
	}
	return nil
}

// add stores a copy of r, whose key must not be in the table, and returns it.
func (t *table) add(r record) *record {
	if 4*(t.count+1) > 3*len(t.slots) {
		t.grow()
	}
	r.tableIndex = t.allocateIndex()
	stored := t.at(r.tableIndex)
	*stored = r
	t.link(stored)
	t.count++
	return stored
}

func (t *table) allocateIndex() uint32 {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		return index
	}
	// No index is free, so the indexes below count are all used.
	index := uint32(t.count)
	if int(index)/chunkRecords == len(t.chunks) {
		t.chunks = append(t.chunks, make([]record, chunkRecords))
	}
	return index
}

func (t *table) link(r *record) {
	s := t.homeSlot(&r.key)
	for t.slots[s] != 0 {
		s = t.nextSlot(s)
	}
	t.slots[s] = r.tableIndex + 1
}

func (t *table) grow() {
	old := t.slots
	t.slots = make([]uint32, 2*len(old))
	for _, v := range old {
		if v != 0 {
			t.link(t.at(v - 1))
		}
	}
}

// remove deletes r and frees its index. It inserts the records again that are in the
// following slots up to the next empty one, because the new empty slot would end the
// search for their keys too early.
func (t *table) remove(r *record) {
	s := t.homeSlot(&r.key)
	for t.slots[s] != r.tableIndex+1 {
		s = t.nextSlot(s)
	}
	t.slots[s] = 0
	for n := t.nextSlot(s); t.slots[n] != 0; n = t.nextSlot(n) {
		v := t.slots[n]
		t.slots[n] = 0
		t.link(t.at(v - 1))
	}
	index := r.tableIndex
	*r = record{}
	t.free = append(t.free, index)
	t.count--
}
