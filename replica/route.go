package replica

import (
	"context"
	"sync"

	"bramleymill/raft"
)

// answerSlot collects the answers to the messages of one call, which then travel
// in its reply instead of in calls of their own.
type replyCollector struct {
	group    *Group
	done     chan struct{}
	once     sync.Once
	messages []raft.Message
}

func newReplyCollector(g *Group) *replyCollector {
	return &replyCollector{group: g, done: make(chan struct{})}
}

func (s *replyCollector) finish() { s.once.Do(func() { close(s.done) }) }

func (s *replyCollector) wait(ctx context.Context) []raft.Message {
	select {
	case <-s.done:
		return s.messages
	case <-s.group.disk.stalled():
	case <-ctx.Done():
	case <-s.group.ctx.Done():
	}
	return nil
}

// receive hands messages and the proof that came with them, if any, to the core.
// slot is nil when the sender waits for no answers.
func (g *Group) receive(ctx context.Context, address string, messages []raft.Message, p *proof, collector *replyCollector) {
	err := g.enqueue(ctx, func(now raft.Reading) {
		for _, m := range messages {
			if collector != nil {
				g.pendingReplies[m.From] = append(g.pendingReplies[m.From], collector)
			}
			if _, ok := g.senderAddresses[m.From]; !ok && len(g.senderAddresses) >= maxSenderAddresses {
				clear(g.senderAddresses)
			}
			g.senderAddresses[m.From] = address
			g.node.Step(now, m)
		}
		if p != nil && g.fromLeader(messages) {
			g.recordProof(*p)
		}
	})
	if err != nil && collector != nil {
		collector.finish()
	}
}

// fromLeader reports whether messages that were just handled made their sender
// the leader or confirmed it. Those of an older leader or of a group that was
// started separately do not.
func (g *Group) fromLeader(messages []raft.Message) bool {
	s := g.node.Status()
	for _, m := range messages {
		if m.From == s.Leader && m.Term == s.Term {
			return true
		}
	}
	return false
}

// maxAddresses bounds the remembered addresses of senders.
const maxSenderAddresses = 64

// dropAnswers ends the calls whose messages were handled.
func (g *Group) finishReplies() {
	for id, collectors := range g.pendingReplies {
		for _, s := range collectors {
			s.finish()
		}
		delete(g.pendingReplies, id)
	}
}

// route sends m in the reply of a waiting call or in a new call.
func (g *Group) route(m raft.Message) {
	if collectors := g.pendingReplies[m.To]; len(collectors) > 0 && isReply(m.Kind) {
		collectors[0].messages = append(collectors[0].messages, m)
		return
	}
	if member, ok := g.node.Status().Configuration.Find(m.To); ok {
		g.config.Host.send(g, member.Address, m)
	} else if address := g.senderAddresses[m.To]; address != "" {
		g.config.Host.send(g, address, m)
	}
}

// isReply tells the small messages, which fit into a reply in any number that
// one call can cause.
func isReply(k raft.MessageKind) bool {
	switch k {
	case raft.PreVoteReply, raft.VoteReply, raft.AppendReply, raft.HeartbeatReply, raft.SnapshotReply:
		return true
	}
	return false
}
