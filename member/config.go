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

	// slowStart is the warm-up period after ReadySince that nodes assume when they
	// select a server.
	slowStart = pick.DefaultSlowStart

	// Lease is how long a node counts as alive after the last contact.
	Lease = 3 * time.Second
	// SuspectAfter is the silence after which a node is probed.
	SuspectAfter = 1500 * time.Millisecond
	// A relay is the first to probe its children. A control instance above it
	// starts to probe them this much later.
	relayGrace = 700 * time.Millisecond

	// ConfirmationBound is the age below which a confirmation allows a node
	// without configuration to adopt one.
	ConfirmationBound = 10 * time.Second
	// A child of a control instance whose confirmation reaches the age
	// staleConfirmation looks for a parent with a younger one. For each further
	// level of the tree the limit is higher by staleConfirmationPerLevel. A single
	// lost heartbeat does not make a confirmation reach the limit.
	staleConfirmation         = 1800 * time.Millisecond
	staleConfirmationPerLevel = 2 * HeartbeatInterval
	ageQueryInterval          = 200 * time.Millisecond
	// A seed that did not answer or had no younger confirmation is contacted again
	// within failedAddressCooldown only if all other seeds have failed too.
	failedAddressCooldown = 3 * time.Second

	minRejoinDelay = 50 * time.Millisecond
	maxRejoinDelay = time.Second
	// firstJoinSpread is the period over which processes that start together
	// spread their first heartbeats.
	firstJoinSpread = 500 * time.Millisecond

	// MaxRelayChildren bounds the children of a node without the control role. Each
	// child costs the node about 2 ms of CPU time per second, and a node must stay
	// below 2.2% of a core. With 11 control instances of 48 children each, the two
	// levels below them hold 4,752 nodes.
	MaxRelayChildren = 8

	// MaxJoinsPerSecond is the rate at which a parent accepts new children. It
	// refuses further nodes, which retry later, so that a returning availability
	// zone does not occupy the parent with full replies.
	MaxJoinsPerSecond = 100
	joinBurst         = 20

	// With these values, two failed heartbeats and the longest back-off fit into
	// the lease.
	heartbeatTimeout     = 400 * time.Millisecond
	notifyTimeout        = 500 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
	probeTimeout         = 600 * time.Millisecond
	heartbeatRetryDelay  = 100 * time.Millisecond
	maxHeartbeatFailures = 2

	// A message that is sent before its regular interval ends follows the previous one
	// after at least this gap, so that the changes of that time share one message.
	// soonGap is for changes of urgency soon, the others for those of urgency immediate.
	minNotifyGap    = 50 * time.Millisecond
	minHeartbeatGap = 20 * time.Millisecond
	soonGap         = 200 * time.Millisecond

	maxProbesInFlight = 32
	helpersPerSuspect = 2
	// While a node is suspect, the next scan follows after minScanInterval.
	// Otherwise it follows when the first node may become suspect, at most
	// maxScanInterval later.
	minScanInterval = 100 * time.Millisecond
	maxScanInterval = HeartbeatInterval
	// piggybackTimeout is the time within which a peer is expected to call again
	// after it was sent an exchange in a reply. It exceeds the longest interval
	// between calls.
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

	// itemsPerReply keeps a reply below the size limit of messages.
	itemsPerReply = 1500
	// MaxDocumentBytes is the size of the largest document that is distributed. It exceeds
	// what the configuration log accepts.
	MaxDocumentBytes = 16 << 20
	// maxControls bounds the addresses of control instances in a reply and the seeds
	// of a node.
	maxControls = 32
	// controlsInterval is the time between two searches of the registry for control instances.
	controlsInterval = time.Second
	// maxRedirects bounds the addresses of other parents in a refusal.
	maxRedirects = 3

	// A control instance that has not received the subtrees of all others within
	// this time after its start answers with the part that it knows.
	syncTimeout = 2 * time.Second
)

// ConfigSource provides the accepted configuration to a control instance.
type ConfigSource interface {
	// Accepted returns the newest committed document and the age of the
	// confirmation that no newer one has been accepted. confirmed is false if there
	// is no confirmation. Accepted is called for each heartbeat with a lock held, so it must
	// neither block nor call the Member. A document above 16 MiB is not
	// distributed.
	Accepted() (version uint64, document []byte, age time.Duration, confirmed bool)
}

// Config configures a Member.
type Config struct {
	Self   fleet.Server // PeerAddress must be the address that other nodes and Seeds use
	Seeds  []string     // peer addresses of control instances
	Client transport.Client
	Mux    *transport.Mux
	Clock  clock.Clock
	Seed   uint64 // seed of the random source; must differ between processes
	Logger *slog.Logger
	// MaxChildren is the number of children that a control instance accepts.
	// Other nodes accept as many, but at most MaxRelayChildren. Zero means
	// settings.DefaultMaxChildren.
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
	c.Self.ControlInstance = c.Source != nil
}
