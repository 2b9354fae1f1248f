package configstate

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"bramleymill/fleet"
)

// Bounds of the stored operator orders.
const (
	MaxDrains = 4096
	// MaxReleases is the maximum number of releases; the oldest are dropped.
	MaxReleases = 256
)

// Orders contains the operator orders, which are drains, releases of suspects and zones taken
// out of use. Nodes receive them with the configuration. An Orders value is immutable.
type Orders struct {
	Version  uint64       `cbor:"1,keyasint" json:"version"`
	Drains   []DrainOrder `cbor:"2,keyasint,omitempty" json:"drains"`
	Releases []Release    `cbor:"3,keyasint,omitempty" json:"releases"`
	// Zones is ordered by Version.
	Zones []ZoneOrder `cbor:"4,keyasint,omitempty" json:"zones,omitempty"`
}

// DrainOrder requires a node to drain until the order is removed.
type DrainOrder struct {
	Node     fleet.NodeID `cbor:"1,keyasint" json:"node"`
	Version  uint64       `cbor:"2,keyasint" json:"version"` // version of Orders that added it
	Time     time.Time    `cbor:"3,keyasint" json:"time"`
	Operator string       `cbor:"4,keyasint" json:"operator"`
	Reason   string       `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// Release allows requests of a service with a fingerprint that is a crash suspect to
// run again. A node applies a release once, when it first receives its Version.
type Release struct {
	Service     string    `cbor:"1,keyasint" json:"service"`
	Fingerprint uint64    `cbor:"2,keyasint" json:"fingerprint"`
	Version     uint64    `cbor:"3,keyasint" json:"version"` // version of Orders that added it
	Time        time.Time `cbor:"4,keyasint" json:"time"`
}

// Drained reports whether node has a drain order.
func (o *Orders) Drained(node fleet.NodeID) bool { return o.drainIndex(node) >= 0 }

func (o *Orders) drainIndex(node fleet.NodeID) int {
	return slices.IndexFunc(o.Drains, func(d DrainOrder) bool { return d.Node == node })
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// apply returns the operator orders after the change c. If c changes nothing, it returns o
// itself and a message that says why. If c is refused, it returns an error.
func (o *Orders) apply(c *Change, at time.Time) (next *Orders, message string, err error) {
	switch c.Action {
	case Drain:
		return o.drain(c, at)
	case Undrain:
		return o.undrain(c)
	case Evacuate, Return:
		return o.orderZone(c, at)
	}
	return o.release(c, at)
}

func (o *Orders) drain(c *Change, at time.Time) (*Orders, string, error) {
	if !namePattern.MatchString(string(c.Node)) {
		return o, "", fmt.Errorf("node %q is not a valid name; use the name shown by status", c.Node)
	}
	if o.Drained(c.Node) {
		return o, "the node already has a drain order", nil
	}
	if len(o.Drains) >= MaxDrains {
		return o, "", fmt.Errorf("there are %d drain orders; remove one with undrain first", MaxDrains)
	}
	order := DrainOrder{Node: c.Node, Version: o.Version + 1, Time: at, Operator: c.Operator, Reason: c.Reason}
	next := o.next()
	next.Drains = append(slices.Clone(o.Drains), order)
	return next, "", nil
}

func (o *Orders) undrain(c *Change) (*Orders, string, error) {
	i := o.drainIndex(c.Node)
	if i < 0 {
		return o, "the node has no drain order", nil
	}
	next := o.next()
	next.Drains = slices.Delete(slices.Clone(o.Drains), i, i+1)
	return next, "", nil
}

func (o *Orders) release(c *Change, at time.Time) (*Orders, string, error) {
	if !namePattern.MatchString(c.Service) {
		return o, "", fmt.Errorf("service %q is not a valid name; use the name shown by suspects", c.Service)
	}
	list := o.Releases
	if len(list) >= MaxReleases {
		list = list[len(list)-MaxReleases+1:]
	}
	added := Release{Service: c.Service, Fingerprint: c.Fingerprint, Version: o.Version + 1, Time: at}
	next := o.next()
	next.Releases = append(slices.Clone(list), added)
	return next, "", nil
}

// subject returns the object of the change for the audit trail, such as a node.
func (c *Change) subject() string {
	switch c.Action {
	case Rollback:
		return fmt.Sprintf("version %d", c.Version)
	case Drain, Undrain:
		return truncate(string(c.Node), MaxNameBytes)
	case Evacuate, Return:
		return truncate(c.Zone, MaxNameBytes)
	case ReleaseSuspect:
		return fmt.Sprintf("%s/%016x", truncate(c.Service, MaxNameBytes), c.Fingerprint)
	case MergeItems:
		return c.itemSummary()
	}
	return ""
}

// itemSummary returns a text that lists the items of a change with their versions. If
// it exceeds MaxReasonBytes, it ends with the number of the remaining items.
func (c *Change) itemSummary() string {
	var b strings.Builder
	for i := range c.Items {
		it := &c.Items[i]
		if b.Len() > MaxReasonBytes {
			fmt.Fprintf(&b, " and %d more", len(c.Items)-i)
			break
		}
		verb := "set"
		if it.Removed {
			verb = "drop"
		}
		fmt.Fprintf(&b, "%s %s %s@%d;", verb, it.Key.Kind, truncate(it.Key.Name, MaxNameBytes), it.Version)
	}
	return b.String()
}
