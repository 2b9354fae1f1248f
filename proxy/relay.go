package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"bramleymill/errkind"
	"bramleymill/filter"
	"bramleymill/fleet"
)

// Sizes of the pooled buffers for copying bodies. The garbage collector empties the
// pools, so buffers have to be allocated again; a small body therefore uses a small
// buffer.
const (
	copyBytes  = 32 << 10
	smallBytes = 4 << 10
)

var (
	copyBuffers  = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}
	smallBuffers = sync.Pool{New: func() any { b := make([]byte, smallBytes); return &b }}
)

// relay passes an answer on to the caller. It returns an error for an answer that
// ends early, so that the receiver never accepts it as complete. atEnd is called at
// the end of the answer; it returns an error if the answer ended early in a way that
// the protocol does not show.
func (x *exchange) relay(resp *http.Response, h http.Header, atEnd func() error) error {
	c := x.call
	defer func() { _ = resp.Body.Close() }()
	head := filter.Head{Status: resp.StatusCode, Header: h, Trailer: x.rules.trailer(resp.Trailer)}
	head.Stream = resp.ContentLength < 0 && c.Request.Method != http.MethodHead
	c.Status = resp.StatusCode
	body := io.Reader(resp.Body)
	if x.rules.dialect != nil && c.Request.Method != http.MethodHead && len(resp.Trailer) == 0 && x.mayBuffer(resp.ContentLength) {
		defer x.releaseBuffered(resp.ContentLength)
		start := answerBuffers.Get().(*bytes.Buffer)
		defer releaseBuffer(start)
		start.Reset()
		_, err := io.CopyN(start, resp.Body, max(resp.ContentLength, maxBufferedAnswer)+1)
		switch {
		case errors.Is(err, io.EOF):
			return x.relayBuffered(head, start.Bytes(), atEnd)
		case err != nil:
			return lost(c, "answer ended early", err)
		}
		body = io.MultiReader(start, resp.Body)
	}
	if err := c.Answer.Begin(head); err != nil {
		return err
	}
	if err := copyBody(c, body, resp.ContentLength); err != nil {
		return err
	}
	if err := atEnd(); err != nil {
		return err
	}
	if c.BeforeEnd != nil {
		c.BeforeEnd()
	}
	return c.Answer.End(x.rules.trailer(resp.Trailer))
}

// Sizes up to which an answer in a dialect is read to its end before it is passed on. Another
// attempt is then still possible if the answer ends early.
const (
	maxBufferedAnswer = 64 << 10
	// maxServedAnswer applies to answers of the backend server beside the node that state their
	// length. The slot of such a request is free as soon as the answer has been read, and not
	// only when the link has sent it.
	maxServedAnswer = 512 << 10
	// maxServedAnswers bounds the sum of the stated lengths of such answers above
	// maxBufferedAnswer. Further ones are passed on as they arrive.
	maxServedAnswers = 8 << 20
)

// mayBuffer reports whether an answer of the given length, -1 if not known, is read to its end
// before it is passed on. If so, releaseBuffered must be called afterwards.
func (x *exchange) mayBuffer(length int64) bool {
	switch {
	case length <= maxBufferedAnswer:
		return true
	case x.served == nil || length > maxServedAnswer:
		return false
	case x.served.Add(length) > maxServedAnswers:
		x.served.Add(-length)
		return false
	}
	return true
}

func (x *exchange) releaseBuffered(length int64) {
	if length > maxBufferedAnswer {
		x.served.Add(-length)
	}
}

var answerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBuffer makes a buffer available again unless it has grown for a large answer.
func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() <= 2*maxBufferedAnswer {
		answerBuffers.Put(b)
	}
}

// relayBuffered passes on an answer that was read to its end.
func (x *exchange) relayBuffered(head filter.Head, body []byte, atEnd func() error) error {
	c := x.call
	if err := atEnd(); err != nil {
		return err
	}
	if c.BeforeEnd != nil {
		c.BeforeEnd()
	}
	if contentLengthAllowed(head.Status) {
		head.Header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if _, ok := head.Header["Content-Type"]; !ok {
		head.Header["Content-Type"] = nil // net/http would otherwise detect one
	}
	head.Stream = false
	if err := c.Answer.Begin(head); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := c.Answer.Write(body); err != nil {
			return errkind.New(errkind.CallerDisconnected, "pass on the answer: %w", err)
		}
	}
	return c.Answer.End(nil)
}

// contentLengthAllowed reports whether an answer with this status may have a
// Content-Length header.
func contentLengthAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody passes on a body of length bytes. A length of -1 means that the length is
// not known.
func copyBody(c *filter.Call, from io.Reader, length int64) error {
	buffers := &copyBuffers
	if length >= 0 && length <= smallBytes {
		buffers = &smallBuffers
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := from.Read(*buf)
		if n > 0 {
			if _, werr := c.Answer.Write((*buf)[:n]); werr != nil {
				return errkind.New(errkind.CallerDisconnected, "pass on the answer: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return lost(c, "answer ended early", err)
		}
	}
}

// lost returns the error for a request that may have run. If the context of the call
// has ended, the kind of the error depends on the cause.
func lost(c *filter.Call, what string, err error) error {
	switch cause := context.Cause(c.Ctx); {
	case cause == nil:
		return errkind.New(errkind.ConnectionLost, "%s: %w", what, err)
	case errors.Is(cause, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "%s: %w", what, err)
	case errors.Is(cause, filter.ErrOtherAttemptAnswered):
		return cause
	case errors.Is(cause, errCancelledByDrain):
		return errkind.New(errkind.OutcomeUnknown, "%s: %w", what, cause)
	default:
		return errkind.New(errkind.CallerDisconnected, "%s: %w", what, err)
	}
}

// notSent returns the error for a request of which nothing was sent. The error has the
// kind k if the context of the call is still active. If the context ended because another
// attempt answered, the error is filter.ErrOtherAttemptAnswered. If the context ended for
// another reason, the kind is DeadlineBeforeRun.
func notSent(c *filter.Call, k errkind.Kind, err error) error {
	if c.Ctx.Err() != nil {
		if errors.Is(context.Cause(c.Ctx), filter.ErrOtherAttemptAnswered) {
			return filter.ErrOtherAttemptAnswered
		}
		k = errkind.DeadlineBeforeRun
	}
	return errkind.New(k, "nothing was sent: %w", err)
}

// peerError returns the error that the answer of a peer states, or nil.
func peerError(resp *http.Response) error {
	kind := errkind.Kind(resp.Header.Get(fleet.HeaderKind))
	if kind == "" {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if !errkind.Known(kind) {
		kind = errkind.Internal
	}
	return errkind.New(kind, "%s", strings.TrimSpace(string(text)))
}

// maxRefusalBytes is the number of bytes of the text of a refusal that are read.
const maxRefusalBytes = 1024
