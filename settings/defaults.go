package settings

import (
	"time"

	"bramleymill/strictjson"
)

// Defaults of optional settings.
const (
	DefaultDrainTimeout     = 10 * time.Second
	DefaultCheckEvery       = time.Second
	DefaultQueuePerSlot     = 2 // requests that may wait, for each slot of the backend server
	DefaultMaxChildren      = 8
	DefaultMaxClaims        = 200_000
	DefaultMaxClaimBytes    = 16 << 20
	DefaultClaimRetention   = 24 * time.Hour
	DefaultSnapshotInterval = 4096 // log entries between snapshots
)

func (s *Settings) setDefaults() {
	if s.DrainTimeout == 0 {
		s.DrainTimeout = strictjson.Duration(DefaultDrainTimeout)
	}
	if s.AdvertisedAddress == "" {
		s.AdvertisedAddress = s.PeerAddress
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	s.Limits.setDefaults()
	if s.Backend != nil {
		s.Backend.setDefaults()
	}
	if s.Control != nil {
		s.Control.setDefaults()
	}
}

func (b *Backend) setDefaults() {
	if b.QueueLength == 0 {
		b.QueueLength = DefaultQueuePerSlot * b.Slots
	}
	if b.HealthPath == "" {
		b.HealthPath = "/health"
	}
	if b.LoadPath == "" {
		b.LoadPath = "/load"
	}
	if b.CheckEvery == 0 {
		b.CheckEvery = strictjson.Duration(DefaultCheckEvery)
	}
}

func (c *Control) setDefaults() {
	if c.MaxChildren == 0 {
		c.MaxChildren = DefaultMaxChildren
	}
	if c.MaxClaims == 0 {
		c.MaxClaims = DefaultMaxClaims
	}
	if c.MaxClaimBytes == 0 {
		c.MaxClaimBytes = DefaultMaxClaimBytes
	}
	if c.ClaimRetention == 0 {
		c.ClaimRetention = strictjson.Duration(DefaultClaimRetention)
	}
	if c.SnapshotInterval == 0 {
		c.SnapshotInterval = DefaultSnapshotInterval
	}
}
