package filter

import (
	"strings"

	"bramleymill/errkind"
)

// SetZonesOut sets the zones that are out of use. Their servers are not selected. It reports
// whether anything has changed.
func (f *ServerSelection) SetZonesOut(out []string) bool {
	f.zonesMu.Lock()
	defer f.zonesMu.Unlock()
	old := f.zones.Load()
	next := old.Next(f.clock.Now(), out)
	f.zones.Store(next)
	return next != old && (old != nil || len(out) > 0)
}

// ZonesOut returns the sorted names of the zones that are out of use.
func (f *ServerSelection) ZonesOut() []string { return f.zones.Load().Names() }

// errNoServer returns the refusal of a call for which no server can be selected.
func (f *ServerSelection) errNoServer(service string) error {
	if out := f.ZonesOut(); len(out) > 0 {
		return errkind.New(errkind.NoBackendServer, "service %s has no backend server left to select; zones out of use: %s", service, strings.Join(out, ", "))
	}
	return errkind.New(errkind.NoBackendServer, "service %s has no backend server left to select", service)
}
