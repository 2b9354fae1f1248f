package replica

import (
	"sync"
	"time"
)

// A leader sends each follower proofs of the time up to which the follower is current.
// The follower then need not request a read index. The proofs are sent along with the
// leader's messages, mainly its heartbeats:
//
//   - A follower puts a token, a reading of its own clock, into the reply to a
//     batch. A batch carries Raft messages of several groups.
//   - The leader receives the token and then starts a confirmation round. Once a
//     majority has acknowledged the round, the leader knows that no newer leader had
//     committed anything when the round started.
//   - The leader returns the token with its commit index. This index covers everything
//     that was committed before the token was created.
//   - Once the follower has applied the log up to that index, its state was current
//     at the time of the token.

// maxTokensPerPeer bounds the tokens kept of a peer. The leader returns only the newest
// token that arrived before the start of the last confirmed round. This token supersedes
// all older ones, so it is enough to keep a few. The same limit holds for the received
// proofs whose entry is not applied yet.
const maxTokensPerPeer = 4

type receivedToken struct {
	token      token
	receivedAt time.Duration // time of arrival on the monotonic clock of this process
}

// tokens holds the newest tokens of a peer, oldest first.
type tokens struct{ list []receivedToken }

func (t *tokens) add(k receivedToken) {
	if len(t.list) == maxTokensPerPeer {
		t.list = append(t.list[:0], t.list[1:]...)
	}
	t.list = append(t.list, k)
}

// newestBefore returns the newest token that was received before at.
func (t *tokens) newestBefore(at time.Duration) (token, bool) {
	for i := len(t.list) - 1; i >= 0; i-- {
		if t.list[i].receivedAt < at {
			return t.list[i].token, true
		}
	}
	return token{}, false
}

// monotonicNow returns the current time on the monotonic clock that all groups of h
// share. ok is false while no group is open.
func (h *Host) monotonicNow() (now time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		return g.reading().Mono, true
	}
	return 0, false
}

// token returns a token for the current time, or nil while no group is open.
func (h *Host) token() *token {
	now, ok := h.monotonicNow()
	if !ok {
		return nil
	}
	return &token{h.bootID, now}
}

// recordToken records the token of a reply that has just arrived.
func (h *Host) recordToken(address string, t *token) {
	now, ok := h.monotonicNow()
	if t == nil || !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerAt(address).tokens.add(receivedToken{*t, now})
}

// proofsFor returns the proofs to send to p for the groups whose messages are in b.
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

// proofFor returns the proof for a group in a received batch. It ignores proofs with a
// token that was created before this process started.
func (h *Host) proofFor(b *batch, group uint32) *proof {
	for i, p := range b.Proofs {
		if p.Group == group && p.Token.BootID == h.bootID {
			return &b.Proofs[i]
		}
	}
	return nil
}

// proofs holds the proofs that a follower received, and the time that they prove.
type proofs struct {
	mu           sync.Mutex
	pending      []proof       // proofs whose entry is not applied yet, oldest first
	currentAt    time.Duration // newest token time of the applied proofs
	currentAtSet bool          // currentAt is set
}

// recordProof records a proof from the leader and advances the commit index to the
// entry of the proof. It runs on the goroutine that owns the core.
func (g *Group) recordProof(p proof) {
	g.node.ObserveCommit(p.Index, p.LogTerm)
	proofs := &g.proofs
	proofs.mu.Lock()
	defer proofs.mu.Unlock()
	g.resolveProofs()
	if len(proofs.pending) == maxTokensPerPeer {
		proofs.pending = append(proofs.pending[:0], proofs.pending[1:]...)
	}
	proofs.pending = append(proofs.pending, p)
}

// resolveProofs removes the pending proofs whose entry is applied, and advances
// currentAt to their tokens. The caller holds the mutex of the proofs.
func (g *Group) resolveProofs() {
	s, applied := &g.proofs, g.applier.appliedState().Index
	rest := s.pending[:0]
	for _, p := range s.pending {
		if p.Index > applied {
			rest = append(rest, p)
			continue
		}
		s.currentAt, s.currentAtSet = max(s.currentAt, p.Token.At), true
	}
	s.pending = rest
}

// ProofAge returns the age of the newest proof from a leader whose entry is applied.
// The state machine contains everything that was committed before that time. ok is
// false if there is no such proof or this replica is stopped.
func (g *Group) ProofAge() (age time.Duration, ok bool) {
	s := &g.proofs
	s.mu.Lock()
	defer s.mu.Unlock()
	g.resolveProofs()
	if !s.currentAtSet || g.ctx.Err() != nil {
		return 0, false
	}
	return g.reading().Mono - s.currentAt, true
}
