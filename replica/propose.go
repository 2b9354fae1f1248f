package replica

import (
	"cmp"
	"context"
	"errors"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/raft"
	"bramleymill/transport"
)

const (
	// proposeTimeout bounds Propose when the context has no earlier deadline.
	proposeTimeout = 5 * time.Second
	// attemptTimeout bounds one attempt at one leader. It exceeds an ordinary
	// commit by far and is about the time that electing a new leader takes.
	attemptTimeout = time.Second
	// retryPause is the pause between attempts while no leader is known.
	retryPause = 25 * time.Millisecond
	// maxPending bounds the proposals that wait at one leader.
	maxPending = 8192
	// maxLogBytes bounds the log in memory. It is reached only when entries
	// cannot be committed or snapshots cannot be saved.
	maxLogBytes = 32 << 20
)

// Propose replicates command and returns the result of applying it. A follower
// forwards to the leader. While there is no leader Propose tries again until ctx
// ends, at most for 5 s. It also repeats a command whose attempt at a leader
// ended with an unknown outcome, see Proposer about commands and their ids.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var a attempts
	for {
		var result []byte
		var err error
		if s := g.Status(); s.Stopped {
			return nil, a.finalError(g.stoppedError())
		} else if g.disk.stallError() != nil {
			result, err = g.proposeViaVoters(ctx, s.Voters, command)
		} else if s.Role == raft.Leader || s.LeaderAddress == "" {
			result, err = g.proposeAsLeader(ctx, command)
		} else {
			result, _, err = proposeTo(ctx, g.config.Client, s.LeaderAddress, g.config.Group, command)
		}
		if err == nil || a.shouldStop(err) {
			return result, err
		}
		if !clock.Sleep(ctx, retryPause) {
			return nil, a.finalError(err)
		}
	}
}

// attempts remembers whether one of several attempts may have taken effect.
type attempts struct{ unknownOutcome error }

// final notes a failed attempt and reports whether no other one makes sense.
func (a *attempts) shouldStop(err error) bool {
	e := errkind.Of(err)
	switch e.Kind {
	case errkind.BodyTooLarge, errkind.Unauthorized, errkind.BadRequest:
		return a.unknownOutcome == nil
	case errkind.NotFound: // the process has no control role
		return false
	}
	if !e.ProvedNotRun() {
		a.unknownOutcome = err
	}
	return false
}

// failure returns the error to report: last proves that nothing was proposed
// only when every attempt did.
func (a *attempts) finalError(last error) error {
	if a.unknownOutcome != nil {
		return errkind.New(errkind.OutcomeUnknown, "%w", a.unknownOutcome)
	}
	return last
}

// proposeHere proposes to this replica, which must lead.
func (g *Group) proposeAsLeader(ctx context.Context, command []byte) ([]byte, error) {
	type appended struct {
		w   *proposalWaiter
		err error
	}
	p, err := runOnCore(ctx, g, func(now raft.Reading) appended {
		w, err := g.appendCommand(now, command)
		return appended{w, err}
	})
	if err = cmp.Or(err, p.err); err != nil {
		return nil, err
	}
	select {
	case o := <-p.w.done:
		return o.result, o.err
	case <-g.disk.stalled():
		return nil, errStalledBeforeApply()
	case <-ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "the command is not committed yet: %w", ctx.Err())
	}
}

// proposeElsewhere proposes to the leader that the other voters name. A replica
// whose disk hangs does not hear who leads.
func (g *Group) proposeViaVoters(ctx context.Context, voters []raft.Member, command []byte) ([]byte, error) {
	var others []string
	for _, m := range voters {
		if m.ID.Node != g.config.Node {
			others = append(others, m.Address)
		}
	}
	leader := NewRemote(g.config.Client, others, g.config.Group).locate(ctx)
	if leader == "" || leader == g.config.Address {
		return nil, g.errDiskStalled()
	}
	result, _, err := proposeTo(ctx, g.config.Client, leader, g.config.Group, command)
	return result, err
}

// place appends command to the log of the leader. It runs on the goroutine that
// owns the core.
func (g *Group) appendCommand(now raft.Reading, command []byte) (*proposalWaiter, error) {
	if g.diskFull != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "%w", g.diskFull)
	}
	if voters := len(g.node.Status().Configuration.Voters); voters < g.config.MinVoters && !(g.reachedMinVoters && voters == g.config.MinVoters-1) {
		return nil, errkind.New(errkind.ControlUnavailable, "the group has %d of %d voters", voters, g.config.MinVoters)
	}
	if g.applier.pendingProposals() >= maxPending {
		return nil, errkind.New(errkind.ControlUnavailable, "%d proposals are waiting", maxPending)
	}
	if g.node.Status().LogBytes >= maxLogBytes {
		return nil, errkind.New(errkind.ControlUnavailable, "the log holds %d bytes that cannot be compacted yet", maxLogBytes)
	}
	index, term, err := g.node.Propose(now, command)
	switch {
	case errors.Is(err, raft.ErrTooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "%w", err)
	case err != nil:
		return nil, errkind.New(errkind.ControlUnavailable, "%w", err)
	}
	return g.applier.awaitCommit(index, term), nil
}

// proposeAt proposes at the process with the given address. When the command
// was refused because that process does not lead, leader is the address that it
// named.
func proposeTo(ctx context.Context, c transport.Client, address string, group uint32, command []byte) (result []byte, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reply proposeReply
	err = c.Call(ctx, address, kindPropose, &proposeRequest{Group: group, Command: command}, &reply)
	if err != nil {
		var e *errkind.Error
		if errors.As(err, &e) {
			return nil, "", err
		}
		kind := errkind.OutcomeUnknown
		if errors.Is(err, transport.ErrNotSent) {
			kind = errkind.ControlUnavailable
		}
		return nil, "", errkind.New(kind, "propose at %s: %w", address, err)
	}
	if !reply.Accepted {
		return nil, reply.Leader, errkind.New(errkind.ControlUnavailable, "%s: %s", address, reply.Reason)
	}
	return reply.Result, "", nil
}
