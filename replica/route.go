package replica

import (
	"context"
	"sync"

	"bramleymill/raft"
)

// replyCollector collects the Raft replies to the messages of one received batch. They
// are returned together as the reply to the batch instead of in separate calls.
type replyCollector struct {
	group *Group
	done  chan struct{}
	once  sync.Once

	mu        sync.Mutex
	messages  []raft.Message
	abandoned bool // nobody waits any more
}

func newReplyCollector(g *Group) *replyCollector {
	return &replyCollector{group: g, done: make(chan struct{})}
}

func (s *replyCollector) finish() { s.once.Do(func() { close(s.done) }) }

// add adds a reply and reports whether it will be returned.
func (s *replyCollector) add(m raft.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.abandoned {
		s.messages = append(s.messages, m)
	}
	return !s.abandoned
}

// wait returns the replies that are there when the messages are handled, ctx ends, the disk
// stalls or the replica stops. Later replies are not added: they are sent in calls of their own.
func (s *replyCollector) wait(ctx context.Context) []raft.Message {
	select {
	case <-s.done:
	case <-s.group.disk.stalled():
	case <-ctx.Done():
	case <-s.group.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	return s.messages
}

// receive passes messages and the proof that came with them, if any, to the core. p is
// nil without a proof. collector is nil for messages that are replies.
func (g *Group) receive(ctx context.Context, address string, messages []raft.Message, p *proof, collector *replyCollector) {
	err := g.enqueue(ctx, func(now raft.ClockReading) {
		for _, m := range messages {
			if collector != nil {
				g.pendingReplies[m.From] = append(g.pendingReplies[m.From], collector)
			}
			if _, ok := g.senderAddresses[m.From]; !ok && len(g.senderAddresses) >= maxSenderAddresses {
				clear(g.senderAddresses)
			}
			g.senderAddresses[m.From] = address
			if g.recordFounder(m.From) {
				g.node.Step(now, m)
			}
		}
		if p != nil && g.fromLeader(messages) {
			g.recordProof(*p)
		}
	})
	if err != nil && collector != nil {
		collector.finish()
	}
}

// fromLeader reports whether one of the messages, which the core has just handled, was
// sent by the current leader in the current term. This excludes messages of an earlier
// leader and of a group that was bootstrapped separately.
func (g *Group) fromLeader(messages []raft.Message) bool {
	s := g.node.Status()
	for _, m := range messages {
		if m.From == s.Leader && m.Term == s.Term {
			return true
		}
	}
	return false
}

// maxSenderAddresses bounds the recorded addresses of senders. All of them are dropped
// when it is reached.
const maxSenderAddresses = 64

// finishReplies completes the collectors of all received batches that were handled.
func (g *Group) finishReplies() {
	for id, collectors := range g.pendingReplies {
		for _, s := range collectors {
			s.finish()
		}
		delete(g.pendingReplies, id)
	}
}

// route sends m. If m answers a message of a received batch, it is sent in the reply to
// that batch, otherwise in a new call.
func (g *Group) route(m raft.Message) {
	if collectors := g.pendingReplies[m.To]; len(collectors) > 0 && isReply(m.Kind) && collectors[0].add(m) {
		return
	}
	if member, ok := g.node.Status().Configuration.Find(m.To); ok {
		g.config.Host.send(g, member.Address, m)
	} else if address := g.senderAddresses[m.To]; address != "" {
		g.config.Host.send(g, address, m)
	}
}

// isReply reports whether Raft messages of kind k are replies. They are small, so the
// replies to all messages of one batch fit into one returned batch.
func isReply(k raft.MessageKind) bool {
	switch k {
	case raft.PreVoteReply, raft.VoteReply, raft.AppendReply, raft.HeartbeatReply, raft.SnapshotReply:
		return true
	}
	return false
}
