package connstate

import (
	"io"
	"net"
	"testing"
	"time"

	"lemonrail/internal/scripted"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln := scripted.Listen(t)
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

func TestUnreadBytes(t *testing.T) {
	near, far := connect(t)
	if n, known := UnreadBytes(near); n != 0 || !known {
		t.Errorf("%d, %v before anything was sent", n, known)
	}
	io.WriteString(far, "hello")
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if n, known := UnreadBytes(near); n == len("hello") && known {
			break
		}
		if time.Since(begun) > scripted.WaitTimeout {
			t.Fatal("the bytes are not seen")
		}
	}
	io.ReadFull(near, make([]byte, 2))
	if n, known := UnreadBytes(near); n != 3 || !known {
		t.Errorf("%d, %v after two of five bytes were read", n, known)
	}
	pipe, _ := net.Pipe()
	if _, known := UnreadBytes(pipe); known {
		t.Error("known without a socket")
	}
	near.Close()
	if _, known := UnreadBytes(near); known {
		t.Error("known of a closed connection")
	}
}
