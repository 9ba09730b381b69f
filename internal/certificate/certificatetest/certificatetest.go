// Package certificatetest makes certificate authorities and certificates for tests.
package certificatetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
)

// validity is how long certificates are valid before and after the current time.
const validity = time.Hour

// Authority issues certificates.
type Authority struct {
	// PEM is the authority's own certificate.
	PEM         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Pair is a certificate with its key, in PEM.
type Pair struct{ Certificate, Key string }

// NewAuthority returns a new authority.
func NewAuthority(t testing.TB) Authority {
	t.Helper()
	template := &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, SerialNumber: big.NewInt(1),
		NotBefore: time.Now().Add(-2 * validity), NotAfter: time.Now().Add(validity),
	}
	key, der := sign(t, template, nil)
	parsed, err := x509.ParseCertificate(der)
	check(t, err)
	return Authority{PEM: encodePEM("CERTIFICATE", der), certificate: parsed, key: key}
}

// Issue makes a certificate for servers and clients at a host, which is a name or IP address.
func (a Authority) Issue(t testing.TB, serial int64, host string) Pair {
	t.Helper()
	return a.issue(t, serial, host, time.Now().Add(validity))
}

// IssueExpired is like Issue, but the certificate expired a minute ago.
func (a Authority) IssueExpired(t testing.TB, serial int64, host string) Pair {
	t.Helper()
	return a.issue(t, serial, host, time.Now().Add(-time.Minute))
}

func (a Authority) issue(t testing.TB, serial int64, host string, notAfter time.Time) Pair {
	t.Helper()
	template := &x509.Certificate{
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		SerialNumber: big.NewInt(serial), NotBefore: notAfter.Add(-validity), NotAfter: notAfter,
	}
	if ip := net.ParseIP(host); ip != nil {
		template.IPAddresses = []net.IP{ip}
	} else {
		template.DNSNames = []string{host}
	}
	key, der := sign(t, template, &a)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	return Pair{encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", pkcs8)}
}

// Write writes the pair and the CA certificates to files in a temporary directory.
func (p Pair) Write(t testing.TB, ca string) certificate.Files {
	t.Helper()
	directory := t.TempDir()
	write := func(name, data string) string {
		path := filepath.Join(directory, name)
		check(t, os.WriteFile(path, []byte(data), 0o600))
		return path
	}
	return certificate.Files{Certificate: write("certificate.pem", p.Certificate), Key: write("key.pem", p.Key), CA: write("ca.pem", ca)}
}

// Server returns a server configuration that presents the pair.
func (p Pair) Server(t testing.TB) *tls.Config {
	t.Helper()
	pair, err := tls.X509KeyPair([]byte(p.Certificate), []byte(p.Key))
	check(t, err)
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
}

// Pool returns a pool that trusts only this authority.
func (a Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

func sign(t testing.TB, template *x509.Certificate, issuer *Authority) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	parent, parentKey := template, key
	if issuer != nil {
		parent, parentKey = issuer.certificate, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	check(t, err)
	return key, der
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
