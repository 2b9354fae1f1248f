package operator

import (
	"crypto/tls"
	"crypto/x509"
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

// IdentifyByCertificate reads the identity from the verified client
// certificate. roleOf tells the role that a certificate grants.
func IdentifyByCertificate(roleOf func(*x509.Certificate) (fleet.Role, error)) Identify {
	return func(state *tls.ConnectionState) (Identity, error) {
		// A certificate that was sent but not verified is not in VerifiedChains.
		if state == nil || len(state.VerifiedChains) == 0 || len(state.VerifiedChains[0]) == 0 {
			return Identity{}, errorf(errkind.Unauthorized, "the request has no verified client certificate")
		}
		certificate := state.VerifiedChains[0][0]
		role, err := roleOf(certificate)
		if err != nil {
			return Identity{}, errorf(errkind.Unauthorized, "the certificate grants no role: %v", err)
		}
		return Identity{Name: certificate.Subject.CommonName, Role: role}, nil
	}
}

// handler serves one authenticated request and returns the JSON answer.
type handler func(r *http.Request, by Identity) (any, error)

// authenticated runs h for operators and refuses everyone else.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		by, err := s.config.Identify(r.TLS)
		if err == nil && (by.Role != fleet.RoleOperator || by.Name == "") {
			err = errorf(errkind.Unauthorized, "the certificate of %q has the role %q", by.Name, by.Role)
		}
		if err != nil {
			s.config.Log.Warn("operator request refused", "path", r.URL.Path, "from", r.RemoteAddr, "error", err)
			writeError(w, errorf(errkind.Unauthorized, "%s", toError(err).Message))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		answer, err := h(r, by)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}
