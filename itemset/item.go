package itemset

import (
	"errors"
	"fmt"

	"bramleymill/class"
	"bramleymill/customer"
)

// Kind is the kind of object that an item configures.
type Kind uint8

// The kinds of items.
const (
	KindClass    Kind = iota + 1 // a class of work
	KindService                  // the backend servers of a service
	KindLimits                   // the limits for callers
	KindCustomer                 // a customer with its keys and its quota
)

// String returns the lower-case name of k.
func (k Kind) String() string {
	switch k {
	case KindClass:
		return "class"
	case KindService:
		return "service"
	case KindLimits:
		return "limits"
	case KindCustomer:
		return "customer"
	}
	return "invalid"
}

// Key identifies an item. A set has at most one item of KindLimits, which has no name.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// Item is one version of an item. If it is not removed, exactly one of Class, Service,
// Limits and Customer is set, which is the one for the kind in Key. If it is removed, none is set.
type Item struct {
	Key     Key            `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
	Removed bool           `cbor:"3,keyasint,omitempty"`
	Class   *class.Class   `cbor:"4,keyasint,omitempty"`
	Service *class.Service `cbor:"5,keyasint,omitempty"`
	Limits  *class.Limits  `cbor:"6,keyasint,omitempty"`

	// Source is the text of the item as the operator wrote it, if it cannot be
	// derived from the other fields. It is returned to operators unchanged.
	Source []byte `cbor:"7,keyasint,omitempty"`

	Customer *customer.Customer `cbor:"8,keyasint,omitempty"`
}

// MaxNameBytes is the maximum length of the name of an item.
const MaxNameBytes = 256

// check validates the rules that do not depend on other items.
func (i *Item) check() error {
	if len(i.Key.Name) > MaxNameBytes {
		return fmt.Errorf("%s: the name has %d bytes; use at most %d", i.Key.Kind, len(i.Key.Name), MaxNameBytes)
	}
	if (i.Key.Name == "") != (i.Key.Kind == KindLimits) {
		return fmt.Errorf("%s: a class, a service and a customer need a name, the limits have none", i.Key.Kind)
	}
	set := i.Class != nil && i.Key.Kind == KindClass ||
		i.Service != nil && i.Key.Kind == KindService ||
		i.Limits != nil && i.Key.Kind == KindLimits ||
		i.Customer != nil && i.Key.Kind == KindCustomer
	if set == i.Removed {
		return fmt.Errorf("%s %q: the content does not fit the kind", i.Key.Kind, i.Key.Name)
	}
	if i.Limits != nil && (i.Limits.HeaderBytes < 0 || i.Limits.BodyBytes < 0 || i.Limits.HeaderTimeout < 0 || i.Limits.IdleTimeout < 0) {
		return errors.New("limits: a limit must not be negative")
	}
	if i.Customer != nil {
		if err := i.Customer.Validate(class.ParseUrgency); err != nil {
			return fmt.Errorf("customer %q: %w", i.Key.Name, err)
		}
	}
	return nil
}
