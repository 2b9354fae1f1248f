package filter

import (
	"context"
	"time"

	"bramleymill/claim"
	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/suspect"
)

// Times of the lock for confined attempts.
const (
	lockPoll    = 25 * time.Millisecond // first delay before an occupied lock is requested again; doubles up to lockPollMax
	lockPollMax = 400 * time.Millisecond
	lockGrace   = time.Second // the lease ends this much later than the confined attempt must end
	// unlockTimeout limits the time for releasing the lock. If it is not released, its lease ends.
	unlockTimeout = 2 * time.Second
)

type suspects struct {
	next  Handler
	table *suspect.Table
	locks Locks
	clock clock.Clock
}

// NewSuspects returns the filter that limits the damage of requests that may crash backend
// servers. It makes a single attempt of a crash suspect while no other suspect of the service
// runs in the fleet, and refuses a request that has crashed servers repeatedly.
func NewSuspects(next Handler, t *suspect.Table, l Locks, k clock.Clock) Handler {
	return &suspects{next, t, l, k}
}

func (f *suspects) Serve(c *Call) error {
	key := suspect.Key{Service: c.Class.Service, Fingerprint: c.Meta.Fingerprint}
	switch f.table.Check(f.clock.Now(), key) {
	case suspect.Refuse:
		return errkind.New(errkind.CrashSuspect, "the request has crashed %s servers before", key.Service)
	case suspect.Suspect:
		return f.serveConfined(c, key)
	}
	err := f.next.Serve(c)
	if err == nil || errkind.Of(err).Kind != errkind.CrashSuspect || f.table.Check(f.clock.Now(), key) == suspect.Refuse {
		return err
	}
	// The server node has received a crash report that has not reached this node.
	return f.serveConfined(c, key)
}

// serveConfined makes the confined attempt while it holds the lock of the service.
func (f *suspects) serveConfined(c *Call, key suspect.Key) error {
	c.Record.Suspect = true
	lock, end, err := f.lock(c, key)
	if err != nil {
		return err
	}
	defer func() { go f.unlock(lock) }()
	if end.Before(c.Deadline) { // the attempt must not run longer than the lease
		c.Deadline = end
		ctx, cancel := context.WithTimeout(c.Ctx, end.Sub(f.clock.Now()))
		defer cancel()
		c.Ctx = ctx
	}
	if f.table.Check(f.clock.Now(), key) == suspect.Refuse {
		return errkind.New(errkind.CrashSuspect, "the request has crashed %s servers before", key.Service)
	}
	c.Meta.Confined, c.Record.Confined = true, true
	c.claimPasses++
	if c.history != nil {
		c.history.clearTargets()
	}
	return f.next.Serve(c)
}

// lock acquires the lock. It returns the request that releases it and the time until which
// the attempt may run.
func (f *suspects) lock(c *Call, key suspect.Key) (claim.UnlockRequest, time.Time, error) {
	request := claim.LockRequest{Key: "suspect/" + key.Service, Owner: c.Meta.RequestID}
	for delay := lockPoll; ; delay = min(2*delay, lockPollMax) {
		requested := f.clock.Now()
		request.Lease = min(c.Deadline.Sub(requested)+lockGrace, claim.MaxLease)
		r, err := f.locks.Lock(c.Ctx, request)
		switch {
		case err != nil:
			return claim.UnlockRequest{}, time.Time{}, errkind.New(errkind.ClaimsUnavailable, "acquire the lock for a confined attempt: %w", err)
		case r.State == claim.Granted:
			return claim.UnlockRequest{ClaimID: r.ClaimID, Owner: request.Owner}, requested.Add(request.Lease - lockGrace), nil
		case r.State != claim.InProgress:
			return claim.UnlockRequest{}, time.Time{}, errkind.New(errkind.ClaimsUnavailable, "acquire the lock for a confined attempt: %s", r.State)
		}
		if !clock.Sleep(c.Ctx, delay) {
			return claim.UnlockRequest{}, time.Time{}, errkind.New(errkind.DeadlineBeforeRun, "another suspect request held the lock of %s until the deadline", key.Service)
		}
	}
}

func (f *suspects) unlock(r claim.UnlockRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), unlockTimeout)
	defer cancel()
	_, _ = f.locks.Unlock(ctx, r) // after a failure the lease ends
}
