package proxy

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Dialect names the headers that the callers and backend servers of a platform use.
// With a Dialect, all headers are passed on in both directions, except the headers
// between nodes and those that the node itself sets according to the fields below.
type Dialect struct {
	RequestID      string // id of a request, chosen by its caller and repeated in the answer
	Timeout        string // milliseconds that the caller waits; the node sets it to the remaining time
	ExpectInstance string // set to the target instance; another instance refuses the request without running it
	CallerService  string // set to the service whose backend server runs beside the entry node
	Load           string // in answers: running and waiting requests, slots, slowdown
	NotRun         string // in answers: set if the backend server did not run the request
	Instance       string // in health answers: the instance of the backend server
	Stamp          string // in answers: set if a backend server created the answer
	RateLimit      string // in answers: requests a second that the backend server accepts from all nodes together
	CustomerKey    string // in requests of callers: key of a customer; never passed on
	Customer       string // in requests to backend servers: name of the customer
	Leaving        string // in answers: set if the backend server is about to end
	ColdRemaining  string // in health answers: milliseconds for which the backend server is still cold

	// CallSeparator separates the parts of the id of a nested call, which is a call that
	// a backend server makes while it runs a request. The id consists of the id of the
	// request, the separator, and a suffix for the call. Empty: the id of a nested call
	// does not name the request.
	CallSeparator string
}

// parentID extracts from the id of a nested call the id of the request that the
// backend server was running when it made the call. It does not check that this
// request exists.
func (d *Dialect) parentID(id string) (string, bool) {
	i := -1
	if d.CallSeparator != "" {
		i = strings.LastIndex(id, d.CallSeparator)
	}
	if i <= 0 {
		return "", false
	}
	return id[:i], true
}

// nodeHeaders lists the headers between nodes. They are never passed on to callers
// or backend servers.
var nodeHeaders = map[string]bool{
	fleet.HeaderCall:     true,
	fleet.HeaderCallMeta: true,
	fleet.HeaderLoad:     true,
	fleet.HeaderKind:     true,
	fleet.HeaderOutcome:  true,
	fleet.HeaderServedBy: true,
	headerExpect:         true,
	headerAttemptsLeft:   true,
}

// headerRules decides which headers are passed on.
type headerRules struct{ dialect *Dialect } // nil: the headers of this product

// internal reports whether a header must not be passed on although it is end-to-end.
// In a dialect these are the headers between nodes, otherwise all headers of this
// product.
func (r headerRules) internal(name string) bool {
	if r.dialect == nil {
		return isProjectHeader(name)
	}
	return nodeHeaders[http.CanonicalHeaderKey(name)]
}

// identity reports whether a header of a request states whose request it is. Such a header is
// not passed on: the key is a secret, and the node sets the name itself.
func (r headerRules) identity(name string) bool {
	return r.dialect != nil && (strings.EqualFold(name, r.dialect.CustomerKey) || strings.EqualFold(name, r.dialect.Customer))
}

// LoadState is the load that a backend server reports with an answer.
type LoadState struct {
	Running int // requests that the server is running
	Waiting int // requests that wait for a slot of the server
	Slots   int // requests that the server runs at the same time
	// Slowdown is the current service time relative to the usual one. Zero: not
	// reported.
	Slowdown float64
}

// usualSlowdown is the value in the load header that stands for the usual service
// time. The header states the slowdown in percent.
const usualSlowdown = 100

// maxLoadField is the largest accepted value of a field of a load header. Times that are
// computed from larger values would overflow.
const maxLoadField = 1_000_000

// parseLoad parses a load header, which has 3 to 8 fields separated by commas. The
// first four are running requests, waiting requests, slots, and slowdown in percent.
// Further fields are ignored.
func parseLoad(v string) (l LoadState, ok bool) {
	fields := strings.Split(v, ",")
	if len(fields) < 3 || len(fields) > 8 {
		return l, false
	}
	var n [4]int
	for i := range min(len(fields), len(n)) {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(fields[i])); err != nil || n[i] < 0 || n[i] > maxLoadField {
			return l, false
		}
	}
	return LoadState{Running: n[0], Waiting: n[1], Slots: n[2], Slowdown: float64(n[3]) / usualSlowdown}, true
}

// verdict classifies an answer by its status and headers.
type verdict uint8

const (
	answered   verdict = iota + 1 // the answer belongs to the request
	mismatched                    // the answer belongs to an earlier request on this connection
	notRun                        // the answer proves that the request did not run
	unstamped                     // an answer that lacks what shows that it belongs to the request
)

// classify returns the verdict on an answer to the request with the given id. An answer that
// does not repeat the id may be one that a faulty server writes in addition, while it runs the
// request: it neither answers the request nor proves that it did not run. A status that callers
// take as a refusal is passed on without that proof only if the stamp shows that the backend
// server chose it.
func (d *Dialect) classify(id string, resp *http.Response) verdict {
	echoed := resp.Header.Get(d.RequestID)
	stamped := resp.Header.Get(d.Stamp) != ""
	refusal := resp.Header.Get(d.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	switch {
	case echoed != "" && echoed != id:
		return mismatched
	case echoed != id:
		return unstamped
	case refusal:
		return notRun
	case (resp.StatusCode < http.StatusMultipleChoices || meansNotRun(resp.StatusCode)) && (echoed == "" || !stamped):
		return unstamped
	}
	return answered
}

// meansNotRun reports whether callers take a status as the statement that the request has
// not run and may be sent again.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Values for Retry-After.
const (
	// overloadRetryAfter is short relative to the latency targets, because load changes
	// within milliseconds.
	overloadRetryAfter = 20 * time.Millisecond
	// joinRetryAfter is long enough for a node that has just started to receive its
	// configuration and to discover the servers.
	joinRetryAfter = 300 * time.Millisecond
)

// retryAfter returns the time after which a refusal of kind k may no longer apply.
func retryAfter(k errkind.Kind) time.Duration {
	switch k {
	case errkind.ConfigAbsent, errkind.ConfigUnconfirmed, errkind.NoBackendServer, errkind.BackendDown, errkind.QuotaUnavailable:
		return joinRetryAfter
	}
	return overloadRetryAfter
}

// errorHeader returns the headers that an error answer of the node has in the
// dialect.
func (d *Dialect) errorHeader(e *errkind.Error) http.Header {
	h := http.Header{}
	switch errkind.Lookup(e.Kind).Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after := cmp.Or(e.RetryAfter, retryAfter(e.Kind))
		after = (after + time.Millisecond - 1).Truncate(time.Millisecond)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return h
}
