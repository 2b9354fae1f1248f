package member

import (
	"slices"
	"time"

	"bramleymill/fleet"
)

// upstream is a node's side of the relation to its parent.
type upstream struct {
	seeds      []string
	address    string         // of the parent; empty: none
	path       []fleet.NodeID // from the root to the parent
	epoch      uint64         // of the parent
	rev        uint64         // registry revision of the parent seen so far
	noticeRev  uint64         // notices of the parent seen so far
	reported   uint64         // own registry revision that the parent has
	notices    uint64         // own notice revision that the parent has
	listKnown  bool           // the parent knows the followed services
	listHash   uint64
	candidates []string // addresses to try before a seed
	next       time.Time
	urgency    urgency
	last       time.Time
	exploreAt  time.Time
	inFlight   bool
	failures   int
	failed     map[string]time.Time // when an address did not answer as a parent
	left       bool                 // the parent has the announcement of leaving
}

func (u *upstream) init(k *core, seeds []string, now time.Time) {
	for _, s := range seeds {
		if s != k.self.PeerAddress {
			u.seeds = append(u.seeds, s)
		}
	}
	u.next = now.Add(k.between(0, firstJoin))
	u.exploreAt = now.Add(staleConfirmation)
}

func (k *core) attached() bool { return k.control() || k.up.address != "" }

// detach gives up the parent and tries again at another time.
func (k *core) detach(at time.Time) {
	u := &k.up
	u.address, u.path, u.epoch, u.rev, u.noticeRev = "", nil, 0, 0, 0
	u.reported, u.notices, u.listKnown, u.failures = 0, 0, false, 0
	u.next = at
	for _, f := range k.follows {
		f.fresh = true
	}
}

// sendsHeartbeats reports whether this member sends heartbeats.
func (k *core) sendsHeartbeats() bool {
	return !k.control() && !k.superseded && !k.up.left && len(k.up.seeds) > 0
}

func (k *core) rejoinDelay() time.Duration { return k.between(minRejoin, maxRejoin) }

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
	if now.Before(u.next) && !u.urgency.due(u.last, now, minHeartbeatGap) {
		return k.dueExploration(out, now)
	}
	return k.heartbeatTo(out, u.address, false, now)
}

// nextCandidate takes an address that a parent named, or else a random seed among
// those that have not failed lately. When all seeds have failed, every other
// attempt goes to a node that is known, because only the links to the control
// instances may be cut.
func (k *core) nextCandidate(now time.Time) string {
	u := &k.up
	if len(u.candidates) > 0 {
		a := u.candidates[0]
		u.candidates = u.candidates[1:]
		return a
	}
	untried := u.untried(now)
	if len(untried) > 0 {
		return untried[k.random.IntN(len(untried))]
	}
	if u.failures%2 == 1 {
		if a := k.knownAddress(); a != "" {
			return a
		}
	}
	return u.seeds[k.random.IntN(len(u.seeds))]
}

// untried returns the seeds that have not failed lately.
func (u *upstream) untried(now time.Time) []string {
	var out []string
	for _, s := range u.seeds {
		if at, ok := u.failed[s]; !ok || now.Sub(at) >= failedFor {
			out = append(out, s)
		}
	}
	return out
}

// noteFailed remembers that an address did not answer.
func (u *upstream) noteFailed(address string, now time.Time) {
	if u.failed == nil {
		u.failed = map[string]time.Time{}
	}
	for a, at := range u.failed {
		if now.Sub(at) >= failedFor {
			delete(u.failed, a)
		}
	}
	u.failed[address] = now
}

func (k *core) knownAddress() string {
	var known []string
	for _, e := range k.reg.sorted() {
		if e.active() && e.via == "" && e.server.Node != k.id {
			known = append(known, e.server.PeerAddress)
		}
	}
	if len(known) == 0 {
		return ""
	}
	return known[k.random.IntN(len(known))]
}

// staleAge is the age of a confirmation that a node at this depth of the tree does
// not reach as long as its ancestors are connected.
func (u *upstream) staleAge() time.Duration {
	return staleConfirmation + time.Duration(max(len(u.path)-1, 0))*stalePerLevel
}

// dueExploration looks for a root with a younger confirmation when the own one
// ages, because the parent or its root may be cut off.
func (k *core) dueExploration(out []action, now time.Time) []action {
	u := &k.up
	if now.Before(u.exploreAt) || k.conf.age(now) < u.staleAge() {
		return out
	}
	u.exploreAt = now.Add(k.jitter(exploreInterval, 0.5))
	seeds := slices.DeleteFunc(u.untried(now), func(a string) bool { return a == u.address })
	if len(seeds) == 0 {
		seeds = u.seeds
	}
	return k.heartbeatTo(out, seeds[k.random.IntN(len(seeds))], true, now)
}

func (k *core) heartbeatTo(out []action, address string, explore bool, now time.Time) []action {
	u := &k.up
	u.inFlight = true
	if explore {
		return append(out, sendHeartbeat{address: address, request: &heartbeat{Self: k.self, Explore: true}, sent: now})
	}
	u.last, u.urgency = now, 0
	h := &heartbeat{
		Self:      k.self,
		Applied:   k.conf.version,
		Epoch:     u.epoch,
		Rev:       u.rev,
		Children:  len(k.children),
		NoticeRev: u.noticeRev,
	}
	if address != u.address {
		u.reported, u.notices = 0, 0
	}
	h.Notices, h.NoticesTo = k.notices.after(u.notices, "", now)
	k.addFollows(h)
	k.addSubtree(h, now)
	return append(out, sendHeartbeat{address: address, request: h, sent: now, rev: k.reg.rev})
}

// addSubtree lists every node of the subtree: as a report when it changed since
// the parent confirmed the last one, otherwise as a renewal.
func (k *core) addSubtree(h *heartbeat, now time.Time) {
	for _, e := range k.reg.sorted() {
		if e.server.Node == k.id || (e.via == "" && !(e.claimed && !e.active())) {
			continue
		}
		age := now.Sub(e.heard)
		if e.rev > k.up.reported {
			h.Subtree = append(h.Subtree, report{Server: e.server, Lost: e.lost, Applied: e.applied, Age: age})
			continue
		}
		if e.active() {
			h.Renewals = append(h.Renewals, renewal{e.server.Node, e.server.Incarnation, e.server.Sequence, e.applied, uint32(age.Milliseconds())})
		}
	}
}

// heartbeatDone takes the reply to a heartbeat, or its failure.
func (k *core) heartbeatDone(a sendHeartbeat, reply *heartbeatReply, err error, now time.Time) {
	u := &k.up
	u.inFlight = false
	if a.request.Explore {
		k.explored(a, reply, err, now)
		return
	}
	if err != nil {
		k.heartbeatFailed(a.address, now)
		return
	}
	if reply.Refused != accepted {
		k.refused(a, reply, now)
		return
	}
	if slices.Contains(reply.Path, k.id) {
		k.detach(now.Add(k.rejoinDelay()))
		return
	}
	k.accept(a, reply, now)
}

func (k *core) heartbeatFailed(address string, now time.Time) {
	u := &k.up
	k.stats.HeartbeatsFailed++
	u.failures++
	if u.address != "" && address == u.address && u.failures < maxFailures {
		u.next = now.Add(retryAfterFailure)
		return
	}
	u.noteFailed(address, now)
	next := now.Add(k.rejoinDelay())
	if len(u.untried(now)) > 0 {
		next = now.Add(k.between(0, minRejoin)) // no one else waits for the same address
	}
	if u.address != "" && address == u.address {
		k.detach(next)
		return
	}
	u.next = next
}

func (k *core) refused(a sendHeartbeat, reply *heartbeatReply, now time.Time) {
	u := &k.up
	switch reply.Refused {
	case refusedOld:
		k.outdated(reply.Incarnation, now)
	case refusedFull:
		k.detach(now.Add(k.between(0, minRejoin)))
		u.candidates = reply.Redirect
		if len(reply.Redirect) == 0 {
			u.next = now.Add(k.rejoinDelay())
		}
	default:
		k.detach(now.Add(k.rejoinDelay()))
	}
}

// outdated handles the news that a newer announcement of this node exists. A
// process that has never been accepted takes a higher incarnation: its clock was
// set back. One that was accepted earlier has been replaced while it was frozen
// or cut off, and stays silent.
func (k *core) outdated(other fleet.Incarnation, now time.Time) {
	if k.stats.Joins > 0 && other > k.self.Incarnation {
		k.superseded = true
		k.events = append(k.events, supersededEvent{other})
		return
	}
	k.self.Incarnation = max(other, k.self.Incarnation) + 1
	k.announce(now)
	k.up.next = now
	k.events = append(k.events, incarnationEvent{k.self.Incarnation})
}

func (k *core) accept(a sendHeartbeat, reply *heartbeatReply, now time.Time) {
	u := &k.up
	if u.address != a.address {
		k.stats.Joins++
		u.address, u.candidates = a.address, nil
	}
	if u.epoch != reply.Epoch {
		u.epoch, u.listKnown = reply.Epoch, a.request.ListSent
		for s, f := range k.follows {
			// Lists that this reply answers are complete already.
			f.fresh = f.fresh || !slices.Contains(a.request.Fresh, s)
		}
	}
	u.failures, u.path = 0, reply.Path
	u.rev = max(reply.Rev, 1)
	u.next = now.Add(k.jitter(HeartbeatInterval, heartbeatJitter))
	if reply.NeedReports {
		u.reported = 0
	} else {
		u.reported = a.rev
	}
	u.notices = max(u.notices, reply.NoticesTo)
	u.left = k.leaving && a.request.Self.State == fleet.Left
	u.listKnown = u.listKnown && !reply.NeedFollows
	if reply.NeedReports || reply.NeedFollows || reply.More {
		u.urgency.raise(immediate)
	}
	k.addSeeds(reply.Controls)
	k.takeServices(reply, now)
	k.takeConfig(reply, a.sent, now)
	u.noticeRev = reply.NoticeRev
	for _, n := range reply.Notices {
		k.takeNotice(n, "", now)
	}
}

func (k *core) explored(a sendHeartbeat, reply *heartbeatReply, err error, now time.Time) {
	if err != nil {
		k.up.noteFailed(a.address, now)
		return
	}
	if k.up.address == "" {
		return
	}
	if !reply.Confirmed || now.Sub(a.sent)+reply.Age+HeartbeatInterval >= k.conf.age(now) {
		k.up.noteFailed(a.address, now) // it knows no better; another one comes next
		return
	}
	k.detach(now)
	k.up.candidates = []string{a.address}
}

func (k *core) addSeeds(controls []string) {
	for _, a := range controls {
		if len(k.up.seeds) < maxControls && a != k.self.PeerAddress && !slices.Contains(k.up.seeds, a) {
			k.up.seeds = append(k.up.seeds, a)
		}
	}
}
