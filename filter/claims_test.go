package filter

import (
	"context"
	"testing"
	"time"

	"bramleymill/claim"
	"bramleymill/clock"
	"bramleymill/errkind"
)

// lossyClaims loses the reply to the first Begin.
type lossyClaims struct {
	begun, abandoned []string // owners
	finished         []claim.Ending
}

func (l *lossyClaims) Begin(_ context.Context, r claim.BeginRequest) (claim.Result, error) {
	if l.begun = append(l.begun, r.Owner); len(l.begun) == 1 {
		return claim.Result{}, errkind.New(errkind.OutcomeUnknown, "no reply")
	}
	return claim.Result{State: claim.Granted, ClaimID: "id", Attempt: 1}, nil
}

func (l *lossyClaims) Reassign(context.Context, claim.ReassignRequest) (claim.Result, error) {
	return claim.Result{State: claim.Stale}, nil
}

func (l *lossyClaims) Abandon(_ context.Context, r claim.AbandonRequest) (claim.Result, error) {
	l.abandoned = append(l.abandoned, r.Owner)
	return claim.Result{State: claim.Recorded}, nil
}

func (l *lossyClaims) Finish(_ context.Context, r claim.FinishRequest) (claim.Result, error) {
	l.finished = append(l.finished, r.Ending)
	return claim.Result{State: claim.Recorded}, nil
}

// Guards against a request that fails permanently after the reply to a Begin was lost. Also
// guards against a second Begin under the same owner: a delayed copy of the first Begin would
// match its claim.
func TestLostGrantIsAbandonedBeforeTheNextBegin(t *testing.T) {
	k := clock.NewManual(time.Unix(1000, 0))
	for _, attempts := range []int{1, 2} {
		group := &lossyClaims{}
		sent := 0
		f := NewClaims(HandlerFunc(func(c *Call) error {
			var err error
			for range attempts {
				if err = c.BeforeSend(c); err == nil {
					sent++
					_ = c.Answer.Begin(Head{Status: 200})
					return c.Answer.End(nil)
				}
			}
			return err
		}), group)
		c := newCall(t, "POST", "", k)
		c.Key, c.Meta.RequestID = "k", "e.1.1"
		kind := kindOf(f.Serve(c))
		if len(group.abandoned) != 1 || group.abandoned[0] != group.begun[0] {
			t.Errorf("%d attempts: owners of Begin %q, of Abandon %q, want one Abandon for the first owner", attempts, group.begun, group.abandoned)
		}
		if attempts == 1 && (kind != errkind.ClaimsUnavailable || sent != 0 || len(group.finished) != 0) {
			t.Errorf("after one attempt: error kind = %q, %d sent, endings %v, want claims_unavailable and nothing sent or finished", kind, sent, group.finished)
		}
		if attempts == 2 && (kind != "" || sent != 1 || len(group.begun) != 2 || group.begun[1] == group.begun[0] || len(group.finished) != 1) {
			t.Errorf("after two attempts: error kind = %q, %d sent, owners of Begin %q, endings %v, want one sent under a second owner and one ending", kind, sent, group.begun, group.finished)
		}
	}
}
