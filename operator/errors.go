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

// Error is an error of the operator interface.
type Error struct {
	Kind     errkind.Kind
	Message  string
	Remedy   string
	Conflict *Conflict // set for VersionConflict
}

// Error returns the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s\nremedy: %s", e.Kind, e.Message, e.Remedy)
}

// Unwrap gives errkind.Of the kind.
func (e *Error) Unwrap() error { return errkind.New(e.Kind, "%s", e.Message) }

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

// errorf returns an Error of kind k with its usual remedy.
func errorf(k errkind.Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Remedy: remedies[k]}
}

// toError converts any error to an Error.
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

// writeError sends err with the status of its kind.
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
	// A failed write means that the operator has gone.
	_, _ = w.Write(append(b, '\n'))
}
