package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the mean demand of a customer at an entry node.
	demandTime = time.Second
	// minDemandInterval is the shortest interval over which demand is measured.
	minDemandInterval = 50 * time.Millisecond
	// maxAheadTime bounds the demand for which permits are requested ahead, so that few
	// permits are left if the demand ends. It is far above a round trip.
	maxAheadTime = 200 * time.Millisecond
	// initialLease is assumed until the first grant states the lease.
	initialLease = 250 * time.Millisecond
	// minDenial is the shortest time for which an issuer without permits is not asked again.
	// It exceeds the time for asking all issuers one after another.
	minDenial = 20 * time.Millisecond
	// unknownDenial is the time after which an issuer whose configuration lacks a customer is
	// asked again.
	unknownDenial = 50 * time.Millisecond
)

// Permit allows one request of a customer to be sent.
type Permit struct {
	account *account
	batch   batch
}

// batch is a number of permits with the same lease.
type batch struct {
	count   uint32
	expires time.Duration
	issuer  uint64 // start of the issuer; zero: the permits cannot be returned
	slot    uint64
}

// account is the state of one customer at an entry node.
type account struct {
	name    string
	id      ID
	rate    float64
	stock   []batch // the first to expire first
	waiters []*Waiter
	asking  *peer // issuer with an unanswered message for this customer
	refill  bool  // permits are to be requested ahead
	active  bool  // in Client.active
	denials []denial
	// refusedUntil is the time for which the issuer that was asked last expects no permit.
	refusedUntil time.Duration

	lease    time.Duration
	demand   float64 // mean requests a second
	used     uint32  // requests since measured
	measured time.Duration
	ahead    uint32 // permits that should be in stock
	lastUsed time.Duration
}

// denial is the refusal of one issuer.
type denial struct {
	peer    *peer
	until   time.Duration
	unknown bool // the issuer does not know the customer
}

// take removes one permit from the stock.
func (a *account) take(now time.Duration) (batch, bool) {
	for len(a.stock) > 0 {
		b := &a.stock[0]
		if b.expires <= now || b.count == 0 {
			a.dropFirst()
			continue
		}
		out := *b
		out.count = 1
		if b.count--; b.count == 0 {
			a.dropFirst()
		}
		return out, true
	}
	return batch{}, false
}

// dropFirst removes the first batch and keeps the memory of the list.
func (a *account) dropFirst() {
	copy(a.stock, a.stock[1:])
	a.stock = a.stock[:len(a.stock)-1]
}

func (a *account) add(b batch) {
	for i := range a.stock {
		s := &a.stock[i]
		if s.issuer == b.issuer && s.slot == b.slot && s.expires == b.expires {
			s.count += b.count
			return
		}
	}
	at, _ := slices.BinarySearchFunc(a.stock, b.expires, func(s batch, t time.Duration) int { return int(s.expires - t) })
	a.stock = slices.Insert(a.stock, at, b)
}

func (a *account) stocked() (n uint32) {
	for i := range a.stock {
		n += a.stock[i].count
	}
	return n
}

// measure updates the mean demand and the number of permits to hold for it.
func (a *account) measure(now time.Duration) {
	elapsed := now - a.measured
	if elapsed < minDemandInterval {
		return
	}
	weight := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	a.demand = a.demand*weight + float64(a.used)/elapsed.Seconds()*(1-weight)
	a.used, a.measured = 0, now
	horizon := min(a.lease/2, maxAheadTime)
	a.ahead = uint32(min(a.demand, a.rate) * horizon.Seconds())
}

// surplus removes permits that will not be used before their leases end, and passes them to f.
// They are recognized when a quarter of the lease has passed, so that the issuer can still use
// them.
func (a *account) surplus(now time.Duration, f func(batch)) {
	earlier := 0.0
	for i := 0; i < len(a.stock); {
		b := &a.stock[i]
		left := b.expires - now
		if left > a.lease*3/4 {
			i++
			continue
		}
		keep := uint32(max(0, math.Ceil(a.demand*left.Seconds()-earlier)))
		if a.demand*left.Seconds() < lowDemand {
			keep = 0
		}
		if b.count > keep {
			out := *b
			out.count, b.count = b.count-keep, keep
			if left > 0 {
				f(out)
			}
		}
		earlier += float64(b.count)
		if b.count == 0 {
			a.stock = slices.Delete(a.stock, i, i+1)
			continue
		}
		i++
	}
}

// lowDemand is the expected number of requests below which permits are returned instead of
// kept for them.
const lowDemand = 0.3

func (a *account) denialOf(p *peer) *denial {
	for i := range a.denials {
		if a.denials[i].peer == p {
			return &a.denials[i]
		}
	}
	return nil
}

// expected returns the shortest time after which an issuer expects a permit, and minDenial if
// none has stated one.
func (a *account) expected(now time.Duration) time.Duration {
	wait := Never
	for _, d := range a.denials {
		if !d.unknown && d.until > now {
			wait = min(wait, d.until-now)
		}
	}
	if wait == Never {
		return minDenial
	}
	return wait
}

func (a *account) deniedBy(p *peer, now time.Duration) bool {
	d := a.denialOf(p)
	return d != nil && d.until > now
}

func (a *account) denied(p *peer, until time.Duration, unknown bool) {
	if d := a.denialOf(p); d != nil {
		d.until, d.unknown = until, unknown
		return
	}
	a.denials = append(a.denials, denial{p, until, unknown})
}

// forgetDenials removes the refusals whose time has passed.
func (a *account) forgetDenials(now time.Duration) {
	a.denials = slices.DeleteFunc(a.denials, func(d denial) bool { return d.until <= now })
}
