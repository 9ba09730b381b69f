// Package certificate loads the certificate, key and certificate authorities (CA) of a process from PEM
// files, follows changes of the files, and returns TLS configurations that use the files' present state.
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
	// Untrusted means that the other side's certificate is not valid for it or not of a known CA.
	Untrusted Kind = "untrusted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// defaultInterval keeps the cost of a handshake at three stat calls every few seconds.
const defaultInterval = 5 * time.Second

// Config sets up a Store.
type Config struct {
	// Certificate is the path of the certificate chain, leaf first, in PEM. Certificate and Key may be
	// empty for a client that presents none.
	Certificate string
	// Key is the path of the private key, in PEM.
	Key string
	// CA is the path of the certificates that the other side is verified against, in PEM; it may be empty.
	CA string
	// Interval is the least time between two checks of the files; 0 means 5 s.
	Interval time.Duration
	// Now is the clock; nil means time.Now.
	Now    func() time.Time
	Logger *zap.Logger
}

// Store holds the files' content. A handshake checks whether the files have changed, at most once every
// Interval. It is safe for concurrent use.
type Store struct {
	config  Config
	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	content content
}

// content is the state of the files at one time.
type content struct {
	// pair is nil without a certificate file.
	pair *tls.Certificate
	ca   *x509.CertPool
}

// stamp identifies a version of a file; it is zero for a file that cannot be inspected.
type stamp struct {
	modified time.Time
	size     int64
}

// New loads the files. Errors are of type *Error.
func New(config Config) (*Store, error) {
	if config.Interval == 0 {
		config.Interval = defaultInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Store{config: config, checked: config.Now()}
	s.stamps = s.inspect()
	var err error
	s.content, err = s.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// NotAfter returns the end of validity of the certificate in force, or zero without one. Like a handshake,
// it checks the files.
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

func (s *Store) inspect() [3]stamp {
	var stamps [3]stamp
	for i, path := range []string{s.config.Certificate, s.config.Key, s.config.CA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// current returns the content of the files, read again when they have changed. Files that cannot be
// used leave the content as it is and are logged once for each change.
func (s *Store) current() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.checked) < s.config.Interval {
		return s.content
	}
	s.checked = now
	// A file that changes between inspection and reading has another stamp at the next check.
	stamps := s.inspect()
	if stamps == s.stamps {
		return s.content
	}
	s.stamps = stamps
	loaded, err := s.load()
	if err != nil {
		s.config.Logger.Warn("Kept the old certificate: the changed files cannot be used", zap.Error(err))
		return s.content
	}
	s.content = loaded
	s.config.Logger.Info("Loaded a changed certificate", zap.String("certificate", s.config.Certificate), zap.String("ca", s.config.CA))
	return s.content
}
