package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bramleymill/errkind"
	"bramleymill/replica"
)

// Delays between proposals of one request.
const (
	firstDelay = 20 * time.Millisecond
	maxDelay   = 400 * time.Millisecond
	// unavailableTimeout bounds the time for which a request is proposed again that
	// is proved not to have been proposed. The election of a leader takes about
	// 1 s.
	unavailableTimeout = 2 * time.Second
)

// Client sends claim requests to the claims group. It implements filter.Claims
// and is safe for concurrent use.
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

// Begin asks for attempt 1 of a key. An error of kind ClaimsUnavailable proves
// that no grant exists and none will be made; an error of kind OutcomeUnknown
// leaves open whether the key is claimed for r.Owner.
func (c *Client) Begin(ctx context.Context, r BeginRequest) (Result, error) {
	switch {
	case r.Key == "" || len(r.Key) > MaxKeyBytes:
		return Result{}, errkind.New(errkind.BadRequest, "idempotency key has %d bytes with its class; use 1 to %d", len(r.Key), MaxKeyBytes)
	case r.Remaining <= 0:
		return Result{}, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the claim was made")
	}
	return c.request(ctx, command{Begin: &r})
}

// Reassign asks for the attempt that follows a refused one. Errors are as for Begin.
func (c *Client) Reassign(ctx context.Context, r ReassignRequest) (Result, error) {
	return c.request(ctx, command{Reassign: &r})
}

// Abandon frees the claim of a request for which nothing was sent.
func (c *Client) Abandon(ctx context.Context, r AbandonRequest) (Result, error) {
	return c.request(ctx, command{Abandon: &r})
}

// Finish ends a claim. An answer over the bound is sent without header and body.
func (c *Client) Finish(ctx context.Context, r FinishRequest) (Result, error) {
	if r.Answer != nil && !storable(r.Answer) {
		r.Answer = &Answer{Status: r.Answer.Status, Truncated: true}
	}
	return c.request(ctx, command{Finish: &r})
}

// Lock asks for a lock. The holder counts the lease from the time at which it
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

// request proposes q until its outcome is known. Every command may be applied
// repeatedly, so that a proposal with an unknown outcome is made again.
func (c *Client) request(ctx context.Context, q command) (Result, error) {
	data, err := encodeCommand(q)
	if err != nil {
		return Result{}, errkind.New(errkind.BadRequest, "%w", err)
	}
	uncertain := false // an earlier proposal may still be applied
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

// outcomeOf tells what an error of Propose proves: Rejected and NotRun that the
// command was not proposed, where Rejected will not change by a repetition.
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
// nothing, but not that an earlier uncertain proposal will record nothing when
// it is applied after space became free.
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
