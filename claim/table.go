package claim

import "hash/maphash"

const (
	// chunkRecords is the number of records that are allocated together, so that
	// a record costs no allocation of its own.
	chunkRecords = 512
	minSlots     = 64
)

// table holds the records of a store by key. It is a hash table with open
// addressing whose slots name records by their place in chunks: a map from keys to
// pointers takes about 45 bytes for each record, the slots take 5 to 11. Records
// do not move, and the places of removed ones are used again.
type table struct {
	seed   maphash.Seed // random: callers choose keys and could make them collide
	slots  []uint32     // place of a record plus one; 0: empty
	count   int
	chunks [][]record
	free   []uint32 // places of removed records
}

func newTable() *table {
	return &table{seed: maphash.MakeSeed(), slots: make([]uint32, minSlots)}
}

func (t *table) len() int { return t.count }

func (t *table) at(index uint32) *record {
	return &t.chunks[index/chunkRecords][index%chunkRecords]
}

// homeSlot returns the slot that a key is looked up from.
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
		place := t.free[n-1]
		t.free = t.free[:n-1]
		return place
	}
	// Every place that is not free is used.
	place := uint32(t.count)
	if int(place)/chunkRecords == len(t.chunks) {
		t.chunks = append(t.chunks, make([]record, chunkRecords))
	}
	return place
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

// remove frees the place of r. The records behind it move up, so that no search
// ends early at the slot that becomes empty.
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
	place := r.tableIndex
	*r = record{}
	t.free = append(t.free, place)
	t.count--
}
