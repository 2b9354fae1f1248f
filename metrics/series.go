package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
)

// series is a map of metrics that is read without a lock. A missing entry is added to
// a copy of the map, which then replaces the map. This happens once for each key.
type series[K comparable, V any] struct {
	mu      sync.Mutex
	current atomic.Pointer[map[K]V]
}

func (s *series[K, V]) get(k K, create func(K) V) V {
	if m := s.current.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v
		}
	}
	return s.add(k, create)
}

func (s *series[K, V]) add(k K, create func(K) V) V {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[K]V{}
	if m := s.current.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v
		}
		next = maps.Clone(*m)
	}
	v := create(k)
	next[k] = v
	s.current.Store(&next)
	return v
}
