package member

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// upstream is the state that a node keeps about its parent and its search for one.
type upstream struct {
	seeds              []string       // addresses of control instances: first those of the settings, then learned ones
	configured         int            // number of seeds from the settings
	address            string         // address of the parent; empty: no parent
	path               []fleet.NodeID // node names from the root to the parent
	parentBoot         uint64         // random id of the parent's process start; 0: no reply yet
	rev                uint64         // revision of the parent's registry up to which this node has received the changes
	broadcastRev       uint64         // revision of the parent's broadcast log up to which this node has received the broadcasts
	ackedRev           uint64         // revision of this node's registry up to which the parent has received the changes
	ackedBroadcasts    uint64         // revision of this node's broadcast log up to which the parent has received the broadcasts
	subscriptionsKnown bool           // the parent has received the subscriptions of this node
	subscriptionHash   uint64         // hash of the subscriptions that were last sent to the parent
	candidates         []string       // addresses to which a parent redirected this node; contacted before a seed
	next               time.Time      // when the next heartbeat or attempt to join is due
	urgency            urgency        // urgency of the next heartbeat
	lastSent           time.Time
	ageQueryAt         time.Time // earliest time of the next query for a younger confirmation
	inFlight           bool
	failures           int                  // heartbeats that failed in a row
	failedAt           map[string]time.Time // when an address last did not answer or had no younger confirmation
	leaveAcked         bool                 // the parent has received the announcement that this node leaves
}

func (u *upstream) init(k *core, seeds []string, now time.Time) {
	for _, s := range seeds {
		if s != k.self.PeerAddress {
			u.seeds = append(u.seeds, s)
		}
	}
	u.configured = len(u.seeds)
	u.next = now.Add(k.randomBetween(0, firstJoinSpread))
	u.ageQueryAt = now.Add(staleConfirmation)
}

func (k *core) attached() bool { return k.control() || k.up.address != "" }

// detach leaves the parent and schedules the next attempt to join one.
func (k *core) detach(at time.Time) {
	u := &k.up
	u.address, u.path, u.parentBoot, u.rev, u.broadcastRev = "", nil, 0, 0, 0
	u.ackedRev, u.ackedBroadcasts, u.subscriptionsKnown, u.failures = 0, 0, false, 0
	u.next = at
	for _, sub := range k.subscriptions {
		sub.listPending = true
	}
}

// sendsHeartbeats reports whether this member sends heartbeats at all.
func (k *core) sendsHeartbeats() bool {
	return !k.control() && !k.superseded && !k.up.leaveAcked && len(k.up.seeds) > 0
}

func (k *core) rejoinDelay() time.Duration { return k.randomBetween(minRejoinDelay, maxRejoinDelay) }

func (k *core) dueHeartbeat(out []action, now time.Time) []action {
	u := &k.up
	if u.inFlight || !k.sendsHeartbeats() {
		return out
	}
	if u.address == "" {
		if now.Before(u.next) {
			return out
		}
		return k.heartbeatTo(out, k.nextCandidate(now), false, now)
	}
	if now.Before(u.next) && !u.urgency.due(u.lastSent, now, minHeartbeatGap) {
		return k.dueAgeQuery(out, now)
	}
	return k.heartbeatTo(out, u.address, false, now)
}

// nextCandidate returns the address for the next attempt to join a parent: an
// address to which a parent redirected this node, or else a random seed among
// those that have not failed recently. When all seeds have failed, every second
// attempt goes to another known node, because perhaps only the links to the
// control instances are cut.
func (k *core) nextCandidate(now time.Time) string {
	u := &k.up
	if len(u.candidates) > 0 {
		a := u.candidates[0]
		u.candidates = u.candidates[1:]
		return a
	}
	seeds := u.usableSeeds(now)
	if len(seeds) > 0 {
		return seeds[k.random.IntN(len(seeds))]
	}
	if u.failures%2 == 1 {
		if a := k.randomKnownAddress(); a != "" {
			return a
		}
	}
	return u.seeds[k.random.IntN(len(u.seeds))]
}

// usableSeeds returns the seeds that have not failed within
// failedAddressCooldown.
func (u *upstream) usableSeeds(now time.Time) []string {
	var out []string
	for _, s := range u.seeds {
		if at, ok := u.failedAt[s]; !ok || now.Sub(at) >= failedAddressCooldown {
			out = append(out, s)
		}
	}
	return out
}

// recordFailure records that an address did not answer or had no younger
// confirmation than this node.
func (u *upstream) recordFailure(address string, now time.Time) {
	if u.failedAt == nil {
		u.failedAt = map[string]time.Time{}
	}
	for a, at := range u.failedAt {
		if now.Sub(at) >= failedAddressCooldown {
			delete(u.failedAt, a)
		}
	}
	u.failedAt[address] = now
}

func (k *core) randomKnownAddress() string {
	var addresses []string
	for _, e := range k.reg.sorted() {
		if e.active() && e.via == "" && e.server.Node != k.id {
			addresses = append(addresses, e.server.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[k.random.IntN(len(addresses))]
}

// staleAge returns the age from which the confirmation of this node counts as stale.
// It grows with the depth in the tree. As long as all ancestors are connected, the
// confirmation stays younger.
func (u *upstream) staleAge() time.Duration {
	return staleConfirmation + time.Duration(max(len(u.path)-1, 0))*staleConfirmationPerLevel
}

// dueAgeQuery queries a seed for its confirmation age when the confirmation of
// this node is stale, because the parent or the root of the tree may be cut off.
func (k *core) dueAgeQuery(out []action, now time.Time) []action {
	u := &k.up
	if now.Before(u.ageQueryAt) || k.conf.age(now) < u.staleAge() {
		return out
	}
	u.ageQueryAt = now.Add(k.jitter(ageQueryInterval, 0.5))
	seeds := slices.DeleteFunc(u.usableSeeds(now), func(a string) bool { return a == u.address })
	if len(seeds) == 0 {
		seeds = u.seeds
	}
	return k.heartbeatTo(out, seeds[k.random.IntN(len(seeds))], true, now)
}

func (k *core) heartbeatTo(out []action, address string, ageQuery bool, now time.Time) []action {
	u := &k.up
	u.inFlight = true
	if ageQuery {
		return append(out, sendHeartbeat{address: address, request: &heartbeat{Self: k.self, Explore: true}, sent: now})
	}
	u.lastSent, u.urgency = now, 0
	h := &heartbeat{
		Self:         k.self,
		Applied:      k.conf.version,
		ParentBoot:   u.parentBoot,
		Rev:          u.rev,
		Children:     len(k.children),
		BroadcastRev: u.broadcastRev,
	}
	if address != u.address {
		u.ackedRev, u.ackedBroadcasts = 0, 0
	}
	h.Broadcasts, h.BroadcastsUpTo = k.broadcasts.after(u.ackedBroadcasts, "", now)
	k.addSubscriptions(h)
	k.addSubtree(h, now)
	return append(out, sendHeartbeat{address: address, request: h, sent: now, rev: k.reg.rev})
}

// addSubtree adds every node of the subtree to a heartbeat: as a report if its
// entry changed after the revision that the parent has received, otherwise as a
// renewal.
func (k *core) addSubtree(h *heartbeat, now time.Time) {
	for _, e := range k.reg.sorted() {
		if e.server.Node == k.id || (e.via == "" && !(e.wasInSubtree && !e.active())) {
			continue
		}
		age := now.Sub(e.lastContact)
		if e.rev > k.up.ackedRev {
			h.Subtree = append(h.Subtree, report{Server: e.server, Lost: e.lost, Applied: e.appliedVersion, Age: age})
			continue
		}
		if e.active() {
			h.Renewals = append(h.Renewals, renewal{e.server.Node, e.server.Incarnation, e.server.Sequence, e.appliedVersion, uint32(age.Milliseconds())})
		}
	}
}

// heartbeatDone handles the reply to a heartbeat or its failure.
func (k *core) heartbeatDone(a sendHeartbeat, reply *heartbeatReply, err error, now time.Time) {
	u := &k.up
	u.inFlight = false
	if a.request.Explore {
		k.ageQueryDone(a, reply, err, now)
		return
	}
	if err != nil {
		k.heartbeatFailed(a.address, now)
		return
	}
	if reply.Refused != notRefused {
		k.heartbeatRefused(a, reply, now)
		return
	}
	if slices.Contains(reply.Path, k.id) {
		k.detach(now.Add(k.rejoinDelay()))
		return
	}
	k.heartbeatAccepted(a, reply, now)
}

func (k *core) heartbeatFailed(address string, now time.Time) {
	u := &k.up
	k.stats.HeartbeatsFailed++
	u.failures++
	if u.address != "" && address == u.address && u.failures < maxHeartbeatFailures {
		u.next = now.Add(heartbeatRetryDelay)
		return
	}
	u.recordFailure(address, now)
	next := now.Add(k.rejoinDelay())
	if len(u.usableSeeds(now)) > 0 {
		// A short delay is enough while other seeds are usable, because the nodes do not
		// all wait for the same address.
		next = now.Add(k.randomBetween(0, minRejoinDelay))
	}
	if u.address != "" && address == u.address {
		k.detach(next)
		return
	}
	u.next = next
}

func (k *core) heartbeatRefused(a sendHeartbeat, reply *heartbeatReply, now time.Time) {
	u := &k.up
	switch reply.Refused {
	case refusedOutdated:
		k.handleNewerAnnouncement(reply.Incarnation, now)
	case refusedFull:
		k.detach(now.Add(k.randomBetween(0, minRejoinDelay)))
		u.candidates = reply.Redirect
		if len(reply.Redirect) == 0 {
			u.next = now.Add(k.rejoinDelay())
		}
	default:
		k.detach(now.Add(k.rejoinDelay()))
	}
}

// handleNewerAnnouncement is called when the fleet has an announcement of this node
// that is newer than that of this process. If no parent has accepted the process yet,
// its clock must have been set back, and it adopts a higher incarnation. If a parent
// has accepted it before, another process replaced it while it was frozen or cut off.
// The process then stops sending heartbeats.
func (k *core) handleNewerAnnouncement(newest fleet.Incarnation, now time.Time) {
	if k.stats.Joins > 0 && newest > k.self.Incarnation {
		k.superseded = true
		k.events = append(k.events, supersededEvent{newest})
		return
	}
	k.self.Incarnation = max(newest, k.self.Incarnation) + 1
	k.announce(now)
	k.up.next = now
	k.events = append(k.events, incarnationEvent{k.self.Incarnation})
}

func (k *core) heartbeatAccepted(a sendHeartbeat, reply *heartbeatReply, now time.Time) {
	u := &k.up
	if u.address != a.address {
		k.stats.Joins++
		u.address, u.candidates = a.address, nil
	}
	if u.parentBoot != reply.Boot {
		u.parentBoot, u.subscriptionsKnown = reply.Boot, a.request.HasSubscriptions
		for s, sub := range k.subscriptions {
			// The parent is new or was started again, so every complete list must be
			// requested from it, except those that this heartbeat already requested.
			sub.listPending = sub.listPending || !slices.Contains(a.request.PendingLists, s)
		}
	}
	u.failures, u.path = 0, reply.Path
	u.rev = max(reply.Rev, 1)
	u.next = now.Add(k.jitter(HeartbeatInterval, heartbeatJitter))
	if reply.NeedReports {
		u.ackedRev = 0
	} else {
		u.ackedRev = a.rev
	}
	u.ackedBroadcasts = max(u.ackedBroadcasts, reply.BroadcastsUpTo)
	u.leaveAcked = k.leaving && a.request.Self.State == fleet.Left
	u.subscriptionsKnown = u.subscriptionsKnown && !reply.NeedSubscriptions
	if reply.NeedReports || reply.NeedSubscriptions || reply.More {
		u.urgency.raise(immediate)
	}
	k.receiveControls(reply.Controls)
	k.applyServices(reply, now)
	k.applyConfig(reply, a.sent, now)
	u.broadcastRev = reply.BroadcastRev
	for _, n := range reply.Broadcasts {
		k.receiveBroadcast(n, "", now)
	}
}

func (k *core) ageQueryDone(a sendHeartbeat, reply *heartbeatReply, err error, now time.Time) {
	if err != nil {
		k.up.recordFailure(a.address, now)
		return
	}
	if k.up.address == "" {
		return
	}
	if !reply.Confirmed || now.Sub(a.sent)+reply.Age+HeartbeatInterval >= k.conf.age(now) {
		k.up.recordFailure(a.address, now) // the confirmation is not younger; the next query goes to another seed
		return
	}
	k.detach(now)
	k.up.candidates = []string{a.address}
}
