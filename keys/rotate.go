package keys

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bramleymill/fleet"
)

// ErrRotation is returned when a step of a rotation is out of order.
var ErrRotation = errors.New("rotation step out of order")

// TrustNext makes the next authority and adds it to the trusted ones. The
// current authority goes on signing. It is the first step of a rotation: the
// new authority file must reach every process before the next step.
func TrustNext(folder string, o Options) error {
	if _, _, err := signingAuthority(folder); err != nil {
		return err
	}
	next := filepath.Join(folder, nextAuthorityKeyFile)
	if _, err := os.Stat(next); err == nil {
		return fmt.Errorf("%w: %s exists, so the next authority was made already", ErrRotation, next)
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

// Reissue makes the next authority the signing one and issues every certificate
// of the folder again. It returns the names.
func Reissue(folder string, o Options) ([]fleet.NodeID, error) {
	next := filepath.Join(folder, nextAuthorityKeyFile)
	if _, err := os.Stat(next); err != nil {
		return nil, fmt.Errorf("%w: the next authority has not been made", ErrRotation)
	}
	if err := os.Rename(next, filepath.Join(folder, AuthorityKeyFile)); err != nil {
		return nil, fmt.Errorf("replace signing key: %w", err)
	}
	return Renew(folder, o)
}

// Renew issues every certificate of the folder again with the signing
// authority. It returns the names.
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
			return names, fmt.Errorf("%s: %w", p, err)
		}
		if strings.TrimSuffix(filepath.Base(p), certificateSuffix) != string(name) {
			return names, fmt.Errorf("%s holds the certificate of %s", p, name)
		}
		if err := Issue(folder, name, role, o); err != nil {
			return names, err
		}
		names = append(names, name)
	}
	return names, nil
}

// DropPrevious leaves only the signing authority among the trusted ones. It is
// the last step of a rotation, after every process has its new certificate.
func DropPrevious(folder string) error {
	if _, err := os.Stat(filepath.Join(folder, nextAuthorityKeyFile)); err == nil {
		return fmt.Errorf("%w: certificates have not been issued by the next authority", ErrRotation)
	}
	c, _, err := signingAuthority(folder)
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, AuthorityFile), encodeCertificate(c.Raw), publicMode, true)
}
