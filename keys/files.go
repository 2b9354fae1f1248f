package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"bramleymill/fleet"
)

// Names of the files in a folder of keys.
const (
	AuthorityFile        = "authority.pem"      // certificates of the trusted authorities
	AuthorityKeyFile     = "authority.key"      // key that signs the certificates
	nextAuthorityKeyFile = "authority-next.key" // key of the next authority, between TrustNext and Reissue
	certificateSuffix    = ".pem"
	privateKeySuffix     = ".key"
)

const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"

	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
)

// Files names the key files of one process.
type Files struct {
	Authority   string // file with the certificates of one or more trusted authorities
	Certificate string
	PrivateKey  string
}

// FilesOf returns the files that Issue writes for a name in a folder.
func FilesOf(folder string, name fleet.NodeID) Files {
	return Files{
		Authority:   filepath.Join(folder, AuthorityFile),
		Certificate: filepath.Join(folder, string(name)+certificateSuffix),
		PrivateKey:  filepath.Join(folder, string(name)+privateKeySuffix),
	}
}

// writeFile writes a file. To overwrite a file, it writes a temporary file and
// renames it, so that a process that reloads its keys never reads an incomplete file.
func writeFile(path string, data []byte, mode os.FileMode, overwrite bool) error {
	if !overwrite {
		return createFile(path, data, mode)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".key-*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("write %s: %w", path, ErrFileExists)
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

func encodePrivateKey(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("encode private key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: der}), nil
}

func readPrivateKey(path string) (*ecdsa.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read private key: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s contains no private key in PEM format", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse private key %s: %w", path, err)
	}
	key, ok := k.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s contains a private key that is not an ECDSA key", path)
	}
	return key, nil
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificates: %w", err)
	}
	return parseCertificates(path, data)
}

func parseCertificates(path string, data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			return nil, fmt.Errorf("%s contains a PEM block of type %q, want only certificates", path, block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("parse certificate in %s: %w", path, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s contains no certificate", path)
	}
	return out, nil
}
