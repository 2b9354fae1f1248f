package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"log/slog"
	"math/big"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleymill/clock"
	"bramleymill/fleet"
)

// NewForTrustedNetwork returns a Store for a trusted network, on which peers are not verified.
// The Store creates a self-signed certificate that is used until the process ends. The
// certificate is valid from 1970 to 9999, so that a wrong clock of an instance does not
// invalidate it. The Store accepts the name and role that a peer states without
// verification, so a process that can reach the network can act as any node.
func NewForTrustedNetwork(name fleet.NodeID, role fleet.Role, logger *slog.Logger) (*Store, error) {
	m, err := selfSigned(name, role)
	if err != nil {
		return nil, err
	}
	s := &Store{
		clock:             clock.System{},
		logger:            logger,
		refusalLogLimiter: rate.NewLimiter(rate.Every(refusalLogInterval), refusalLogBurst),
		refused:           map[Reason]*atomic.Uint64{},
		trustedNetwork:    true,
	}
	s.current.Store(m)
	return s, nil
}

func selfSigned(name fleet.NodeID, role fleet.Role) (*keyMaterial, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create key: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(name), OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	if _, _, err := identity(leaf); err != nil {
		return nil, err
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return &keyMaterial{certificate: pair, leaf: leaf, generation: 1, name: name, role: role}, nil
}
