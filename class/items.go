package class

import (
	"errors"
	"fmt"
	"strings"

	"bramleymill/strictjson"
)

// Share is the portion of the requests of a class that is sent to one service.
type Share struct {
	Service string `cbor:"1,keyasint,omitempty" json:"service"`
	Share   int    `cbor:"2,keyasint,omitempty" json:"share"` // relative to the other shares of the class
}

// Service is the configuration of the backend servers of one service.
type Service struct {
	Name        string `cbor:"1,keyasint,omitempty" json:"name"`
	HealthPath  string `cbor:"2,keyasint,omitempty" json:"health_path,omitempty"`
	Connections int    `cbor:"3,keyasint,omitempty" json:"connections,omitempty"` // most connections that one backend server accepts from all nodes together

	// A backend server is cold for ColdTime after its start. While it is cold, it accepts
	// ColdRate requests a second from all nodes together. Zero: no limit.
	ColdTime strictjson.Duration `cbor:"4,keyasint,omitempty" json:"cold_time,omitempty"`
	ColdRate float64             `cbor:"5,keyasint,omitempty" json:"cold_rate,omitempty"`
}

// Limits limits the size of requests, the time callers may take to send a header, and
// the time a connection may stay idle. A zero field sets no limit.
type Limits struct {
	HeaderBytes   int64               `cbor:"1,keyasint,omitempty" json:"header_bytes,omitempty"`
	BodyBytes     int64               `cbor:"2,keyasint,omitempty" json:"body_bytes,omitempty"`
	HeaderTimeout strictjson.Duration `cbor:"3,keyasint,omitempty" json:"header_timeout,omitempty"`
	IdleTimeout   strictjson.Duration `cbor:"4,keyasint,omitempty" json:"idle_timeout,omitempty"`
}

// ValidateItem validates a class that is configured as an item. serviceExists reports
// whether a service is configured. The rules are less strict than those of a class
// document: a host and a path prefix identify the class, its name may have any form,
// and its latency target may exceed its deadline.
func (c *Class) ValidateItem(serviceExists func(service string) bool) error {
	var errs []error
	if len(c.Match.Hosts) == 0 {
		errs = append(errs, errors.New("match.hosts: name the host"))
	}
	for _, h := range c.Match.Hosts {
		if strings.TrimSpace(h) == "" {
			errs = append(errs, errors.New("match.hosts: an empty host is not allowed"))
		}
	}
	if !strings.HasPrefix(c.Match.PathPrefix, "/") || !strings.HasSuffix(c.Match.PathPrefix, "/") {
		errs = append(errs, fmt.Errorf("match.path_prefix: %q must begin and end with /", c.Match.PathPrefix))
	}
	if d := c.Deadline.Std(); d <= 0 || d > MaxDeadline {
		errs = append(errs, fmt.Errorf("deadline: %v is not within 0 and %v", d, MaxDeadline))
	}
	if c.LatencyTarget.Std() < 0 {
		errs = append(errs, errors.New("latency_target: must not be negative"))
	}
	if c.MaxAttempts < 0 {
		errs = append(errs, errors.New("attempts: must not be negative"))
	}
	if _, ok := urgencies[c.Urgency]; !ok {
		errs = append(errs, fmt.Errorf("urgency: %q is not low, normal, high or critical", c.Urgency))
	}
	return errors.Join(append(errs, c.checkServices(serviceExists)...)...)
}

func (c *Class) checkServices(serviceExists func(string) bool) (errs []error) {
	requireService := func(name string) {
		if !serviceExists(name) {
			errs = append(errs, fmt.Errorf("service: %q is not configured", name))
		}
	}
	if len(c.Shares) == 0 {
		requireService(c.Service)
		return errs
	}
	total := 0
	for _, s := range c.Shares {
		requireService(s.Service)
		if s.Share < 0 {
			errs = append(errs, fmt.Errorf("shares: the share of %q is negative", s.Service))
		}
		total += max(s.Share, 0)
	}
	if total == 0 {
		errs = append(errs, errors.New("shares: they add up to zero"))
	}
	return errs
}

// NewItemSet returns the Set of a configuration that consists of items.
func NewItemSet(version uint64, classes []*Class, services []*Service, limits Limits) *Set {
	s := &Set{
		Version:  version,
		document: &Document{},
		byName:   make(map[string]*Resolved, len(classes)),
		hosts:    map[string]map[string]*Resolved{},
		services: make(map[string]*Service, len(services)),
		limits:   limits,
	}
	for _, v := range services {
		s.services[v.Name] = v
	}
	for _, c := range classes {
		r := c.resolveItem(limits, s.coldRate)
		s.byName[r.Name] = r
		for _, h := range c.Match.Hosts {
			h = strings.ToLower(h)
			if s.hosts[h] == nil {
				s.hosts[h] = map[string]*Resolved{}
			}
			s.hosts[h][NormalizePath(c.Match.PathPrefix)] = r
		}
	}
	return s
}

func (s *Set) coldRate(service string) float64 {
	if v := s.services[service]; v != nil {
		return v.ColdRate
	}
	return 0
}

func (c *Class) resolveItem(limits Limits, coldRate func(service string) float64) *Resolved {
	r := c.resolve()
	r.ConfiguredAsItem = true
	r.MaxAttempts = uint32(max(c.MaxAttempts, 1))
	r.ServeUnconfirmed = true
	r.BodyLimit = limits.BodyBytes
	r.ColdRate = coldRate(r.Service)
	for _, s := range c.Shares {
		if s.Share <= 0 {
			continue
		}
		part := *r
		part.Service = s.Service
		part.ColdRate = coldRate(s.Service)
		r.totalShares += s.Share
		r.parts = append(r.parts, &part)
		r.cumulativeShares = append(r.cumulativeShares, r.totalShares)
	}
	if len(r.parts) == 1 {
		return r.parts[0]
	}
	return r
}

// SelectShare selects one service of a class by its share of the requests and returns the
// class with that service. point is a number from 0 to below 1; the points of successive
// requests must be evenly distributed. For a class with one service, SelectShare returns r.
func (r *Resolved) SelectShare(point float64) *Resolved {
	if len(r.parts) == 0 {
		return r
	}
	position := point * float64(r.totalShares)
	for i, end := range r.cumulativeShares {
		if position < float64(end) {
			return r.parts[i]
		}
	}
	return r.parts[len(r.parts)-1]
}

// IsSplit reports whether the requests of the class are split among several services.
func (r *Resolved) IsSplit() bool { return len(r.parts) > 0 }

// MatchHost returns the class of a request to a host, or nil. Among the classes of the
// host the one with the longest path prefix wins. path is the path as it was sent, with its
// encoded characters. A set that was built from a document has no hosts and matches by
// method and path.
func (s *Set) MatchHost(host, method, path string) *Resolved {
	if s.hosts == nil {
		return s.Match(method, path)
	}
	path = NormalizePath(path)
	prefixes := s.hosts[bareHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// KnowsHost reports whether a class may match requests to host.
func (s *Set) KnowsHost(host string) bool { return s.hosts == nil || s.hosts[bareHost(host)] != nil }

// bareHost returns the host of a Host header without its port, in lower case.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the configuration of a service, or nil.
func (s *Set) Service(name string) *Service { return s.services[name] }

// Limits returns the limits for callers.
func (s *Set) Limits() Limits { return s.limits }
