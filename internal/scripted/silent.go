package scripted

import (
	"net"
	"syscall"
	"testing"
)

// UnresponsiveAddr returns an address where connection attempts are neither accepted nor refused, like those to a
// machine that has vanished: the listener's accept queue is full, so that the kernel lets further ones wait.
func UnresponsiveAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	c, err := net.DialTCP("tcp4", nil, at) // takes the only place in the accept queue
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return at.String()
}
