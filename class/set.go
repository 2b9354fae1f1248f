package class

import (
	"sort"
	"strings"
	"time"

	"bramleymill/customer"
	"bramleymill/fleet"
)

// Resolved is a class with its defaults applied, in the form in which the request path
// uses it.
type Resolved struct {
	Name             string
	Service          string
	Idempotent       bool
	InternalOnly     bool
	LatencyTarget    time.Duration
	Deadline         time.Duration
	Urgency          fleet.Urgency
	MaxBody          int64
	KeyRequired      bool
	ServeUnconfirmed bool // serve requests while the configuration is not confirmed
	Anonymous        bool // requests need no key of a customer

	ConfiguredAsItem bool        // the class is an item (package itemset); only then do MaxAttempts and BodyLimit apply
	MaxAttempts      uint32      // maximum number of backend servers that one request may be sent to
	ColdRate         float64     // requests a second that a cold backend server of the service accepts; zero: no limit
	BodyLimit        int64       // maximum size of a request body in bytes; zero means no limit
	parts            []*Resolved // for each service with a share, the class with that service
	cumulativeShares []int       // for each part, the sum of the shares up to and including it
	totalShares      int
}

// Set is the validated, immutable form of one version of the configuration.
type Set struct {
	Version         uint64
	document        *Document
	routes          map[string][]route // by method, longest prefix first
	byName          map[string]*Resolved
	probesByService map[string]float64 // probes per second for each backend server, by service

	// Only set if the configuration consists of items.
	hosts    map[string]map[string]*Resolved // by host and prefix
	services map[string]*Service
	limits   Limits

	customers *customer.Set // nil: none
}

type route struct {
	prefix string
	class  *Resolved
}

// NewSet returns the Set of a parsed document with the given version.
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
			s.routes[m] = append(s.routes[m], route{NormalizePath(c.Match.PathPrefix), r})
		}
	}
	for _, list := range s.routes {
		sort.Slice(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	customers := make([]*customer.Customer, len(d.Customers))
	for i := range d.Customers {
		customers[i] = &d.Customers[i]
	}
	return s.WithCustomers(customers)
}

func (c *Class) resolve() *Resolved {
	maxBody := int64(c.MaxBody)
	if maxBody == 0 {
		maxBody = DefaultMaxBody
	}
	return &Resolved{
		Name:             c.Name,
		Service:          c.Service,
		Idempotent:       c.Idempotent,
		InternalOnly:     c.InternalOnly,
		LatencyTarget:    c.LatencyTarget.Std(),
		Deadline:         c.Deadline.Std(),
		Urgency:          urgencies[c.Urgency],
		MaxBody:          maxBody,
		KeyRequired:      c.Key == KeyRequired,
		ServeUnconfirmed: c.WhenUnconfirmed == Serve,
		Anonymous:        c.Anonymous,
	}
}

// Match returns the class of a request by method and path, or nil. path is the path as it was
// sent, with its encoded characters.
func (s *Set) Match(method, path string) *Resolved {
	path = NormalizePath(path)
	for _, r := range s.routes[method] {
		if strings.HasPrefix(path, r.prefix) {
			return r.class
		}
	}
	return nil
}

// WithCustomers sets the customers and returns s. It must be called before s is used by several
// goroutines.
func (s *Set) WithCustomers(customers []*customer.Customer) *Set {
	s.customers = customer.NewSet(customers, ParseUrgency)
	return s
}

// Customers returns the customers. If there are none, requests need no keys.
func (s *Set) Customers() *customer.Set { return s.customers }

// Class returns the class called name, or nil.
func (s *Set) Class(name string) *Resolved { return s.byName[name] }

// ProbesPerSecond returns the probe budget for each backend server of service.
func (s *Set) ProbesPerSecond(service string) float64 { return s.probesByService[service] }

// MeasuringBytesPerSecond returns the limit of network traffic of probes for each
// backend server.
func (s *Set) MeasuringBytesPerSecond() int64 { return s.document.MeasuringBytesPerSecond }

// Document returns the document that the set was built from, which is empty for a
// configuration of items. It must not be modified.
func (s *Set) Document() *Document { return s.document }
