// Package porttest provides tests with addresses on the loopback interface.
package porttest

import (
	"fmt"
	"syscall"
	"testing"
)

// Refusing returns an address that refuses connections. Its port stays bound, without a listener, until the
// test ends: a port that is only free could be assigned to a listener of another test.
func Refusing(t testing.TB) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}
