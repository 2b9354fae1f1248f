package quota

import "time"

// Requirement R2: in every window of 5 s, a customer with rate r and burst b runs at most
// (5 s x r + b) x 1.1 + 20 requests.
const (
	boundWindow    = 5 * time.Second
	boundTolerance = 0.1
	boundExtra     = 20
)

const (
	// MaxLease bounds the lease of a permit. A newly admitted voter waits for it, because
	// permits of the voter that it replaces may still be used.
	MaxLease = time.Second
	// ConfirmationLimit is the age of the configuration's last confirmation by a majority
	// above which an issuer stops. A voter that was removed without learning of it has
	// stopped by then.
	ConfirmationLimit = 2 * time.Second
	// AdmissionWait is the time for which a newly admitted voter does not issue.
	AdmissionWait = ConfirmationLimit + MaxLease + slotLength

	// slotLength is the resolution at which an issuer forgets expired leases.
	slotLength = 32 * time.Millisecond
	// slotCount slots cover the longest lease and the slot in which it begins.
	slotCount = int(MaxLease/slotLength) + 2
)

// terms are the parameters of one customer at one of n issuers.
type terms struct {
	rate  float64 // permits a second
	burst float64 // largest level of the bucket
	// outstanding bounds the level of the bucket plus the permits that may still be used,
	// as an excess over burst.
	outstanding float64
	lease       time.Duration
	// allowance is added once to the bucket of an issuer that has restarted, at intervals of
	// at least RefillTime.
	allowance float64
}

// minBurst is the least capacity of a bucket. Requests of a customer with a low rate come in
// small groups that find the same issuer first.
const minBurst = 2

// termsOf divides a quota among n issuers.
//
// Requests that are sent and run in a window of 5 s use permits that were outstanding at its
// start, in the buckets at its start, or added to the buckets within it. The bound leaves
// a = 0.1 x (5 s x rate + burst) + 20 permits beyond burst + 5 s x rate. A third of a is added to
// the capacity of the buckets, because demand does not divide evenly among them. The rest, e, is
// for the permits that are outstanding at the start. Half of it is for the leases of the running
// issuers: lease = e/2 / rate, less the slot by which an issuer forgets a lease late. The other
// half is for leases of issuers that have restarted since: a restart adds
// no permits beyond those of the time that has passed, so all processes of one voter together add
// no more than its rate x lease. What that leaves of the half is the allowance. A window and the
// lease before it contain at most one allowance of each voter.
func termsOf(rate, burst float64, n int) terms {
	share := float64(n)
	a := boundTolerance*(rate*boundWindow.Seconds()+burst) + boundExtra
	t := terms{rate: rate / share, burst: max((burst+a/3)/share, minBurst)}
	e := a - (t.burst*share - burst)
	t.outstanding = e / 2 / share
	t.lease = MaxLease
	if seconds := e/2/rate - slotLength.Seconds(); seconds < MaxLease.Seconds() {
		t.lease = time.Duration(seconds * float64(time.Second)).Truncate(time.Millisecond)
	}
	t.allowance = max(0, e/2-rate*(t.lease+2*slotLength).Seconds()) / share
	return t
}

// slots returns the number of slots that contain permits whose leases have not ended: those of
// a lease, and the one in which it began.
func (t *terms) slots() uint64 { return uint64((t.lease+slotLength-1)/slotLength) + 1 }
