package quota

import "time"

// RefillTime is the time without issued permits after which a bucket is full again: no window
// contains runs of permits from before and from after it.
const RefillTime = boundWindow + MaxLease + slotLength

// AllowanceTime is the time after Resume within which buckets may still get their allowance,
// because the customers become known later.
const AllowanceTime = time.Second

// history is what an issuer knows about the permits that the processes of its voter and
// earlier owners of its share have issued.
type history struct {
	// emptyAt is a time since which no permits of customers without a bucket have been issued.
	emptyAt        time.Duration
	allowanceUntil time.Duration
	removed        map[ID]time.Duration // when the bucket of a customer was removed
	recorded       time.Duration        // permits may be issued before this time
}

// level returns the level of the bucket of a customer that has had none.
func (h *history) level(now time.Duration, id ID, t *terms) float64 {
	emptyAt, allowance := h.emptyAt, 0.0
	if removed, ok := h.removed[id]; ok {
		emptyAt = max(emptyAt, removed)
	} else if now < h.allowanceUntil {
		allowance = t.allowance
	}
	idle := now - emptyAt
	if idle >= RefillTime {
		return t.burst
	}
	return min(t.burst, t.rate*max(0, idle).Seconds()+allowance)
}

func (h *history) forget(now time.Duration) {
	for id, at := range h.removed {
		if now-at >= RefillTime {
			delete(h.removed, id)
		}
	}
}

// Resume states that neither this process nor an earlier owner of its share has issued a permit
// within the time idle, and whether the buckets get their allowance. This may be stated again
// only RefillTime after the time AllowanceTime of the last one has ended, and after the last
// start without such a statement. Resume must be called before the first permit is issued.
func (i *Issuer) Resume(now, idle time.Duration, allowance bool) {
	i.history.emptyAt, i.history.allowanceUntil = now-idle, 0
	if allowance {
		i.history.allowanceUntil = now + AllowanceTime
	}
	for id, b := range i.buckets {
		if b.granted == 0 {
			b.advance(now)
			b.level = min(b.terms.burst, max(b.level, i.history.level(now, id, &b.terms)))
		}
	}
}

// SetRecorded states that it is recorded for a later process that permits may be issued until
// a time, or with zero that they may not be issued yet. Without a call, there is no record.
func (i *Issuer) SetRecorded(until time.Duration) { i.history.recorded = until }

// IssuesFrom returns the end of the wait of a newly admitted voter, which may have passed.
func (i *Issuer) IssuesFrom() time.Duration { return i.issuesFrom }
