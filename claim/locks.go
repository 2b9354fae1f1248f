package claim

import "time"

func (m *Machine) lock(index uint64, l *LockRequest) reply {
	if l.Key == "" || len(l.Key) > MaxKeyBytes || !validOwner(l.Owner) || l.Lease <= 0 || l.Lease > MaxLease {
		return reply{State: Invalid}
	}
	key := digestOf(lockPrefix, l.Key)
	owner := ownerDigest(l.Owner)
	if r := m.find(key); r != nil {
		if r.owner != owner {
			return reply{State: InProgress, Remaining: m.leaseRemaining(r)}
		}
		return m.grantLock(r)
	}
	if m.records.len() >= m.limits.MaxClaims+lockReserve {
		return reply{State: Full}
	}
	r := m.add(record{key: key, owner: owner, id: index, phaseEnd: m.now + int64(l.Lease), phase: locked})
	return m.grantLock(r)
}

func (m *Machine) grantLock(r *record) reply {
	return reply{State: Granted, ClaimID: r.claimID(), Remaining: m.leaseRemaining(r)}
}

func (m *Machine) leaseRemaining(r *record) time.Duration { return time.Duration(r.phaseEnd - m.now) }

func (m *Machine) unlock(u *UnlockRequest) reply {
	r := m.findID(u.ClaimID, u.Owner)
	if r == nil || r.phase != locked {
		return reply{State: Stale}
	}
	m.remove(r)
	return reply{State: Recorded}
}
