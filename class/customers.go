package class

import (
	"fmt"
	"regexp"
	"strings"

	"bramleymill/customer"
	"bramleymill/strictjson"
)

const (
	digestRemedy = "write the 64 hexadecimal digits that 'bramleymillctl key-digest' prints for the key"
	keysRemedy   = "a class document contains no keys; use key_digests, a list of what 'bramleymillctl key-digest' prints for each key"
)

// validateCustomers checks the customers of a document. No error contains an entry of
// key_digests, because it may be a key that was written there by mistake.
func (d *Document) validateCustomers(errs *strictjson.Errors) {
	names := map[string]int{}
	owners := map[customer.Digest]int{}
	for i := range d.Customers {
		c := &d.Customers[i]
		field := fmt.Sprintf("customers[%d]", i)
		if !namePattern.MatchString(c.Name) {
			errs.Add(field+".name", c.Name, "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter")
		}
		if j, ok := names[c.Name]; ok {
			errs.Add(field+".name", c.Name, fmt.Sprintf("customers[%d] has the same name; choose another", j))
		}
		names[c.Name] = i
		validateCustomer(field, c, errs)
		for k, text := range c.KeyDigests {
			digest, ok := customer.ParseDigest(text)
			if !ok {
				errs.Add(fmt.Sprintf("%s.key_digests[%d]", field, k), nil, digestRemedy)
				continue
			}
			if j, ok := owners[digest]; ok && j != i {
				errs.Add(fmt.Sprintf("%s.key_digests[%d]", field, k), nil, fmt.Sprintf("customers[%d] has the same key; each key may belong to one customer", j))
			}
			owners[digest] = i
		}
	}
}

func validateCustomer(field string, c *customer.Customer, errs *strictjson.Errors) {
	if n := len(c.KeyDigests); n > customer.MaxKeys {
		errs.Add(field+".key_digests", n, fmt.Sprintf("state at most %d digests", customer.MaxKeys))
	}
	switch c.Urgency {
	case "", "low", "normal", "high":
	default:
		errs.Add(field+".urgency", c.Urgency, "use low, normal or high, or leave it out to use that of the class; critical is for classes with internal_only true")
	}
	if c.Rate < 0 || c.Rate > customer.MaxRate {
		errs.Add(field+".rate", c.Rate, fmt.Sprintf("write requests a second from 0 (no limit) to %.0f", customer.MaxRate))
	}
	if c.Burst < 0 || c.Burst > customer.MaxRate {
		errs.Add(field+".burst", c.Burst, fmt.Sprintf("write a number of requests from 0 to %.0f", customer.MaxRate))
	}
	if c.Burst > 0 && c.Rate == 0 {
		errs.Add(field+".burst", c.Burst, "a burst needs a rate; without a rate there is no limit")
	}
}

var (
	keyField     = regexp.MustCompile(`^(customers\[\d+\]|customers)\.(api_?)?keys?$`)
	digestsField = regexp.MustCompile(`^customers(\[\d+\])?\.key_digests`)
)

// withoutKeys removes from a decoding error what may be a key of a customer, and states what to
// write instead of keys.
func withoutKeys(e *strictjson.FieldError) {
	if strings.HasPrefix(e.Remedy, "unknown field") && keyField.MatchString(e.Field) {
		e.Remedy = keysRemedy
	}
	if prefix := digestsField.FindString(e.Field); prefix != "" {
		e.Field, e.Value, e.Remedy = prefix, "", "write a list of strings; "+digestRemedy
	}
}
