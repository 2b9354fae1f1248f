package filter

import (
	"bytes"
	"net/http"
	"strconv"

	"bramleymill/errkind"
)

// failedAnswer is the complete answer of a backend server that states a failure. A request
// that may be repeated is sent to another server instead of passing it on. It is passed on
// if no later attempt succeeds.
type failedAnswer struct {
	head Head
	body bytes.Buffer
}

// maxFailureBytes is the size of the largest body of an answer that is held.
const maxFailureBytes = 64 << 10

// isFailure reports whether head begins an answer that states a failure of the backend
// server, and that is short enough to be held. Another server would give the same answer to
// a method that is not implemented or a protocol version that is not supported.
func isFailure(head Head) bool {
	if head.Status < http.StatusInternalServerError || head.Status == http.StatusNotImplemented || head.Status == http.StatusHTTPVersionNotSupported {
		return false
	}
	length, err := strconv.Atoi(head.Header.Get("Content-Length"))
	return !head.Stream && len(head.Trailer) == 0 && err == nil && length <= maxFailureBytes
}

var errBackendFailed = errkind.New(errkind.BackendFailed, "the backend server answered that it failed")

// hold keeps the first answer that states a failure.
func (r *race) hold(a *failedAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = a
	}
}

// finish passes on the answer that is held, if there is one and no attempt has begun to
// answer. Otherwise it returns err.
func (r *race) finish(err error) error {
	r.mu.Lock()
	a := r.failure
	if a == nil || r.winner != 0 {
		r.mu.Unlock()
		return err
	}
	r.winner = heldAnswerNumber
	r.mu.Unlock()
	if err := r.answer.Begin(a.head); err != nil {
		return err
	}
	if _, err := r.answer.Write(a.body.Bytes()); err != nil {
		return errkind.New(errkind.CallerDisconnected, "pass on the answer: %w", err)
	}
	return r.answer.End(nil)
}

// heldAnswerNumber stands for the held answer as the winner of a race. Attempts are numbered
// from 1 and there are far fewer of them.
const heldAnswerNumber = 1<<32 - 1
