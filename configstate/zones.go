package configstate

import (
	"fmt"
	"regexp"
	"slices"
	"time"
)

// MaxZones is the maximum number of zones with an order, in force or withdrawn. The withdrawn
// orders that are the oldest are dropped first.
const MaxZones = 256

// ZoneOrder is the newest order about an availability zone: either it is out of use, or an
// order that took it out of use was withdrawn. Withdrawn orders are kept, so that a late copy
// of an order from before the withdrawal is recognized.
type ZoneOrder struct {
	Zone     string    `cbor:"1,keyasint" json:"zone"`
	Out      bool      `cbor:"2,keyasint,omitempty" json:"out"`
	Version  uint64    `cbor:"3,keyasint" json:"version"` // version of Orders that changed Out
	Time     time.Time `cbor:"4,keyasint" json:"time"`
	Operator string    `cbor:"5,keyasint" json:"operator"`
	Reason   string    `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
}

// ZonesOut returns the names of the zones that are out of use.
func (o *Orders) ZonesOut() []string {
	var out []string
	for i := range o.Zones {
		if o.Zones[i].Out {
			out = append(out, o.Zones[i].Zone)
		}
	}
	return out
}

// ZoneOut reports whether zone is out of use. A node without a zone has the empty name, for
// which there is no order.
func (o *Orders) ZoneOut(zone string) bool {
	i := o.zoneIndex(zone)
	return i >= 0 && o.Zones[i].Out
}

func (o *Orders) zoneIndex(zone string) int {
	return slices.IndexFunc(o.Zones, func(z ZoneOrder) bool { return z.Zone == zone })
}

// zonePattern accepts every printable name, because the settings of nodes on a platform do not
// restrict the name of the zone.
var zonePattern = regexp.MustCompile(`^\PC+$`)

// errOutdated is returned for an order that was given before the newest opposite order about
// the zone was known.
type errOutdated struct{ zone string }

func (e errOutdated) Error() string {
	return fmt.Sprintf("a newer order about zone %s was not known to the node that received this one; send the order again", e.zone)
}

// orderZone takes the zone of c out of use, or withdraws that order. An order for a zone
// without nodes is accepted: its nodes may be down, and must not serve when they return.
func (o *Orders) orderZone(c *Change, at time.Time) (*Orders, string, error) {
	if len(c.Zone) > MaxNameBytes || !zonePattern.MatchString(c.Zone) {
		return o, "", fmt.Errorf("zone %q is not a valid name; use 1 to %d bytes of printable text", truncate(c.Zone, MaxNameBytes), MaxNameBytes)
	}
	out := c.Action == Evacuate
	i := o.zoneIndex(c.Zone)
	switch {
	case i >= 0 && o.Zones[i].Out == out, i < 0 && !out:
		return o, map[bool]string{true: "the zone is already out of use", false: "the zone is not out of use"}[out], nil
	case i >= 0 && c.KnownOrders != nil && o.Zones[i].Version > *c.KnownOrders:
		return o, "", errOutdated{c.Zone}
	}
	zones := slices.Clone(o.Zones)
	if i >= 0 {
		zones = slices.Delete(zones, i, i+1)
	}
	if len(zones) >= MaxZones {
		oldest := slices.IndexFunc(zones, func(z ZoneOrder) bool { return !z.Out })
		if oldest < 0 {
			return o, "", fmt.Errorf("%d zones are out of use; return one to use first", MaxZones)
		}
		zones = slices.Delete(zones, oldest, oldest+1)
	}
	next := o.next()
	next.Zones = append(zones, ZoneOrder{Zone: c.Zone, Out: out, Version: next.Version, Time: at, Operator: c.Operator, Reason: c.Reason})
	return next, "", nil
}

// next returns a copy of o with the next version.
func (o *Orders) next() *Orders {
	n := *o
	n.Version++
	return &n
}
