package operator

import (
	"crypto/tls"
	"net/http"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Identity is the authenticated sender of a request.
type Identity struct {
	Name string // common name of the certificate
	Role fleet.Role
}

// Identify returns the sender of a request from its verified TLS state, which
// is nil for a request without TLS.
type Identify func(state *tls.ConnectionState) (Identity, error)

// IdentifyPeer reads the identity with peerOf, such as keys.PeerOf. The listener
// must verify the client certificate in its handshake, as keys.Store.AdminServer
// does.
func IdentifyPeer(peerOf func(tls.ConnectionState) (fleet.NodeID, fleet.Role, error)) Identify {
	return func(state *tls.ConnectionState) (Identity, error) {
		if state == nil || !state.HandshakeComplete {
			return Identity{}, errorf(errkind.Unauthorized, "the request did not arrive over TLS")
		}
		name, role, err := peerOf(*state)
		if err != nil {
			return Identity{}, errorf(errkind.Unauthorized, "the client certificate is not valid: %v", err)
		}
		return Identity{Name: string(name), Role: role}, nil
	}
}

// handler serves one authenticated request and returns the JSON answer.
type handler func(r *http.Request, sender Identity) (any, error)

// authenticated runs h for operators and refuses everyone else.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sender, err := s.config.Identify(r.TLS)
		if err == nil && (sender.Role != fleet.RoleOperator || sender.Name == "") {
			err = errorf(errkind.Unauthorized, "the certificate of %q has the role %q", sender.Name, sender.Role)
		}
		if err != nil {
			s.config.Log.Warn("operator request refused", "path", r.URL.Path, "from", r.RemoteAddr, "error", err)
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
