package filter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleymill/clock"
	"bramleymill/errkind"
	"bramleymill/guard"
)

// prefixBytes is the maximum number of bytes that are read ahead of a streamed body. The
// prefix is part of the fingerprint that identifies a request that crashes servers.
const prefixBytes = 64 << 10

// ErrBodyConsumed is returned by Body.Open when a streamed body was already
// read beyond its buffered prefix.
var ErrBodyConsumed = errors.New("request body was already consumed")

// Body is a request body. All of it, a prefix or nothing is buffered. A fully buffered body
// can be opened any number of times. Any other body can be opened until a reader has read
// beyond the buffered prefix.
type Body struct {
	Length          int64 // -1: unknown
	ExpectsContinue bool  // the caller waits for 100 Continue before it sends the body
	Trailer         func() http.Header

	mu           sync.Mutex
	prefix       []byte
	complete     bool      // prefix holds the whole body
	rest         io.Reader // the body after prefix
	restAcquired bool      // a reader has begun to read rest
	restEnded    bool      // rest was read to its end
	restReader   *bodyReader
	onEnd        func()      // called once when rest was read to its end; may be nil
	conn         *guard.Conn // connection from which the body is read; nil: without bounds
}

// Replayable reports whether Open will succeed.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete || !b.restAcquired
}

// FullyBuffered reports whether the whole body is buffered.
func (b *Body) FullyBuffered() bool { return b.complete }

// Empty reports whether the request has no body.
func (b *Body) Empty() bool { return b.complete && len(b.prefix) == 0 }

// Open returns a reader of the whole body, or ErrBodyConsumed.
func (b *Body) Open() (io.ReadCloser, error) {
	if !b.Replayable() {
		return nil, ErrBodyConsumed
	}
	if b.complete {
		// net/http recognizes this reader as one that does not block and sends the headers and
		// the body in one write.
		return io.NopCloser(bytes.NewReader(b.prefix)), nil
	}
	return &bodyReader{body: b, prefix: bytes.NewReader(b.prefix), done: make(chan struct{})}, nil
}

// Unread reports whether a part of the body was not read from the connection.
func (b *Body) Unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.complete && !b.restEnded
}

// Discard reads and discards what is left of the body after its answer, for at most the time
// limit. It must be called before the handler of the HTTP server returns while a part of the
// body is unread: a reader that another goroutine still uses would make the server take the
// rest of the body for the next request. The caller limits reads from the connection too.
func (b *Body) Discard(limit time.Duration) {
	b.mu.Lock()
	reader, acquired := b.restReader, b.restAcquired
	b.restAcquired = true
	b.mu.Unlock()
	if acquired && reader != nil {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-reader.done:
		case <-timer.C:
			return
		}
	}
	if b.Unread() {
		_, _ = io.Copy(io.Discard, b.rest) // the connection is closed in any case
	}
}

// bodyReader reads a body that is not fully buffered.
type bodyReader struct {
	body     *Body
	prefix   *bytes.Reader
	closed   atomic.Bool
	mu       sync.Mutex
	ownsRest bool          // this reader has acquired the rest of the body
	done     chan struct{} // closed when the reader has stopped reading the rest
	stopped  bool          // done is closed
}

func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if r.prefix.Len() > 0 {
		return r.prefix.Read(p)
	}
	if !r.ownsRest {
		if !r.body.acquireRest(r) {
			return 0, ErrBodyConsumed
		}
		r.ownsRest = true
	}
	n, err := r.body.readRest(p)
	if errors.Is(err, io.EOF) {
		r.body.markRestEnded()
	}
	if err != nil || r.closed.Load() {
		r.stop()
	}
	return n, err
}

// stop reports that the reader does not read any more. The caller holds mu.
func (r *bodyReader) stop() {
	if !r.stopped {
		r.stopped = true
		close(r.done)
	}
}

// Close does not wait for a Read that is blocked on the network. The HTTP server ends such
// a Read when it closes the connection of the caller.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	if r.mu.TryLock() {
		defer r.mu.Unlock()
		r.stop()
	}
	return nil
}

// OnEnd makes the body call f once when it has been read to its end, immediately if it was
// before.
func (b *Body) OnEnd(f func()) {
	b.mu.Lock()
	ended := b.complete || b.restEnded
	if !ended {
		b.onEnd = f
	}
	b.mu.Unlock()
	if ended {
		f()
	}
}

func (b *Body) markRestEnded() {
	b.mu.Lock()
	b.restEnded = true
	f := b.onEnd
	b.onEnd = nil
	b.mu.Unlock()
	if f != nil {
		f()
	}
}

// acquireRest reserves the rest of the body for the reader r, which calls it. It returns false
// if another reader has reserved it before.
func (b *Body) acquireRest(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restAcquired {
		return false
	}
	b.restAcquired, b.restReader = true, r
	return true
}

// NewBody returns a Body over the body of r without reading it.
func NewBody(r *http.Request) *Body {
	b := &Body{
		Length:          r.ContentLength,
		ExpectsContinue: r.Header.Get("Expect") != "",
		Trailer:         func() http.Header { return r.Trailer },
		rest:            r.Body,
		conn:            guard.FromContext(r.Context()),
	}
	if r.Body == nil || r.Body == http.NoBody {
		b.Length, b.complete, b.rest = 0, true, nil
	}
	return b
}

// ReadAhead buffers the whole body if its length is known and does not exceed limit.
func (b *Body) ReadAhead(limit int64) error {
	if b.complete || b.Length < 0 || b.Length > limit {
		return nil
	}
	return b.buffer(limit)
}

// readEOF reads the end of a body of known length. The HTTP server can then reuse the
// connection and detect that the caller disconnects.
func (b *Body) readEOF() error {
	var one [1]byte
	if n, err := b.rest.Read(one[:]); n != 0 || (err != nil && !errors.Is(err, io.EOF)) {
		return errors.Join(errors.New("body is longer than its stated length"), err)
	}
	return nil
}

type bodyFilter struct {
	next  Handler
	clock clock.Clock
}

// NewBodyFilter returns the filter that buffers request bodies, so that requests can be
// retried and claims can record a fingerprint of the body. A body with an idempotency key
// is always fully buffered. A body without a key is not buffered if the caller waits for 100
// Continue. In all other cases it is fully buffered if its stated length does not exceed the
// limit of the class, and only up to prefixBytes if it is larger or of unknown length.
func NewBodyFilter(next Handler, k clock.Clock) Handler { return &bodyFilter{next, k} }

func (f *bodyFilter) Serve(c *Call) error {
	c.Body = NewBody(c.Request)
	if limit := c.Class.BodyLimit; limit > 0 && c.Body.Length > limit {
		return errkind.New(errkind.BodyTooLarge, "body of %d bytes exceeds the limit of %d", c.Body.Length, limit)
	}
	if !c.Body.complete {
		if err := f.read(c); err != nil {
			return err
		}
	}
	if w, ok := c.Answer.(*Writer); ok && !c.Body.FullyBuffered() {
		w.EnableFullDuplex()
	}
	c.Meta.Uploading = !c.Body.FullyBuffered()
	c.Meta.Fingerprint = fingerprintOf(c)
	if c.Key != "" {
		c.BodyHash = hashRequest(c)
	}
	return f.next.Serve(c)
}

func (f *bodyFilter) read(c *Call) error {
	limit := c.Class.MaxBody
	if c.Key != "" {
		if c.Body.Length > limit {
			return errkind.New(errkind.BodyTooLarge, "body of %d bytes exceeds the limit of %d", c.Body.Length, limit)
		}
		limit++ // one more byte reveals that a body of unknown length is too large
	} else {
		if c.Body.ExpectsContinue {
			// Reading now would request the body before the backend server has accepted it.
			return nil
		}
		if c.Body.Length < 0 || c.Body.Length > limit {
			limit = min(limit, prefixBytes)
		}
	}
	setReadDeadline(c, time.Now().Add(c.Deadline.Sub(f.clock.Now())))
	if err := c.Body.buffer(limit); err != nil {
		return f.readError(c, err)
	}
	setReadDeadline(c, time.Time{}) // otherwise its expiry would look like a disconnected caller
	if c.Key != "" && int64(len(c.Body.prefix)) > c.Class.MaxBody {
		return errkind.New(errkind.BodyTooLarge, "body exceeds the limit of %d bytes", c.Class.MaxBody)
	}
	return nil
}

// readError returns the error for a body that could not be read. No attempt has been sent to
// a server yet.
func (f *bodyFilter) readError(c *Call, err error) error {
	if errors.Is(err, errNoMemory) {
		return err
	}
	if !f.clock.Now().Before(c.Deadline) || c.Ctx.Err() != nil {
		return errkind.New(errkind.DeadlineBeforeRun, "read body: %w", err)
	}
	return errkind.New(errkind.BadRequest, "read body: %w", err)
}

func setReadDeadline(c *Call, t time.Time) {
	if w, ok := c.Answer.(*Writer); ok {
		w.SetReadDeadline(t)
	}
}

// fingerprintOf returns a hash that is the same for copies of a request. It covers the class,
// the idempotency key if there is one, method, path, query and buffered prefix.
func fingerprintOf(c *Call) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Class.Name)
	if c.Key != "" {
		// Another request may have the same key. It must not become a crash suspect with this one.
		_, _ = d.WriteString("\x00key\x00" + c.Key)
	}
	_, _ = d.WriteString("\x00" + c.Request.Method + "\x00" + c.Request.URL.RequestURI() + "\x00")
	_, _ = d.Write(c.Body.prefix[:min(len(c.Body.prefix), prefixBytes)])
	return d.Sum64()
}
