package filter

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrOtherAttemptAnswered is returned by Answer.Begin when another attempt of the same
// request has begun to answer. The bytes of the losing attempt are discarded.
var ErrOtherAttemptAnswered = errors.New("another attempt has answered")

// Answer receives one answer. The methods are called in the order Informational, Begin,
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
	Trailer http.Header // announced names; End receives the values
	Stream  bool        // the length is unknown: every write is flushed
}

// Writer passes an answer on to an http.ResponseWriter and records how much of the answer
// was passed on.
type Writer struct {
	rw      http.ResponseWriter
	mu      sync.Mutex // serializes Begin and Informational, which are called by different goroutines
	started atomic.Bool
	ended   atomic.Bool
	flushed bool // the whole answer was sent to the receiver
	status  int
	stream  bool
	sized   bool // the head has a Content-Length
	onBegin func(h http.Header)
}

// NewWriter returns a Writer to rw. If onBegin is not nil, it is called with the headers
// before they are sent and may add to them.
func NewWriter(rw http.ResponseWriter, onBegin func(h http.Header)) *Writer {
	return &Writer{rw: rw, onBegin: onBegin}
}

// Started reports whether the first byte of the answer was passed on.
func (w *Writer) Started() bool { return w.started.Load() }

// Complete reports whether the whole answer was passed on.
func (w *Writer) Complete() bool { return w.ended.Load() }

// Sent reports whether the whole answer was sent to the receiver. Otherwise its end is sent
// when the handler of the HTTP server returns.
func (w *Writer) Sent() bool { return w.flushed }

// Status returns the status that was passed on, or zero if the answer has not begun.
func (w *Writer) Status() int { return w.status }

// Informational passes on a 1xx answer except 100 and 101. The HTTP server itself sends 100
// when the body is read, and 101 would upgrade the protocol, which is not supported.
func (w *Writer) Informational(status int, h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started.Load() || status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return
	}
	dst := w.rw.Header()
	saved := dst.Clone()
	defer func() {
		clear(dst)
		copyHeader(dst, saved)
	}()
	copyHeader(dst, h)
	w.rw.WriteHeader(status)
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

// Flush sends the buffered part of the answer to the receiver.
func (w *Writer) Flush() error { return http.NewResponseController(w.rw).Flush() }

// EnableFullDuplex allows the answer to begin while the body of the request is still being
// read. By default the HTTP server first reads the body to its end.
func (w *Writer) EnableFullDuplex() {
	// A ResponseWriter that does not support the method is always full duplex.
	_ = http.NewResponseController(w.rw).EnableFullDuplex()
}

// SetReadDeadline limits the time for reading the request body.
func (w *Writer) SetReadDeadline(t time.Time) {
	// If the ResponseWriter does not support it, the end of the context still ends the call.
	_ = http.NewResponseController(w.rw).SetReadDeadline(t)
}

// writeGrace is the time for sending an error answer after the context of a call has ended.
const writeGrace = time.Second

// BoundWrites limits how long a write may block because the receiver does not read: it fails
// writeGrace after ctx has ended. Without this limit the request would keep its slot. release
// must be called before ctx is cancelled.
func (w *Writer) BoundWrites(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		w.setWriteDeadline(time.Now().Add(writeGrace))
	})
	return func() {
		if !stop() {
			<-done
			w.setWriteDeadline(time.Time{}) // the connection may be reused
		}
	}
}

func (w *Writer) setWriteDeadline(t time.Time) {
	// If the ResponseWriter does not support it, writes are not limited.
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
		// The flush lets the caller continue without waiting for the work after the answer:
		// records, metrics and the release of resources.
		_ = w.Flush() // fails if the receiver has disconnected
		w.flushed = true
	}
	return nil
}

// copyHeader adds src to dst. dst may share the value slices of src afterwards.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if existing := dst[name]; len(existing) > 0 {
			values = append(existing, values...)
		}
		dst[name] = values
	}
}
