package operator

import (
	"context"
	"errors"
	"net/http"

	"bramleymill/class"
	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/fleet"
)

func (s *Server) apply(r *http.Request, sender Identity) (any, error) {
	var q ApplyRequest
	if err := readBody(r, &q); err != nil {
		return nil, err
	}
	if q.DryRun {
		return s.dryRun(r.Context(), &q)
	}
	// A document above the size limit would not fit into an entry of the replicated log.
	if err := checkDocumentSize(q.Document); err != nil {
		return nil, err
	}
	return s.change(r, sender, configstate.Change{ID: q.ChangeID, Action: configstate.ApplyDocument,
		ExpectedVersion: q.ExpectedVersion, Reason: q.Reason, Document: []byte(q.Document)})
}

func (s *Server) rollback(r *http.Request, sender Identity) (any, error) {
	var q RollbackRequest
	if err := readBody(r, &q); err != nil {
		return nil, err
	}
	return s.change(r, sender, configstate.Change{ID: q.ChangeID, Action: configstate.Rollback,
		ExpectedVersion: q.ExpectedVersion, Reason: q.Reason, Version: q.Version})
}

// orderHandler returns the handler for drain or undrain, depending on action.
func (s *Server) orderHandler(action configstate.Action) handler {
	return func(r *http.Request, sender Identity) (any, error) {
		var q OrderRequest
		if err := readBody(r, &q); err != nil {
			return nil, err
		}
		return s.change(r, sender, configstate.Change{ID: q.ChangeID, Action: action,
			Reason: q.Reason, Node: fleet.NodeID(r.PathValue("node"))})
	}
}

// zoneHandler returns the handler that takes a zone out of use or returns it to use, depending
// on action. A late copy of a request is recognized by its change id.
func (s *Server) zoneHandler(action configstate.Action) handler {
	return func(r *http.Request, sender Identity) (any, error) {
		var q OrderRequest
		if err := readBody(r, &q); err != nil {
			return nil, err
		}
		return s.change(r, sender, configstate.Change{ID: q.ChangeID, Action: action, Reason: q.Reason, Zone: r.PathValue("zone")})
	}
}

func (s *Server) release(r *http.Request, sender Identity) (any, error) {
	var q ReleaseRequest
	if err := readBody(r, &q); err != nil {
		return nil, err
	}
	return s.change(r, sender, configstate.Change{ID: q.ChangeID, Action: configstate.ReleaseSuspect,
		Reason: q.Reason, Service: q.Service, Fingerprint: uint64(q.Fingerprint)})
}

// change proposes c on behalf of sender and converts the answer of the state machine.
func (s *Server) change(r *http.Request, sender Identity, c configstate.Change) (any, error) {
	if s.config.Proposer == nil {
		return nil, errorf(errkind.ControlUnavailable, "node %s has no access to the configuration group", s.config.Node)
	}
	c.Operator, c.Origin, c.Submitted = sender.Name, r.RemoteAddr, s.config.Clock.Now().UnixNano()
	command, err := configstate.EncodeChange(c)
	if err != nil {
		return nil, errorf(errkind.BadRequest, "%v", err)
	}
	out, err := s.config.Proposer.Propose(r.Context(), command)
	if err != nil {
		return nil, proposalError(c.ID, err)
	}
	a, err := configstate.DecodeAnswer(out)
	if err != nil {
		return nil, errorf(errkind.OutcomeUnknown, "change %s: %v", c.ID, err)
	}
	s.config.Log.Info("operator change", "operator", sender.Name, "from", r.RemoteAddr, "action", c.Action,
		"change", c.ID, "outcome", a.Outcome, "version", a.Version, "orders", a.OrdersVersion, "repeated", a.Repeated)
	return s.changeResult(&c, &a)
}

// proposalError converts the error of a proposal. It distinguishes a change that
// was certainly not made from one whose outcome is unknown.
func proposalError(id string, err error) error {
	var e *errkind.Error
	switch {
	case !errors.As(err, &e) || errkind.Lookup(e.Kind).Outcome == errkind.Unknown:
		return errorf(errkind.OutcomeUnknown, "change %s may have been made: %v", id, err)
	case e.ProvedNotRun() || e.Kind == errkind.Unauthorized:
		// Unauthorized means that this node may not propose. The operator's own
		// certificate was accepted, so another node may succeed.
		return errorf(errkind.ControlUnavailable, "change %s was not made: %v", id, err)
	}
	return errorf(e.Kind, "change %s was not made: %v", id, err)
}

// changeResult converts the answer of the state machine to a ChangeResult or an
// Error.
func (s *Server) changeResult(c *configstate.Change, a *configstate.Answer) (any, error) {
	switch a.Outcome {
	case configstate.Accepted:
		return ChangeResult{ChangeID: c.ID, Version: a.Version, OrdersVersion: a.OrdersVersion,
			Sequence: a.Sequence, Repeated: a.Repeated, Message: a.Message}, nil
	case configstate.Conflict:
		return nil, s.conflict(c.ExpectedVersion, a.Version, a.Document, a.Message)
	case configstate.IDReused:
		return nil, errorf(errkind.BadRequest, "change id %s: %s", c.ID, a.Message)
	}
	if c.Action == configstate.ApplyDocument {
		return nil, errorf(errkind.InvalidDocument, "%s", a.Message)
	}
	return nil, errorf(errkind.BadRequest, "%s", a.Message)
}

// conflict returns a VersionConflict error that carries the document in force and,
// if the expected version is still kept, the difference from it.
func (s *Server) conflict(expected, version uint64, document []byte, message string) error {
	e := errorf(errkind.VersionConflict, "%s", message)
	e.Conflict = &Conflict{Version: version, Document: string(document)}
	base := []byte{}
	if expected > 0 && s.config.State != nil {
		v, ok := s.config.State.Version(expected)
		if !ok {
			return e
		}
		base = v.Document
	}
	e.Conflict.Diff = configstate.Diff(versionLabel(expected), versionLabel(version), base, document)
	return e
}

func checkDocumentSize(document string) error {
	if n := len(document); n > configstate.MaxDocumentBytes {
		return errorf(errkind.InvalidDocument, "the document has %d bytes; use at most %d", n, configstate.MaxDocumentBytes)
	}
	return nil
}

// dryRun makes the same checks as the state machine but changes nothing.
func (s *Server) dryRun(ctx context.Context, q *ApplyRequest) (any, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	v := s.config.State.View()
	if q.ExpectedVersion != v.Version {
		return nil, s.conflict(q.ExpectedVersion, v.Version, v.Document, "the expected version is not in force")
	}
	if err := checkDocumentSize(q.Document); err != nil {
		return nil, err
	}
	if _, err := class.Parse([]byte(q.Document)); err != nil {
		return nil, errorf(errkind.InvalidDocument, "%v", err)
	}
	return ChangeResult{ChangeID: q.ChangeID, Version: v.Version, OrdersVersion: v.Orders.Version, DryRun: true,
		Diff: configstate.Diff(versionLabel(v.Version), "proposed document", v.Document, []byte(q.Document))}, nil
}

var _ http.Handler = (*Server)(nil)
