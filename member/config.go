package member

import (
	"log/slog"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/pick"
	"bramleymill/settings"
	"bramleymill/transport"
)

const (
	// HeartbeatInterval is the mean time between the heartbeats of a node.
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatJitter   = 0.2

	// slowStart is the warm-up period that selecting nodes assume after ReadySince.
	slowStart = pick.DefaultSlowStart

	// Lease is how long a node counts as alive after it was last heard.
	Lease = 3 * time.Second
	// SuspectAfter is the silence after which a node is probed.
	SuspectAfter = 1500 * time.Millisecond
	// A relay probes its own children first. Its parent steps in this much later.
	relayGrace = 700 * time.Millisecond

	// ConfirmationBound is the age up to which a confirmation allows a node
	// without configuration to adopt one.
	ConfirmationBound = 10 * time.Second
	// A child of a control instance looks for a parent with a younger confirmation
	// beyond this age, and a node below it beyond stalePerLevel more for each level:
	// one lost heartbeat stays below it.
	staleConfirmation         = 1800 * time.Millisecond
	staleConfirmationPerLevel = 2 * HeartbeatInterval
	exploreInterval           = 200 * time.Millisecond
	// failedAddressCooldown is how long an address that did not answer comes after the others.
	failedAddressCooldown = 3 * time.Second

	minRejoinDelay = 50 * time.Millisecond
	maxRejoinDelay = time.Second
	// Spreads the first heartbeats of processes that start together.
	firstJoinSpread = 500 * time.Millisecond

	// MaxRelayChildren bounds the children of a node without the control role: each
	// costs it about 2 ms of CPU time per second, and a node must stay below 2.2%
	// of a core. With 11 control instances of 48 children two levels hold 4,752 nodes.
	MaxRelayChildren = 8

	// MaxJoinsPerSecond is the rate at which a parent accepts new children.
	// Others are told to try again, so that a returning availability zone does
	// not occupy the parent with full answers.
	MaxJoinsPerSecond = 100
	joinBurst         = 20

	// Two failed heartbeats and the longest back-off fit into the lease.
	heartbeatTimeout     = 400 * time.Millisecond
	notifyTimeout        = 500 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
	probeTimeout         = 600 * time.Millisecond
	heartbeatRetryDelay  = 100 * time.Millisecond
	maxHeartbeatFailures = 2

	// Messages that do not wait for their interval are merged within these times.
	minNotifyGap    = 50 * time.Millisecond
	minHeartbeatGap = 20 * time.Millisecond
	soonGap         = 200 * time.Millisecond

	maxProbesInFlight = 32
	helpersPerSuspect = 2
	// A scan that waits for probes or for a change is followed by another after
	// minScanInterval. One that found nothing due is followed by one when the first
	// node may become suspect, at most scanPause later.
	minScanInterval = 100 * time.Millisecond
	maxScanInterval = HeartbeatInterval
	// piggybackTimeout is the time after an exchange in a reply in which the peer
	// is expected to call again. It exceeds the longest interval of the calls.
	piggybackTimeout = 700 * time.Millisecond
	purgeInterval    = 30 * time.Second

	tombstoneLifetime        = 10 * time.Minute
	subscriptionLifetime     = 10 * time.Minute
	subscribeTimeout         = time.Second
	subscriptionScanInterval = 10 * time.Second

	broadcastLifetime  = 10 * time.Minute
	maxBroadcasts      = 1024
	maxBroadcastBytes  = 4 << 10
	broadcastsPerReply = 64

	// Together with the document a reply stays below the message limit.
	itemsPerReply    = 1500
	maxDocumentBytes = 512 << 10
	maxControls      = 32
	maxRedirects     = 3

	// A control instance that has heard from no other one by then answers with
	// what it has.
	syncTimeout = 2 * time.Second
)

// ConfigSource is the accepted configuration as a control instance knows it.
type ConfigSource interface {
	// Accepted returns the newest committed document and the age of the proof
	// that no newer one is accepted. confirmed is false without such a proof.
	// It is called for each heartbeat with a lock held: it must neither block nor
	// call the Member. A document above 512 KiB is not distributed.
	Accepted() (version uint64, document []byte, age time.Duration, confirmed bool)
}

// Config configures a Member.
type Config struct {
	Self   fleet.Server // PeerAddress as other nodes and Seeds state it
	Seeds  []string     // peer addresses of control instances
	Client transport.Client
	Mux    *transport.Mux
	Clock  clock.Clock
	Seed   uint64 // of the random source; differs between processes
	Logger *slog.Logger
	// MaxChildren is the number of children that a control instance accepts, and
	// other nodes up to MaxRelayChildren. Zero: the default.
	MaxChildren int
	Source      ConfigSource // nil without the control role
}

func (c *Config) setDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.MaxChildren == 0 {
		c.MaxChildren = settings.DefaultMaxChildren
	}
	c.Self.Control = c.Source != nil
}
