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
	NoClass              Kind = "no_class"               // no class matches the request
	BadRequest           Kind = "bad_request"            // the request is malformed or not supported
	BodyTooLarge         Kind = "body_too_large"         // the request body exceeds a limit
	InternalOnly         Kind = "internal_only"          // the class accepts internal calls only
	KeyReused            Kind = "key_reused"             // the idempotency key was used with another request
	KeyRequired          Kind = "key_required"           // the class requires an idempotency key
	DepthExceeded        Kind = "depth_exceeded"         // nested calls are deeper than allowed
	Unauthorized         Kind = "unauthorized"           // the sender is not authenticated or lacks the required role
	UnknownCustomer      Kind = "unknown_customer"       // the class requires the key of a customer, and no customer has the key of the request
	ParentEnded          Kind = "parent_ended"           // the request names a parent request that is no longer in flight, and it has no key of a customer
	NotFound             Kind = "not_found"              // the requested object does not exist or is no longer kept
	VersionConflict      Kind = "version_conflict"       // the change expects another version than the one in force
	InvalidDocument      Kind = "invalid_document"       // the class document or the change is not valid
	InProgress           Kind = "in_progress"            // another request with the idempotency key has not finished
	NoBackendServer      Kind = "no_backend_server"      // no backend server of the service is left to select
	ConfigUnconfirmed    Kind = "config_unconfirmed"     // the configuration has not been confirmed recently
	ConfigAbsent         Kind = "config_absent"          // the node has no confirmed configuration yet
	Draining             Kind = "draining"               // the server node drains
	StaleTarget          Kind = "stale_target"           // the attempt is for another node or incarnation
	BackendDown          Kind = "backend_down"           // the backend server of the node is down or still starting
	BackendRefused       Kind = "backend_refused"        // the backend server refused the request before running it
	BackendFailed        Kind = "backend_failed"         // the backend server answered that it failed; another attempt may succeed
	ServerSlow           Kind = "server_slow"            // the backend server is in a slow phase
	CrashSuspect         Kind = "crash_suspect"          // the request may crash backend servers
	DeadlineBeforeRun    Kind = "deadline_before_run"    // the request could not be started in time before its deadline
	ClaimsUnavailable    Kind = "claims_unavailable"     // the claims group did not grant or process the request
	ControlUnavailable   Kind = "control_unavailable"    // no control instance could process the request
	QueueFull            Kind = "queue_full"             // the backend server is busy and the request may not be queued, or not stay queued
	RateLimited          Kind = "rate_limited"           // the backend server accepts no more requests at this rate
	QuotaExceeded        Kind = "quota_exceeded"         // the customer has used up its quota
	QuotaUnavailable     Kind = "quota_unavailable"      // no control instance decided on the quota of the customer in time
	SlotsReserved        Kind = "slots_reserved"         // the only free slots are reserved for privileged requests
	RetryBudgetExhausted Kind = "retry_budget_exhausted" // the request was refused and the retry budget allows no retry
	MemoryUsedUp         Kind = "memory_used_up"         // the memory budget of the node does not hold the request
	ClaimStoreFull       Kind = "claim_store_full"       // the claim store has no free capacity
	DuplicateAttempt     Kind = "duplicate_attempt"      // the attempt was received before
	ConnectionLost       Kind = "connection_lost"        // the connection broke after the request was sent
	DeadlineExceeded     Kind = "deadline_exceeded"      // the deadline passed while the request may have been running
	OutcomeUnknown       Kind = "outcome_unknown"        // it is not known whether the request ran
	CallerDisconnected   Kind = "caller_gone"            // the caller disconnected before the answer
	Internal             Kind = "internal"               // unclassified failure
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
	UnknownCustomer:      {Rejected, http.StatusUnauthorized, 0},
	NotFound:             {Rejected, http.StatusNotFound, 0},
	VersionConflict:      {Rejected, http.StatusConflict, 0},
	InvalidDocument:      {Rejected, http.StatusUnprocessableEntity, 0},
	InProgress:           {Unknown, http.StatusConflict, time.Second},
	NoBackendServer:      {NotRun, http.StatusServiceUnavailable, time.Second},
	ConfigUnconfirmed:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ConfigAbsent:         {NotRun, http.StatusServiceUnavailable, time.Second},
	ParentEnded:          {NotRun, http.StatusServiceUnavailable, time.Second},
	Draining:             {NotRun, http.StatusServiceUnavailable, time.Second},
	StaleTarget:          {NotRun, http.StatusServiceUnavailable, time.Second},
	BackendDown:          {NotRun, http.StatusServiceUnavailable, time.Second},
	BackendRefused:       {NotRun, http.StatusServiceUnavailable, time.Second},
	BackendFailed:        {Unknown, http.StatusBadGateway, 0},
	ServerSlow:           {Overloaded, http.StatusServiceUnavailable, time.Second},
	CrashSuspect:         {NotRun, http.StatusServiceUnavailable, 0},
	DeadlineBeforeRun:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ClaimsUnavailable:    {NotRun, http.StatusServiceUnavailable, time.Second},
	ControlUnavailable:   {NotRun, http.StatusServiceUnavailable, time.Second},
	QueueFull:            {Overloaded, http.StatusServiceUnavailable, time.Second},
	RateLimited:          {Overloaded, http.StatusServiceUnavailable, time.Second},
	QuotaExceeded:        {Overloaded, http.StatusTooManyRequests, time.Second},
	QuotaUnavailable:     {NotRun, http.StatusServiceUnavailable, time.Second},
	SlotsReserved:        {Overloaded, http.StatusServiceUnavailable, time.Second},
	RetryBudgetExhausted: {Overloaded, http.StatusServiceUnavailable, time.Second},
	MemoryUsedUp:         {Overloaded, http.StatusServiceUnavailable, time.Second},
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
	// RetryAfter is the time after which another attempt may succeed, if it is known. It
	// replaces that of Lookup.
	RetryAfter time.Duration
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
// Internal. The outcome of Internal is Unknown, so that an unclassified failure never states
// that the work did not run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Cause: err}
}
