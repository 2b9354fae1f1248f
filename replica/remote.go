package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bramleymill/errkind"
	"bramleymill/transport"
)

// locateTimeout bounds the question to one seed for the leader.
const locateTimeout = 300 * time.Millisecond

// Remote proposes to a group from a process that holds no replica of it. It
// finds the leader through the seeds and remembers it.
type Remote struct {
	client transport.Client
	seeds  []string
	group  uint32

	mu     sync.Mutex
	leader string
}

// NewRemote returns a Remote for a group. Seeds are peer addresses of control
// instances.
func NewRemote(client transport.Client, seeds []string, group uint32) *Remote {
	return &Remote{client: client, seeds: seeds, group: group}
}

// Propose replicates command as Group.Propose does.
func (r *Remote) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var a attempts
	for {
		address := r.known()
		if address == "" {
			address = r.locate(ctx)
		}
		err := error(errkind.New(errkind.ControlUnavailable, "no seed knows the leader of group %d", r.group))
		if address != "" {
			var result []byte
			var hint string
			result, hint, err = proposeAt(ctx, r.client, address, r.group, command)
			if err == nil || a.final(err) {
				return result, err
			}
			if hint == address {
				hint = ""
			}
			r.remember(address, hint)
			if hint != "" && ctx.Err() == nil {
				continue
			}
		}
		if !sleep(ctx, retryPause) {
			return nil, a.failure(err)
		}
	}
}

// Leader returns the address of the leader as far as it is known.
func (r *Remote) Leader(ctx context.Context) string {
	if a := r.known(); a != "" {
		return a
	}
	return r.locate(ctx)
}

func (r *Remote) known() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// remember replaces the leader unless another caller has replaced it already.
func (r *Remote) remember(old, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == old {
		r.leader = leader
	}
}

// locate asks the seeds in random order, all of them, and takes the answer with
// the highest term: a replica that was cut off may still name an old leader.
func (r *Remote) locate(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	replies := make(chan locateReply, len(r.seeds))
	for _, i := range rand.Perm(len(r.seeds)) {
		go func() {
			var reply locateReply
			_ = r.client.Call(ctx, r.seeds[i], kindLocate, &locateRequest{Group: r.group}, &reply) // zero reply: no answer
			replies <- reply
		}()
	}
	var best locateReply
	for answered := 0; answered < len(r.seeds); answered++ {
		if reply := <-replies; reply.Leader != "" && reply.Term >= best.Term {
			best = reply
		}
	}
	r.remember("", best.Leader)
	return best.Leader
}

var (
	_ Proposer = (*Group)(nil)
	_ Proposer = (*Remote)(nil)
)
