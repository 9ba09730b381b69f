// Package certificate loads the certificate, key and certificate authorities (CA) of a process from PEM
// files, reloads changed files, and returns TLS configurations that use the current content of the files.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreadable means that a file could not be read.
	Unreadable Kind = "unreadable"
	// Invalid means that a file holds no usable certificate or key, or that the two do not belong together.
	Invalid Kind = "invalid"
	// Missing means that a TLS configuration needs a CA file and none is configured.
	Missing Kind = "missing"
	// Untrusted means that the certificate of the other side is not valid for its address or not issued by a
	// trusted CA.
	Untrusted Kind = "untrusted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// defaultCheckInterval limits the cost of the checks to three stat calls per interval, however many
// handshakes there are.
const defaultCheckInterval = 5 * time.Second

// Config configures a Store.
type Config struct {
	// Certificate is the path of the certificate chain, leaf first, in PEM. Certificate and Key may be
	// empty for a client that presents none.
	Certificate string
	// Key is the path of the private key, in PEM.
	Key string
	// CA is the path of the certificates that the other side is verified against, in PEM; it may be empty.
	CA string
	// CheckInterval is the minimum time between two checks of the files; 0 means 5 s.
	CheckInterval time.Duration
	// Now is the clock; nil means time.Now.
	Now    func() time.Time
	Logger *zap.Logger
}

// Store holds the content of the files. A handshake checks whether the files have changed, at most once per
// CheckInterval. It is safe for concurrent use.
type Store struct {
	config       Config
	mu           sync.Mutex
	lastCheck    time.Time
	fileVersions [3]fileVersion
	content      content
}

// content is the parsed content of the files at one time.
type content struct {
	// pair is nil without a certificate file.
	pair *tls.Certificate
	ca   *x509.CertPool
}

// fileVersion identifies a version of a file; it is zero if stat failed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New loads the files. Errors are of type *Error.
func New(config Config) (*Store, error) {
	if config.CheckInterval == 0 {
		config.CheckInterval = defaultCheckInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Store{config: config, lastCheck: config.Now()}
	s.fileVersions = s.statFiles()
	var err error
	s.content, err = s.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// NotAfter returns the end of validity of the certificate in use, or zero without one. Like a handshake,
// it checks whether the files have changed.
func (s *Store) NotAfter() time.Time {
	pair := s.current().pair
	if pair == nil {
		return time.Time{}
	}
	return pair.Leaf.NotAfter
}

// LoadCA reads the certificates of a CA file in PEM. Errors are of type *Error.
func LoadCA(path string) (*x509.CertPool, error) {
	const op = "load CA certificates"
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, op, Unreadable, "CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New(op, Invalid, "%s holds no certificate in PEM", path)
	}
	return pool, nil
}

func (s *Store) load() (content, error) {
	var loaded content
	var err error
	if s.config.Certificate != "" || s.config.Key != "" {
		if loaded.pair, err = s.loadPair(); err != nil {
			return content{}, err
		}
	}
	if s.config.CA != "" {
		if loaded.ca, err = LoadCA(s.config.CA); err != nil {
			return content{}, err
		}
	}
	return loaded, nil
}

func (s *Store) loadPair() (*tls.Certificate, error) {
	const op = "load certificate"
	certificate, err := os.ReadFile(s.config.Certificate)
	if err != nil {
		return nil, fault.Wrap(err, op, Unreadable, "certificate file")
	}
	key, err := os.ReadFile(s.config.Key)
	if err != nil {
		return nil, fault.Wrap(err, op, Unreadable, "key file")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return &pair, fault.Wrap(err, op, Invalid, s.config.Certificate+" with "+s.config.Key)
}

func (s *Store) statFiles() [3]fileVersion {
	var fileVersions [3]fileVersion
	for i, path := range []string{s.config.Certificate, s.config.Key, s.config.CA} {
		if info, err := os.Stat(path); err == nil {
			fileVersions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return fileVersions
}

// current returns the content of the files and reloads them when they have changed. If the changed files
// cannot be used, it keeps the previous content and logs the error once per change.
func (s *Store) current() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.lastCheck) < s.config.CheckInterval {
		return s.content
	}
	s.lastCheck = now
	// A file that changes between stat and load has another version at the next check, which reloads it.
	fileVersions := s.statFiles()
	if fileVersions == s.fileVersions {
		return s.content
	}
	s.fileVersions = fileVersions
	loaded, err := s.load()
	if err != nil {
		s.config.Logger.Warn("Kept the old certificate: the changed files cannot be used", zap.Error(err))
		return s.content
	}
	s.content = loaded
	s.config.Logger.Info("Loaded a changed certificate", zap.String("certificate", s.config.Certificate), zap.String("ca", s.config.CA))
	return s.content
}
