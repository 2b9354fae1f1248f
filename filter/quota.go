package filter

import (
	"context"
	"strings"
	"time"

	"bramleymill/customer"
	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/permit"
	"bramleymill/quota"
)

// Permits issues the permits of customers with a rate.
type Permits interface {
	// Take returns a decision within a bounded time, or when ctx ends.
	Take(ctx context.Context, c *customer.Resolved) permit.Decision
	// Return takes back the permit of a request that did not run.
	Return(p quota.Permit)
}

type quotas struct {
	next    Handler
	permits Permits
}

// NewQuota returns the filter that takes a permit for each request of a customer with a rate.
// All attempts of a request use one permit. Nested calls need none, because the request that
// they are part of has one.
func NewQuota(next Handler, p Permits) Handler { return &quotas{next, p} }

// needsPermit reports whether a permit of its customer is needed for c.
func needsPermit(c *Call) bool {
	return c.Customer != nil && c.Customer.Rate > 0 && c.Parent == nil
}

func (f *quotas) Serve(c *Call) error {
	if !needsPermit(c) {
		return f.next.Serve(c)
	}
	d := f.permits.Take(c.Ctx, c.Customer)
	if d.Verdict != quota.Granted {
		return refuseQuota(c, &d)
	}
	err := f.next.Serve(c)
	if err != nil && certainlyNotRun(c, err) {
		f.permits.Return(d.Permit)
	}
	return err
}

// unavailableRetryAfter is the time after which another control instance has usually taken over
// from one that was lost.
const unavailableRetryAfter = 300 * time.Millisecond

// refuseQuota records a refusal and returns its error.
func refuseQuota(c *Call, d *permit.Decision) error {
	name, asked := c.Customer.Name, strings.Join(d.Asked, ", ")
	c.Record.Quota = &explain.Quota{Customer: name, Asked: d.Asked, Wait: d.Wait}
	var e *errkind.Error
	switch d.Verdict {
	case quota.Exceeded:
		e = errkind.New(errkind.QuotaExceeded, "quota of customer %q: no permit from %s, the next one is expected in %v", name, asked, d.Wait)
		e.RetryAfter = d.Wait
	case quota.Unavailable:
		e = errkind.New(errkind.QuotaUnavailable, "quota of customer %q: no decision of %s", name, asked)
		e.RetryAfter = unavailableRetryAfter
	default:
		e = errkind.New(errkind.DeadlineBeforeRun, "quota of customer %q: %w", name, context.Cause(c.Ctx))
	}
	return e
}

// certainlyNotRun reports whether no backend server can have run a request that ended with err.
// The kind of err is that of the last attempt, so every attempt is checked.
func certainlyNotRun(c *Call, err error) bool {
	if !provesNotRun(errkind.Of(err).Kind) || len(c.Record.Attempts) >= explain.MaxAttempts {
		return false
	}
	for i := range c.Record.Attempts {
		if a := &c.Record.Attempts[i]; a.Lost || a.Kind == "" || !provesNotRun(a.Kind) {
			return false
		}
	}
	return true
}

func provesNotRun(k errkind.Kind) bool {
	o := errkind.Lookup(k).Outcome
	return o == errkind.NotRun || o == errkind.Overloaded || o == errkind.Rejected
}
