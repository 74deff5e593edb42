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

// Bytes that are read late have not arrived late.
func TestLastArrival(t *testing.T) {
	const resolution = 20 * time.Millisecond // of the system's clock for arrivals, at the most
	near, far := connect(t)
	io.WriteString(near, "hello")
	for n, _ := UnreadBytes(far); n == 0; n, _ = UnreadBytes(far) {
		time.Sleep(time.Millisecond)
	}
	arrived := time.Now()
	time.Sleep(10 * resolution)
	if at := LastArrival(far); at.After(arrived.Add(resolution)) {
		t.Errorf("%v after the bytes had arrived", at.Sub(arrived))
	}
	got := make([]byte, 8)
	if n := Peek(far, got); string(got[:n]) != "hello" {
		t.Errorf("peeked %q", got[:n])
	}
	io.ReadFull(far, got[:5])
	if at := LastArrival(far); at.After(arrived.Add(resolution)) {
		t.Errorf("%v after the bytes had arrived, once they are read", at.Sub(arrived))
	}
	before := time.Now()
	pipe, _ := net.Pipe()
	if LastArrival(pipe).Before(before) {
		t.Error("known without a socket")
	}
}

func TestBacklog(t *testing.T) {
	ln := scripted.Listen(t)
	for range 3 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	await := func(want int) {
		t.Helper()
		for begun := time.Now(); Backlog(ln) != want; time.Sleep(time.Millisecond) {
			if time.Since(begun) > scripted.WaitTimeout {
				t.Fatalf("%d connections wait, want %d", Backlog(ln), want)
			}
		}
	}
	await(3)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	await(2)
}
