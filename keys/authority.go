package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"bramleymill/fleet"
)

// ErrFileExists is returned instead of overwriting a key file without Options.Overwrite.
var ErrFileExists = errors.New("file exists; existing keys are overwritten only on request")

// ErrNoSigningAuthority is returned when none of the trusted authorities in a folder belongs
// to the signing key in that folder.
var ErrNoSigningAuthority = errors.New("no trusted authority matches the signing key")

const (
	// DefaultAuthorityValidity is the validity period of the certificate of an authority.
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	// DefaultValidity is the validity period of an issued certificate.
	DefaultValidity = 397 * 24 * time.Hour

	// The validity of a certificate begins this long before its creation, because the
	// clocks of instances differ.
	clockTolerance = time.Hour
	serialBits     = 120 // length of the random serial number
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Options configures the creation of certificates. The zero value is usable.
type Options struct {
	Now       time.Time     // time of creation; zero: the current time
	Validity  time.Duration // zero: DefaultAuthorityValidity for an authority, otherwise DefaultValidity
	Overwrite bool          // whether existing files are replaced
}

func (o Options) now() time.Time {
	if o.Now.IsZero() {
		return time.Now()
	}
	return o.Now
}

func (o Options) validity(d time.Duration) time.Duration {
	if o.Validity > 0 {
		return o.Validity
	}
	return d
}

// InitAuthority creates the authority of a fleet in a folder: its signing key and its
// certificate.
func InitAuthority(folder string, o Options) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create folder of keys: %w", err)
	}
	certificate, key, err := newAuthority(o)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(folder, AuthorityKeyFile), key, privateMode, o.Overwrite); err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, AuthorityFile), certificate, publicMode, o.Overwrite)
}

func newAuthority(o Options) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("create authority key: %w", err)
	}
	now := o.now()
	t, err := template(pkix.Name{CommonName: "bramleymill fleet authority"}, now, o.validity(DefaultAuthorityValidity))
	if err != nil {
		return nil, nil, err
	}
	t.IsCA = true
	t.MaxPathLenZero = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, k.Public(), k)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of the authority: %w", err)
	}
	key, err = encodePrivateKey(k)
	return encodeCertificate(der), key, err
}

// Issue creates a private key and a certificate for a name, signed by the authority
// in the folder, and writes them to the files that FilesOf returns.
func Issue(folder string, name fleet.NodeID, role fleet.Role, o Options) error {
	if !namePattern.MatchString(string(name)) || reservedName(name) {
		return fmt.Errorf("issue certificate: invalid name %q: use 1 to 63 lower-case letters, digits and hyphens, starting with a letter, other than authority and authority-next", name)
	}
	if !validRole(role) {
		return fmt.Errorf("issue certificate for %s: invalid role %q: use node, control or operator", name, role)
	}
	parent, signer, err := signingAuthority(folder)
	if err != nil {
		return err
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("create key of %s: %w", name, err)
	}
	subject := pkix.Name{CommonName: string(name), OrganizationalUnit: []string{string(role)}}
	t, err := template(subject, o.now(), o.validity(DefaultValidity))
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, k.Public(), signer)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	key, err := encodePrivateKey(k)
	if err != nil {
		return err
	}
	f := FilesOf(folder, name)
	if err := writeFile(f.PrivateKey, key, privateMode, o.Overwrite); err != nil {
		return err
	}
	return writeFile(f.Certificate, encodeCertificate(der), publicMode, o.Overwrite)
}

// reservedName reports whether the files of name would collide with those of the
// authority.
func reservedName(name fleet.NodeID) bool {
	return name == "authority" || name == "authority-next"
}

func validRole(r fleet.Role) bool {
	return r == fleet.RoleNode || r == fleet.RoleControl || r == fleet.RoleOperator
}

func template(subject pkix.Name, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("create serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               subject,
		NotBefore:             now.Add(-clockTolerance),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

// signingAuthority returns the signing key of the folder and the trusted authority
// whose public key matches it.
func signingAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := readPrivateKey(filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	trusted, err := readCertificates(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	for _, c := range trusted {
		if key.PublicKey.Equal(c.PublicKey) {
			return c, key, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: %w", folder, ErrNoSigningAuthority)
}
