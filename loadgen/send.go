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

// resendPause is the time before an unanswered request is sent again.
const resendPause = 150 * time.Millisecond

// connectTries bounds how many addresses are tried when none can be reached.
const connectTries = 5

// send makes one request of a stream and records what the caller knows in the end.
func (r *Runner) send(ctx context.Context, s *Stream, rng *rand.Rand, n int) {
	o := Outcome{
		WorkID:     fmt.Sprintf("%s-%s-%d", r.prefix, s.Class, n),
		Class:      s.Class,
		Idempotent: s.Idempotent,
		AtMillis:   time.Since(r.start).Milliseconds(),
	}
	begin := time.Now()
	addresses := r.plan.Nodes
	if len(s.Internal) > 0 {
		addresses = s.Internal
	}
	connects := 0
	for o.Sent <= s.Resends {
		answer := r.exchange(ctx, s, pickAddress(addresses, rng), o.WorkID)
		if answer.notConnected && connects < connectTries {
			connects++
			continue
		}
		o.Sent++
		o.Verdict, o.Kind, o.Error = answer.verdict, answer.kind, answer.text
		o.RequestID = answer.requestID
		if !answer.again() || o.Sent > s.Resends || !clock.Sleep(ctx, resendPause) {
			break
		}
	}
	o.Micros = time.Since(begin).Microseconds()
	r.result.add(o)
}

func pickAddress(list []string, rng *rand.Rand) string { return list[rng.IntN(len(list))] }

type answer struct {
	verdict      Verdict
	kind         errkind.Kind
	text         string
	requestID    string
	notConnected bool
}

// again reports whether a caller that may send the request again would do so.
func (a answer) again() bool { return a.verdict == Unknown || a.verdict == NotRun }

func (r *Runner) exchange(ctx context.Context, s *Stream, address, work string) answer {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout.Std())
	defer cancel()
	req, err := r.request(ctx, s, address, work)
	if err != nil {
		return answer{verdict: Rejected, text: err.Error()}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		var op *net.OpError
		dial := errors.As(err, &op) && op.Op == "dial"
		return answer{verdict: Unknown, text: err.Error(), notConnected: dial}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{verdict: Unknown, text: "truncated answer: " + err.Error()}
	}
	a := judge(resp, body, work)
	a.requestID = resp.Header.Get(fleet.HeaderRequestID)
	return a
}

func (r *Runner) request(ctx context.Context, s *Stream, address, work string) (*http.Request, error) {
	var body io.Reader
	if s.BodyBytes > 0 {
		body = bytes.NewReader([]byte(strings.Repeat("x", s.BodyBytes)))
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+address+s.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(standin.HeaderWorkID, work)
	if s.Key {
		req.Header.Set(fleet.HeaderIdempotencyKey, strconv.Quote(work))
	}
	if t := r.tokens[s.TokenFile]; t != "" {
		req.Header.Set(fleet.HeaderCall, t)
	}
	return req, nil
}

// judge classifies an answer by the headers of the project and checks that
// every byte of the body belongs to the request.
func judge(resp *http.Response, body []byte, work string) answer {
	kind := errkind.Kind(resp.Header.Get(fleet.HeaderKind))
	if kind != "" {
		return answer{verdict: verdictOf(kind), kind: kind, text: string(body)}
	}
	if resp.StatusCode >= 300 {
		return answer{verdict: Answered, text: resp.Status}
	}
	if !belongs(body, work) {
		return answer{verdict: Mixed, text: "answer of another request"}
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

func belongs(body []byte, work string) bool {
	for i, b := range body {
		if b != work[i%len(work)] {
			return false
		}
	}
	return true
}

// sendDirect measures a backend server without nodes between.
func (r *Runner) sendDirect(ctx context.Context, s *Stream, rng *rand.Rand, n int) {
	if len(s.Direct) == 0 {
		return
	}
	begin := time.Now()
	a := r.exchange(ctx, s, s.Direct[n%len(s.Direct)], fmt.Sprintf("%s-direct-%s-%d", r.prefix, s.Class, n))
	if a.verdict == Answered {
		r.result.addDirect(s.Class, time.Since(begin))
	}
}
