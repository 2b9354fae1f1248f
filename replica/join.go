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
	joinRetryInterval = 250 * time.Millisecond // at most doubled at random
	// joinedPause is the pause between looks at a membership that is in order.
	membershipCheckInterval = time.Second
	// silenceBeforeJoin is how long a member waits for a leader before it asks
	// the seeds whether it is still a member. Elections end well before.
	leaderSilenceLimit = 3 * time.Second
)

func newRandomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// keepJoined asks the group to admit this replica while it is no member, has
// moved, or hears from no leader.
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
		self, member := v.status.Configuration.Find(v.status.ID)
		joined := member && self.Address == g.config.Address
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

// join asks the seeds, and the leader that they name, to admit this replica.
func (g *Group) join(s raft.Status, rng *mathrand.Rand) error {
	if s.Leader == s.ID { // a leader that has moved
		if reply := g.admit(g.ctx, g.joinRequest(s)); !reply.Accepted {
			return fmt.Errorf("replica: change of address: %s", reply.Reason)
		}
		return nil
	}
	seeds := *g.seeds.Load()
	targets := make([]string, 0, len(seeds)+1)
	for _, i := range rng.Perm(len(seeds)) {
		if a := seeds[i]; a != g.config.Address {
			targets = append(targets, a)
		}
	}
	if m, ok := s.Configuration.Find(s.Leader); ok && m.ID != s.ID {
		targets = append(targets, m.Address)
	}
	lastErr := fmt.Errorf("replica: no seed answers for group %d", g.config.Group)
	redirected := false
	for i := 0; i < len(targets); i++ {
		reply, err := g.sendJoinRequest(s, targets[i])
		switch {
		case err != nil:
			lastErr = fmt.Errorf("replica: join through %s: %w", targets[i], err)
		case reply.Accepted:
			return nil
		default:
			lastErr = fmt.Errorf("replica: join through %s: %s", targets[i], reply.Reason)
			if reply.Leader != "" && reply.Leader != targets[i] && !redirected {
				redirected = true
				targets = append(targets, reply.Leader)
			}
		}
	}
	return lastErr
}

// SetSeeds replaces the addresses to ask for the group.
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

// admit handles a request to join.
func (g *Group) admit(ctx context.Context, r *joinRequest) *joinReply {
	rejection, err := runOnCore(ctx, g, func(now raft.Reading) error { return g.admitOnCore(now, r) })
	if err = cmp.Or(err, rejection); err != nil {
		return &joinReply{Reason: err.Error(), Leader: g.Status().LeaderAddress}
	}
	return &joinReply{Accepted: true}
}

func (g *Group) admitOnCore(now raft.Reading, r *joinRequest) error {
	own := g.node.Status().Configuration.ClusterID
	if r.ClusterID != 0 && own != 0 && r.ClusterID != own {
		return fmt.Errorf("%s belongs to another group that was started separately", r.Member.ID.Node)
	}
	return g.node.Join(now, r.Member)
}

// Remove removes the learner or, without one, the voter of a node from the
// group. Only the leader does it. A removed replica that still runs joins again.
func (g *Group) Remove(ctx context.Context, node fleet.NodeID) error {
	rejection, err := runOnCore(ctx, g, func(now raft.Reading) error { return g.node.Remove(now, node) })
	return cmp.Or(err, rejection)
}
