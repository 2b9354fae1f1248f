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
	// maxRounds over the addresses bridge the election of a leader, which takes
	// about 1 s.
	maxRounds         = 4
	defaultRoundPause = 500 * time.Millisecond
	// attemptTimeout leaves time for other addresses when a node is frozen.
	attemptTimeout = 5 * time.Second
	// maxAnswerBytes holds MaxHistoryEntries entries of the largest size.
	maxAnswerBytes = 16 << 20
)

// request is one request of the client. Changes carry a change id in the body,
// so that every request may be sent more than once.
type request struct {
	method, path       string
	body               any           // sent as JSON unless nil
	continueOnNotFound bool          // NotFound at one node does not speak for the others
	timeout            time.Duration // of one try; zero means tryTimeout
}

// delivery tells how far a try got.
type delivery int

const (
	notSent       delivery = iota // the node did not get the request
	maybeExecuted                 // the node may have executed the request
	answered                      // the node answered
)

// do tries the addresses in order until one gives a final answer.
func (c *Client) do(ctx context.Context, q request, out any) error {
	if len(c.addresses) == 0 {
		return fmt.Errorf("%w: no address is given", ErrUnreachable)
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

// failures collects what the failed tries of one request tell.
type failures struct {
	answer    error // latest answer of a node
	failure   error // latest failure without an answer
	uncertain bool  // a try may have been executed
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

// finalError returns the answer of a node. After an uncertain try only a decision of
// the state machine, which holds for all tries, settles a change.
func (f *failures) finalError(q request, err error) error {
	kind := errkind.Of(err).Kind
	if q.isChange() && f.uncertain && kind != errkind.VersionConflict && kind != errkind.InvalidDocument {
		return errorf(errkind.OutcomeUnknown, "an earlier try may have been executed, and a later one was refused: %s", messageWithoutRemedy(err))
	}
	return err
}

// exhaustedError is the error after all tries failed.
func (f *failures) exhaustedError(q request) error {
	switch {
	case q.isChange() && f.uncertain:
		return errorf(errkind.OutcomeUnknown, "the request may have been executed: %s", messageWithoutRemedy(cmp.Or(f.answer, f.failure)))
	case f.answer != nil:
		return f.answer
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, f.failure)
}

// messageWithoutRemedy is the text of err without its remedy, which belongs to another kind.
func messageWithoutRemedy(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

func (q request) isChange() bool { return q.method != http.MethodGet }

// otherNodeMayAnswer reports whether another node may give a better answer.
func otherNodeMayAnswer(err error, q request) bool {
	switch errkind.Of(err).Kind {
	case errkind.ControlUnavailable, errkind.OutcomeUnknown, errkind.Internal:
		return true
	case errkind.NotFound:
		return q.continueOnNotFound
	}
	return false
}

// attempt sends q to one address.
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
		return notSent, fmt.Errorf("address %s: %w", address, err)
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
		return maybeExecuted, fmt.Errorf("answer of %s: %w", address, err)
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

// deliveryOfError tells a failure to connect from a failure after the request was sent.
func deliveryOfError(err error) delivery {
	var op *net.OpError
	var verification *tls.CertificateVerificationError
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &verification) {
		return notSent
	}
	return maybeExecuted
}

// certificateAlert returns the TLS alert by which the server ended the
// handshake because of the client certificate, or nil. With TLS 1.3 the client
// learns this only when it reads the answer; no request was executed. The
// alerts received over TCP have no exported type, so that they are compared by
// their text.
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

// readError converts the answer of a failed request. An answer that is not from
// the operator interface leaves open what happened.
func readError(address string, status int, data []byte) (delivery, error) {
	var b ErrorBody
	if err := json.Unmarshal(data, &b); err != nil || !errkind.Known(errkind.Kind(b.Kind)) {
		return maybeExecuted, fmt.Errorf("%s answered with status %d and no error kind", address, status)
	}
	return answered, &Error{Kind: errkind.Kind(b.Kind), Message: b.Message, Remedy: b.Remedy, Conflict: b.Conflict}
}
