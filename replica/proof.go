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
const maxTokens = 4

type keptToken struct {
	token    token
	received time.Duration // on the monotonic clock of this process
}

// tokens are the newest tokens of a peer, oldest first.
type tokens struct{ kept []keptToken }

func (t *tokens) add(k keptToken) {
	if len(t.kept) == maxTokens {
		t.kept = append(t.kept[:0], t.kept[1:]...)
	}
	t.kept = append(t.kept, k)
}

// before returns the newest token received before at.
func (t *tokens) before(at time.Duration) (token, bool) {
	for i := len(t.kept) - 1; i >= 0; i-- {
		if t.kept[i].received < at {
			return t.kept[i].token, true
		}
	}
	return token{}, false
}

// monotonic returns the monotonic time that all groups of h use. ok is false
// while no group is open.
func (h *Host) monotonic() (now time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		return g.reading().Mono, true
	}
	return 0, false
}

func (h *Host) token() *token {
	now, ok := h.monotonic()
	if !ok {
		return nil
	}
	return &token{h.life, now}
}

// keepToken notes the token in a reply that has just arrived.
func (h *Host) keepToken(address string, t *token) {
	now, ok := h.monotonic()
	if t == nil || !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerAt(address).tokens.add(keptToken{*t, now})
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
		t, ok := p.tokens.before(v.confirmedAt)
		if !v.confirmed || !ok || v.commitTerm == 0 {
			continue
		}
		out = append(out, proof{number, t, v.status.Commit, v.commitTerm})
	}
	return out
}

// proofOf returns the proof for a group in a received batch, unless it answers a
// token of an earlier life of this process.
func (h *Host) proofOf(b *batch, group uint32) *proof {
	for i, p := range b.Proofs {
		if p.Group == group && p.Token.Life == h.life {
			return &b.Proofs[i]
		}
	}
	return nil
}

// proofs are the proofs that a follower has received.
type proofs struct {
	mu      sync.Mutex
	waiting []proof // until their entry is applied, oldest first
	newest  time.Duration
	proved  bool
}

// takeProof runs on the goroutine that owns the core.
func (g *Group) takeProof(p proof) {
	g.node.Observe(p.Index, p.LogTerm)
	s := &g.proofs
	s.mu.Lock()
	defer s.mu.Unlock()
	g.settleProofs()
	if len(s.waiting) == maxTokens {
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
	}
	s.waiting = append(s.waiting, p)
}

// settleProofs moves the proofs whose entry is applied into newest.
func (g *Group) settleProofs() {
	s, applied := &g.proofs, g.applier.state().Index
	rest := s.waiting[:0]
	for _, p := range s.waiting {
		if p.Index > applied {
			rest = append(rest, p)
			continue
		}
		s.newest, s.proved = max(s.newest, p.Token.At), true
	}
	s.waiting = rest
}

// Proved returns the age of the newest proof that a leader sent to this replica:
// the state machine holds everything that was committed before that time. ok is
// false without such a proof.
func (g *Group) Proved() (age time.Duration, ok bool) {
	s := &g.proofs
	s.mu.Lock()
	defer s.mu.Unlock()
	g.settleProofs()
	if !s.proved || g.ctx.Err() != nil {
		return 0, false
	}
	return g.reading().Mono - s.newest, true
}
