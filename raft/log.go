package raft

// memoryLog holds the entries after the base, which is the last compacted entry.
type memoryLog struct {
	baseIndex uint64
	baseTerm  uint64
	baseTime  int64
	entries   []Entry
	bytes     int // sum of the entry sizes
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

func (l *memoryLog) lastTime() int64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Time
	}
	return l.baseTime
}

// term returns the term of the entry at index, which may be the base. It reports
// false for compacted and missing entries.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memoryLog) at(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries in [from, to]. The result shares memory with the log.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	i, j := from-l.baseIndex-1, to-l.baseIndex
	return l.entries[i:j:j]
}

// batch returns entries from the given index on with a total size of at most
// limit, but at least one entry if there is any.
func (l *memoryLog) batch(from uint64, limit int) []Entry {
	size, to := 0, from
	for ; to <= l.lastIndex(); to++ {
		size += l.at(to).size()
		if size > limit && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

func (l *memoryLog) append(es ...Entry) {
	for _, e := range es {
		l.bytes += e.size()
	}
	l.entries = append(l.entries, es...)
}

// truncate removes the entries from index on. Slices returned earlier keep their
// content, because the next append reallocates.
func (l *memoryLog) truncate(index uint64) {
	n := index - l.baseIndex - 1
	for _, e := range l.entries[n:] {
		l.bytes -= e.size()
	}
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to and including index, which must be in the
// log.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	last := l.at(index)
	for _, e := range l.slice(l.baseIndex+1, index) {
		l.bytes -= e.size()
	}
	l.entries = append([]Entry(nil), l.slice(index+1, l.lastIndex())...)
	l.baseIndex, l.baseTerm, l.baseTime = index, last.Term, last.Time
}

// reset empties the log and makes the last entry of a snapshot its base.
func (l *memoryLog) reset(m SnapshotMeta) {
	*l = memoryLog{baseIndex: m.Index, baseTerm: m.Term, baseTime: m.Time}
}

// lastIndexWithTermAtMost returns the largest index up to limit whose entry has at
// most the given term. If there is none, it returns the smaller of limit and the
// index of the base. A leader and a follower with different logs use it to skip
// whole terms when they look for their last common entry.
func (l *memoryLog) lastIndexWithTermAtMost(limit, term uint64) uint64 {
	index := min(limit, l.lastIndex())
	for index > l.baseIndex {
		if t, _ := l.term(index); t <= term {
			return index
		}
		index--
	}
	return index
}
