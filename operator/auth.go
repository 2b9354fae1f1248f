package operator

import (
	"crypto/tls"
	"net/http"

	"bramleymill/errkind"
	"bramleymill/fleet"
	"bramleymill/suspect"
)

// Identity is the authenticated name and role of the sender of a request.
type Identity struct {
	Name string // common name of the client certificate
	Role fleet.Role
}

// Identify returns the identity of the sender of a request from the verified TLS
// state of its connection. The state is nil for a request without TLS.
type Identify func(state *tls.ConnectionState) (Identity, error)

// IdentifyPeer returns an Identify that reads name and role from the client
// certificate with peerOf, for example keys.PeerOf. It does not verify the
// certificate: the listener must do that in its handshake, as with the
// configuration of keys.Store.AdminServer.
func IdentifyPeer(peerOf func(tls.ConnectionState) (fleet.NodeID, fleet.Role, error)) Identify {
	return func(state *tls.ConnectionState) (Identity, error) {
		if state == nil || !state.HandshakeComplete {
			return Identity{}, errorf(errkind.Unauthorized, "the request was not sent over TLS")
		}
		name, role, err := peerOf(*state)
		if err != nil {
			return Identity{}, errorf(errkind.Unauthorized, "the client certificate is not valid: %v", err)
		}
		return Identity{Name: string(name), Role: role}, nil
	}
}

// handler serves one authenticated request and returns the value to send as JSON.
type handler func(r *http.Request, sender Identity) (any, error)

// authenticated returns an HTTP handler that runs h for senders with the role
// operator and refuses all others.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sender, err := s.config.Identify(r.TLS)
		if err == nil && (sender.Role != fleet.RoleOperator || sender.Name == "") {
			err = errorf(errkind.Unauthorized, "the certificate of %q has role %q, expected role operator", sender.Name, sender.Role)
		}
		if err != nil {
			s.config.Log.Warn("operator request refused", "path", suspect.ShortPath(r.URL.Path), "from", r.RemoteAddr, "error", err)
			writeError(w, errorf(errkind.Unauthorized, "%s", toError(err).Message))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		answer, err := h(r, sender)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}
