package replica

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/transport"
)

const (
	// locateTimeout bounds a query of all seeds for the leader.
	locateTimeout = 300 * time.Millisecond
	// locateGrace is how long the other seeds may take to reply after the first one
	// has reported a leader. It is short because a seed that is down must not delay
	// every proposal.
	locateGrace = 30 * time.Millisecond
)

// Remote proposes to a group from a process that holds no replica of it. It finds the
// leader through the seeds and caches its address.
type Remote struct {
	client transport.Client
	seeds  []string
	group  uint32

	lookups singleflight.Group

	mu     sync.Mutex
	leader string
}

// NewRemote returns a Remote for the group with the given number. seeds are peer
// addresses of control instances.
func NewRemote(client transport.Client, seeds []string, group uint32) *Remote {
	return &Remote{client: client, seeds: seeds, group: group}
}

// Propose replicates command as Group.Propose does.
func (r *Remote) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var a attempts
	for {
		address := r.cachedLeader()
		if address == "" {
			address = r.locate(ctx)
		}
		err := error(errkind.New(errkind.ControlUnavailable, "no seed reported a leader of group %d", r.group))
		if address != "" {
			var result []byte
			var hint string
			result, hint, err = proposeTo(ctx, r.client, address, r.group, command)
			if err == nil || a.shouldStop(err) {
				return result, err
			}
			if hint == address {
				hint = ""
			}
			r.replaceLeader(address, hint)
			if hint != "" && ctx.Err() == nil {
				continue
			}
		}
		if !clock.Sleep(ctx, retryPause) {
			return nil, a.finalError(err)
		}
	}
}

// Leader returns the address of the leader, or an empty string if no seed knows it.
func (r *Remote) Leader(ctx context.Context) string {
	if a := r.cachedLeader(); a != "" {
		return a
	}
	return r.locate(ctx)
}

func (r *Remote) cachedLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// replaceLeader replaces the cached leader old with leader. It does nothing if another
// caller has already replaced old.
func (r *Remote) replaceLeader(old, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == old {
		r.leader = leader
	}
}

// locate queries all seeds for the leader and uses the reply with the highest term,
// because a partitioned replica may still report an earlier leader. Concurrent callers
// share one query.
func (r *Remote) locate(ctx context.Context) string {
	found, _, _ := r.lookups.Do("", func() (any, error) {
		return r.queryLeader(context.WithoutCancel(ctx)), nil
	})
	return found.(string)
}

func (r *Remote) queryLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	replies := make(chan locateReply, len(r.seeds))
	for _, seed := range r.seeds {
		go func() {
			var reply locateReply
			_ = r.client.Call(ctx, seed, kindLocate, &locateRequest{Group: r.group}, &reply) // on failure the reply stays empty
			replies <- reply
		}()
	}
	best := highestTerm(replies, len(r.seeds))
	r.replaceLeader("", best.Leader)
	return best.Leader
}

// highestTerm receives up to n replies and returns the one with the highest term among
// those that report a leader. After the first of these it waits for the others for at
// most locateGrace.
func highestTerm(replies <-chan locateReply, n int) (best locateReply) {
	var grace <-chan time.Time
	for range n {
		select {
		case reply := <-replies:
			if reply.Leader != "" && reply.Term >= best.Term {
				best = reply
			}
		case <-grace:
			return best
		}
		if best.Leader != "" && grace == nil {
			grace = time.After(locateGrace)
		}
	}
	return best
}

var (
	_ Proposer = (*Group)(nil)
	_ Proposer = (*Remote)(nil)
)
