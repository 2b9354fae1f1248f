package keys

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bramleymill/fleet"
)

// ErrRotation is returned when a step of a rotation is called out of order.
var ErrRotation = errors.New("rotation step out of order")

// TrustNext creates the next authority and adds it to the trusted authorities. The
// current authority continues to sign. TrustNext is the first step of a rotation. The new
// authority file must reach every process before the next step, Reissue.
func TrustNext(folder string, o Options) error {
	if _, _, err := signingAuthority(folder); err != nil {
		return err
	}
	next := filepath.Join(folder, nextAuthorityKeyFile)
	if _, err := os.Stat(next); err == nil {
		return fmt.Errorf("%w: %s exists, so the next authority was already created", ErrRotation, next)
	}
	certificate, key, err := newAuthority(o)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, AuthorityFile)
	trusted, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	if err := writeFile(next, key, privateMode, false); err != nil {
		return err
	}
	return writeFile(path, append(trusted, certificate...), publicMode, true)
}

// Reissue makes the next authority the signing authority and issues every certificate
// of the folder again. It returns the names of the certificates. It is the second step
// of a rotation.
func Reissue(folder string, o Options) ([]fleet.NodeID, error) {
	next := filepath.Join(folder, nextAuthorityKeyFile)
	if _, err := os.Stat(next); err != nil {
		return nil, fmt.Errorf("%w: the next authority has not been created", ErrRotation)
	}
	if err := os.Rename(next, filepath.Join(folder, AuthorityKeyFile)); err != nil {
		return nil, fmt.Errorf("replace signing key: %w", err)
	}
	return Renew(folder, o)
}

// Renew issues every certificate of the folder again with the current signing
// authority. It returns the names of the certificates.
func Renew(folder string, o Options) ([]fleet.NodeID, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"+certificateSuffix))
	if err != nil {
		return nil, fmt.Errorf("list certificates: %w", err)
	}
	o.Overwrite = true
	var names []fleet.NodeID
	for _, p := range paths {
		if filepath.Base(p) == AuthorityFile {
			continue
		}
		c, err := readCertificates(p)
		if err != nil {
			return names, err
		}
		name, role, err := identity(c[0])
		if err != nil {
			return names, fmt.Errorf("read name and role in %s: %w", p, err)
		}
		if strings.TrimSuffix(filepath.Base(p), certificateSuffix) != string(name) {
			return names, fmt.Errorf("%s contains the certificate of %s, want the name of the file", p, name)
		}
		if err := Issue(folder, name, role, o); err != nil {
			return names, err
		}
		names = append(names, name)
	}
	return names, nil
}

// DropPrevious removes all trusted authorities except the signing one. It is the last
// step of a rotation. Every process must have received its new certificate before this
// step.
func DropPrevious(folder string) error {
	if _, err := os.Stat(filepath.Join(folder, nextAuthorityKeyFile)); err == nil {
		return fmt.Errorf("%w: the certificates have not been reissued by the next authority", ErrRotation)
	}
	c, _, err := signingAuthority(folder)
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, AuthorityFile), encodeCertificate(c.Raw), publicMode, true)
}
