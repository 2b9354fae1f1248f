package replica

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"bramleymill/clock"
	"bramleymill/fleet"
	"bramleymill/raft"
)

const (
	joinTimeout       = 500 * time.Millisecond
	joinRetryInterval = 250 * time.Millisecond // a random time of at most the same length is added
	// membershipCheckInterval replaces joinRetryInterval while this replica is a
	// member and knows a leader.
	membershipCheckInterval = time.Second
	// leaderSilenceLimit is how long a member may know no leader before it contacts
	// the seeds. It may then have been removed from the group, because elections take
	// much less time.
	leaderSilenceLimit = 3 * time.Second
)

// newRandomID returns a random id that is not 0.
func newRandomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// maintainMembership requests admission to the group while this replica is not a
// member, is a member with an outdated address, or has not known a leader for
// leaderSilenceLimit.
func (g *Group) maintainMembership() {
	rng := mathrand.New(mathrand.NewPCG(g.config.Seed, uint64(g.config.Group)))
	leaderSeenAt := g.config.Clock.Now()
	pause := joinRetryInterval
	for clock.Sleep(g.ctx, pause+time.Duration(rng.Int64N(int64(joinRetryInterval)))) {
		v := g.view.Load()
		now := g.config.Clock.Now()
		if v.status.Leader != (raft.ID{}) {
			leaderSeenAt = now
		}
		self, isMember := v.status.Configuration.Find(v.status.ID)
		joined := isMember && self.Address == g.config.Address
		if !g.mayJoin.Load() {
			continue
		}
		if joined && now.Sub(leaderSeenAt) < leaderSilenceLimit {
			g.joinError.Store(nil)
			pause = membershipCheckInterval
			continue
		}
		pause = joinRetryInterval
		if err := g.join(v.status, rng); err != nil {
			g.joinError.Store(&err)
		} else {
			g.joinError.Store(nil)
		}
	}
}

// join requests admission from the seeds, from the leader that they report and from
// the last known leader, until one of them accepts.
func (g *Group) join(s raft.Status, rng *mathrand.Rand) error {
	if s.Leader == s.ID { // this replica is the leader and its address has changed
		if reply := g.admit(g.ctx, g.joinRequest(s)); !reply.Accepted {
			return fmt.Errorf("replica: change the address of this replica: %s", reply.Reason)
		}
		return nil
	}
	seeds := *g.seeds.Load()
	addresses := make([]string, 0, len(seeds)+1)
	for _, i := range rng.Perm(len(seeds)) {
		if a := seeds[i]; a != g.config.Address {
			addresses = append(addresses, a)
		}
	}
	if m, ok := s.Configuration.Find(s.Leader); ok && m.ID != s.ID {
		addresses = append(addresses, m.Address)
	}
	lastErr := fmt.Errorf("replica: no address to contact for joining group %d", g.config.Group)
	redirected := false
	for i := 0; i < len(addresses); i++ {
		reply, err := g.sendJoinRequest(s, addresses[i])
		switch {
		case err != nil:
			lastErr = fmt.Errorf("replica: join through %s: %w", addresses[i], err)
		case reply.Accepted:
			return nil
		default:
			lastErr = fmt.Errorf("replica: join through %s: %s", addresses[i], reply.Reason)
			if reply.Leader != "" && reply.Leader != addresses[i] && !redirected {
				redirected = true
				addresses = append(addresses, reply.Leader)
			}
		}
	}
	return lastErr
}

// SetSeeds replaces the peer addresses through which the group is joined.
func (g *Group) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

func (g *Group) sendJoinRequest(s raft.Status, address string) (*joinReply, error) {
	ctx, cancel := context.WithTimeout(g.ctx, joinTimeout)
	defer cancel()
	var reply joinReply
	if err := g.config.Client.Call(ctx, address, kindJoin, g.joinRequest(s), &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

func (g *Group) joinRequest(s raft.Status) *joinRequest {
	return &joinRequest{
		Group: g.config.Group, ClusterID: s.Configuration.ClusterID,
		Member: raft.Member{ID: s.ID, Address: g.config.Address},
	}
}

// admit handles the request of a replica to join the group. Only the leader accepts
// it.
func (g *Group) admit(ctx context.Context, r *joinRequest) *joinReply {
	rejection, err := runOnCore(ctx, g, func(now raft.ClockReading) error { return g.admitOnCore(now, r) })
	if err = cmp.Or(err, rejection); err != nil {
		return &joinReply{Reason: err.Error(), Leader: g.Status().LeaderAddress}
	}
	return &joinReply{Accepted: true}
}

func (g *Group) admitOnCore(now raft.ClockReading, r *joinRequest) error {
	clusterID := g.node.Status().Configuration.ClusterID
	if r.ClusterID != 0 && clusterID != 0 && r.ClusterID != clusterID {
		return fmt.Errorf("%s belongs to a group that was bootstrapped separately", r.Member.ID.Node)
	}
	return g.node.Join(now, r.Member)
}

// Remove removes the learners of a node from the group or, if it has none, its voter.
// It fails if this replica is not the leader. A removed replica that still runs joins
// the group again.
func (g *Group) Remove(ctx context.Context, node fleet.NodeID) error {
	rejection, err := runOnCore(ctx, g, func(now raft.ClockReading) error { return g.node.Remove(now, node) })
	return cmp.Or(err, rejection)
}
