package claim

// expiryHeap is a binary heap of records ordered by (phaseEnd, id). The pair is unique,
// so the order of removal does not depend on the layout of the heap and is the
// same on a replica that was restored from a snapshot.
type expiryHeap struct {
	items []*record
}

func (e *expiryHeap) less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	if a.phaseEnd != b.phaseEnd {
		return a.phaseEnd < b.phaseEnd
	}
	return a.id < b.id
}

func (e *expiryHeap) swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	e.items[i].heapIndex = int32(i)
	e.items[j].heapIndex = int32(j)
}

func (e *expiryHeap) push(r *record) {
	r.heapIndex = int32(len(e.items))
	e.items = append(e.items, r)
	e.up(len(e.items) - 1)
}

// fix restores the heap order after r.phaseEnd was changed.
func (e *expiryHeap) fix(r *record) {
	i := int(r.heapIndex)
	e.up(i)
	e.down(int(r.heapIndex))
}

func (e *expiryHeap) remove(r *record) {
	i, last := int(r.heapIndex), len(e.items)-1
	e.swap(i, last)
	e.items[last] = nil
	e.items = e.items[:last]
	if i < last {
		e.fix(e.items[i])
	}
}

// first returns the record whose phase ends first, or nil.
func (e *expiryHeap) first() *record {
	if len(e.items) == 0 {
		return nil
	}
	return e.items[0]
}

func (e *expiryHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.less(i, parent) {
			return
		}
		e.swap(i, parent)
		i = parent
	}
}

func (e *expiryHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(e.items) {
			return
		}
		if right := child + 1; right < len(e.items) && e.less(right, child) {
			child = right
		}
		if !e.less(child, i) {
			return
		}
		e.swap(i, child)
		i = child
	}
}
