package node

import (
	"bramleymill/filter"
	"bramleymill/metrics"
	"bramleymill/pick"
)

const (
	// maxZoneServices bounds the services with their own series of traffic between zones, of
	// which each has up to pick.Reasons + 1. The largest expected fleet has 240 services.
	maxZoneServices = 256
	// otherServices is the label of the services beyond maxZoneServices. The name of a service
	// has no asterisk.
	otherServices = "*"
)

// zoneMetrics exports the counts of attempts and bytes that leave the zone of the node. It is
// used by one goroutine.
type zoneMetrics struct {
	exported map[string]filter.ZoneCounts // by service
	labelled map[string]bool              // services with their own series
}

func newZoneMetrics() *zoneMetrics {
	return &zoneMetrics{exported: map[string]filter.ZoneCounts{}, labelled: map[string]bool{}}
}

// update adds to m what the counts of a service have risen by since the last update.
func (z *zoneMetrics) update(m *metrics.Metrics, service string, c *filter.ZoneCounts) {
	last := z.exported[service]
	if last == *c {
		return
	}
	z.exported[service] = *c
	if !z.labelled[service] && len(z.labelled) < maxZoneServices {
		z.labelled[service] = true
	}
	label := otherServices
	if z.labelled[service] {
		label = service
	}
	for i, n := range c.Attempts {
		if n > last.Attempts[i] {
			m.ZoneAttempts(label, pick.Reason(i).String(), n-last.Attempts[i])
		}
	}
	if c.Bytes > last.Bytes {
		m.ZoneBytes(label, c.Bytes-last.Bytes)
	}
}
