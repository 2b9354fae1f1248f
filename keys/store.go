package keys

import (
	"crypto/ecdsa"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleymill/clock"
	"bramleymill/fleet"
)

const (
	// The minimum interval between checks for changed files. Without it, every handshake
	// would cause file system calls.
	reloadInterval = time.Second

	// All refusals are counted. The log receives a burst of them and then one for each
	// interval, because a misconfigured peer retries several times a second.
	refusalLogInterval = 10 * time.Second
	refusalLogBurst    = 5
)

// Config configures a Store. Clock and Logger may be nil.
type Config struct {
	Files  Files
	Clock  clock.Clock
	Logger *slog.Logger
}

// Store contains the keys of one process and verifies its peers. It reads the key
// files again when they change.
type Store struct {
	files             Files
	clock             clock.Clock
	logger            *slog.Logger
	refusalLogLimiter *rate.Limiter
	refused           map[Reason]*atomic.Uint64
	current           atomic.Pointer[keyMaterial]
	trustedNetwork    bool // the name and role that a peer states are accepted without verification

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [3]fileStamp
	reloadErr error
}

// keyMaterial is the consistent content of the key files at one reading.
type keyMaterial struct {
	certificate tls.Certificate
	leaf        *x509.Certificate
	roots       *x509.CertPool
	generation  uint64 // increases with each reload of the key files
	name        fleet.NodeID
	role        fleet.Role
}

// fileStamp shows whether a file has changed since it was last read.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Load reads the key files and returns a Store that reloads them when they change.
func Load(c Config) (*Store, error) {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Store{
		files:             c.Files,
		clock:             c.Clock,
		logger:            c.Logger,
		refusalLogLimiter: rate.NewLimiter(rate.Every(refusalLogInterval), refusalLogBurst),
		refused:           map[Reason]*atomic.Uint64{},
		lastCheck:         c.Clock.Now(),
	}
	for _, r := range Reasons() {
		s.refused[r] = new(atomic.Uint64)
	}
	stamps, err := s.readFileStamps()
	if err != nil {
		return nil, err
	}
	m, err := s.readKeyMaterial()
	if err != nil {
		return nil, err
	}
	s.stamps = stamps
	s.current.Store(m)
	return s, nil
}

// Self returns the name and role in the certificate of this process.
func (s *Store) Self() (fleet.NodeID, fleet.Role) {
	m := s.currentMaterial()
	return m.name, m.role
}

// NotAfter returns the time at which the certificate of this process expires.
func (s *Store) NotAfter() time.Time { return s.currentMaterial().leaf.NotAfter }

// Generation returns a number that increases each time the key files are reloaded. It
// first checks the files for changes if a check is due. When the number has changed,
// callers must verify long-lived connections again with Recheck.
func (s *Store) Generation() uint64 { return s.currentMaterial().generation }

// CachedGeneration returns the generation as of the last check of the files. It does not
// check the files itself, so that the request path can call it.
func (s *Store) CachedGeneration() uint64 { return s.current.Load().generation }

// Refused returns the number of peers that were refused for a reason.
func (s *Store) Refused(r Reason) uint64 {
	if n, ok := s.refused[r]; ok {
		return n.Load()
	}
	return 0
}

// ReloadError returns the error of the last attempt to reload the files, or nil if it
// succeeded. After an error the previous keys stay in use.
func (s *Store) ReloadError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reloadErr
}

// Secret derives a secret for a purpose from the private key. The secret is the same
// after a restart and changes with the private key. On a trusted network it is derived
// from the name of the process instead.
func (s *Store) Secret(purpose string) ([32]byte, error) {
	if s.trustedNetwork {
		return sha256.Sum256([]byte("bramleymill " + purpose + "\x00" + string(s.current.Load().name))), nil
	}
	k, ok := s.currentMaterial().certificate.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return [32]byte{}, errors.New("derive secret: private key is not an ECDSA key")
	}
	b, err := k.Bytes()
	if err != nil {
		return [32]byte{}, fmt.Errorf("derive secret: %w", err)
	}
	return sha256.Sum256(append([]byte("bramleymill "+purpose+"\x00"), b...)), nil
}

// currentMaterial returns the keys in use. It first checks the files for changes if a
// check is due.
func (s *Store) currentMaterial() *keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.trustedNetwork && now.Sub(s.lastCheck) >= reloadInterval {
		s.lastCheck = now
		s.reload()
	}
	return s.current.Load()
}

// reload reads the files if they have changed. If the files cannot be read or do not
// match, as happens between the writes of a certificate and its private key, the
// previous keys stay in use and the next check reads the files again.
func (s *Store) reload() {
	stamps, err := s.readFileStamps()
	if err == nil && stamps == s.stamps {
		return
	}
	var m *keyMaterial
	if err == nil {
		m, err = s.readKeyMaterial()
	}
	if err != nil {
		if s.reloadErr == nil {
			s.logger.Warn("key files not reloaded", "error", err)
		}
		s.reloadErr = err
		return
	}
	m.generation = s.current.Load().generation + 1
	s.stamps, s.reloadErr = stamps, nil
	s.current.Store(m)
	s.logger.Info("key files reloaded", "node", m.name, "role", m.role, "not_after", m.leaf.NotAfter)
}

func (s *Store) readFileStamps() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, p := range []string{s.files.Authority, s.files.Certificate, s.files.PrivateKey} {
		info, err := os.Stat(p)
		if err != nil {
			return out, fmt.Errorf("read keys: %w", err)
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (s *Store) readKeyMaterial() (*keyMaterial, error) {
	authorities, err := readCertificates(s.files.Authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	name, role, err := identity(leaf)
	if err != nil {
		return nil, fmt.Errorf("read name and role in %s: %w", s.files.Certificate, err)
	}
	roots := x509.NewCertPool()
	for _, a := range authorities {
		roots.AddCert(a)
	}
	pair.Leaf = leaf
	return &keyMaterial{certificate: pair, leaf: leaf, roots: roots, name: name, role: role}, nil
}
