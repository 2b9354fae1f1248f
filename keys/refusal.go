package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"

	"bramleymill/fleet"
)

// Reason is the reason for which a peer was refused.
type Reason string

// The reasons of a Refusal.
const (
	NoCertificate    Reason = "no_certificate"    // the peer presented no certificate
	UnknownAuthority Reason = "unknown_authority" // no trusted authority signed the certificate, or another check of it failed
	Expired          Reason = "expired"           // the certificate has expired or is not valid yet
	InvalidIdentity  Reason = "invalid_identity"  // the name or role in the certificate is missing or invalid
	WrongRole        Reason = "wrong_role"        // the listener or client does not accept the role in the certificate
)

// Reasons lists every reason of a Refusal.
func Reasons() []Reason {
	return []Reason{NoCertificate, UnknownAuthority, Expired, InvalidIdentity, WrongRole}
}

// Refusal is the error for a peer whose certificate is missing, invalid or not accepted.
type Refusal struct {
	Reason Reason
	Name   string // name in the certificate, which may not have been verified
	Role   string // role in the same certificate
	Cause  error  // error of the verification, may be nil
}

// Error returns the reason of the refusal, the stated name and role, and the cause.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("peer refused: %s", r.Reason)
	if r.Name != "" {
		s += fmt.Sprintf(": name %q role %q", r.Name, r.Role)
	}
	if r.Cause != nil {
		s += ": " + r.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, which may be nil.
func (r *Refusal) Unwrap() error { return r.Cause }

// PeerOf returns the name and role in the certificate of the peer. The connection must
// have been verified by a configuration of a Store.
func PeerOf(s tls.ConnectionState) (fleet.NodeID, fleet.Role, error) {
	if len(s.PeerCertificates) == 0 {
		return "", "", &Refusal{Reason: NoCertificate}
	}
	return identity(s.PeerCertificates[0])
}

func identity(c *x509.Certificate) (fleet.NodeID, fleet.Role, error) {
	role := fleet.Role(firstOf(c.Subject.OrganizationalUnit))
	name := c.Subject.CommonName
	if len(c.Subject.OrganizationalUnit) != 1 || !validRole(role) || !namePattern.MatchString(name) {
		return "", "", &Refusal{Reason: InvalidIdentity, Name: name, Role: string(role)}
	}
	return fleet.NodeID(name), role, nil
}

func firstOf(s []string) string {
	if len(s) == 0 {
		return ""
	}
	return s[0]
}

// verify checks that a trusted authority signed the certificate of a peer and that
// the peer has one of the accepted roles.
func (m *keyMaterial) verify(s tls.ConnectionState, o x509.VerifyOptions, accepted []fleet.Role) error {
	if len(s.PeerCertificates) == 0 {
		return &Refusal{Reason: NoCertificate}
	}
	c := s.PeerCertificates[0]
	name, role := c.Subject.CommonName, firstOf(c.Subject.OrganizationalUnit)
	o.Roots = m.roots
	if _, err := c.Verify(o); err != nil {
		return &Refusal{Reason: reasonOf(err), Name: name, Role: role, Cause: err}
	}
	_, r, err := identity(c)
	if err != nil {
		return err
	}
	for _, a := range accepted {
		if r == a {
			return nil
		}
	}
	return &Refusal{Reason: WrongRole, Name: name, Role: role}
}

func reasonOf(err error) Reason {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Expired
	}
	return UnknownAuthority
}
