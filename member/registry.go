package member

import (
	"slices"
	"strings"
	"time"

	"bramleymill/fleet"
)

// entry is the registry record of one node. The entry of a node that was lost or
// has left is kept for tombstoneLifetime, so that an old announcement cannot
// bring the node back.
type entry struct {
	server        fleet.Server
	lost          bool
	rev           uint64 // registry revision of the last change of the entry
	formerService string // service of an earlier announcement; its subscribers must receive the change

	// via is the child that reports the node. It is the id of this member for a direct
	// child, and empty for a node outside the subtree.
	via            fleet.NodeID
	wasInSubtree   bool // the node was in the subtree and may have been reported to other members
	lastContact    time.Time
	appliedVersion uint64
	goneAt         time.Time // when the node was lost or left
	suspicion      *suspicion
}

func (e *entry) active() bool { return !e.lost && e.server.State != fleet.Left }

func (e *entry) stamp() stamp { return stamp{e.server.Incarnation, e.server.Sequence} }

// stamp identifies an announcement of a node and orders it among the others.
type stamp struct {
	incarnation fleet.Incarnation
	sequence    uint64
}

func stampOf(s fleet.Server) stamp { return stamp{s.Incarnation, s.Sequence} }

// registry merges the announcements of nodes. Each change is assigned the next
// revision, so that the changes since a revision can be listed.
type registry struct {
	rev      uint64
	entries  map[fleet.NodeID]*entry
	byName   []*entry // nil: must be sorted again
	services map[string]*serviceIndex
	dirty    map[string]struct{} // services that changed since the last publication
}

type serviceIndex struct {
	rev     uint64                  // registry revision of the last change in the service
	entries map[fleet.NodeID]*entry // nodes whose current or former service is this one
}

// order states how an announcement compares with the registry entry of its node.
type order uint8

const (
	older order = iota + 1
	same
	newer
)

func newRegistry() *registry {
	return &registry{
		rev:      1, // a receiver that has received nothing reports revision 0
		entries:  map[fleet.NodeID]*entry{},
		services: map[string]*serviceIndex{},
		dirty:    map[string]struct{}{},
	}
}

// put merges the announcement s. It replaces the one in the registry entry if it is
// newer, and otherwise leaves the entry unchanged. The returned order states how s
// compared with the entry before the call.
func (r *registry) put(s fleet.Server, lost bool, now time.Time) (*entry, order) {
	e := r.entries[s.Node]
	switch {
	case e == nil:
		e = &entry{}
		r.entries[s.Node] = e
		r.byName = nil
	case e.server.Supersedes(s):
		return e, older
	case !s.Supersedes(e.server):
		return e, same
	case e.server.Service != s.Service:
		e.formerService = e.server.Service
	}
	e.server, e.lost, e.suspicion = s, lost, nil
	e.via = ""
	if !e.active() {
		e.goneAt = now
	}
	r.touch(e)
	return e, newer
}

func (r *registry) setLost(e *entry, lost bool, now time.Time) {
	if e.lost == lost {
		return
	}
	e.lost, e.suspicion = lost, nil
	if lost {
		e.goneAt = now
	}
	r.touch(e)
}

// touch assigns the next revision to an entry.
func (r *registry) touch(e *entry) {
	r.rev++
	e.rev = r.rev
	r.index(e.server.Service, e)
	if e.formerService != "" {
		r.index(e.formerService, e)
	}
}

func (r *registry) index(service string, e *entry) {
	x := r.services[service]
	if x == nil {
		x = &serviceIndex{entries: map[fleet.NodeID]*entry{}}
		r.services[service] = x
	}
	x.entries[e.server.Node] = e
	x.rev = r.rev
	r.dirty[service] = struct{}{}
}

// changes appends the entries of a service that changed after a revision.
func (r *registry) changes(out []*entry, service string, after uint64) []*entry {
	x := r.services[service]
	if x == nil || x.rev <= after {
		return out
	}
	for _, e := range x.entries {
		if e.rev > after {
			out = append(out, e)
		}
	}
	return out
}

// servers returns the active servers of a service, sorted by node name.
func (r *registry) servers(service string) []fleet.Server {
	x := r.services[service]
	if x == nil {
		return nil
	}
	out := make([]fleet.Server, 0, len(x.entries))
	for _, e := range x.entries {
		if e.active() && e.server.Service == service {
			out = append(out, e.server)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Server) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}

// sorted returns all entries sorted by node name, so that runs with the same seed
// behave alike. The result is valid until the next change of the registry.
func (r *registry) sorted() []*entry {
	if r.byName == nil {
		r.byName = make([]*entry, 0, len(r.entries))
		for _, e := range r.entries {
			r.byName = append(r.byName, e)
		}
		slices.SortFunc(r.byName, func(a, b *entry) int { return strings.Compare(string(a.server.Node), string(b.server.Node)) })
	}
	return r.byName
}

// purge deletes the entries of nodes that have been gone for tombstoneLifetime.
func (r *registry) purge(now time.Time) {
	for name, e := range r.entries {
		if e.active() || now.Sub(e.goneAt) < tombstoneLifetime {
			continue
		}
		delete(r.entries, name)
		r.byName = nil
		r.unindex(e.server.Service, name)
		r.unindex(e.formerService, name)
	}
}

func (r *registry) unindex(service string, name fleet.NodeID) {
	x := r.services[service]
	if x == nil {
		return
	}
	delete(x.entries, name)
	if len(x.entries) == 0 {
		delete(r.services, service)
	}
}
