package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bramleymill/errkind"
	"bramleymill/replica"
)

// Timing of the proposals of one request.
const (
	firstDelay = 20 * time.Millisecond  // delay before the first retry; doubles with each further one
	maxDelay   = 400 * time.Millisecond // longest delay before a retry
	// unavailableTimeout limits how long a request is retried while every error
	// proves that it was not proposed. It is longer than the election of a leader,
	// which takes about 1 s.
	unavailableTimeout = 2 * time.Second
)

// Client sends claim requests to the claims group, the Raft group that replicates
// the Machine. It implements filter.Claims and is safe for concurrent use.
type Client struct {
	proposer replica.Proposer
	wait     func(ctx context.Context, d time.Duration) error
}

// NewClient returns a Client that proposes through p.
func NewClient(p replica.Proposer) *Client { return &Client{proposer: p, wait: waitFor} }

func waitFor(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Begin requests attempt 1 of a key. An error of kind ClaimsUnavailable proves that
// the request was not granted and will not be; after an error of kind
// OutcomeUnknown the key may or may not be claimed for r.Owner.
func (c *Client) Begin(ctx context.Context, r BeginRequest) (Result, error) {
	switch {
	case r.Key == "" || len(r.Key) > MaxKeyBytes:
		return Result{}, errkind.New(errkind.BadRequest, "idempotency key has %d bytes with its class; use 1 to %d", len(r.Key), MaxKeyBytes)
	case r.Remaining <= 0:
		return Result{}, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the claim was made")
	}
	return c.request(ctx, command{Begin: &r})
}

// Reassign requests the attempt that follows a refused one. Errors are as for Begin.
func (c *Client) Reassign(ctx context.Context, r ReassignRequest) (Result, error) {
	return c.request(ctx, command{Reassign: &r})
}

// Abandon releases the claim of a request for which no attempt was sent that may
// have run.
func (c *Client) Abandon(ctx context.Context, r AbandonRequest) (Result, error) {
	return c.request(ctx, command{Abandon: &r})
}

// Finish ends a claim. An answer that exceeds the size limits is stored without
// header and body.
func (c *Client) Finish(ctx context.Context, r FinishRequest) (Result, error) {
	if r.Answer != nil && !storable(r.Answer) {
		r.Answer = &Answer{Status: r.Answer.Status, Truncated: true}
	}
	return c.request(ctx, command{Finish: &r})
}

// Lock requests a lock. The holder must measure the lease from the time at which it
// called Lock, which is never later than the start of the replicated lease.
func (c *Client) Lock(ctx context.Context, r LockRequest) (Result, error) {
	return c.request(ctx, command{Lock: &r})
}

// Unlock releases a lock.
func (c *Client) Unlock(ctx context.Context, r UnlockRequest) (Result, error) {
	return c.request(ctx, command{Unlock: &r})
}

// SetLimits replaces the limits of the store on all replicas.
func (c *Client) SetLimits(ctx context.Context, l Limits) error {
	_, err := c.request(ctx, command{Limits: &l})
	return err
}

// request proposes q until its outcome is known, ctx ends or a retry is useless. A
// proposal with an unknown outcome is retried, because applying a command twice is
// harmless.
func (c *Client) request(ctx context.Context, q command) (Result, error) {
	data, err := encodeCommand(q)
	if err != nil {
		return Result{}, errkind.New(errkind.BadRequest, "%w", err)
	}
	uncertain := false // a proposal with an unknown outcome may still be applied
	started := time.Now()
	for delay := firstDelay; ; delay = min(2*delay, maxDelay) {
		out, err := c.proposer.Propose(ctx, data)
		if err == nil {
			return c.result(out, uncertain)
		}
		outcome := outcomeOf(err)
		uncertain = uncertain || outcome == errkind.Unknown
		giveUp := outcome == errkind.Rejected || outcome == errkind.NotRun && time.Since(started) >= unavailableTimeout
		jittered := delay/2 + rand.N(delay/2)
		if giveUp || ctx.Err() != nil || c.wait(ctx, jittered) != nil {
			return Result{}, failure(err, uncertain)
		}
	}
}

// outcomeOf returns what an error of Propose proves. Rejected and NotRun prove that
// the command was not proposed; after Rejected a retry would fail again.
func outcomeOf(err error) errkind.Outcome {
	var e *errkind.Error
	switch {
	case !errors.As(err, &e):
		return errkind.Unknown
	case e.ProvedNotRun():
		return errkind.NotRun
	}
	return errkind.Lookup(e.Kind).Outcome
}

func failure(err error, uncertain bool) error {
	if uncertain {
		return errkind.New(errkind.OutcomeUnknown, "the claims group did not confirm the request: %w", err)
	}
	return errkind.New(errkind.ClaimsUnavailable, "the claims group was not reached: %w", err)
}

// result decodes a reply. Full and Invalid prove that this proposal recorded
// nothing. An earlier proposal with an unknown outcome may still be recorded when it
// is applied after space became free, so Full is an error in that case.
func (c *Client) result(out []byte, uncertain bool) (Result, error) {
	r, err := decodeResult(out)
	if err != nil {
		return Result{}, errkind.New(errkind.OutcomeUnknown, "%w", err)
	}
	switch {
	case r.State == Invalid:
		return Result{}, errkind.New(errkind.BadRequest, "the claims group refused the request as malformed or out of bounds")
	case r.State == Full && uncertain:
		return Result{}, errkind.New(errkind.OutcomeUnknown, "the claim store is full and an earlier proposal of the request is not confirmed")
	}
	return r, nil
}
