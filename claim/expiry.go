package claim

// expiry is a binary heap of records ordered by (when, id). The pair is unique,
// so that the order of removal does not depend on the layout of the heap and is
// the same on a replica that was restored from a snapshot.
type expiry struct {
	items []*record
}

func (e *expiry) less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	if a.when != b.when {
		return a.when < b.when
	}
	return a.id < b.id
}

func (e *expiry) swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	e.items[i].position = int32(i)
	e.items[j].position = int32(j)
}

func (e *expiry) push(r *record) {
	r.position = int32(len(e.items))
	e.items = append(e.items, r)
	e.up(len(e.items) - 1)
}

// fix restores the order after r.when changed.
func (e *expiry) fix(r *record) {
	i := int(r.position)
	e.up(i)
	e.down(int(r.position))
}

func (e *expiry) remove(r *record) {
	i, last := int(r.position), len(e.items)-1
	e.swap(i, last)
	e.items[last] = nil
	e.items = e.items[:last]
	if i < last {
		e.fix(e.items[i])
	}
}

// first returns the record whose phase ends first, or nil.
func (e *expiry) first() *record {
	if len(e.items) == 0 {
		return nil
	}
	return e.items[0]
}

func (e *expiry) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.less(i, parent) {
			return
		}
		e.swap(i, parent)
		i = parent
	}
}

func (e *expiry) down(i int) {
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
