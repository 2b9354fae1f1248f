// Package customer defines the customers of a fleet: the keys by which their callers identify
// themselves, their urgency and their quota. A Customer is the configured form. A Set is the
// immutable form in which the request path finds the customer of a key.
//
// Keys are secrets. A Set stores only their digests, and no error of this package contains a
// key.
package customer
