package replica

import (
	"context"
	"sync"

	"bramleymill/raft"
)

// answerSlot collects the answers to the messages of one call, which then travel
// in its reply instead of in calls of their own.
type answerSlot struct {
	group    *Group
	done     chan struct{}
	once     sync.Once
	messages []raft.Message
}

func newAnswerSlot(g *Group) *answerSlot {
	return &answerSlot{group: g, done: make(chan struct{})}
}

func (s *answerSlot) finish() { s.once.Do(func() { close(s.done) }) }

func (s *answerSlot) wait(ctx context.Context) []raft.Message {
	select {
	case <-s.done:
		return s.messages
	case <-s.group.disk.stuck():
	case <-ctx.Done():
	case <-s.group.ctx.Done():
	}
	return nil
}

// receive hands messages and the proof that came with them, if any, to the core.
// slot is nil when the sender waits for no answers.
func (g *Group) receive(ctx context.Context, address string, messages []raft.Message, p *proof, slot *answerSlot) {
	err := g.post(ctx, func(now raft.Reading) {
		for _, m := range messages {
			if slot != nil {
				g.answers[m.From] = append(g.answers[m.From], slot)
			}
			if _, ok := g.addresses[m.From]; !ok && len(g.addresses) >= maxAddresses {
				clear(g.addresses)
			}
			g.addresses[m.From] = address
			g.node.Step(now, m)
		}
		if p != nil && g.fromLeader(messages) {
			g.takeProof(*p)
		}
	})
	if err != nil && slot != nil {
		slot.finish()
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
const maxAddresses = 64

// dropAnswers ends the calls whose messages were handled.
func (g *Group) dropAnswers() {
	for id, slots := range g.answers {
		for _, s := range slots {
			s.finish()
		}
		delete(g.answers, id)
	}
}

// route sends m in the reply of a waiting call or in a new call.
func (g *Group) route(m raft.Message) {
	if slots := g.answers[m.To]; len(slots) > 0 && isReply(m.Kind) {
		slots[0].messages = append(slots[0].messages, m)
		return
	}
	if member, ok := g.node.Status().Configuration.Find(m.To); ok {
		g.config.Host.send(g, member.Address, m)
	} else if address := g.addresses[m.To]; address != "" {
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
