// Package connstate reports the state of a connection without reading from it.
package connstate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as Inspect finds it.
type State uint8

const (
	Closed   State = iota // closed by the peer, or failed
	Idle                  // open, with nothing to read
	Readable              // open, with bytes to read
)

// access is the result of withDescriptor.
type access uint8

const (
	called    access = iota // the function was called
	noSocket                // not a connection of the operating system
	notUsable               // closed on this side
)

// withDescriptor calls f with the descriptor of a connection or listener of the operating system.
func withDescriptor(socket any, f func(fd int)) access {
	sys, ok := socket.(syscall.Conn)
	if !ok {
		return noSocket
	}
	raw, err := sys.SyscallConn()
	if err != nil || raw.Control(func(fd uintptr) { f(int(fd)) }) != nil {
		return notUsable
	}
	return called
}

// Inspect returns the state of an operating system connection. It never blocks and ignores deadlines.
func Inspect(nc net.Conn) State {
	var b [1]byte
	state := Closed
	withDescriptor(nc, func(fd int) {
		n, err := peek(fd, b[:])
		switch {
		case err == nil && n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		}
	})
	return state
}

// Backlog returns how many connections wait to be accepted; 0 if the system doesn't tell.
func Backlog(ln net.Listener) (n int) {
	withDescriptor(ln, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // of a listener: the length of its queue
		}
	})
	return n
}

// Peek copies received bytes that have not been read yet into p, without waiting and without taking them.
func Peek(nc net.Conn, p []byte) (n int) {
	withDescriptor(nc, func(fd int) {
		if got, err := peek(fd, p); err == nil {
			n = got
		}
	})
	return n
}

func peek(fd int, p []byte) (int, error) {
	n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// PeerClosed reports whether the peer has closed its sending side, or the connection has failed, even if there
// are still bytes to read. It returns false if nc is not an operating system connection.
func PeerClosed(nc net.Conn) (closed bool) {
	result := withDescriptor(nc, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			closed = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return closed || result == notUsable
}

// UnackedBytes returns the number of written bytes that the peer has not acknowledged yet, or 0 if the system can't
// tell.
func UnackedBytes(nc net.Conn) int {
	n, _ := queueLength(nc, unix.TIOCOUTQ)
	return n
}

// UnreadBytes returns the number of received bytes that have not been read yet; known is false if the system can't
// tell.
func UnreadBytes(nc net.Conn) (n int, known bool) {
	if n, known = queueLength(nc, unix.TIOCINQ); known {
		return n, true
	}
	return 0, Inspect(nc) == Idle
}

// queueLength returns the length of one of a connection's queues in bytes; known is false if the system can't tell.
func queueLength(nc net.Conn, queue uint) (n int, known bool) {
	withDescriptor(nc, func(fd int) {
		length, err := unix.IoctlGetInt(fd, queue)
		if err == nil {
			n, known = length, true
		}
	})
	return n, known
}

// LastArrival returns when the last bytes of an accepted connection arrived, whether or not they have been read; without any,
// when it was established. The system tells it to some milliseconds. Where it doesn't, the result is the present, which is
// later in any case.
func LastArrival(nc net.Conn) time.Time {
	last, _ := Arrivals(nc)
	return last
}

// Arrivals returns when the last bytes arrived, as LastArrival does, and in how many segments all bytes have come; 0: none, or the
// system doesn't tell.
func Arrivals(nc net.Conn) (last time.Time, segments int) {
	last = time.Now()
	withDescriptor(nc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			last = last.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
			segments = int(info.Data_segs_in)
		}
	})
	return last, segments
}
