package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"bramleymill/fleet"
)

// Headers between nodes that are used only by this package.
const (
	headerExpect       = fleet.HeaderPrefix + "Expect"        // the caller waits for 100 Continue
	headerAttemptsLeft = fleet.HeaderPrefix + "Attempts-Left" // attempts reserved for nested calls but not used by them
)

// hopByHop lists the headers that apply to one connection only. Trailer is generated
// again for each hop.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// endToEnd returns a copy of h without hop-by-hop headers, headers that Connection
// lists, internal headers, and headers that state whose request it is. h is the header of a
// request.
func (r headerRules) endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	listed := connectionTokens(h)
	for name, values := range h {
		if hopByHop[name] || r.internal(name) || r.identity(name) || listed[name] {
			continue
		}
		out[name] = values
	}
	return out
}

// answer removes from the headers of an answer those that endToEnd omits, except
// Content-Length, which also holds for the answer that is passed on.
func (r headerRules) answer(h http.Header) http.Header {
	listed := connectionTokens(h)
	for name := range h {
		if name != "Content-Length" && (hopByHop[name] || r.internal(name) || listed[name]) {
			delete(h, name)
		}
	}
	return h
}

// connectionTokens returns the header names that Connection lists.
func connectionTokens(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := map[string]bool{}
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			if token = textproto.TrimString(token); token != "" {
				listed[http.CanonicalHeaderKey(token)] = true
			}
		}
	}
	return listed
}

// isProjectHeader reports whether name has the header prefix of this product. It
// ignores case, because a header map can contain names that are not in canonical
// form.
func isProjectHeader(name string) bool {
	return len(name) >= len(fleet.HeaderPrefix) && strings.EqualFold(name[:len(fleet.HeaderPrefix)], fleet.HeaderPrefix)
}

// trailer returns the trailers that may be passed on.
func (r headerRules) trailer(t http.Header) http.Header {
	if len(t) == 0 {
		return nil
	}
	out := make(http.Header, len(t))
	for name, values := range t {
		if !hopByHop[name] && !r.internal(name) && !r.identity(name) {
			out[name] = values
		}
	}
	return out
}

// wantsTrailers reports whether the sender of h accepts trailers.
func wantsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(textproto.TrimString(token), "trailers") {
				return true
			}
		}
	}
	return false
}
