package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Error is an error that the operator interface sends or the client derives from
// an answer.
type Error struct {
	Kind     errkind.Kind
	Message  string
	Remedy   string
	Conflict *Conflict // only set for kind VersionConflict
}

// Error returns the kind and the message and, on a second line, the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s\nremedy: %s", e.Kind, e.Message, e.Remedy)
}

// Unwrap returns an errkind.Error of the same kind, so that errkind.Of finds it.
func (e *Error) Unwrap() error { return errkind.New(e.Kind, "%s", e.Message) }

// remedies holds what an operator can do about an error of each kind.
var remedies = map[errkind.Kind]string{
	errkind.Unauthorized:       "use a certificate of role operator, made by 'bramleymillctl keys'",
	errkind.BadRequest:         "correct the request as the message says",
	errkind.BodyTooLarge:       "send a smaller document",
	errkind.NotFound:           "check the spelling; records and old versions are kept for a limited time",
	errkind.VersionConflict:    "merge the difference into the document and apply it with the current version",
	errkind.InvalidDocument:    "correct the named fields and apply the document again",
	errkind.ControlUnavailable: "try another --address of a control instance; check 'status' for a majority of control instances",
	errkind.OutcomeUnknown:     "send the same change again with the same change id; it is applied at most once",
	errkind.ConfigAbsent:       "apply a first class document",
	errkind.Internal:           "see the log of the node",
}

// errorf returns an Error of kind k with the remedy of that kind.
func errorf(k errkind.Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Remedy: remedies[k]}
}

// toError returns the Error in the chain of err, or converts err to an Error of
// the kind that errkind.Of reports.
func toError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	k := errkind.Of(err)
	message := "no further information"
	if k.Cause != nil {
		message = k.Cause.Error()
	}
	return errorf(k.Kind, "%s", message)
}

// writeError sends err as JSON with the HTTP status and headers of its kind.
func writeError(w http.ResponseWriter, err error) {
	e := toError(err)
	a := errkind.Lookup(e.Kind)
	w.Header().Set(fleet.HeaderKind, string(e.Kind))
	w.Header().Set(fleet.HeaderOutcome, string(a.Outcome))
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(a.RetryAfter.Seconds())))
	}
	writeJSON(w, a.Status, ErrorBody{Kind: string(e.Kind), Outcome: string(a.Outcome),
		Message: e.Message, Remedy: e.Remedy, Conflict: e.Conflict})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"kind":"internal","outcome":"unknown","message":"encode answer"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client has disconnected and cannot receive an error either.
	_, _ = w.Write(append(b, '\n'))
}
