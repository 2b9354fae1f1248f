package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleymill/errkind"
	"bramleymill/filter"
	"bramleymill/fleet"
)

// copyBytes is the size of the pooled buffers that bodies are copied through.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// exchange is one request sent on one connection.
type exchange struct {
	call   *filter.Call
	scheme string
	host   string // names the connection pool
	header http.Header
	expect bool // the body is sent only when the receiver asks for it
	// expectTimeout is the Transport's time after which it sends the body of a
	// request that expects 100 Continue without being asked.
	expectTimeout time.Duration

	mu     sync.Mutex
	conn   *countedConn
	before uint64 // writes of conn before this request
	other  bool   // a connection was used that does not count its writes

	asked   atomic.Bool  // 100 Continue was received
	waiting atomic.Int64 // when the wait for it began, in nanoseconds since epoch
	done    chan struct{}
}

// roundTrip sends the request. written is false only if it is proved that no
// byte of the request was sent and none will be.
func (x *exchange) roundTrip(t http.RoundTripper) (resp *http.Response, written bool, err error) {
	req, err := x.newRequest()
	if err != nil {
		return nil, false, err
	}
	resp, err = t.RoundTrip(req)
	if err != nil {
		return nil, !x.unwritten(), err
	}
	return resp, true, nil
}

// end ends the sending of a body that was not asked for.
func (x *exchange) end() { close(x.done) }

func (x *exchange) unwritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.other {
		return false
	}
	return x.conn == nil || x.conn.Unwritten(x.before)
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := info.Conn.(*countedConn)
	if !ok {
		x.other = true
		return
	}
	x.conn, x.before = c, c.Writes()
}

// newRequest builds the request such that http.Transport never repeats it by
// itself. The Transport repeats a request whose reused connection broke if it
// has no body, or one that can be opened again, and either its method is GET,
// HEAD, OPTIONS or TRACE or it has an Idempotency-Key header. The server may
// have run it by then. Therefore GetBody is never set, a request without a body
// is given an empty one, and the key header keeps a spelling that the Transport
// does not look up. Header names are compared without regard to case on the wire.
func (x *exchange) newRequest() (*http.Request, error) {
	in, body := x.call.Request, x.call.Body
	ctx := httptrace.WithClientTrace(x.call.Ctx, &httptrace.ClientTrace{
		GotConn:         x.gotConn,
		Wait100Continue: func() { x.waiting.Store(int64(time.Since(epoch))) },
		// Got100Continue comes before the body is read, Got1xxResponse may come after.
		Got100Continue: func() { x.asked.Store(true) },
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			x.call.Answer.Informational(code, endToEnd(http.Header(h)))
			return nil
		},
	})
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{Scheme: x.scheme, Host: x.host, Path: in.URL.Path, RawPath: in.URL.RawPath,
			RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.header,
		Host:   in.Host,
	}
	hideKey(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // the Transport would add its own
	}
	if wantsTrailers(in.Header) {
		out.Header["Te"] = []string{"trailers"}
	}
	if err := x.setBody(out, body, in); err != nil {
		return nil, err
	}
	return out.WithContext(ctx), nil
}

func hideKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
}

func (x *exchange) setBody(out *http.Request, body *filter.Body, in *http.Request) error {
	if body.Empty() && len(in.Trailer) == 0 {
		switch in.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			// The identity encoding sends the empty body without a length.
			out.Body = io.NopCloser(strings.NewReader(""))
			out.TransferEncoding = []string{"identity"}
		}
		return nil
	}
	r, err := body.Open()
	if err != nil {
		return err
	}
	out.ContentLength, out.Body = body.Length, r
	if len(in.Trailer) > 0 {
		out.ContentLength = -1
		out.Trailer = make(http.Header, len(in.Trailer))
		for name := range in.Trailer {
			out.Trailer[name] = nil
		}
		out.Body = &trailerBody{ReadCloser: r, from: in, to: out.Trailer}
	}
	if out.ContentLength == 0 {
		out.ContentLength = -1 // zero with a body means that the length is not known
	}
	if x.expect && !body.Whole() {
		out.Header["Expect"] = []string{"100-continue"}
		out.Body = &awaitedBody{ReadCloser: out.Body, exchange: x}
	}
	return nil
}

// awaitedBody is a body that the receiver has to ask for. The Transport also
// sends it after a final answer, in order to reuse the connection. Reading it
// then would ask the caller for a body that nothing needs, so that the Transport
// is kept waiting until the exchange is over.
type awaitedBody struct {
	io.ReadCloser
	exchange *exchange
}

// epoch is the zero of monotonic times.
var epoch = time.Now()

var errNotAsked = errors.New("the body was not asked for")

func (b *awaitedBody) Read(p []byte) (int, error) {
	x := b.exchange
	if !x.asked.Load() && time.Since(epoch)-time.Duration(x.waiting.Load()) < x.expectTimeout {
		<-x.done
		return 0, errNotAsked
	}
	return b.ReadCloser.Read(p)
}

// trailerBody copies the trailers of the received request, which are known at
// the end of its body, to the request that is sent.
type trailerBody struct {
	io.ReadCloser
	from *http.Request
	to   http.Header
}

func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.to {
			if v, ok := endToEndTrailer(b.from.Trailer)[name]; ok {
				b.to[name] = v
			}
		}
	}
	return n, err
}

// relay passes the answer on. An answer that ends early is an error, so that it
// is never taken for complete. atEnd may find such an early end that the
// protocol does not show.
func relay(c *filter.Call, resp *http.Response, h http.Header, atEnd func() error) error {
	defer func() { _ = resp.Body.Close() }()
	head := filter.Head{Status: resp.StatusCode, Header: h, Trailer: endToEndTrailer(resp.Trailer)}
	if n := resp.Header["Content-Length"]; n != nil {
		head.Header["Content-Length"] = n
	}
	head.Stream = resp.ContentLength < 0 && c.Request.Method != http.MethodHead
	c.Status = resp.StatusCode
	if err := c.Answer.Begin(head); err != nil {
		return err
	}
	if err := copyBody(c, resp.Body); err != nil {
		return err
	}
	if err := atEnd(); err != nil {
		return err
	}
	return c.Answer.End(endToEndTrailer(resp.Trailer))
}

func copyBody(c *filter.Call, from io.Reader) error {
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := from.Read(buf[:])
		if n > 0 {
			if _, werr := c.Answer.Write(buf[:n]); werr != nil {
				return errkind.New(errkind.CallerGone, "pass on the answer: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return lost(c, "answer broke off", err)
		}
	}
}

// lost returns the error of a request that may have run.
func lost(c *filter.Call, what string, err error) error {
	switch cause := context.Cause(c.Ctx); {
	case cause == nil:
		return errkind.New(errkind.ConnectionLost, "%s: %w", what, err)
	case errors.Is(cause, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineExceeded, "%s: %w", what, err)
	case errors.Is(cause, filter.ErrLost):
		return cause
	case errors.Is(cause, errCutOff):
		return errkind.New(errkind.OutcomeUnknown, "%s: %w", what, cause)
	default:
		return errkind.New(errkind.CallerGone, "%s: %w", what, err)
	}
}

// notSent returns the error of a request that was proved not sent, of kind k
// unless the call has ended by itself.
func notSent(c *filter.Call, k errkind.Kind, err error) error {
	if c.Ctx.Err() != nil {
		if errors.Is(context.Cause(c.Ctx), filter.ErrLost) {
			return filter.ErrLost
		}
		k = errkind.DeadlineBeforeRun
	}
	return errkind.New(k, "nothing was sent: %w", err)
}

// refusal returns the error that a peer's answer states, or nil.
func refusal(resp *http.Response) error {
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

// maxRefusalBytes bounds the text of a refusal that is kept.
const maxRefusalBytes = 1024
