package explain

import (
	"sync/atomic"
	"time"

	"bramleymill/fleet"
)

// Default numbers of records and events in a Store.
const (
	DefaultRecords = 4096
	DefaultEvents  = 512
)

// EventKind is the kind of an event, such as the ejection of a server.
type EventKind string

// The kinds of events.
const (
	Ejected       EventKind = "ejected"        // a server is not selected for a time because it failed
	Readmitted    EventKind = "readmitted"     // an ejected server is selected again
	CrashDetected EventKind = "crash_detected" // a backend server died
	BackendUp     EventKind = "backend_up"     // a backend server became ready
	Drained       EventKind = "drained"        // a drain has ended
	DrainStarted  EventKind = "drain_started"  // a drain began
	Quarantined   EventKind = "quarantined"    // a request is refused because it has crashed servers
	ConfigApplied EventKind = "config_applied" // a node applied a version of the configuration
	ZonesChanged  EventKind = "zones_changed"  // a node learned that zones were taken out of use or returned
	StateChanged  EventKind = "state_changed"  // a backend server changed to another state
	// Events of a control instance: its disk stalls, its disk responds again, or the instance
	// stopped after a failure.
	DiskStalls     EventKind = "disk_hangs"
	DiskResponds   EventKind = "disk_answers"
	ControlStopped EventKind = "control_stopped"
)

// Event is an event of the fleet as observed by one node.
type Event struct {
	At      int64        `cbor:"1,keyasint" json:"at_unix_ns"`
	Kind    EventKind    `cbor:"2,keyasint" json:"kind"`
	Node    fleet.NodeID `cbor:"3,keyasint" json:"node"`
	Service string       `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Reason  string       `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// ring keeps the newest values. Adding a value takes one atomic addition and one pointer
// store. A reader may miss values that are being overwritten.
type ring[T any] struct {
	next  atomic.Uint64
	slots []atomic.Pointer[T]
}

func newRing[T any](n int) *ring[T] { return &ring[T]{slots: make([]atomic.Pointer[T], n)} }

func (r *ring[T]) add(v *T) {
	i := r.next.Add(1) - 1
	r.slots[i%uint64(len(r.slots))].Store(v)
}

// each calls f with the values from the newest to the oldest until f returns false.
func (r *ring[T]) each(f func(*T) bool) {
	next, size := r.next.Load(), uint64(len(r.slots))
	for i := uint64(0); i < min(size, next); i++ {
		if v := r.slots[(next-1-i)%size].Load(); v != nil && !f(v) {
			return
		}
	}
}

// Store keeps the newest records and events of one node.
type Store struct {
	node    fleet.NodeID
	records *ring[Record]
	events  *ring[Event]
	observe atomic.Pointer[func(*Record)] // called by Add; nil until Observe is called
}

// Observe makes the store call f with each record added from now on. It replaces an earlier
// f. f must not block and must not change the record.
func (s *Store) Observe(f func(*Record)) { s.observe.Store(&f) }

// NewStore returns a Store for node that keeps the given numbers of records and events.
func NewStore(node fleet.NodeID, records, events int) *Store {
	return &Store{node: node, records: newRing[Record](records), events: newRing[Event](events)}
}

// Add adds the record of a finished request. The record must not be changed afterwards.
func (s *Store) Add(r *Record) {
	r.Node = s.node
	s.records.add(r)
	if f := s.observe.Load(); f != nil {
		(*f)(r)
	}
}

// Find returns the records with a request id, oldest first.
func (s *Store) Find(id string) []*Record {
	var found []*Record
	s.records.each(func(r *Record) bool {
		if r.RequestID == id {
			found = append([]*Record{r}, found...)
		}
		return true
	})
	return found
}

// Recent returns up to n records of the class, newest first. If class is empty, it returns
// records of all classes.
func (s *Store) Recent(class string, n int) []*Record {
	var found []*Record
	s.records.each(func(r *Record) bool {
		if class == "" || r.Class == class {
			found = append(found, r)
		}
		return len(found) < n
	})
	return found
}

// AddEvent adds an event that happened at now.
func (s *Store) AddEvent(now time.Time, k EventKind, node fleet.NodeID, service, reason string) {
	s.events.add(&Event{At: now.UnixNano(), Kind: k, Node: node, Service: service, Reason: reason})
}

// Events returns up to n events, newest first.
func (s *Store) Events(n int) []Event {
	var found []Event
	s.events.each(func(e *Event) bool {
		found = append(found, *e)
		return len(found) < n
	})
	return found
}
