package replica

import (
	"sync"
	"time"
)

// A leader proves to its followers with each heartbeat that they are current, so
// that they need not ask. A follower puts a token for the present moment into the
// reply to a batch. The leader that has received the token before it started a
// confirmation round, and whose round a majority has acknowledged, knows that no
// other leader committed anything in between. It returns the token with its
// commit index, which therefore covers everything that was committed before the
// token was made.

// maxTokens bounds the tokens kept of a peer. The token of a reply is proved by
// the round after it and sent back with the one after that.
const maxTokensPerPeer = 4

type receivedToken struct {
	token    token
	received time.Duration // on the monotonic clock of this process
}

// tokens are the newest tokens of a peer, oldest first.
type tokens struct{ list []receivedToken }

func (t *tokens) add(k receivedToken) {
	if len(t.list) == maxTokensPerPeer {
		t.list = append(t.list[:0], t.list[1:]...)
	}
	t.list = append(t.list, k)
}

// before returns the newest token received before at.
func (t *tokens) newestBefore(at time.Duration) (token, bool) {
	for i := len(t.list) - 1; i >= 0; i-- {
		if t.list[i].received < at {
			return t.list[i].token, true
		}
	}
	return token{}, false
}

// monotonic returns the monotonic time that all groups of h use. ok is false
// while no group is open.
func (h *Host) monotonicNow() (now time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		return g.reading().Mono, true
	}
	return 0, false
}

func (h *Host) token() *token {
	now, ok := h.monotonicNow()
	if !ok {
		return nil
	}
	return &token{h.bootID, now}
}

// keepToken notes the token in a reply that has just arrived.
func (h *Host) recordToken(address string, t *token) {
	now, ok := h.monotonicNow()
	if t == nil || !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerAt(address).tokens.add(receivedToken{*t, now})
}

// proofsFor returns the proofs that go along with the messages of b.
func (h *Host) proofsFor(p *peer, b *batch) []proof {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []proof
	for number := range byGroup(b) {
		g := h.groups[number]
		if g == nil {
			continue
		}
		v := g.view.Load()
		t, ok := p.tokens.newestBefore(v.confirmedAt)
		if !v.confirmed || !ok || v.commitTerm == 0 {
			continue
		}
		out = append(out, proof{number, t, v.status.Commit, v.commitTerm})
	}
	return out
}

// proofOf returns the proof for a group in a received batch, unless it answers a
// token of an earlier life of this process.
func (h *Host) proofFor(b *batch, group uint32) *proof {
	for i, p := range b.Proofs {
		if p.Group == group && p.Token.BootID == h.bootID {
			return &b.Proofs[i]
		}
	}
	return nil
}

// proofs are the proofs that a follower has received.
type proofs struct {
	mu       sync.Mutex
	pending  []proof // until their entry is applied, oldest first
	provenAt time.Duration
	received bool
}

// takeProof runs on the goroutine that owns the core.
func (g *Group) recordProof(p proof) {
	g.node.Observe(p.Index, p.LogTerm)
	s := &g.proofs
	s.mu.Lock()
	defer s.mu.Unlock()
	g.resolveProofs()
	if len(s.pending) == maxTokensPerPeer {
		s.pending = append(s.pending[:0], s.pending[1:]...)
	}
	s.pending = append(s.pending, p)
}

// settleProofs moves the proofs whose entry is applied into newest.
func (g *Group) resolveProofs() {
	s, applied := &g.proofs, g.applier.appliedState().Index
	rest := s.pending[:0]
	for _, p := range s.pending {
		if p.Index > applied {
			rest = append(rest, p)
			continue
		}
		s.provenAt, s.received = max(s.provenAt, p.Token.At), true
	}
	s.pending = rest
}

// Proved returns the age of the newest proof that a leader sent to this replica:
// the state machine holds everything that was committed before that time. ok is
// false without such a proof.
func (g *Group) Proved() (age time.Duration, ok bool) {
	s := &g.proofs
	s.mu.Lock()
	defer s.mu.Unlock()
	g.resolveProofs()
	if !s.received || g.ctx.Err() != nil {
		return 0, false
	}
	return g.reading().Mono - s.provenAt, true
}
