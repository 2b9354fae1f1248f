package guard

import (
	"fmt"
	"net/http"
	"time"
)

// RefusalHeader names the header that states why a request was refused. A node reads it in the
// answers of other nodes (fleet.HeaderKind).
const RefusalHeader = "Bramleymill-Kind"

const (
	retryAfter  = "1"
	refusalTime = 100 * time.Millisecond // time for sending a refusal
)

// Refuse answers that the memory budget does not hold the request, which was not run.
func Refuse(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if c := FromContext(r.Context()); c != nil && c.door.config.RefusalKind != "" {
		h.Set(RefusalHeader, c.door.config.RefusalKind)
	}
	h.Set("Retry-After", retryAfter)
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answer sends the refusal for a bound.
func (c *Conn) answer(b Bound) {
	status := http.StatusServiceUnavailable
	switch b {
	case HeadBytes, HeadLines:
		status = http.StatusRequestHeaderFieldsTooLarge
	case EmptyLines:
		status = http.StatusBadRequest
	case HeadTime, BodyTime:
		status = http.StatusRequestTimeout
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Conn.Write(c.door.refusal(status)) // the client may have disconnected
}

// refusal returns an answer that closes the connection.
func (d *Door) refusal(status int) []byte {
	header := ""
	if status == http.StatusServiceUnavailable {
		header = "Retry-After: " + retryAfter + "\r\n"
		if d.config.RefusalKind != "" {
			header += RefusalHeader + ": " + d.config.RefusalKind + "\r\n"
		}
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), header)
}

// refuse answers a head that reached a bound. No request before it has an answer outstanding,
// because the HTTP server serves the requests of a connection one after the other.
func (c *Conn) refuse(b Bound) {
	if b != Memory { // Grow has reported it
		c.guard.report(b, c.door, c.address)
	}
	c.answer(b)
}
