package node

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"bramleymill/configstate"
	"bramleymill/errkind"
	"bramleymill/keys"
)

// adminHandler serves the operator interface of a control instance.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/init", n.serveInit)
	mux.HandleFunc("POST /v1/apply", n.serveApply)
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	return mux
}

func (n *Node) serveInit(w http.ResponseWriter, r *http.Request) {
	if n.control == nil {
		adminError(w, errkind.New(errkind.ControlUnavailable, "this node has no control role"))
		return
	}
	if err := errors.Join(n.control.config.Bootstrap(r.Context()), n.control.claims.Bootstrap(r.Context())); err != nil {
		adminError(w, err)
	}
}

func (n *Node) serveApply(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configstate.MaxDocumentBytes))
	if err != nil || n.control == nil {
		adminError(w, errkind.New(errkind.BadRequest, "read document: %v", err))
		return
	}
	name, _, err := keys.PeerOf(*r.TLS)
	if err != nil {
		adminError(w, errkind.New(errkind.Unauthorized, "%w", err))
		return
	}
	command, err := configstate.EncodeChange(configstate.Change{ID: r.Header.Get("Change-Id"), Action: configstate.ApplyDocument,
		Operator: string(name), Origin: r.RemoteAddr, Expected: n.control.machine.View().Version, Document: document})
	if err != nil {
		adminError(w, err)
		return
	}
	result, err := n.control.config.Propose(r.Context(), command)
	if err != nil {
		adminError(w, err)
		return
	}
	answer, err := configstate.DecodeAnswer(result)
	if err != nil {
		adminError(w, err)
		return
	}
	writeJSON(w, answer)
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.member.View()) }

func adminError(w http.ResponseWriter, err error) {
	e := errkind.Of(err)
	http.Error(w, e.Error(), errkind.Lookup(e.Kind).Status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may have gone
}
