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
	// attemptTimeout bounds one attempt at one leader. It is much longer than a
	// usual commit and about as long as the election of a new leader.
	attemptTimeout = time.Second
	// retryPause is the pause between attempts. Remote omits it after a refusal that
	// reports another leader.
	retryPause = 25 * time.Millisecond
	// maxPending bounds the proposals that wait to be applied at one leader.
	maxPending = 8192
	// maxLogBytes is the size of the log in memory at which proposals are refused.
	// The log reaches it only if entries cannot be committed or snapshots cannot be
	// saved.
	maxLogBytes = 32 << 20
)

// Propose replicates command and returns the result of applying it. A follower
// forwards the command to the leader. Propose retries until ctx ends, for at most
// 5 s, while there is no leader and also after an attempt with an unknown outcome.
// A command may therefore be applied twice and must carry an id that makes this harmless.
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

// attempts records whether one of several attempts to propose a command may have
// taken effect. unknownOutcome is the error of the latest such attempt, or nil.
type attempts struct{ unknownOutcome error }

// shouldStop records the error of a failed attempt and reports whether Propose stops
// retrying. It stops if a retry would be rejected for the same reason and no earlier
// attempt may have taken effect.
func (a *attempts) shouldStop(err error) bool {
	e := errkind.Of(err)
	switch e.Kind {
	case errkind.BodyTooLarge, errkind.Unauthorized, errkind.BadRequest:
		return a.unknownOutcome == nil
	case errkind.NotFound: // the process has no control role; a retry may reach one that has it
		return false
	}
	if !e.ProvedNotRun() {
		a.unknownOutcome = err
	}
	return false
}

// finalError returns the error for the caller of Propose. last is the error of the
// last attempt. If an earlier attempt may have taken effect, the returned error has
// an unknown outcome even if last proves that the last attempt was not proposed.
func (a *attempts) finalError(last error) error {
	if a.unknownOutcome != nil {
		return errkind.New(errkind.OutcomeUnknown, "%w", a.unknownOutcome)
	}
	return last
}

// proposeAsLeader proposes command on this replica. It fails if this replica is not
// the leader.
func (g *Group) proposeAsLeader(ctx context.Context, command []byte) ([]byte, error) {
	type appended struct {
		w   *proposalWaiter
		err error
	}
	p, err := runOnCore(ctx, g, func(now raft.ClockReading) appended {
		w, err := g.appendCommand(now, command)
		return appended{w, err}
	})
	if err = cmp.Or(err, p.err); err != nil {
		return nil, err
	}
	select {
	case r := <-p.w.done:
		return r.result, r.err
	case <-g.disk.stalled():
		return nil, stalledBeforeApplyError()
	case <-ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "the command is not committed yet: %w", ctx.Err())
	}
}

// proposeViaVoters queries the other voters for the leader and proposes to it. It is
// used while the disk of this replica is stalled, since this replica then handles no
// messages and does not know the leader.
func (g *Group) proposeViaVoters(ctx context.Context, voters []raft.Member, command []byte) ([]byte, error) {
	leader := g.locateLeader(ctx, voters)
	if leader == "" || leader == g.config.Address {
		return nil, g.diskStalledError()
	}
	result, _, err := proposeTo(ctx, g.config.Client, leader, g.config.Group, command)
	return result, err
}

// locateLeader queries the other voters for the address of the leader. It returns an empty
// string if none of them knows it.
func (g *Group) locateLeader(ctx context.Context, voters []raft.Member) string {
	var others []string
	for _, m := range voters {
		if m.ID != g.Status().ID {
			others = append(others, m.Address)
		}
	}
	return NewRemote(g.config.Client, others, g.config.Group).locate(ctx)
}

// enoughVoters reports whether the group accepts commands with this number of voters; see
// Config.MinVoters.
func (g *Group) enoughVoters(voters int, now time.Duration) bool {
	switch m := g.config.MinVoters; {
	case voters >= m:
		return true
	case voters < m-1:
		return false
	case g.reachedMinVoters:
		return true
	case g.config.ReplaceAfter == 0 || voters/2 != m/2:
		return false // a majority would have fewer disks
	}
	return g.oneMissingSince >= 0 && now-g.oneMissingSince >= missingVoterWait*g.config.ReplaceAfter
}

// missingVoterWait is the time for which a group waits for its last voter before it accepts its
// first command without it, in multiples of ReplaceAfter.
const missingVoterWait = 2

// appendCommand appends command to the log of the leader. It runs on the goroutine
// that owns the core.
func (g *Group) appendCommand(now raft.ClockReading, command []byte) (*proposalWaiter, error) {
	if g.diskFull != nil {
		return nil, errkind.New(errkind.ControlUnavailable, "%w", g.diskFull)
	}
	if voters := len(g.node.Status().Configuration.Voters); !g.enoughVoters(voters, now.Mono) {
		return nil, errkind.New(errkind.ControlUnavailable, "the group has %d of %d required voters", voters, g.config.MinVoters)
	}
	if g.applier.pendingProposals() >= maxPending {
		return nil, errkind.New(errkind.ControlUnavailable, "%d proposals are already pending", maxPending)
	}
	if g.node.Status().LogBytes >= maxLogBytes {
		return nil, errkind.New(errkind.ControlUnavailable, "the log has reached its limit of %d bytes and cannot be compacted yet", maxLogBytes)
	}
	index, term, err := g.node.Propose(now, command)
	switch {
	case errors.Is(err, raft.ErrTooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "%w", err)
	case err != nil:
		return nil, errkind.New(errkind.ControlUnavailable, "%w", err)
	}
	return g.applier.registerProposal(index, term), nil
}

// proposeTo sends a proposal to the process with the given address. If that process
// refused the command, leader is the address of the leader that it reported, if any.
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
		return nil, "", errkind.New(kind, "propose to %s: %w", address, err)
	}
	if !reply.Accepted {
		return nil, reply.Leader, errkind.New(errkind.ControlUnavailable, "%s refused the proposal: %s", address, reply.Reason)
	}
	return reply.Result, "", nil
}
