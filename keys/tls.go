package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"

	"bramleymill/fleet"
)

const (
	protocolHTTP = "http/1.1"
	// ProtocolControl is the application protocol of control messages.
	ProtocolControl = "bramleymill-control/1"
)

var (
	peerRoles  = []fleet.Role{fleet.RoleNode, fleet.RoleControl}
	adminRoles = []fleet.Role{fleet.RoleOperator}
)

// PeerServer returns the TLS configuration of the TCP listener for other nodes.
func (s *Store) PeerServer() *tls.Config { return s.serverConfig(protocolHTTP, peerRoles) }

// PeerClient returns the TLS configuration for TCP connections to other nodes.
func (s *Store) PeerClient() *tls.Config { return s.clientConfig(protocolHTTP, peerRoles) }

// QUICServer returns the TLS configuration of the QUIC listener for control messages.
func (s *Store) QUICServer() *tls.Config { return s.serverConfig(ProtocolControl, peerRoles) }

// QUICClient returns the TLS configuration for QUIC connections that are opened to
// send control messages.
func (s *Store) QUICClient() *tls.Config { return s.clientConfig(ProtocolControl, peerRoles) }

// AdminServer returns the TLS configuration of the listener of the operator interface.
func (s *Store) AdminServer() *tls.Config { return s.serverConfig(protocolHTTP, adminRoles) }

// AdminClient returns the TLS configuration for connections to the operator interface
// of a node.
func (s *Store) AdminClient() *tls.Config { return s.clientConfig(protocolHTTP, peerRoles) }

// serverConfig returns a configuration for a listener that accepts peers of the given roles.
// The keys are looked up at each handshake.
func (s *Store) serverConfig(protocol string, accepted []fleet.Role) *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// The certificate is requested here but verified by VerifyConnection,
		// because the set of trusted authorities may change while the listener runs.
		// VerifyConnection also refuses a peer without a certificate, so that such a
		// peer is counted like other refused peers.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.currentMaterial().certificate, nil
		},
	}
	c.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		perConnection := c.Clone()
		perConnection.GetConfigForClient = nil
		remote := ""
		if h.Conn != nil {
			remote = h.Conn.RemoteAddr().String()
		}
		perConnection.VerifyConnection = func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, accepted, remote)
		}
		return perConnection, nil
	}
	// This is called only if a library bypasses GetConfigForClient.
	c.VerifyConnection = func(cs tls.ConnectionState) error {
		return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, accepted, "")
	}
	return c
}

func (s *Store) clientConfig(protocol string, accepted []fleet.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// This disables the verification of crypto/tls, which includes the host name.
		// VerifyConnection verifies the certificate chain and the role instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.currentMaterial().certificate, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageServerAuth, accepted, cs.ServerName)
		},
	}
}

// Recheck verifies an open connection to a peer again with the keys that are now in
// use.
func (s *Store) Recheck(cs tls.ConnectionState) error {
	return s.verifyPeer(cs, x509.ExtKeyUsageAny, peerRoles, cs.ServerName)
}

// verifyPeer verifies the certificate and the role of a peer. It counts and logs the
// refusal of a peer.
func (s *Store) verifyPeer(cs tls.ConnectionState, usage x509.ExtKeyUsage, accepted []fleet.Role, remote string) error {
	if s.trustedNetwork {
		_, role, err := PeerOf(cs)
		if err == nil && !slices.Contains(accepted, role) {
			err = fmt.Errorf("peer role %q is not accepted by this endpoint", role)
		}
		return err
	}
	o := x509.VerifyOptions{CurrentTime: s.clock.Now(), KeyUsages: []x509.ExtKeyUsage{usage}}
	err := s.currentMaterial().verify(cs, o, accepted)
	var r *Refusal
	if !errors.As(err, &r) {
		return err
	}
	s.refused[r.Reason].Add(1)
	if s.refusalLogLimiter.AllowN(s.clock.Now(), 1) {
		s.logger.Warn("peer refused", "remote", remote, "reason", r.Reason, "name", r.Name, "role", r.Role, "error", err)
	}
	return err
}
