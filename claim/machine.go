package claim

import (
	"math"
	"sync"
	"time"
)

// Bounds and defaults of the store.
const (
	// Grace is the time after the deadline of a request at which its unfinished
	// claim becomes unknown. It allows a Finish that is sent at the deadline to be
	// committed.
	Grace = 5 * time.Second
	// ReleasedRetention is the time for which a released claim is stored to reject
	// delayed copies of its Begin.
	ReleasedRetention = time.Minute

	DefaultMaxClaims = 200_000
	DefaultMaxBytes  = 16 << 20
	DefaultRetention = 24 * time.Hour

	// lockReserve is the number of locks that can be stored when the store is full
	// of claims.
	lockReserve = 1024
	// expiriesPerCommand limits how many records one command expires. A command
	// adds at most one record, so a backlog of expired records shrinks.
	expiriesPerCommand = 16
	// recordBytes is the memory that a record counts against Limits.MaxBytes: the
	// record with its share of the table and the heap (111 bytes), rounded up, and
	// the space for a truncated answer.
	recordBytes = 192
	// truncatedAnswerBytes is an upper bound of the encoded size of a truncated answer.
	truncatedAnswerBytes = 24
)

// Machine is the replicated state of the claims and locks of one Raft group. It is
// safe for concurrent use; Apply and Restore are called by one goroutine in log order.
type Machine struct {
	mu      sync.Mutex
	records *table
	expiry  expiryHeap
	limits  Limits
	bytes   int64
	now     int64 // latest timestamp of a log entry, in Unix nanoseconds

	// The command being applied and its reply, reused by each Apply to save
	// allocations. Guarded by mu.
	in  decodedCommand
	out reply
}

// New returns an empty Machine with the default limits.
func New() *Machine {
	return &Machine{
		records: newTable(),
		limits:  Limits{MaxClaims: DefaultMaxClaims, MaxBytes: DefaultMaxBytes, Retention: DefaultRetention},
		now:     math.MinInt64,
	}
}

// Stats describes how much of the store is used.
type Stats struct {
	Records int   // claims and locks, including expired ones that are not removed yet
	Bytes   int64 // as counted against Limits.MaxBytes
	Limits  Limits
}

// Stats returns how much of the store is used.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Records: m.records.len(), Bytes: m.bytes, Limits: m.limits}
}

// Apply executes the command of the log entry at index, which was stamped with the
// time at, and returns the encoded Result.
func (m *Machine) Apply(index uint64, at time.Time, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A timestamp before the latest one is not used. Otherwise the time would go back
	// and a lapsed claim would count as running again.
	m.now = max(m.now, at.UnixNano())
	m.expire()
	m.in = decodedCommand{}
	if err := decodeCommand(data, &m.in); err != nil {
		m.out = reply{State: Invalid}
	} else {
		m.out = m.run(index, &m.in)
	}
	return encodeReply(&m.out)
}

func (m *Machine) run(index uint64, c *decodedCommand) reply {
	switch {
	case c.Begin != nil:
		return m.begin(index, c.Begin)
	case c.Reassign != nil:
		return m.reassign(c.Reassign)
	case c.Finish != nil:
		return m.finish(c.Finish)
	case c.Lock != nil:
		return m.lock(index, c.Lock)
	case c.Unlock != nil:
		return m.unlock(c.Unlock)
	case c.Abandon != nil:
		return m.abandon(index, c.Abandon)
	case c.Limits != nil:
		return m.setLimits(*c.Limits)
	}
	return reply{State: Invalid}
}

// expire advances the records whose phase has ended, earliest first, up to
// expiriesPerCommand of them.
func (m *Machine) expire() {
	for range expiriesPerCommand {
		r := m.expiry.first()
		if r == nil || r.phaseEnd > m.now {
			return
		}
		m.advancePhase(r)
	}
}

// advancePhase updates r to its phase at the current time. It removes the record and
// returns nil when the time for which r is kept has passed.
func (m *Machine) advancePhase(r *record) *record {
	before := r.phaseEnd
	if !r.advancePhase(m.now, m.limits.Retention) {
		m.remove(r)
		return nil
	}
	if r.phaseEnd != before {
		m.expiry.fix(r)
	}
	return r
}

// find returns the record of key in its current phase, or nil.
func (m *Machine) find(key digest) *record {
	r := m.records.find(key)
	if r == nil {
		return nil
	}
	return m.advancePhase(r)
}

// findID returns the record with the given claim id and owner, or nil.
func (m *Machine) findID(claimID, owner string) *record {
	key, id, ok := parseClaimID(claimID)
	if !ok {
		return nil
	}
	r := m.find(key)
	if r == nil || r.id != id || r.owner != ownerDigest(owner) {
		return nil
	}
	return r
}

// add stores a copy of r and returns the copy, which is valid until it is removed.
func (m *Machine) add(r record) *record {
	stored := m.records.add(r)
	m.expiry.push(stored)
	m.bytes += stored.cost()
	return stored
}

func (m *Machine) remove(r *record) {
	m.expiry.remove(r)
	m.bytes -= r.cost()
	m.records.remove(r)
}

// end puts r into the ended phase p and keeps it for retention.
func (m *Machine) end(r *record, p phase, retention time.Duration) {
	r.phase = p
	r.phaseEnd = m.now + int64(retention)
	m.expiry.fix(r)
}

func (m *Machine) setLimits(l Limits) reply {
	if l.MaxClaims < 1 || l.MaxBytes < recordBytes || l.Retention <= 0 {
		return reply{State: Invalid}
	}
	m.limits = l
	return reply{State: Recorded}
}
