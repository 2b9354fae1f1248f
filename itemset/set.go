package itemset

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"bramleymill/class"
)

// Set is an immutable collection of items. Revision increases with every merge
// that changes something.
type Set struct {
	Revision uint64
	items    map[Key]*Item
}

// Empty returns the Set without items.
func Empty() *Set { return &Set{items: map[Key]*Item{}} }

// Bounds of a Set. Dropped items count, because their versions are remembered.
const MaxItems = 20_000

// Merge returns the set after a change and the number of items that it set or
// dropped. The receiver stays as it is. After an error nothing of the change is
// in force.
func (s *Set) Merge(change []Item) (next *Set, changed int, err error) {
	if err := s.validate(change); err != nil {
		return s, 0, err
	}
	out := maps.Clone(s.items)
	for i := range change {
		current, ok := out[change[i].Key]
		if ok && current.Version >= change[i].Version {
			continue
		}
		it := change[i]
		out[it.Key] = &it
		changed++
	}
	if changed == 0 {
		return s, 0, nil
	}
	if len(out) > MaxItems {
		return s, 0, fmt.Errorf("the configuration would have %d items, more than %d", len(out), MaxItems)
	}
	return &Set{Revision: s.Revision + 1, items: out}, changed, nil
}

// validate checks every item of a change, also those that an equal or higher
// version has overtaken: a change is refused as a whole.
func (s *Set) validate(change []Item) error {
	stated := map[string]bool{}
	for i := range change {
		if change[i].Key.Kind == KindService && !change[i].Dropped {
			stated[change[i].Key.Name] = true
		}
	}
	var errs []error
	for i := range change {
		it := &change[i]
		if err := it.check(); err != nil {
			errs = append(errs, err)
			continue
		}
		if it.Class == nil {
			continue
		}
		current := s.items[it.Key]
		superseded := current != nil && current.Version >= it.Version
		if err := it.Class.CheckItem(func(name string) bool { return stated[name] || s.hasService(name, superseded) }); err != nil {
			errs = append(errs, fmt.Errorf("class %q: %w", it.Key.Name, err))
		}
	}
	return errors.Join(errs...)
}

// hasService reports whether a service is configured. A change that was accepted
// before may come again after one of its services was dropped, so that dropped
// services are known to a class that is overtaken.
func (s *Set) hasService(service string, superseded bool) bool {
	it, ok := s.items[Key{KindService, service}]
	return ok && (superseded || !it.Dropped)
}

// Item returns what is held under a key, dropped or not.
func (s *Set) Item(k Key) (Item, bool) {
	it, ok := s.items[k]
	if !ok {
		return Item{}, false
	}
	return *it, true
}

// Len returns the number of items, dropped ones included.
func (s *Set) Len() int { return len(s.items) }

// Sorted returns all items, dropped ones included, by kind and name.
func (s *Set) Sorted() []*Item {
	return slices.SortedFunc(maps.Values(s.items), func(a, b *Item) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
}

// Classes builds the class.Set of the items that are not dropped.
func (s *Set) Classes(version uint64) *class.Set {
	var classes []*class.Class
	var services []*class.Service
	var limits class.Limits
	for _, it := range s.items {
		switch {
		case it.Dropped:
		case it.Class != nil:
			classes = append(classes, it.Class)
		case it.Service != nil:
			services = append(services, it.Service)
		case it.Limits != nil:
			limits = *it.Limits
		}
	}
	return class.NewItemSet(version, classes, services, limits)
}
