package filter

import (
	"net/http"
	"time"

	"bramleymill/class"
	"bramleymill/customer"
	"bramleymill/errkind"
)

// MaxUnknownKeyAge is the confirmation age of the configuration up to which an unknown key is
// rejected. A change must be in force within 2 s of its acknowledgement. If the last
// confirmation is older, a change that contains the key may be in force elsewhere.
const MaxUnknownKeyAge = 2 * time.Second

type customerFilter struct {
	next   Handler
	config Configuration
	header string
}

// NewCustomer returns the filter that finds the customer to which a request belongs. header
// names the request header that contains the key of the customer. If the configuration has
// customers, a request needs the key of one of them, unless its class is anonymous or it is
// nested in a request that was served. No error of the filter contains a key.
func NewCustomer(next Handler, config Configuration, header string) Handler {
	return &customerFilter{next, config, http.CanonicalHeaderKey(header)}
}

func (f *customerFilter) Serve(c *Call) error {
	if p := c.Parent; p != nil {
		// The customer may have been removed since the parent started. The run continues.
		c.Meta.Customer = p.Customer
		c.Customer = c.Config.Customers().Named(p.Customer)
		c.Record.Customer = p.Customer
		return f.next.Serve(c)
	}
	if c.Config.Customers().Len() == 0 {
		return f.next.Serve(c)
	}
	key, ok := customerKey(c.Request.Header[f.header])
	var found *customer.Resolved
	if ok {
		found = c.Config.Customers().Find(key)
	}
	if found == nil && !c.Class.Anonymous {
		var err error
		if found, err = f.recheck(c, key, ok); err != nil {
			return err
		}
	}
	if found != nil {
		c.setCustomer(found)
	}
	return f.next.Serve(c)
}

// setCustomer makes c a request of a customer.
func (c *Call) setCustomer(found *customer.Resolved) {
	c.Customer, c.Meta.Customer, c.Record.Customer = found, found.Name, found.Name
	if found.Urgency != 0 {
		c.Meta.Urgency = found.Urgency
	}
}

// customerKey returns the key in the values of the key header, and false unless there is
// exactly one value that may be a key.
func customerKey(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" || len(values[0]) > customer.MaxKeyBytes {
		return "", false
	}
	return values[0], true
}

// recheck decides on a request without a known key. The configuration may have changed since
// the request was classified, so it is read again after its confirmation age: an age that is
// read later could belong to a newer configuration than the one without the key.
func (f *customerFilter) recheck(c *Call, key string, ok bool) (*customer.Resolved, error) {
	age := f.config.ConfirmationAge()
	set := f.config.Current()
	if ok && set != nil && set != c.Config {
		if found := set.Customers().Find(key); found != nil {
			return found, nil
		}
	}
	switch {
	case c.LooksNested:
		// The parent may have been cancelled while the backend server still runs it.
		return nil, errkind.New(errkind.ParentEnded, "the request names a parent that is not in flight at this node")
	case age > MaxUnknownKeyAge:
		return nil, errkind.New(errkind.ConfigUnconfirmed, "no customer of configuration %d has the key, but it was last confirmed %v ago", versionOf(set, c), age)
	case !ok:
		return nil, errkind.New(errkind.UnknownCustomer, "class %s requires exactly one key of a customer, and the request has none or several", c.Class.Name)
	}
	return nil, errkind.New(errkind.UnknownCustomer, "no customer of configuration %d has the key", versionOf(set, c))
}

func versionOf(set *class.Set, c *Call) uint64 {
	if set == nil {
		return c.Meta.ConfigVersion
	}
	return set.Version
}
