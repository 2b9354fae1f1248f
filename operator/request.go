package operator

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"bramleymill/clock"
	"bramleymill/errkind"
)

const (
	// maxRounds limits the rounds over the addresses. With defaultRoundPause between
	// them, the rounds outlast the election of a leader, which takes about 1 s.
	maxRounds         = 4
	defaultRoundPause = 500 * time.Millisecond
	// attemptTimeout is short enough to leave time for the other addresses when a
	// node is frozen and does not answer.
	attemptTimeout = 5 * time.Second
	// maxAnswerBytes is enough for MaxHistoryEntries entries of the largest size.
	maxAnswerBytes = 16 << 20
)

// request is one request of the client. Reads have no effect and changes carry a
// change id in the body, so both can be sent more than once. Init carries no
// change id and is sent only once.
type request struct {
	method, path       string
	body               any           // sent as JSON unless nil
	continueOnNotFound bool          // after NotFound, continue with the next address
	timeout            time.Duration // time limit of one attempt; zero means attemptTimeout
}

// delivery states whether the node received and answered the request of an attempt.
type delivery int

const (
	notSent       delivery = iota // the node did not receive the request
	maybeExecuted                 // the node may have executed the request
	answered                      // the node answered
)

// do sends q to the addresses in order until one gives a final answer. It makes up to
// maxRounds such rounds, and ends after a round in which every node answered NotFound.
func (c *Client) do(ctx context.Context, q request, out any) error {
	if len(c.addresses) == 0 {
		return fmt.Errorf("%w: no address is configured", ErrUnreachable)
	}
	var f failures
	for round := range maxRounds {
		if round > 0 && !clock.Sleep(ctx, c.roundPause) {
			break
		}
		retry := false
		for _, address := range c.addresses {
			reached, err := c.attempt(ctx, address, q, out)
			if err == nil {
				return nil
			}
			if reached == answered && !otherNodeMayAnswer(err, q) {
				return f.finalError(q, err)
			}
			f.add(reached, err)
			retry = retry || reached != answered || errkind.Of(err).Kind != errkind.NotFound
		}
		if !retry {
			break
		}
	}
	return f.exhaustedError(q)
}

// failures collects the results of the failed attempts of one request.
type failures struct {
	answer    error // latest answer of a node
	failure   error // latest failure without an answer
	uncertain bool  // an attempt may have been executed
}

func (f *failures) add(reached delivery, err error) {
	if reached == answered {
		f.answer = err
		f.uncertain = f.uncertain || errkind.Lookup(errkind.Of(err).Kind).Outcome == errkind.Unknown
		return
	}
	f.failure = err
	f.uncertain = f.uncertain || reached == maybeExecuted
}

// finalError returns err, the final answer of a node, unless an earlier attempt of
// a change may have been executed. In that case only a decision of the state
// machine is final, because it holds for all attempts; after any other answer the
// outcome is unknown.
func (f *failures) finalError(q request, err error) error {
	kind := errkind.Of(err).Kind
	if q.isChange() && f.uncertain && kind != errkind.VersionConflict && kind != errkind.InvalidDocument {
		return errorf(errkind.OutcomeUnknown, "an earlier attempt may have been executed, and a later one was refused: %s", messageWithoutRemedy(err))
	}
	return err
}

// exhaustedError returns the error of a request whose attempts all failed.
func (f *failures) exhaustedError(q request) error {
	switch {
	case q.isChange() && f.uncertain:
		return errorf(errkind.OutcomeUnknown, "the request may have been executed: %s", messageWithoutRemedy(cmp.Or(f.answer, f.failure)))
	case f.answer != nil:
		return f.answer
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, f.failure)
}

// messageWithoutRemedy returns the text of err without its remedy. The remedy would
// be wrong in an error of another kind.
func messageWithoutRemedy(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

// isChange reports whether q changes something rather than reads it.
func (q request) isChange() bool { return q.method != http.MethodGet }

// otherNodeMayAnswer reports whether another node may succeed where one node
// answered with err.
func otherNodeMayAnswer(err error, q request) bool {
	switch errkind.Of(err).Kind {
	case errkind.ControlUnavailable, errkind.OutcomeUnknown, errkind.Internal:
		return true
	case errkind.NotFound:
		return q.continueOnNotFound
	}
	return false
}

// attempt sends q once to one address and decodes the answer into out. An answer
// that is an error of the operator interface is returned as an Error.
func (c *Client) attempt(ctx context.Context, address string, q request, out any) (delivery, error) {
	if !strings.Contains(address, "://") {
		address = "https://" + address
	}
	var body io.Reader
	if q.body != nil {
		b, err := json.Marshal(q.body)
		if err != nil {
			return notSent, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	if q.timeout == 0 {
		q.timeout = attemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, address+q.path, body)
	if err != nil {
		return notSent, fmt.Errorf("create request to %s: %w", address, err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if alert := certificateAlert(err); alert != nil {
		return answered, errorf(errkind.Unauthorized, "%s refused the client certificate: %v", address, alert)
	}
	if err != nil {
		return deliveryOfError(err), fmt.Errorf("request to %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return maybeExecuted, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return readError(address, response.StatusCode, data)
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return maybeExecuted, fmt.Errorf("decode answer of %s: %w", address, err)
		}
	}
	return answered, nil
}

// deliveryOfError distinguishes a failure to connect, where nothing was sent, from
// a later failure, where the node may have executed the request.
func deliveryOfError(err error) delivery {
	var op *net.OpError
	var verification *tls.CertificateVerificationError
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &verification) {
		return notSent
	}
	return maybeExecuted
}

// certificateAlert returns the TLS alert with which the server rejected the client
// certificate during the handshake, or nil if err is another error. With TLS 1.3
// the client receives the alert only when it reads the answer, but no request was
// executed. Alerts received over TCP have no exported type, so they are compared
// by their text.
func certificateAlert(err error) error {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" {
		return nil
	}
	if !slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return a.Error() == op.Err.Error() }) {
		return nil
	}
	return op.Err
}

// certificateAlerts are the TLS alerts about the client certificate (RFC 8446,
// section 6.2).
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// readError converts the answer of a failed request to an error. If the answer is
// not one of the operator interface, the request may have been executed.
func readError(address string, status int, data []byte) (delivery, error) {
	var b ErrorBody
	if err := json.Unmarshal(data, &b); err != nil || !errkind.Known(errkind.Kind(b.Kind)) {
		return maybeExecuted, fmt.Errorf("%s answered with status %d and without a known error kind", address, status)
	}
	return answered, &Error{Kind: errkind.Kind(b.Kind), Message: b.Message, Remedy: b.Remedy, Conflict: b.Conflict}
}
