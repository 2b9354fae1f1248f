package customer

import (
	"errors"
	"fmt"
	"math"

	"bramleymill/fleet"
)

// Customer is one customer as operators configure it. A class document states digests of keys,
// an item the keys.
type Customer struct {
	Name       string   `cbor:"1,keyasint,omitempty" json:"name"`
	Keys       []string `cbor:"2,keyasint,omitempty" json:"-"`
	KeyDigests []string `cbor:"-" json:"key_digests,omitempty"`                // as ParseDigest accepts them
	Urgency    string   `cbor:"3,keyasint,omitempty" json:"urgency,omitempty"` // replaces that of the class; empty: the class decides
	Rate       float64  `cbor:"4,keyasint,omitempty" json:"rate,omitempty"`    // requests a second over all nodes; zero: no limit
	Burst      float64  `cbor:"5,keyasint,omitempty" json:"burst,omitempty"`   // requests beyond Rate that may come at once
}

// Bounds of a customer.
const (
	MaxKeys     = 1024
	MaxKeyBytes = 4096
	MaxRate     = 1e9
)

// Validate checks the rules that do not depend on other customers. parseUrgency returns false
// for a name that is no urgency.
func (c *Customer) Validate(parseUrgency func(string) (fleet.Urgency, bool)) error {
	var errs []error
	if c.Name == "" {
		errs = append(errs, errors.New("name: a customer needs a name"))
	}
	if len(c.Keys) > MaxKeys {
		errs = append(errs, fmt.Errorf("keys: %d keys; use at most %d", len(c.Keys), MaxKeys))
	}
	for i, k := range c.Keys {
		if k == "" || len(k) > MaxKeyBytes {
			errs = append(errs, fmt.Errorf("keys[%d]: the key has %d bytes; use 1 to %d", i, len(k), MaxKeyBytes))
		}
	}
	if _, ok := parseUrgency(c.Urgency); c.Urgency != "" && !ok {
		errs = append(errs, fmt.Errorf("urgency: %q is unknown", c.Urgency))
	}
	for _, v := range []struct {
		field string
		value float64
	}{{"rate", c.Rate}, {"burst", c.Burst}} {
		if math.IsNaN(v.value) || v.value < 0 || v.value > MaxRate {
			errs = append(errs, fmt.Errorf("%s: %v is not within 0 and %g", v.field, v.value, MaxRate))
		}
	}
	return errors.Join(errs...)
}

// Resolved is a customer in the form in which the request path uses it.
type Resolved struct {
	Name    string
	Urgency fleet.Urgency // zero: that of the class
	Rate    float64       // zero: no limit
	Burst   float64
}

// Set is an immutable collection of customers.
type Set struct {
	byKey  map[Digest]*Resolved
	byName map[string]*Resolved
	// meanRate is the mean rate of the customers that have one, or 1.
	meanRate float64
}

// NewSet returns the Set of customers that Validate accepts. parseUrgency is as in Validate.
// If customers share a key, which a validated configuration excludes, the key finds none of
// them.
func NewSet(customers []*Customer, parseUrgency func(string) (fleet.Urgency, bool)) *Set {
	s := &Set{byKey: map[Digest]*Resolved{}, byName: make(map[string]*Resolved, len(customers))}
	for _, c := range customers {
		r := &Resolved{Name: c.Name, Rate: c.Rate, Burst: c.Burst}
		if c.Urgency != "" {
			r.Urgency, _ = parseUrgency(c.Urgency)
		}
		s.byName[c.Name] = r
		for _, d := range c.digests() {
			if other, ok := s.byKey[d]; ok && other != r {
				s.byKey[d] = nil
				continue
			}
			s.byKey[d] = r
		}
	}
	s.meanRate = meanRate(customers)
	return s
}

func meanRate(customers []*Customer) float64 {
	sum, n := 0.0, 0
	for _, c := range customers {
		if c.Rate > 0 {
			sum += c.Rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Weight returns the share of a customer relative to the others when capacity is short. It is
// the rate that the customer may send, or the mean of all rates for a customer without one.
func (s *Set) Weight(name string) float64 {
	if s == nil {
		return 1
	}
	if c := s.byName[name]; c != nil && c.Rate > 0 {
		return c.Rate
	}
	return s.meanRate
}

// Len returns the number of customers. A nil Set is empty.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// Find returns the customer that has a key, or nil.
func (s *Set) Find(key string) *Resolved {
	if s == nil {
		return nil
	}
	return s.byKey[DigestOf(key)]
}

// Named returns the customer with a name, or nil.
func (s *Set) Named(name string) *Resolved {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// SharedKey returns the names of two customers that have a key in common, and false if there
// are none.
func SharedKey(customers []*Customer) (first, second string, found bool) {
	owner := map[Digest]string{}
	for _, c := range customers {
		for _, d := range c.digests() {
			if other, ok := owner[d]; ok && other != c.Name {
				return other, c.Name, true
			}
			owner[d] = c.Name
		}
	}
	return "", "", false
}
