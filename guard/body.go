package guard

import (
	"errors"
	"io"
	"net/http"
)

// Errors of ReadBody.
var (
	ErrTooLarge = errors.New("the body exceeds the limit")
	ErrMemory   = errors.New("the memory budget of the process does not hold the body")
)

// firstRead is the size of the first buffer of ReadLimited.
const firstRead = 4 << 10

// ReadBody reads the body of a request of at most limit bytes. It reserves factor bytes of the
// budget for each byte, because decoding the body takes memory too. The memory grows with the
// bytes that arrive.
func ReadBody(r *http.Request, limit, factor int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	}
	c := FromContext(r.Context())
	c.BeginBody()
	body, err := ReadLimited(watchedBody{r.Body, c}, limit, func(n int64) bool { return c.Grow(n * factor) })
	if !c.EndBody() {
		return nil, ErrMemory
	}
	return body, err
}

// watchedBody is a body whose reads are limited in time by the door of its connection.
type watchedBody struct {
	io.Reader
	conn *Conn
}

func (b watchedBody) Read(p []byte) (int, error) {
	b.conn.BeginRead()
	defer b.conn.EndRead()
	return b.Reader.Read(p)
}

// ReadLimited reads at most limit bytes until the end of from. It calls grow before it allocates
// n more bytes, which happens as bytes arrive. It returns ErrTooLarge if there are more bytes and
// ErrMemory if grow returns false.
func ReadLimited(from io.Reader, limit int64, grow func(n int64) bool) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstRead), limit+1) // one more byte reveals a body that is too large
			if !grow(size - int64(cap(body))) {
				return nil, ErrMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
