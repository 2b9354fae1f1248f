package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/raft"
	"bramleymill/transport"
)

const (
	// retireInterval is the time between two requests to take over the vote of this replica.
	retireInterval = 50 * time.Millisecond
	// retiredInterval replaces retireInterval while no request is urgent. It is shorter than
	// the time after which the leader forgets that a replica retires.
	retiredInterval = 200 * time.Millisecond
	retireTimeout   = 500 * time.Millisecond
)

// Retire lets a learner that has caught up take over the vote of this replica, because the
// process is about to end and may not return. Until ctx ends, it tells the leader that the
// replica retires; the leadership is transferred if this replica has it and a learner waits.
// Without such a learner the replica keeps its vote. As a learner it continues to serve.
// AwaitRetirement waits for the result.
func (g *Group) Retire(ctx context.Context) {
	pause, failure := time.Duration(0), ""
	for g.ctx.Err() == nil && (pause == 0 || clock.Sleep(ctx, pause)) {
		state, err := g.requestRetirement(ctx)
		if err != nil { // there may be no leader at the moment
			g.retirementError.Store(&err)
			if err.Error() != failure && ctx.Err() == nil {
				failure = err.Error()
				g.config.Logger.Warn("the leader did not process the retirement of this replica; retrying", "error", err)
			}
			pause = retireInterval
			continue
		}
		if old := raft.Retirement(g.retirement.Swap(uint32(state))); old != state {
			s := g.Status()
			g.config.Logger.Info("replica retires", "vote", state.String(), "voters", len(s.Voters), "learners", len(s.Learners))
		}
		pause = retiredInterval
		if state == raft.VotePending {
			pause = retireInterval
		}
	}
}

// requestRetirement tells the leader once that this replica retires.
func (g *Group) requestRetirement(ctx context.Context) (raft.Retirement, error) {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	s := g.Status()
	if s.Role != raft.Leader {
		return g.requestRetirementOf(ctx, s)
	}
	state, err := g.retire(ctx, s.ID)
	if err == nil && state == raft.VotePending {
		err = g.transfer(ctx)
	}
	return state, err
}

// requestRetirementOf tells the leader, which is another replica, that the replica described
// by s retires. The other voters are asked for the leader if this replica does not know it: its
// disk may have stalled, or it may have missed the election of a new leader.
func (g *Group) requestRetirementOf(ctx context.Context, s Status) (raft.Retirement, error) {
	leader := s.LeaderAddress
	if leader == "" {
		if leader = g.locateLeader(ctx, s.Voters); leader == "" || leader == g.config.Address {
			return 0, errkind.New(errkind.ControlUnavailable, "group %d has no known leader", g.config.Group)
		}
	}
	var reply retireReply
	if err := g.config.Client.Call(ctx, leader, kindRetire, &retireRequest{Group: g.config.Group, ID: s.ID}, &reply); err != nil {
		return 0, fmt.Errorf("replica: retire at the leader %s: %w", leader, err)
	}
	return reply.State, nil
}

// retire tells the core of the leader that the replica id retires.
func (g *Group) retire(ctx context.Context, id raft.ID) (raft.Retirement, error) {
	type result struct {
		state raft.Retirement
		err   error
	}
	r, err := runOnCore(ctx, g, func(now raft.ClockReading) result {
		state, err := g.node.Retire(now, id)
		return result{state, err}
	})
	if err = cmp.Or(err, r.err); err != nil {
		return 0, errkind.New(errkind.ControlUnavailable, "group %d: %w", g.config.Group, err)
	}
	return r.state, nil
}

// AwaitRetirement waits until Retire, which runs at the same time, has found that the vote of
// this replica is gone or that no learner can take it over. It returns an error that wraps
// ErrVoteNotHandedOver and names the reason if this is not known when ctx ends. If the process
// ends then, its vote counts as lost until the group has replaced it.
func (g *Group) AwaitRetirement(ctx context.Context) error {
	began := g.config.Clock.Now()
	for g.ctx.Err() == nil {
		s, state := g.Status(), raft.Retirement(g.retirement.Load())
		if state == raft.VoteGone || state == raft.VoteKept || state == 0 && !g.mayHaveSuccessor(s) {
			return nil
		}
		if !clock.Sleep(ctx, pollInterval) {
			return g.notHandedOver(s, state, g.config.Clock.Now().Sub(began))
		}
	}
	return nil
}

// ErrVoteNotHandedOver reports that a replica that retires may still have its vote, though
// another replica could take it over.
var ErrVoteNotHandedOver = errors.New("replica: the vote was not handed over")

func (g *Group) notHandedOver(s Status, state raft.Retirement, waited time.Duration) error {
	reason := "no reply from a leader"
	if state == raft.VotePending {
		reason = "the change of the membership is not committed"
	}
	err := fmt.Errorf("%w: group %d, %d voters, %d learners, after %v: %s", ErrVoteNotHandedOver, g.config.Group, len(s.Voters), len(s.Learners), waited.Round(time.Millisecond), reason)
	if p := g.retirementError.Load(); p != nil {
		err = fmt.Errorf("%w; last error: %w", err, *p)
	}
	if s.Err != nil {
		err = fmt.Errorf("%w; state of the replica: %w", err, s.Err)
	}
	return err
}

// mayHaveSuccessor reports whether the group has a learner other than this replica, or a voter
// beyond the usual number, as far as this replica knows. Without either the group cannot take
// over a vote, and a stop does not wait for a leader: there may never be one, such as when all
// control instances stop at the same time.
func (g *Group) mayHaveSuccessor(s Status) bool {
	return g.config.MinVoters > 0 && len(s.Voters) > g.config.MinVoters ||
		slices.ContainsFunc(s.Learners, func(m raft.Member) bool { return m.ID != s.ID })
}

func (h *Host) onRetire(ctx context.Context, from transport.Peer, r *retireRequest) (*retireReply, error) {
	if err := requireControlRole(from); err != nil {
		return nil, err
	}
	if err := checkSender(from, r.ID); err != nil {
		return nil, err
	}
	g, err := h.group(r.Group)
	if err != nil {
		return nil, err
	}
	state, err := g.retire(ctx, r.ID)
	if err != nil {
		return nil, err
	}
	return &retireReply{State: state}, nil
}
