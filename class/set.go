package class

import (
	"sort"
	"strings"
	"time"

	"bramleymill/fleet"
)

// Resolved is a class with its defaults filled in, ready for the request path.
type Resolved struct {
	Name          string
	Service       string
	Idempotent    bool
	InternalOnly  bool
	LatencyTarget time.Duration
	Deadline      time.Duration
	Urgency       fleet.Urgency
	MaxBody       int64
	KeyRequired   bool
	ServeStale    bool // serve while the configuration is not confirmed

	Item             bool   // configured as an item: Attempts and BodyLimit are in force
	Attempts         uint32 // backend servers that one request may reach
	BodyLimit        int64  // of a request; zero: none
	parts            []*Resolved
	cumulativeShares []int // sum of the shares up to each part
	totalShares      int
}

// Set is an immutable, validated class document of one version.
type Set struct {
	Version         uint64
	document        *Document
	routes          map[string][]route // by method, longest prefix first
	byName          map[string]*Resolved
	probesByService map[string]float64 // probes per second for each backend server, by service

	// Of a configuration that consists of items.
	hosts    map[string]map[string]*Resolved // by host and prefix
	services map[string]*Service
	limits   Limits
}

type route struct {
	prefix string
	class  *Resolved
}

// NewSet builds the Set of version for a parsed document.
func NewSet(version uint64, d *Document) *Set {
	s := &Set{
		Version:         version,
		document:        d,
		routes:          map[string][]route{},
		byName:          map[string]*Resolved{},
		probesByService: map[string]float64{},
	}
	for i := range d.Classes {
		c := &d.Classes[i]
		r := c.resolve()
		s.byName[r.Name] = r
		s.probesByService[r.Service] += c.ProbesPerSecond
		for _, m := range c.Match.Methods {
			s.routes[m] = append(s.routes[m], route{c.Match.PathPrefix, r})
		}
	}
	for _, list := range s.routes {
		sort.Slice(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return s
}

func (c *Class) resolve() *Resolved {
	maxBody := int64(c.MaxBody)
	if maxBody == 0 {
		maxBody = DefaultMaxBody
	}
	return &Resolved{
		Name:          c.Name,
		Service:       c.Service,
		Idempotent:    c.Idempotent,
		InternalOnly:  c.InternalOnly,
		LatencyTarget: c.LatencyTarget.Std(),
		Deadline:      c.Deadline.Std(),
		Urgency:       urgencies[c.Urgency],
		MaxBody:       maxBody,
		KeyRequired:   c.Key == KeyRequired,
		ServeStale:    c.WhenUnconfirmed == Serve,
	}
}

// Match returns the class that takes a request, or nil.
func (s *Set) Match(method, path string) *Resolved {
	for _, r := range s.routes[method] {
		if strings.HasPrefix(path, r.prefix) {
			return r.class
		}
	}
	return nil
}

// Class returns the class called name, or nil.
func (s *Set) Class(name string) *Resolved { return s.byName[name] }

// ProbesPerSecond returns the measuring budget of each backend server of service.
func (s *Set) ProbesPerSecond(service string) float64 { return s.probesByService[service] }

// MeasuringBytesPerSecond returns the network budget for measuring each backend server.
func (s *Set) MeasuringBytesPerSecond() int64 { return s.document.MeasuringBytesPerSecond }

// Document returns the document that the set was built from. It must not be changed.
func (s *Set) Document() *Document { return s.document }
