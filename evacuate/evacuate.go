// Package evacuate decides which servers an entry node may select while availability zones are
// out of use, and from when on the servers of a returned zone count as ready.
package evacuate

import (
	"maps"
	"slices"
	"time"

	"bramleymill/fleet"
)

// Zones is the state of the zones as one node knows it. It is immutable. A nil Zones has no
// zone out of use.
type Zones struct {
	out      map[string]bool
	returned map[string]int64 // when this node learned of the withdrawal, in Unix milliseconds
}

// Next returns the state with exactly the zones of out being out of use, which this node learns
// at now. It returns z itself if nothing changes.
func (z *Zones) Next(now time.Time, out []string) *Zones {
	next := &Zones{out: map[string]bool{}, returned: map[string]int64{}}
	for _, name := range out {
		next.out[name] = true
	}
	if z == nil {
		z = &Zones{}
	}
	if maps.Equal(z.out, next.out) {
		return z
	}
	maps.Copy(next.returned, z.returned)
	for name := range z.out {
		next.returned[name] = now.UnixMilli()
	}
	for name := range next.out {
		delete(next.returned, name)
	}
	return next
}

// Out reports whether zone is out of use.
func (z *Zones) Out(zone string) bool { return z != nil && z.out[zone] }

// Names returns the sorted names of the zones that are out of use.
func (z *Zones) Names() []string {
	if z == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(z.out))
}

// Apply returns the servers as they are selected. A server of a zone that is out of use counts
// as draining. A server of a returned zone counts as ready no earlier than from the time at
// which this node learned of the withdrawal, so that it starts slowly although its own node may
// never have learned of the order. Apply does not change servers.
func (z *Zones) Apply(servers []fleet.Server) []fleet.Server {
	if z == nil || len(z.out) == 0 && len(z.returned) == 0 {
		return servers
	}
	out := slices.Clone(servers)
	for i := range out {
		s := &out[i]
		switch {
		case s.State != fleet.Ready:
		case z.out[s.Zone]:
			s.State = fleet.Draining
		default:
			s.ReadySince = max(s.ReadySince, z.returned[s.Zone])
		}
	}
	return out
}
