package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"bramleymill/filter"
)

// inlineBody is the size of the largest body that the goroutine of the call writes
// before it reads the answer. Such a body fits into the send buffer of a connection,
// so a server that answers without reading the body cannot block the exchange.
const inlineBody = 16 << 10

// Limits of the status line and headers of an answer, in bytes. Short header lines take some
// 30 times their size in memory, for each request in flight.
const (
	// maxAnswerHead applies to backend servers. It is the limit for the headers of requests too.
	maxAnswerHead = 64 << 10
	// maxPeerAnswerHead leaves room for the headers that a node adds.
	maxPeerAnswerHead = maxAnswerHead + 8<<10
)

// sendGrace bounds the wait for a body that is still being sent when its answer is
// complete. If the body ends within this time, the connection is used again.
const sendGrace = 50 * time.Millisecond

// exchange is one request and its answer on one connection. The goroutine of the
// call writes the request and reads the answer itself, because a goroutine for each
// direction would add two wake-ups to each hop. Only a body that is large or not yet
// fully received is sent by another goroutine.
type exchange struct {
	call   *filter.Call
	host   string // key of the connections in the pool
	header http.Header
	rules  headerRules
	id     string        // id of the request, which the answer repeats in a dialect
	skip   int           // number of answers to other requests that may still be skipped
	peer   bool          // the server is a node
	served *atomic.Int64 // length of the large answers of the backend server that are buffered; nil: none may be
	expect bool          // a streamed body is sent only after 100 Continue
	// expectTimeout is the time after which a body is sent without 100 Continue.
	expectTimeout time.Duration

	pool         *pool
	link         *link
	writesBefore uint64      // number of writes to link before this request
	stop         func() bool // prevents link.interrupt at the end of the context; false: interrupt has started

	inline      bool          // the goroutine of the call writes the body
	sendResult  chan error    // result of the sending goroutine; nil if there is none
	continued   chan struct{} // closed when 100 Continue was received
	gotContinue bool          // 100 Continue was received
	interim     int           // informational answers received
	done        chan struct{} // closed at the end of the exchange
	bodyBroken  atomic.Bool   // the body to be sent could not be read to its end
	response    *http.Response
	complete    bool // the final answer was read to its end
}

// roundTrip sends the request and reads the status line and headers of the answer.
// written is false only if no byte of the request was sent and none will be. After
// an error the exchange has ended; otherwise the caller must call end.
func (x *exchange) roundTrip(p *pool) (resp *http.Response, written bool, err error) {
	x.pool, x.continued, x.done = p, make(chan struct{}), make(chan struct{})
	req, err := x.newRequest()
	if err != nil {
		return nil, false, err
	}
	if x.link, err = p.get(x.call.Ctx, x.host); err != nil {
		return nil, false, err
	}
	x.writesBefore = x.link.Writes()
	x.stop = context.AfterFunc(x.call.Ctx, x.link.interrupt)
	ended := true // also after a panic
	defer func() {
		if ended {
			x.end()
		}
	}()
	if err = x.send(req); err == nil {
		x.response, err = x.head(req)
	}
	if err != nil {
		return nil, !x.link.Unwritten(x.writesBefore), err
	}
	x.response.Body = &answerBody{Reader: x.response.Body, exchange: x}
	ended = false
	return x.response, true, nil
}

// send writes the request. If its body is not inline, another goroutine writes the
// request.
func (x *exchange) send(req *http.Request) error {
	if x.inline {
		return x.write(req)
	}
	x.sendResult = make(chan error, 1)
	go func() {
		err := x.write(req)
		if x.bodyBroken.Load() {
			x.link.interrupt() // the receiver must not accept the partial body as complete
		}
		x.sendResult <- err
	}()
	return nil
}

func (x *exchange) write(req *http.Request) error {
	if err := req.Write(x.link.out); err != nil {
		return err
	}
	return x.link.out.Flush()
}

// head reads the status line and headers of the final answer. It passes on
// informational answers and skips answers to other requests.
func (x *exchange) head(req *http.Request) (*http.Response, error) {
	limit := int64(maxAnswerHead)
	if x.peer {
		limit = maxPeerAnswerHead
	}
	for {
		x.link.limitReads(limit)
		resp, err := http.ReadResponse(x.link.in, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, errNoStatus
		}
		if resp.StatusCode < http.StatusOK {
			if x.interim++; x.interim > maxInformational {
				return nil, errTooManyInformational
			}
		}
		switch {
		case resp.StatusCode == http.StatusContinue:
			if !x.gotContinue {
				x.gotContinue = true
				close(x.continued)
			}
		case resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols:
			x.call.Answer.Informational(resp.StatusCode, x.rules.endToEnd(resp.Header))
		case x.skip > 0 && x.rules.dialect.classify(x.id, resp) == mismatched:
			x.skip--
			if err := x.discardAnswer(resp); err != nil {
				return nil, err
			}
		default:
			x.link.limitReads(math.MaxInt64)
			return resp, nil
		}
	}
}

// maxInformational is the number of informational answers that may precede the final one.
// A faulty server may send them without end.
const maxInformational = 16

var (
	errNoStatus             = errors.New("the status is below 100, so the bytes are not an answer")
	errTooManyInformational = errors.New("too many informational answers")
)

// maxSkipped is the number of answers to other requests that an exchange skips, and
// maxSkippedBytes bounds the body of each of them.
const (
	maxSkipped      = 3
	maxSkippedBytes = 1 << 20
)

// discardAnswer reads and discards the body of an answer that belongs to another
// request. The answer to this request follows on the connection.
func (x *exchange) discardAnswer(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || resp.Close {
		return errors.New("cannot skip an answer to another request because its length is not known or the server closes the connection")
	}
	x.link.limitReads(maxSkippedBytes)
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// end returns the connection to the pool. It closes the connection instead if a part
// of the request or its answer may still follow on it.
func (x *exchange) end() {
	close(x.done)
	l, p, host := x.link, x.pool, x.host
	if !x.stop() || !x.complete || x.response.Close || x.response.StatusCode < http.StatusOK || l.in.Buffered() > 0 {
		p.discard(host, l)
		return
	}
	if x.sendResult == nil {
		p.put(host, l)
		return
	}
	go putWhenSent(p, host, l, x.sendResult)
}

// putWhenSent waits until a request has been sent completely, and then returns its
// connection to the pool. It closes the connection if sending fails or takes longer
// than sendGrace. The answer is already complete when putWhenSent is called.
func putWhenSent(p *pool, host string, l *link, sent <-chan error) {
	timer := time.NewTimer(sendGrace)
	defer timer.Stop()
	select {
	case err := <-sent:
		if err == nil {
			p.put(host, l)
			return
		}
	case <-timer.C:
	}
	p.discard(host, l)
}

// answerBody records that the answer was read to its end. Closing it early does not
// read the rest; the end of the exchange then closes the connection.
type answerBody struct {
	io.Reader
	exchange *exchange
}

var errAnswerReset = errors.New("the connection was reset during an answer without a length, while the request was being sent")

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		x := b.exchange
		if x.endsWithConnection() && x.link.resetDuringWrite() {
			return n, errAnswerReset
		}
		x.complete = true
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection shows the end of the answer.
func (x *exchange) endsWithConnection() bool {
	return x.response.Close && x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

func (b *answerBody) Close() error { return nil }

func (x *exchange) newRequest() (*http.Request, error) {
	in, body := x.call.Request, x.call.Body
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{Scheme: "http", Host: x.host, Path: in.URL.Path, RawPath: in.URL.RawPath,
			RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.header,
		Host:   in.Host,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // net/http would otherwise add one
	}
	if wantsTrailers(in.Header) {
		out.Header["Te"] = []string{"trailers"}
	}
	return out, x.setBody(out, body, in)
}

func (x *exchange) setBody(out *http.Request, body *filter.Body, in *http.Request) error {
	if body.Empty() && len(in.Trailer) == 0 {
		x.inline = true
		return nil
	}
	r, err := body.Open()
	if err != nil {
		return err
	}
	x.inline = body.FullyBuffered() && body.Length <= inlineBody
	out.ContentLength, out.Body = body.Length, r
	if len(in.Trailer) > 0 {
		out.ContentLength = -1
		out.Trailer = make(http.Header, len(in.Trailer))
		for name := range in.Trailer {
			out.Trailer[name] = nil
		}
		out.Body = &trailerBody{ReadCloser: r, rules: x.rules, from: in, to: out.Trailer}
	}
	if out.ContentLength == 0 {
		out.ContentLength = -1 // net/http treats zero with a body as an unknown length too
	}
	if !body.FullyBuffered() {
		if x.expect {
			out.Header["Expect"] = []string{"100-continue"}
		}
		out.Body = &streamedBody{ReadCloser: out.Body, exchange: x, wait: x.expect}
	}
	return nil
}

var errNoContinue = errors.New("the final answer came before 100 Continue; the body was not sent")

// streamedBody is a body that is sent while it is received. If wait is set, its first
// Read waits for 100 Continue from the receiver. An earlier Read would make net/http
// send 100 Continue to a sender that waits for it.
type streamedBody struct {
	io.ReadCloser
	exchange *exchange
	wait     bool // the next Read waits for 100 Continue
}

func (b *streamedBody) Read(p []byte) (int, error) {
	x := b.exchange
	if b.wait {
		if !x.awaitContinue() {
			return 0, errNoContinue
		}
		b.wait = false
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		x.bodyBroken.Store(true)
	}
	return n, err
}

// awaitContinue waits for 100 Continue, at most for expectTimeout. It reports
// whether the body may be sent, and false if the exchange ended first.
func (x *exchange) awaitContinue() bool {
	timer := time.NewTimer(x.expectTimeout)
	defer timer.Stop()
	select {
	case <-x.continued:
		return true
	case <-timer.C:
		return true
	case <-x.done:
		return false
	}
}

// trailerBody copies the trailers of the received request to the request that is
// sent. They are known only at the end of the received body.
type trailerBody struct {
	io.ReadCloser
	rules headerRules
	from  *http.Request
	to    http.Header
}

func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.to {
			if v, ok := b.rules.trailer(b.from.Trailer)[name]; ok {
				b.to[name] = v
			}
		}
	}
	return n, err
}
