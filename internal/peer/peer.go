// Package peer carries net/rpc calls between the processes of the system. It adds what net/rpc lacks:
// contexts, write deadlines, a bound on pending calls, reconnection, proof that both sides hold the
// cluster key, and optionally TLS.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreachable means that no connection could be made; the call did not reach the peer.
	Unreachable Kind = "unreachable"
	// Denied means that the peer does not hold the cluster key, or that one side refused the other's
	// certificate or TLS version; the call did not reach the peer.
	Denied Kind = "denied"
	// Busy means that too many calls are pending on the connection; the call was not sent.
	Busy Kind = "busy"
	// Lost means that the call was sent and no reply was received; it may have run.
	Lost Kind = "lost"
	// Remote means that the peer's method returned an error.
	Remote Kind = "remote"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds how long a peer that does not read can block the writers of a connection.
	writeTimeout = 2 * time.Second
)

// deadlineConn sets a deadline on each write, records when bytes last arrived and whether the connection
// has ended, and counts the bytes.
type deadlineConn struct {
	net.Conn
	lastRead atomic.Int64
	ended    atomic.Bool
	traffic  *atomic.Int64
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.traffic.Add(int64(n))
	}
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.Add(int64(n))
	return n, err
}

// secureConn is a TLS connection that closes without a close_notify alert: tls.Conn.Close waits up to 5 s to
// send one to a peer that does not read, while Close is called with locks held. The messages of net/rpc carry
// their lengths, so a truncated connection is detected without the alert.
type secureConn struct {
	*tls.Conn
}

func (c secureConn) Close() error {
	return c.NetConn().Close()
}

// handshake completes the TLS handshake before ctx ends and within handshakeTimeout.
func handshake(ctx context.Context, conn *tls.Conn) (net.Conn, error) {
	const op = "secure peer connection"
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fault.Wrap(err, op, handshakeErrorKind(err, Unreachable), "TLS handshake")
	}
	return secureConn{conn}, nil
}

// handshakeErrorKind returns Denied if err says that one side refused the other in the TLS handshake, and
// fallback if not. With TLS 1.3 a client learns that its certificate was refused from its first read after
// the handshake; crypto/tls reports alerts of the other side as "remote error".
func handshakeErrorKind(err error, fallback Kind) Kind {
	var verification *tls.CertificateVerificationError
	var alert *net.OpError
	switch {
	case errors.As(err, &verification), fault.Is(err, certificate.Untrusted):
		return Denied
	case errors.As(err, &alert) && alert.Op == "remote error":
		return Denied
	default:
		return fallback
	}
}

// authenticate proves to the peer that this side holds the key, and verifies the peer's proof. Each side sends a
// nonce and replies to that of the peer with an HMAC of its own role and the nonce; the role keeps a reflected
// proof from being accepted.
func authenticate(conn net.Conn, key, role, peerRole string) error {
	const op = "authenticate peer"
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fault.Wrap(err, op, Unreachable, "set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return fault.Wrap(err, op, Unreachable, "make nonce")
	}
	if _, err := conn.Write(nonce); err != nil {
		return fault.Wrap(err, op, Unreachable, "send nonce")
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return fault.Wrap(err, op, handshakeErrorKind(err, Unreachable), "receive nonce")
	}
	if _, err := conn.Write(proof(key, role, peerNonce)); err != nil {
		return fault.Wrap(err, op, Unreachable, "send proof")
	}
	peerProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerProof); err != nil {
		return fault.Wrap(err, op, Denied, "receive proof")
	}
	if !hmac.Equal(peerProof, proof(key, peerRole, nonce)) {
		return fault.New(op, Denied, "peer %s does not hold the cluster key", conn.RemoteAddr())
	}
	return fault.Wrap(conn.SetDeadline(time.Time{}), op, Unreachable, "clear deadline")
}

func proof(key, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

const (
	clientRole = "client"
	serverRole = "server"
)
