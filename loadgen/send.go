package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/standin"
)

// resendPause is the time between an attempt that was refused or whose outcome is
// unknown and the next attempt.
const resendPause = 150 * time.Millisecond

// maxDialRetries is how many failed connections of a request are retried. Each retry uses
// an address picked at random. Failed connections do not count as attempts.
const maxDialRetries = 5

// send sends request n of a stream, sends it again as often as the stream allows,
// and records the final outcome.
func (r *Runner) send(ctx context.Context, s *Stream, rng *rand.Rand, n int) {
	o := Outcome{
		WorkID:     fmt.Sprintf("%s-%s-%d", r.workIDPrefix, s.Class, n),
		Class:      s.Class,
		Idempotent: s.Idempotent,
		AtMillis:   time.Since(r.start).Milliseconds(),
	}
	begin := time.Now()
	addresses := r.plan.Nodes
	if len(s.InternalAddresses) > 0 {
		addresses = s.InternalAddresses
	}
	dialRetries := 0
	for o.Sent <= s.Resends {
		answer := r.exchange(ctx, s, pickAddress(addresses, rng), o.WorkID)
		if answer.dialFailed && dialRetries < maxDialRetries {
			dialRetries++
			continue
		}
		o.Sent++
		o.Verdict, o.Kind, o.Error = answer.verdict, answer.kind, answer.errorText
		o.RequestID = answer.requestID
		if !answer.resendable() || o.Sent > s.Resends || !clock.Sleep(ctx, resendPause) {
			break
		}
	}
	o.Micros = time.Since(begin).Microseconds()
	r.result.add(o)
}

func pickAddress(list []string, rng *rand.Rand) string { return list[rng.IntN(len(list))] }

// answer is the result of one attempt.
type answer struct {
	verdict    Verdict
	kind       errkind.Kind
	errorText  string
	requestID  string
	dialFailed bool
}

// resendable reports whether sending the request again may help: it did not run, or
// its outcome is unknown.
func (a answer) resendable() bool { return a.verdict == Unknown || a.verdict == NotRun }

func (r *Runner) exchange(ctx context.Context, s *Stream, address, workID string) answer {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout.Std())
	defer cancel()
	req, err := r.newRequest(ctx, s, address, workID)
	if err != nil {
		return answer{verdict: Rejected, errorText: err.Error()}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		var op *net.OpError
		dialFailed := errors.As(err, &op) && op.Op == "dial"
		return answer{verdict: Unknown, errorText: err.Error(), dialFailed: dialFailed}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{verdict: Unknown, errorText: "truncated answer: " + err.Error()}
	}
	a := classify(resp, body, workID)
	a.requestID = resp.Header.Get(fleet.HeaderRequestID)
	return a
}

func (r *Runner) newRequest(ctx context.Context, s *Stream, address, workID string) (*http.Request, error) {
	var body io.Reader
	if s.BodyBytes > 0 {
		body = bytes.NewReader([]byte(strings.Repeat("x", s.BodyBytes)))
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+address+s.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(standin.HeaderWorkID, workID)
	if s.SendKey {
		req.Header.Set(fleet.HeaderIdempotencyKey, strconv.Quote(workID))
	}
	if t := r.tokens[s.TokenFile]; t != "" {
		req.Header.Set(fleet.HeaderCall, t)
	}
	return req, nil
}

// classify returns the verdict of an answer. A kind in the headers means that a
// node refused the request. Otherwise the answer is from a backend server, and the
// body of a successful one must repeat the work id of the request.
func classify(resp *http.Response, body []byte, workID string) answer {
	kind := errkind.Kind(resp.Header.Get(fleet.HeaderKind))
	if kind != "" {
		return answer{verdict: verdictOf(kind), kind: kind, errorText: string(body)}
	}
	if resp.StatusCode >= 300 {
		return answer{verdict: Answered, errorText: resp.Status}
	}
	if !repeatsWorkID(body, workID) {
		return answer{verdict: Mixed, errorText: "answer contains bytes of another request"}
	}
	return answer{verdict: Answered}
}

func verdictOf(k errkind.Kind) Verdict {
	switch errkind.Lookup(k).Outcome {
	case errkind.NotRun, errkind.Overloaded:
		return NotRun
	case errkind.Rejected:
		return Rejected
	}
	return Unknown
}

// repeatsWorkID reports whether the body consists of the work id, repeated and cut
// off at any byte, which is what a stand-in backend server answers.
func repeatsWorkID(body []byte, workID string) bool {
	for i, b := range body {
		if b != workID[i%len(workID)] {
			return false
		}
	}
	return true
}

// sendDirect sends a request of the baseline straight to a backend server, without
// nodes in between. It records the latency of every complete answer, including one
// with an error status.
func (r *Runner) sendDirect(ctx context.Context, s *Stream, rng *rand.Rand, n int) {
	if len(s.DirectAddresses) == 0 {
		return
	}
	begin := time.Now()
	a := r.exchange(ctx, s, s.DirectAddresses[n%len(s.DirectAddresses)], fmt.Sprintf("%s-direct-%s-%d", r.workIDPrefix, s.Class, n))
	if a.verdict == Answered {
		r.result.addDirect(s.Class, time.Since(begin))
	}
}
