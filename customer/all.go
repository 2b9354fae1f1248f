package customer

import (
	"iter"
	"maps"
)

// All returns the customers in no particular order. A nil Set is empty.
func (s *Set) All() iter.Seq[*Resolved] {
	if s == nil {
		return func(func(*Resolved) bool) {}
	}
	return maps.Values(s.byName)
}
