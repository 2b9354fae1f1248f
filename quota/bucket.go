package quota

import "time"

// maxBacklogTime bounds the part of a named time that stands for requests that were refused
// before. Their callers may not come back, and a longer time would leave permits unused.
const maxBacklogTime = 500 * time.Millisecond

// maxWait bounds the time that is named for a permit of a customer with a very low rate.
const maxWait = time.Hour

// bucket is the token bucket of one customer at one issuer. The times are readings of the
// clock of the issuer.
type bucket struct {
	name    string
	terms   terms
	level   float64
	backlog float64 // refused requests that are expected to come back
	updated time.Duration

	// slots counts the issued permits that may still be used, by the time of issue. A slot
	// is identified by its number since the zero reading of the clock.
	slots       [slotCount]uint32
	oldest      uint64  // number of the first slot that may contain permits
	newest      uint64  // number of the newest slot
	shrinkAt    uint64  // slot from which on the leases of earlier, longer terms have ended
	longest     uint64  // slots of the lease of those terms
	outstanding float64 // sum of slots

	granted, denied, returned uint64
}

func slotAt(now time.Duration) uint64 { return uint64(now / slotLength) }

// advance brings the bucket up to now. The level plus the outstanding permits never exceed
// what the terms allow, so that returned permits cannot be issued with new leases without
// limit. The level is filled up to each end of a slot in turn, because the limit rises with
// each lease that ends.
func (b *bucket) advance(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.backlog = max(0, b.backlog-b.terms.rate*(now-b.updated).Seconds())
	for slot := slotAt(now); b.newest < slot; {
		if b.outstanding == 0 {
			b.oldest, b.newest = slot, slot
			break
		}
		b.newest++
		b.fill(time.Duration(b.newest) * slotLength)
		b.expire()
	}
	b.fill(now)
}

// expire forgets the permits of the slots whose leases have ended.
func (b *bucket) expire() {
	kept := b.terms.slots()
	if b.newest < b.shrinkAt {
		kept = max(kept, b.longest)
	}
	for ; b.oldest+kept <= b.newest; b.oldest++ {
		expired := &b.slots[b.oldest%uint64(slotCount)]
		b.outstanding -= float64(*expired)
		*expired = 0
	}
}

func (b *bucket) fill(now time.Duration) {
	if now > b.updated {
		b.level += b.terms.rate * (now - b.updated).Seconds()
		b.updated = now
	}
	b.level = max(0, min(b.level, b.terms.burst, b.terms.burst+b.terms.outstanding-b.outstanding))
}

// setTerms applies a changed quota or share. The time up to now counts at the earlier rate.
func (b *bucket) setTerms(now time.Duration, t terms) {
	b.advance(now)
	if b.newest >= b.shrinkAt {
		b.longest = 0
	}
	b.longest = max(b.longest, b.terms.slots())
	b.shrinkAt = b.newest + b.longest
	b.terms = t
	b.fill(now)
}

// take issues up to want permits, and up to extra more if nobody is known to wait for them.
func (b *bucket) take(now time.Duration, want, extra uint32) uint32 {
	b.advance(now)
	available := uint32(b.level)
	n := min(want, available)
	if b.backlog < 1 {
		n = min(want+extra, available)
	}
	b.level -= float64(n)
	b.outstanding += float64(n)
	b.slots[b.newest%uint64(slotCount)] += n
	b.granted += uint64(n)
	return n
}

// deny records the refusal of n requests and returns the time after which a permit is
// expected for them. If last is set, every other issuer has refused them too, so that they come
// back after that time. Only then do they delay the requests that are refused next.
func (b *bucket) deny(n uint32, last bool) time.Duration {
	b.denied += uint64(n)
	missing := 1 - b.level
	if last {
		missing += b.backlog
		b.backlog = min(b.backlog+float64(n), b.terms.rate*maxBacklogTime.Seconds())
	}
	return time.Duration(min(missing/b.terms.rate, maxWait.Seconds()) * float64(time.Second))
}

// giveBack takes back up to n permits that were issued in a slot. Permits whose lease has
// ended are not taken back.
func (b *bucket) giveBack(now time.Duration, slot uint64, n uint32) {
	b.advance(now)
	if slot > b.newest || slot < b.oldest {
		return
	}
	s := &b.slots[slot%uint64(slotCount)]
	n = min(n, *s)
	*s -= n
	b.outstanding -= float64(n)
	b.level = min(b.level+float64(n), b.terms.burst)
	b.returned += uint64(n)
}
