package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the name of an error kind. It is sent to callers and to other nodes.
type Kind string

// Outcome states whether a request ran, as far as is known.
type Outcome string

// The outcomes of a request that was not answered by a backend server.
const (
	Rejected   Outcome = "rejected"   // the request is invalid and did not run
	NotRun     Outcome = "not_run"    // it is proved that the request did not run
	Overloaded Outcome = "overloaded" // it is proved that the request did not run; a later attempt may succeed
	Unknown    Outcome = "unknown"    // the request may have run
)

// All error kinds. No other kinds are sent to callers or other nodes.
const (
	NoClass              Kind = "no_class"
	BadRequest           Kind = "bad_request"
	BodyTooLarge         Kind = "body_too_large"
	InternalOnly         Kind = "internal_only"
	KeyReused            Kind = "key_reused"
	KeyRequired          Kind = "key_required"
	DepthExceeded        Kind = "depth_exceeded"
	Unauthorized         Kind = "unauthorized"
	NotFound             Kind = "not_found"
	VersionConflict      Kind = "version_conflict"
	InvalidDocument      Kind = "invalid_document"
	InProgress           Kind = "in_progress"
	NoBackendServer      Kind = "no_backend_server"
	ConfigUnconfirmed    Kind = "config_unconfirmed"
	ConfigAbsent         Kind = "config_absent"
	Draining             Kind = "draining"
	StaleTarget          Kind = "stale_target"
	BackendDown          Kind = "backend_down"
	BackendRefused       Kind = "backend_refused"
	ServerSlow           Kind = "server_slow"
	CrashSuspect         Kind = "crash_suspect"
	DeadlineBeforeRun    Kind = "deadline_before_run"
	ClaimsUnavailable    Kind = "claims_unavailable"
	ControlUnavailable   Kind = "control_unavailable"
	QueueFull            Kind = "queue_full"
	SlotsReserved        Kind = "slots_reserved"
	RetryBudgetExhausted Kind = "retry_budget_exhausted"
	ClaimStoreFull       Kind = "claim_store_full"
	DuplicateAttempt     Kind = "duplicate_attempt"
	ConnectionLost       Kind = "connection_lost"
	DeadlineExceeded     Kind = "deadline_exceeded"
	OutcomeUnknown       Kind = "outcome_unknown"
	CallerDisconnected   Kind = "caller_gone"
	Internal             Kind = "internal"
)

// Answer holds the outcome of an error kind and the HTTP answer for it.
type Answer struct {
	Outcome    Outcome
	Status     int           // HTTP status code
	RetryAfter time.Duration // zero: no Retry-After header
}

var table = map[Kind]Answer{
	NoClass:              {Rejected, http.StatusNotFound, 0},
	BadRequest:           {Rejected, http.StatusBadRequest, 0},
	BodyTooLarge:         {Rejected, http.StatusRequestEntityTooLarge, 0},
	InternalOnly:         {Rejected, http.StatusForbidden, 0},
	KeyReused:            {Rejected, http.StatusUnprocessableEntity, 0},
	KeyRequired:          {Rejected, http.StatusBadRequest, 0},
	DepthExceeded:        {Rejected, http.StatusLoopDetected, 0},
	Unauthorized:         {Rejected, http.StatusUnauthorized, 0},
	NotFound:             {Rejected, http.StatusNotFound, 0},
	VersionConflict:      {Rejected, http.StatusConflict, 0},
	InvalidDocument:      {Rejected, http.StatusUnprocessableEntity, 0},
	InProgress:           {Unknown, http.StatusConflict, time.Second},
	NoBackendServer:      {NotRun, http.StatusServiceUnavailable, time.Second},
	ConfigUnconfirmed:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ConfigAbsent:         {NotRun, http.StatusServiceUnavailable, time.Second},
	Draining:             {NotRun, http.StatusServiceUnavailable, time.Second},
	StaleTarget:          {NotRun, http.StatusServiceUnavailable, time.Second},
	BackendDown:          {NotRun, http.StatusServiceUnavailable, time.Second},
	BackendRefused:       {NotRun, http.StatusServiceUnavailable, time.Second},
	ServerSlow:           {Overloaded, http.StatusServiceUnavailable, time.Second},
	CrashSuspect:         {NotRun, http.StatusServiceUnavailable, 0},
	DeadlineBeforeRun:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ClaimsUnavailable:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ControlUnavailable:   {NotRun, http.StatusServiceUnavailable, time.Second},
	QueueFull:            {Overloaded, http.StatusServiceUnavailable, time.Second},
	SlotsReserved:        {Overloaded, http.StatusServiceUnavailable, time.Second},
	RetryBudgetExhausted: {Overloaded, http.StatusServiceUnavailable, time.Second},
	ClaimStoreFull:       {Overloaded, http.StatusServiceUnavailable, 10 * time.Second},
	DuplicateAttempt:     {Unknown, http.StatusConflict, 0},
	ConnectionLost:       {Unknown, http.StatusBadGateway, 0},
	DeadlineExceeded:     {Unknown, http.StatusGatewayTimeout, 0},
	OutcomeUnknown:       {Unknown, http.StatusGatewayTimeout, 0},
	CallerDisconnected:   {Unknown, 499, 0},
	Internal:             {Unknown, http.StatusInternalServerError, 0},
}

// Lookup returns the Answer of k, or that of Internal if this package does not define k.
func Lookup(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// Known reports whether this package defines k.
func Known(k Kind) bool {
	_, ok := table[k]
	return ok
}

// Kinds returns all kinds that this package defines, in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(table))
	for k := range table {
		out = append(out, k)
	}
	return out
}

// Error is an error that carries a kind.
type Error struct {
	Kind  Kind
	Cause error
}

// New returns an Error of kind k whose cause is formatted as by fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Cause: fmt.Errorf(format, args...)}
}

// Error returns the kind, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Kind)
	}
	return fmt.Sprintf("%s: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ProvedNotRun reports whether the kind of e proves that the work did not run.
func (e *Error) ProvedNotRun() bool {
	o := Lookup(e.Kind).Outcome
	return o == NotRun || o == Overloaded
}

// Of returns the Error in the chain of err. If there is none, it returns an Error of the kind
// Internal. The outcome of Internal is Unknown, so that an unclassified failure never claims
// that the work did not run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Cause: err}
}
