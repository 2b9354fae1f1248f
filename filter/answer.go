package filter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrOtherAttemptAnswered is returned by Answer.Begin when another attempt of the same request
// has won. The bytes of the losing attempt are discarded.
var ErrOtherAttemptAnswered = errors.New("another attempt has answered")

// Answer receives one answer. The calls come in the order Informational, Begin,
// Write and Flush, End. An answer without End is incomplete.
type Answer interface {
	Informational(status int, h http.Header)
	Begin(head Head) error
	Write(p []byte) (int, error)
	Flush() error
	End(trailer http.Header) error
}

// Head is the part of an answer before its body.
type Head struct {
	Status  int
	Header  http.Header
	Trailer http.Header // announced names; the values come with End
	Stream  bool        // the length is not known: every write is flushed
}

// Writer passes an answer on to an http.ResponseWriter and knows whether its
// first byte was passed on.
type Writer struct {
	rw      http.ResponseWriter
	mu      sync.Mutex // orders Informational, which another goroutine calls, and Begin
	started atomic.Bool
	ended   atomic.Bool
	status  int
	stream  bool
	sized   bool // the head states the length
	onBegin func(h http.Header)
}

// NewWriter returns a Writer to rw. onBegin may add headers to the answer.
func NewWriter(rw http.ResponseWriter, onBegin func(h http.Header)) *Writer {
	return &Writer{rw: rw, onBegin: onBegin}
}

// Started reports whether the first byte of the answer was passed on.
func (w *Writer) Started() bool { return w.started.Load() }

// Complete reports whether the whole answer was passed on.
func (w *Writer) Complete() bool { return w.ended.Load() }

// Status returns the status that was passed on.
func (w *Writer) Status() int { return w.status }

// Informational passes on a 1xx answer. Status 100 is not passed on, because
// the server sends it by itself when the body is read.
func (w *Writer) Informational(status int, h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started.Load() || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return
	}
	dst := w.rw.Header()
	saved := dst.Clone()
	copyHeader(dst, h)
	w.rw.WriteHeader(status)
	clear(dst)
	copyHeader(dst, saved)
}

// Begin passes on the head of the answer.
func (w *Writer) Begin(head Head) error {
	if !w.begin(head) {
		return ErrOtherAttemptAnswered
	}
	if w.stream {
		return w.Flush()
	}
	return nil
}

func (w *Writer) begin(head Head) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started.CompareAndSwap(false, true) {
		return false
	}
	h := w.rw.Header()
	copyHeader(h, head.Header)
	for name := range head.Trailer {
		h.Add("Trailer", name)
	}
	if w.onBegin != nil {
		w.onBegin(h)
	}
	w.status, w.stream = head.Status, head.Stream
	_, w.sized = h["Content-Length"]
	w.rw.WriteHeader(head.Status)
	return true
}

// Write passes on a part of the body.
func (w *Writer) Write(p []byte) (int, error) {
	n, err := w.rw.Write(p)
	if err == nil && w.stream {
		err = w.Flush()
	}
	return n, err
}

// Flush sends what is buffered.
func (w *Writer) Flush() error { return http.NewResponseController(w.rw).Flush() }

// EnableFullDuplex lets the answer begin while the body of the request is still
// being read. Otherwise the server reads the body first.
func (w *Writer) EnableFullDuplex() {
	// A ResponseWriter that does not support it does so without being told.
	_ = http.NewResponseController(w.rw).EnableFullDuplex()
}

// SetReadDeadline bounds the reading of the request body.
func (w *Writer) SetReadDeadline(t time.Time) {
	// Without the support of the ResponseWriter the context still ends the call.
	_ = http.NewResponseController(w.rw).SetReadDeadline(t)
}

// writeGrace is the time left for an error answer after the end of a call.
const writeGrace = time.Second

// BoundWrites ends a write that blocks because the receiver does not read, soon
// after ctx has ended. The request would otherwise keep its slot. The returned
// function has to be called before the end of ctx has another cause.
func (w *Writer) BoundWrites(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		w.setWriteDeadline(time.Now().Add(writeGrace))
	})
	return func() {
		if !stop() {
			<-done
			w.setWriteDeadline(time.Time{}) // the connection may be used again
		}
	}
}

func (w *Writer) setWriteDeadline(t time.Time) {
	// Without the support of the ResponseWriter writes are not bounded.
	_ = http.NewResponseController(w.rw).SetWriteDeadline(t)
}

// End completes the answer with its trailer.
func (w *Writer) End(trailer http.Header) error {
	h := w.rw.Header()
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
	w.ended.Store(true)
	if w.sized && len(trailer) == 0 {
		// The caller does not wait for the work that follows the answer: records,
		// metrics and the release of what the request held.
		_ = w.Flush() // the receiver may have gone
	}
	return nil
}

// copyHeader adds src to dst, which may share its values.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if have := dst[name]; len(have) > 0 {
			values = append(have, values...)
		}
		dst[name] = values
	}
}
