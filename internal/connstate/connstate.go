// Package connstate reports the state of a connection without reading from it.
package connstate

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as Inspect finds it.
type State uint8

const (
	Closed   State = iota // closed by the peer, or failed
	Idle                  // open, with nothing to read
	Readable              // open, with bytes to read
)

// Inspect returns the state of an operating system connection. It never blocks and ignores deadlines.
func Inspect(nc net.Conn) State {
	sys, ok := nc.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// PeerClosed reports whether the peer has closed its sending side, or the connection has failed, even if there
// are still bytes to read. It returns false if nc is not an operating system connection.
func PeerClosed(nc net.Conn) (closed bool) {
	sys, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			closed = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return closed || err != nil
}

// UnackedBytes returns the number of written bytes that the peer has not acknowledged yet, or 0 if the system can't
// tell.
func UnackedBytes(nc net.Conn) (n int) {
	sys, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}

// UnreadBytes returns the number of received bytes that have not been read yet; known is false if the system can't
// tell.
func UnreadBytes(nc net.Conn) (n int, known bool) {
	sys, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, false
	}
	failed := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if failed != nil || err != nil {
		return 0, Inspect(nc) == Idle
	}
	return n, true
}
