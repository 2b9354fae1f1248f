package claim

import "math"

func (m *Machine) begin(index uint64, b *BeginRequest) reply {
	if b.Key == "" || len(b.Key) > MaxKeyBytes || !validOwner(b.Owner) || b.Remaining <= 0 {
		return reply{State: Invalid}
	}
	key := digestOf(claimPrefix, b.Key)
	owner := ownerDigest(b.Owner)
	r := m.find(key)
	if r != nil && r.phase == released && r.owner != owner {
		m.remove(r)
		r = nil
	}
	if r != nil {
		return r.beginReply(b, owner)
	}
	if m.full() {
		return reply{State: Full}
	}
	r = m.add(record{
		key:         key,
		owner:       owner,
		fingerprint: digest(b.Fingerprint[:len(digest{})]),
		id:          index,
		phaseEnd:    m.now + int64(min(b.Remaining, MaxRemaining)+Grace),
		target:      targetHash(b.Target, b.Incarnation),
		attempt:     1,
		phase:       running,
	})
	return r.grant()
}

func validOwner(owner string) bool { return owner != "" && len(owner) <= MaxOwnerBytes }

// grant returns the reply that allows the owner to send the current attempt.
func (r *record) grant() reply {
	return reply{State: Granted, ClaimID: r.claimID(), Attempt: uint32(r.attempt)}
}

// beginReply returns the reply to a Begin whose key already has the claim r. Only a
// resent Begin of the owner is granted, and only while the claim is running and still
// at attempt 1: after a reassignment, attempt 1 must not be sent any more.
func (r *record) beginReply(b *BeginRequest, owner digest) reply {
	if r.fingerprint != digest(b.Fingerprint[:len(digest{})]) {
		return reply{State: Mismatch}
	}
	switch r.phase {
	case running:
		if r.owner != owner || r.attempt != 1 {
			return reply{State: InProgress}
		}
		if r.target != targetHash(b.Target, b.Incarnation) {
			return reply{State: Stale}
		}
		return r.grant()
	case answered:
		return reply{State: Finished, ClaimID: r.claimID(), Attempt: uint32(r.attempt), Answer: []byte(r.answer)}
	case released:
		return reply{State: Stale}
	}
	return reply{State: Unknown}
}

// reassign grants the attempt that follows a refused one. A resent copy of the
// request that created the current attempt gets the same grant again.
func (m *Machine) reassign(q *ReassignRequest) reply {
	r := m.findID(q.ClaimID, q.Owner)
	if r == nil || r.phase != running || q.RefusedAttempt == 0 {
		return reply{State: Stale}
	}
	target := targetHash(q.Target, q.Incarnation)
	switch current := uint32(r.attempt); {
	case q.RefusedAttempt == current && current < math.MaxUint16:
		r.attempt++
		r.target = target
		return r.grant()
	case current > 1 && q.RefusedAttempt == current-1 && r.target == target:
		return r.grant()
	}
	return reply{State: Stale}
}

// abandon releases the claim of an owner that sent no attempt that may have run. If
// the key has no claim, abandon stores a released one. A BeginRequest of the owner that
// is applied later is then rejected.
func (m *Machine) abandon(index uint64, a *AbandonRequest) reply {
	if a.Key == "" || len(a.Key) > MaxKeyBytes || !validOwner(a.Owner) {
		return reply{State: Invalid}
	}
	key, owner := digestOf(claimPrefix, a.Key), ownerDigest(a.Owner)
	r := m.find(key)
	switch {
	case r == nil:
		if m.full() {
			return reply{State: Full}
		}
		m.add(record{key: key, owner: owner, fingerprint: digest(a.Fingerprint[:len(digest{})]), id: index,
			phaseEnd: m.now + int64(ReleasedRetention), attempt: 1, phase: released})
	case r.owner == owner && (r.phase == running || r.phase == lapsed):
		m.end(r, released, ReleasedRetention)
	case r.owner != owner || r.phase != released:
		return reply{State: Stale}
	}
	return reply{State: Recorded}
}

// full reports whether the store has no free capacity for another claim.
func (m *Machine) full() bool {
	return m.records.len() >= m.limits.MaxClaims || m.bytes+recordBytes > m.limits.MaxBytes
}

func (m *Machine) finish(f *decodedFinish) reply {
	r := m.findID(f.ClaimID, f.Owner)
	if r == nil || uint32(r.attempt) != f.Attempt {
		return reply{State: Stale}
	}
	if r.phase == running || r.phase == lapsed {
		return m.endClaim(r, f)
	}
	if r.phase == phaseOf(f.Ending) {
		return reply{State: Recorded}
	}
	return reply{State: Stale}
}

func (m *Machine) endClaim(r *record, f *decodedFinish) reply {
	switch f.Ending {
	case Answered:
		answer := answerToStore(f.Answer)
		if answer == nil {
			return reply{State: Invalid}
		}
		m.storeAnswer(r, answer)
		m.end(r, answered, m.limits.Retention)
	case Ambiguous:
		m.end(r, ambiguous, m.limits.Retention)
	case Released:
		m.end(r, released, ReleasedRetention)
	default:
		return reply{State: Invalid}
	}
	return reply{State: Recorded}
}

// storeAnswer stores the answer of r. If it would exceed Limits.MaxBytes, only the
// completion is recorded as a truncated answer, because a finish must not be lost
// for lack of space.
func (m *Machine) storeAnswer(r *record, answer []byte) {
	before := r.cost()
	r.answer = string(answer)
	if m.bytes+r.cost()-before > m.limits.MaxBytes {
		r.answer = string(truncatedCopy(answer))
	}
	m.bytes += r.cost() - before
}

func phaseOf(e Ending) phase {
	switch e {
	case Answered:
		return answered
	case Ambiguous:
		return ambiguous
	case Released:
		return released
	}
	return 0
}
