package raft

// memoryLog holds the entries after base, the last compacted entry.
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

// term returns the term of the entry at index. It fails for compacted and
// missing entries.
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

// slice returns the entries in [from, to]. The result is shared with the log.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	i, j := from-l.baseIndex-1, to-l.baseIndex
	return l.entries[i:j:j]
}

// batch returns entries from index on whose sizes sum up to at most limit; at
// least one entry when there is any.
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

// truncate removes the entries from index on. Slices handed out earlier keep
// their content because the next append reallocates.
func (l *memoryLog) truncate(index uint64) {
	n := index - l.baseIndex - 1
	for _, e := range l.entries[n:] {
		l.bytes -= e.size()
	}
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index, which must be in the log.
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

// reset empties the log so that it continues after a snapshot.
func (l *memoryLog) reset(m SnapshotMeta) {
	*l = memoryLog{baseIndex: m.Index, baseTerm: m.Term, baseTime: m.Time}
}

// lastIndexAtOrBelow returns the largest index up to limit whose term is at
// most term. It lets the two sides of a mismatch skip whole terms.
func (l *memoryLog) lastIndexAtOrBelow(limit, term uint64) uint64 {
	index := min(limit, l.lastIndex())
	for index > l.baseIndex {
		if t, _ := l.term(index); t <= term {
			return index
		}
		index--
	}
	return index
}
