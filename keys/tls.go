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

// PeerServer returns the configuration of the TCP listener for other nodes.
func (s *Store) PeerServer() *tls.Config { return s.server(protocolHTTP, peerRoles) }

// PeerClient returns the configuration for TCP connections to other nodes.
func (s *Store) PeerClient() *tls.Config { return s.client(protocolHTTP, peerRoles) }

// QUICServer returns the configuration of the listener for control messages.
func (s *Store) QUICServer() *tls.Config { return s.server(ProtocolControl, peerRoles) }

// QUICClient returns the configuration for sending control messages.
func (s *Store) QUICClient() *tls.Config { return s.client(ProtocolControl, peerRoles) }

// AdminServer returns the configuration of the operator interface.
func (s *Store) AdminServer() *tls.Config { return s.server(protocolHTTP, adminRoles) }

// AdminClient returns the configuration for reaching the operator interface of
// a node.
func (s *Store) AdminClient() *tls.Config { return s.client(protocolHTTP, peerRoles) }

// server makes a configuration whose keys are looked up for each handshake.
func (s *Store) server(protocol string, accepted []fleet.Role) *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// VerifyConnection checks the certificate, its absence included: the set
		// of trusted authorities may change while the listener runs, and a peer
		// without a certificate is counted like any other refused one.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.currentMaterial().certificate, nil
		},
	}
	c.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		one := c.Clone()
		one.GetConfigForClient = nil
		remote := ""
		if h.Conn != nil {
			remote = h.Conn.RemoteAddr().String()
		}
		one.VerifyConnection = func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, accepted, remote)
		}
		return one, nil
	}
	// Reached only when a library bypasses GetConfigForClient.
	c.VerifyConnection = func(cs tls.ConnectionState) error {
		return s.verifyPeer(cs, x509.ExtKeyUsageClientAuth, accepted, "")
	}
	return c
}

func (s *Store) client(protocol string, accepted []fleet.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// Names of hosts are no part of the check. VerifyConnection checks the
		// chain and the role.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.currentMaterial().certificate, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyPeer(cs, x509.ExtKeyUsageServerAuth, accepted, cs.ServerName)
		},
	}
}

// Recheck checks a connection between nodes again with the keys in use now.
func (s *Store) Recheck(cs tls.ConnectionState) error {
	return s.verifyPeer(cs, x509.ExtKeyUsageAny, peerRoles, cs.ServerName)
}

func (s *Store) verifyPeer(cs tls.ConnectionState, usage x509.ExtKeyUsage, accepted []fleet.Role, remote string) error {
	if s.trustedNetwork {
		_, role, err := PeerOf(cs)
		if err == nil && !slices.Contains(accepted, role) {
			err = fmt.Errorf("role %q is not accepted here", role)
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
