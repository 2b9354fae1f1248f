package filter

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bramleymill/claim"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Time limits of the claims filter.
const (
	// finishWait limits how long the end of an answer is delayed so that the answer can be
	// stored first. A later request with the same key then receives the stored answer.
	finishWait = 250 * time.Millisecond
	// finishTimeout is the time limit for recording how a claim ended. If the ending is
	// not recorded, the claim becomes unknown.
	finishTimeout = 10 * time.Second
)

// errReplay is returned by beforeSend if the key has a stored answer, which Serve then replays.
var errReplay = errors.New("the key has a stored answer")

type claims struct {
	next   Handler
	claims Claims
}

// NewClaims returns the filter that runs a request with an idempotency key at most once.
// An attempt is sent only after the claims group has committed a claim for this attempt and
// its target.
func NewClaims(next Handler, cl Claims) Handler { return &claims{next, cl} }

func (f *claims) Serve(c *Call) error {
	if c.Key == "" {
		return f.next.Serve(c)
	}
	g := &requestClaim{claims: f.claims, key: claimKey(c), bodyHash: c.BodyHash,
		owner: c.Meta.RequestID + "/" + strconv.FormatUint(uint64(c.claimPasses), 10)}
	inner := *c
	inner.BeforeSend = g.beforeSend
	store := &storedAnswer{Answer: c.Answer, onComplete: g.recordAnswer}
	inner.Answer = store
	err := f.next.Serve(&inner)
	c.history = inner.history
	c.Record.ClaimID, c.Record.ClaimState = g.id, g.state
	switch {
	case errors.Is(err, errReplay):
		return replay(c, g.answer)
	case g.replyLost:
		g.sendAndWait(func(ctx context.Context) { _ = g.abandon(ctx) })
		return err
	case err == nil || g.id == "":
		return err
	}
	ending := claim.Ambiguous
	if errkind.Lookup(errkind.Of(err).Kind).Outcome != errkind.Unknown {
		ending = claim.Released
	}
	g.finish(ending, nil)
	return err
}

// requestClaim is the claim of one request.
type requestClaim struct {
	claims    Claims
	key       string
	bodyHash  [32]byte
	owner     string
	id        string
	replyLost bool   // the last claim request got no reply, and no attempt was sent after it
	attempt   uint32 // number of the newest granted attempt
	state     string
	answer    *claim.Answer // stored answer to an earlier request with the key
}

// beforeSend requests the grant for an attempt. A class with keys is not idempotent, so the
// attempts filter makes a further attempt only after the previous one was refused.
func (g *requestClaim) beforeSend(c *Call) error {
	if g.replyLost {
		if err := g.abandon(c.Ctx); err != nil {
			return errkind.New(errkind.ClaimsUnavailable, "claim: %w", err)
		}
	}
	r, err := g.requestAttempt(c)
	if err != nil {
		// This attempt was not sent, and every earlier one was refused.
		if errkind.Lookup(errkind.Of(err).Kind).Outcome == errkind.Rejected {
			return err
		}
		g.replyLost = errkind.Of(err).Kind != errkind.ClaimsUnavailable
		return errkind.New(errkind.ClaimsUnavailable, "claim: %w", err)
	}
	g.state = r.State.String()
	if r.State == claim.Granted {
		g.id, g.attempt = r.ClaimID, r.Attempt
		c.Meta.ClaimID, c.Meta.Attempt = r.ClaimID, r.Attempt
		return nil
	}
	return g.notGranted(r)
}

func (g *requestClaim) requestAttempt(c *Call) (claim.Result, error) {
	if g.id != "" {
		return g.claims.Reassign(c.Ctx, claim.ReassignRequest{ClaimID: g.id, Owner: g.owner, RefusedAttempt: g.attempt,
			Target: c.Target.Node, Incarnation: c.Target.Incarnation})
	}
	return g.claims.Begin(c.Ctx, claim.BeginRequest{Key: g.key, Fingerprint: g.bodyHash, Owner: g.owner,
		Target: c.Target.Node, Incarnation: c.Target.Incarnation, Remaining: c.Meta.Remaining})
}

// abandon releases what a claim request without a reply may have claimed. The request has
// not run, because every earlier attempt was refused and none was sent afterwards. Later
// claim requests use another owner, because delayed copies of the lost one may still arrive
// and must not match them.
func (g *requestClaim) abandon(ctx context.Context) error {
	if _, err := g.claims.Abandon(ctx, claim.AbandonRequest{Key: g.key, Fingerprint: g.bodyHash, Owner: g.owner}); err != nil {
		return err
	}
	g.owner += "+"
	g.id, g.attempt, g.replyLost = "", 0, false
	return nil
}

func (g *requestClaim) notGranted(r claim.Result) error {
	switch r.State {
	case claim.Finished:
		if r.Answer == nil || r.Answer.Truncated {
			return errkind.New(errkind.OutcomeUnknown, "the request with this key has finished, but its answer was too large to be stored")
		}
		g.answer = r.Answer
		return errReplay
	case claim.InProgress:
		return errkind.New(errkind.InProgress, "a request with this key is in progress")
	case claim.Mismatch:
		return errkind.New(errkind.KeyReused, "the key was used with another request")
	case claim.Full:
		return errkind.New(errkind.ClaimStoreFull, "the claim store has no free capacity for another key")
	case claim.Stale:
		return errkind.New(errkind.ClaimsUnavailable, "the claim is no longer valid; the attempt was not sent")
	}
	return errkind.New(errkind.OutcomeUnknown, "a request with this key may have run")
}

// recordAnswer stores the answer. It is called before the end of the answer is passed on.
func (g *requestClaim) recordAnswer(a *claim.Answer) { g.finish(claim.Answered, a) }

// finish records how the claim ended.
func (g *requestClaim) finish(ending claim.Ending, a *claim.Answer) {
	request := claim.FinishRequest{ClaimID: g.id, Owner: g.owner, Attempt: g.attempt, Ending: ending, Answer: a}
	g.sendAndWait(func(ctx context.Context) { _, _ = g.claims.Finish(ctx, request) })
}

// sendAndWait sends a request to the claims group and waits at most finishWait for the reply.
// The request continues in the background after that, even if the caller has disconnected. If
// the ending of a claim is not recorded, the claim becomes unknown after its deadline.
func (g *requestClaim) sendAndWait(request func(context.Context)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		request(ctx)
	}()
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// replay answers with the stored answer.
func replay(c *Call, a *claim.Answer) error {
	h := http.Header(a.Header).Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(fleet.HeaderReplayed, "true")
	if err := c.Answer.Begin(Head{Status: a.Status, Header: h}); err != nil {
		return err
	}
	if _, err := c.Answer.Write(a.Body); err != nil {
		return errkind.New(errkind.CallerDisconnected, "pass on the stored answer: %w", err)
	}
	return c.Answer.End(nil)
}

// storedAnswer buffers an answer until it is complete and stored. An answer above
// claim.MaxAnswerBytes is passed on as it arrives. Its headers and body are not stored; the
// claim records only its status and that it was completed.
type storedAnswer struct {
	Answer
	onComplete func(*claim.Answer)
	head       Head
	body       []byte
	streaming  bool // the answer is being passed on
}

func (s *storedAnswer) Begin(head Head) error {
	s.head = head
	s.head.Header = head.Header.Clone()
	return nil
}

func (s *storedAnswer) Write(p []byte) (int, error) {
	if s.streaming {
		return s.Answer.Write(p)
	}
	if len(s.body)+len(p) <= claim.MaxAnswerBytes {
		s.body = append(s.body, p...)
		return len(p), nil
	}
	if err := s.forwardBuffered(); err != nil {
		return 0, err
	}
	return s.Answer.Write(p)
}

func (s *storedAnswer) forwardBuffered() error {
	s.streaming = true
	if err := s.Answer.Begin(s.head); err != nil {
		return err
	}
	_, err := s.Answer.Write(s.body)
	return err
}

func (s *storedAnswer) Flush() error {
	if s.streaming {
		return s.Answer.Flush()
	}
	return nil
}

func (s *storedAnswer) End(trailer http.Header) error {
	a := &claim.Answer{Status: s.head.Status, Truncated: s.streaming}
	if !s.streaming {
		a.Header, a.Body = s.head.Header, s.body
	}
	s.onComplete(a)
	if !s.streaming {
		if err := s.forwardBuffered(); err != nil {
			return err
		}
	}
	return s.Answer.End(trailer)
}
