package accept_test

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"

	"lemonrail/internal/accept"
	"lemonrail/internal/scripted"
)

var quiet = slog.New(slog.DiscardHandler)

// Every error that Linux documents for a moment is passed over, once and several times in a row.
func TestPassingErrorsAreRetried(t *testing.T) {
	for _, passing := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM,
		syscall.EPROTO, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET,
		syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT} {
		t.Run(passing.Error(), func(t *testing.T) {
			ln := scripted.FailAccepts(scripted.Listen(t), passing, passing)
			failures := 0
			l := accept.Retry(ln, func() { failures++ }, quiet)
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			nc, err := l.Accept()
			if err != nil || failures != 2 {
				t.Fatalf("%v after %d failures", err, failures)
			}
			nc.Close()
		})
	}
}

// A broken listener and one that is closed end Accept, also while it waits after an error.
func TestOtherErrorsEndAccept(t *testing.T) {
	l := accept.Retry(scripted.FailAccepts(scripted.Listen(t), syscall.EBADF), nil, quiet)
	if _, err := l.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v", err)
	}
	var closing *accept.Listener
	closing = accept.Retry(scripted.FailAccepts(scripted.Listen(t), syscall.EMFILE), func() { closing.Close() }, quiet)
	if _, err := closing.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v after Close", err)
	}
	if accept.IsPassing(os.ErrDeadlineExceeded) || accept.IsPassing(net.ErrClosed) {
		t.Error("an end of the listener counts as passing")
	}
}
