package replica

import (
	"context"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/raft"
)

// readTimeout bounds one request to the leader for a read index.
const readTimeout = 500 * time.Millisecond

// pendingRead is a linearizable read that waits for confirmation by a majority.
type pendingRead struct {
	read   raft.Read
	result chan bool // receives whether the read is confirmed
}

// ReadBarrier waits until this replica has applied everything that was committed
// before the call. The leader determines up to which entry that is; it relies on its
// lease or waits for a confirmation round. A read of the state machine after
// ReadBarrier is linearizable. ReadBarrier retries until ctx ends and then fails.
func (g *Group) ReadBarrier(ctx context.Context) error {
	for {
		read, err := g.requestReadIndex(ctx)
		if err == nil {
			return g.applier.waitApplied(ctx, read.Index)
		}
		if g.ctx.Err() != nil {
			return g.stoppedError()
		}
		if !clock.Sleep(ctx, retryPause) {
			return errkind.New(errkind.ControlUnavailable, "linearizable read of group %d was not confirmed: %w", g.config.Group, err)
		}
	}
}

// requestReadIndex gets a read index from the leader, which may be this replica.
func (g *Group) requestReadIndex(ctx context.Context) (raft.Read, error) {
	s := g.Status()
	if s.Role == raft.Leader {
		return g.readIndexAsLeader(ctx)
	}
	if s.LeaderAddress == "" {
		return raft.Read{}, readNotConfirmedError()
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var reply readIndexReply
	err := g.config.Client.Call(ctx, s.LeaderAddress, kindReadIndex, &readIndexRequest{Group: g.config.Group}, &reply)
	if err != nil {
		return raft.Read{}, err
	}
	if !reply.Confirmed {
		return raft.Read{}, readNotConfirmedError()
	}
	read := raft.Read{Index: reply.Index, LogTerm: reply.LogTerm}
	return read, g.enqueue(ctx, func(raft.ClockReading) { g.node.ObserveCommit(read.Index, read.LogTerm) })
}

func readNotConfirmedError() error {
	return errkind.New(errkind.ControlUnavailable, "no leader confirmed the read")
}

// readIndexAsLeader gets a read index from this replica. It fails if this replica is
// not the leader.
func (g *Group) readIndexAsLeader(ctx context.Context) (raft.Read, error) {
	p := &pendingRead{result: make(chan bool, 1)}
	err := g.enqueue(ctx, func(now raft.ClockReading) {
		var ok bool
		if p.read, ok = g.node.StartRead(now); !ok {
			p.result <- false
			return
		}
		g.pendingReads = append(g.pendingReads, p)
	})
	if err != nil {
		return raft.Read{}, err
	}
	select {
	case ok := <-p.result:
		if !ok {
			return raft.Read{}, readNotConfirmedError()
		}
		return p.read, nil
	case <-g.disk.stalled():
		return raft.Read{}, g.diskStalledError()
	case <-ctx.Done():
		return raft.Read{}, errkind.New(errkind.ControlUnavailable, "wait for the read index: %w", ctx.Err())
	case <-g.ctx.Done():
		return raft.Read{}, g.stoppedError()
	}
}

// resolveReads ends the reads that are confirmed or can no longer be confirmed.
func (g *Group) resolveReads() {
	rest := g.pendingReads[:0]
	for _, p := range g.pendingReads {
		confirmed, failed := g.node.ReadConfirmed(p.read)
		if confirmed || failed {
			p.result <- confirmed
		} else {
			rest = append(rest, p)
		}
	}
	clear(g.pendingReads[len(rest):])
	g.pendingReads = rest
}
