package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Dialect names the headers that the callers and backend servers of a platform
// use. With a Dialect, all headers pass in both directions except those between
// nodes and those that the fields below name as set by the node.
type Dialect struct {
	RequestID      string // id of a request, chosen by its caller and repeated in the answer
	Timeout        string // milliseconds that the caller waits; set to what is left for the backend server
	ExpectInstance string // set to the instance that the request is for; any other one refuses it unrun
	CallerService  string // set to the service beside whose node the request entered
	Load           string // in answers: running, waiting, slots and pace
	NotRun         string // in answers: the backend server has not run the request
	Instance       string // in health answers: the instance that answers
	Stamp          string // in answers: marks what a backend server has made

	// CallSeparator stands in the id of a call that a backend server makes between
	// the id of the request that it runs and a part of its own. Empty: ids do not
	// tell the request that a call is made for.
	CallSeparator string
}

// parentID returns the id of the request that the backend server would have made
// a call for, judging by the id of the call.
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

// nodeHeaders are meant for other nodes. They are never passed on.
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
type headerRules struct{ dialect *Dialect } // nil: the product's own headers

// internal reports whether a header is not passed on although it is end-to-end.
func (r headerRules) internal(name string) bool {
	if r.dialect == nil {
		return isProjectHeader(name)
	}
	return nodeHeaders[http.CanonicalHeaderKey(name)]
}

// LoadState is the load that a backend server tells with an answer.
type LoadState struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the time that work takes at present, relative to the usual time.
	// Zero: not told.
	Slowdown float64
}

// usualPace is the figure for work that takes as long as usual.
const usualPace = 100

// parseLoad reads a load header.
func parseLoad(v string) (l LoadState, ok bool) {
	fields := strings.Split(v, ",")
	if len(fields) < 3 || len(fields) > 8 {
		return l, false
	}
	var n [4]int
	for i := range min(len(fields), len(n)) {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(fields[i])); err != nil || n[i] < 0 {
			return l, false
		}
	}
	return LoadState{Running: n[0], Waiting: n[1], Slots: n[2], Slowdown: float64(n[3]) / usualPace}, true
}

// verdict is what the head of an answer says about its request.
type verdict uint8

const (
	answered verdict = iota + 1
	stray            // belongs to another request: it came late on this connection
	refused          // proved not run
	spoiled          // a success without the mark of a backend server
)

// judge tells what an answer to the request called id is.
func (d *Dialect) judge(id string, resp *http.Response) verdict {
	echoed := resp.Header.Get(d.RequestID)
	switch {
	case echoed != "" && echoed != id:
		return stray
	case resp.Header.Get(d.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest:
		return refused
	case resp.StatusCode < http.StatusMultipleChoices && (echoed == "" || resp.Header.Get(d.Stamp) == ""):
		return spoiled
	}
	return answered
}

// Times after which a caller may try again.
const (
	// overloadRetryAfter is short against the latency targets, because load changes
	// within milliseconds.
	overloadRetryAfter = 20 * time.Millisecond
	// joinRetryAfter is the time in which a node that was just started gets its
	// configuration and hears of the servers.
	joinRetryAfter = 300 * time.Millisecond
)

// retryAfter returns the time after which what caused a refusal may have passed.
func retryAfter(k errkind.Kind) time.Duration {
	switch k {
	case errkind.ConfigAbsent, errkind.ConfigUnconfirmed, errkind.NoBackendServer, errkind.BackendDown:
		return joinRetryAfter
	}
	return overloadRetryAfter
}

// errorHeader returns the headers of an answer of the node.
func (d *Dialect) errorHeader(e *errkind.Error) http.Header {
	h := http.Header{}
	if a := errkind.Lookup(e.Kind); a.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter(e.Kind).Seconds(), 'f', 3, 64))
	}
	return h
}
