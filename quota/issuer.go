package quota

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"bramleymill/customer"
)

// clientMemory is the time for which an issuer remembers the newest message of a client. A
// repeated message that arrives later cannot return permits twice, because their leases have
// ended.
const clientMemory = 2 * MaxLease

// maxClients bounds the clients that are remembered. Datagrams do not prove their sender; the
// largest fleet has 3,200 nodes.
const maxClients = 16384

// unlimitedLease is the lease of the permits of a customer that has no quota.
const unlimitedLease = 250 * time.Millisecond

// Reasons for which an issuer does not issue.
const (
	NotVoter    = "not a voter"
	Unconfirmed = "configuration not confirmed by a majority"
	Admitted    = "admitted as a voter a moment ago"
	Stopping    = "the control instance is stopping"
	Unrecorded  = "the time of issue is not recorded on the disk"
)

// Issuer issues the share of one voter of the control group in all quotas. Its methods must
// not be called concurrently. All times are readings of one monotonic clock.
type Issuer struct {
	start uint64
	node  string
	zone  string

	observed    bool // SetVoters was called
	voter       bool
	admitted    time.Duration
	issuesFrom  time.Duration // end of the wait of a newly admitted voter
	history     history
	stopping    bool
	voters      []string
	digest      uint64
	share       int           // number of issuers among which quotas are divided
	fewer       int           // lower number that applies from fewerFrom on; zero: none
	fewerFrom   time.Duration // when the voters that were removed have stopped
	buckets     map[ID]*bucket
	unlimited   map[ID]bool // customers without a quota
	quotas      map[ID]*customer.Resolved
	clients     map[uint64]clientState
	clientsTurn time.Duration // when clients was last searched for old entries
	stats       IssuerStats
}

type clientState struct {
	number uint64
	at     time.Duration
}

// IssuerStats counts since the start of an Issuer.
type IssuerStats struct {
	Messages uint64
	Granted  uint64 // permits
	Denied   uint64 // requests for which there was no permit
	Returned uint64 // permits
	Refused  uint64 // messages that arrived while the issuer had no right to issue
}

// NewIssuer returns the Issuer of a process of a control instance. start is a random number
// that identifies the process.
func NewIssuer(start uint64, node, zone string) *Issuer {
	return &Issuer{start: start, node: node, zone: zone, share: 1, buckets: map[ID]*bucket{}, unlimited: map[ID]bool{},
		quotas: map[ID]*customer.Resolved{}, clients: map[uint64]clientState{},
		history: history{removed: map[ID]time.Duration{}, recorded: Never}}
}

// SetVoters states whether this instance is a voter by its applied configuration, the peer
// addresses of all voters, and the configured number of voters, which may be zero. An instance
// that becomes a voter while its process runs waits for AdmissionWait. One that is a voter when
// its process starts does not: the quota was not given to another, and its buckets are empty
// unless Resume states more.
//
// If the number of issuers falls, the share of each rises only after the removed ones have
// stopped and their leases have ended.
func (i *Issuer) SetVoters(now time.Duration, voter bool, addresses []string, configured int) {
	if voter && !i.voter {
		i.admitted, i.issuesFrom = now, now
		if i.observed {
			i.issuesFrom = now + AdmissionWait
		}
		i.history.emptyAt, i.history.allowanceUntil = i.issuesFrom, 0
		for _, b := range i.buckets {
			*b = bucket{name: b.name, terms: b.terms, updated: i.issuesFrom, oldest: slotAt(i.issuesFrom), newest: slotAt(i.issuesFrom)}
		}
	}
	share := max(configured, len(addresses), 1)
	switch {
	case !i.observed || share > i.share:
		i.fewer = 0
		i.setShare(now, share)
	case share == i.share:
		i.fewer = 0
	case share != i.fewer:
		i.fewer, i.fewerFrom = share, now+AdmissionWait
	}
	i.observed, i.voter = true, voter
	if !slices.Equal(addresses, i.voters) {
		i.voters = slices.Sorted(slices.Values(addresses))
		i.digest = VotersDigest(i.voters)
	}
	i.applyFewer(now)
}

// NothingConfigured states that at the newest confirmation, of the given age, no configuration
// had ever been accepted. If this instance was a voter then, no other can have issued permits
// before it was admitted, and it need not wait.
func (i *Issuer) NothingConfigured(now, confirmed time.Duration) {
	if i.voter && now-confirmed > i.admitted {
		i.issuesFrom = min(i.issuesFrom, now)
		i.Resume(now, RefillTime, false)
	}
}

func (i *Issuer) applyFewer(now time.Duration) {
	if i.fewer > 0 && now >= i.fewerFrom {
		share := i.fewer
		i.fewer = 0
		i.setShare(now, share)
	}
}

func (i *Issuer) setShare(now time.Duration, share int) {
	i.share = share
	for id, b := range i.buckets {
		q := i.quotas[id]
		b.setTerms(now, termsOf(q.Rate, q.Burst, share))
	}
}

// SetCustomers applies the customers of a configuration. The bucket of a new customer starts
// with the permits of the time for which this share of its quota is known to have been unused; a
// lowered quota shrinks the bucket at once.
func (i *Issuer) SetCustomers(now time.Duration, customers iter.Seq[*customer.Resolved]) {
	quotas := map[ID]*customer.Resolved{}
	clear(i.unlimited)
	for c := range customers {
		id := IDOf(c.Name)
		if c.Rate <= 0 {
			i.unlimited[id] = true
			continue
		}
		if other := quotas[id]; other == nil || c.Rate < other.Rate {
			quotas[id] = c
		}
	}
	i.quotas = quotas
	for id := range i.buckets {
		if quotas[id] == nil {
			i.history.removed[id] = now
			delete(i.buckets, id)
		}
	}
	for id, q := range quotas {
		t := termsOf(q.Rate, q.Burst, i.share)
		if b := i.buckets[id]; b != nil {
			b.setTerms(now, t)
			continue
		}
		from := max(now, i.issuesFrom)
		i.buckets[id] = &bucket{name: q.Name, terms: t, level: i.history.level(now, id, &t), updated: from, oldest: slotAt(from), newest: slotAt(from)}
	}
	i.history.forget(now)
}

// Stop ends the issue, so that the clients ask the other issuers before this one disappears, and
// its successor does not issue beside it. A single issuer continues, because there is no other.
func (i *Issuer) Stop() { i.stopping = len(i.voters) > 1 }

// Refusal returns why the issuer may not issue, or an empty string if it may. confirmed is the
// age of the newest confirmation of its configuration by a majority.
func (i *Issuer) Refusal(now, confirmed time.Duration) string {
	switch {
	case !i.voter:
		return NotVoter
	case i.stopping:
		return Stopping
	case confirmed >= ConfirmationLimit:
		return Unconfirmed
	case now < i.issuesFrom:
		return Admitted
	case now >= i.history.recorded:
		return Unrecorded
	}
	return ""
}

// Handle decides on a request. It returns nil for a message that is older than one that it
// has handled, because such a message was repeated or overtaken.
func (i *Issuer) Handle(now, confirmed time.Duration, r *Request) *Reply {
	i.forgetClients(now)
	if last, ok := i.clients[r.Client]; ok && r.Number <= last.number || !ok && len(i.clients) >= maxClients {
		return nil
	}
	i.clients[r.Client] = clientState{r.Number, now}
	i.stats.Messages++
	i.applyFewer(now)
	out := &Reply{Client: r.Client, Number: r.Number, Issuer: i.start, Refuse: i.Refusal(now, confirmed)}
	known := r.Issuer == i.start
	if !known {
		out.Node, out.Zone = i.node, i.zone
	}
	if out.Refuse != "" {
		i.stats.Refused++
		return out
	}
	if r.Voters != i.digest {
		out.Voters = i.voters
	}
	if known {
		for _, x := range r.Returns[:min(len(r.Returns), MaxItems)] {
			if b := i.buckets[x.Customer]; b != nil {
				before := b.returned
				b.giveBack(now, x.Slot, x.Count)
				i.stats.Returned += b.returned - before
			}
		}
	}
	for _, w := range r.Wants[:min(len(r.Wants), MaxItems)] {
		out.Grants = append(out.Grants, i.grant(now, w))
	}
	return out
}

func (i *Issuer) grant(now time.Duration, w Want) Grant {
	b := i.buckets[w.Customer]
	if b == nil {
		if !i.unlimited[w.Customer] {
			return Grant{Unknown: true}
		}
		return Grant{Unlimited: true, Count: w.Now, LeaseMillis: uint32(unlimitedLease.Milliseconds())}
	}
	n := b.take(now, w.Now, w.Ahead)
	i.stats.Granted += uint64(n)
	g := Grant{Count: n}
	if n > 0 {
		g.LeaseMillis, g.Slot = uint32(b.terms.lease.Milliseconds()), b.newest
	}
	if n < w.Now {
		i.stats.Denied += uint64(w.Now - n)
		g.WaitMillis = max(1, ceilMillis(b.deny(w.Now-n, w.Last)))
	}
	return g
}

// forgetClients bounds the memory for clients.
func (i *Issuer) forgetClients(now time.Duration) {
	if now-i.clientsTurn < clientMemory {
		return
	}
	i.clientsTurn = now
	for c, s := range i.clients {
		if now-s.at >= clientMemory {
			delete(i.clients, c)
		}
	}
}

// Stats returns the counters of the issuer.
func (i *Issuer) Stats() IssuerStats { return i.stats }

// BucketView is the state of the bucket of one customer.
type BucketView struct {
	Customer    string  `json:"customer" cbor:"1,keyasint"`
	Rate        float64 `json:"rate" cbor:"2,keyasint"` // of this issuer
	Burst       float64 `json:"burst" cbor:"3,keyasint"`
	Level       float64 `json:"level" cbor:"4,keyasint"`
	Outstanding uint64  `json:"outstanding" cbor:"5,keyasint"` // issued permits whose lease has not ended
	LeaseMillis int64   `json:"lease_ms" cbor:"6,keyasint"`
	Granted     uint64  `json:"granted" cbor:"7,keyasint"`
	Denied      uint64  `json:"denied" cbor:"8,keyasint"`
	Returned    uint64  `json:"returned" cbor:"9,keyasint"`
}

// Buckets returns at most limit buckets sorted by the requests that they denied, the highest
// number first, or only that of a customer if its name is given.
func (i *Issuer) Buckets(now time.Duration, name string, limit int) []BucketView {
	var out []BucketView
	for _, b := range i.buckets {
		if name != "" && b.name != name {
			continue
		}
		b.advance(now)
		out = append(out, BucketView{b.name, b.terms.rate, b.terms.burst, b.level, uint64(b.outstanding), b.terms.lease.Milliseconds(),
			b.granted, b.denied, b.returned})
	}
	slices.SortFunc(out, func(a, b BucketView) int {
		return cmp.Or(cmp.Compare(b.Denied, a.Denied), cmp.Compare(a.Customer, b.Customer))
	})
	return out[:min(len(out), limit)]
}

// Share returns the number of issuers among which quotas are divided now.
func (i *Issuer) Share() int { return i.share }
