package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A frame that is truncated at any byte or has any single bit flipped is rejected, and so is an excessive announced length.
func TestFrames(t *testing.T) {
	whole := AppendFrame(nil, 3, []byte("content"))
	if kind, content, err := DecodeFrame(whole); err != nil || kind != 3 || string(content) != "content" {
		t.Fatalf("%d, %q, %v", kind, content, err)
	}
	for cut := range whole {
		if _, _, err := DecodeFrame(whole[:cut]); err == nil {
			t.Fatalf("a frame truncated at byte %d was accepted", cut)
		}
	}
	for at := range whole {
		for bit := range 8 {
			bad := bytes.Clone(whole)
			bad[at] ^= 1 << bit
			if _, _, err := DecodeFrame(bad); err == nil {
				t.Fatalf("a frame with bit %d of byte %d flipped was accepted", bit, at)
			}
		}
	}
	if _, _, err := DecodeFrame([]byte{0x3f, 0xff, 0xff, 0xff, 0, 0, 0, 0, 1}); !errors.Is(err, ErrInvalidFrame) {
		t.Errorf("a length of one gigabyte was announced: %v", err)
	}
}

// Any bytes are refused, or begin with the encoding of the frame that they give.
func FuzzFrame(f *testing.F) {
	f.Add(AppendFrame(nil, 1, []byte("{}")))
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 1, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		kind, content, err := ReadFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		if again := AppendFrame(nil, kind, content); !bytes.HasPrefix(raw, again) {
			t.Errorf("%x was decoded, and encodes as %x", raw, again)
		}
	})
}

// pair is a connected server and dialer, with the frames that each has received.
type pair struct {
	server             *Server
	dialer             *Dialer
	atServer, atDialer chan string // "name of the sender, content" of each frame that arrived
	invalid            chan error  // errors of OnInvalid, of both ends
	cancel             context.CancelFunc
	ended              sync.WaitGroup // done once server and dialer have returned
}

// newPair starts a server that answers each frame with its content after "back ", and a dialer to it.
func newPair(t *testing.T, served, dialled Protocol) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{atServer: make(chan string, 16), atDialer: make(chan string, 16), invalid: make(chan error, 16)}
	note := func(err error) {
		select {
		case p.invalid <- err:
		default:
		}
	}
	p.server = &Server{Listener: listener, Protocol: served, OnInvalid: note, Handle: func(c *Conn, _ Kind, content []byte) {
		p.atServer <- c.Peer() + " " + string(content)
		c.Send(1, append([]byte("back "), content...))
	}}
	p.dialer = &Dialer{Address: listener.Addr().String(), Protocol: dialled, OnInvalid: note, Handle: func(c *Conn, _ Kind, content []byte) { p.atDialer <- c.Peer() + " " + string(content) }}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.ended.Go(func() { p.server.Run(ctx) })
	p.ended.Go(func() { p.dialer.Run(ctx, rand.Float64) })
	t.Cleanup(func() {
		cancel()
		p.ended.Wait()
	})
	return p
}

// protocol returns the parameters of an end with this name; both ends match.
func protocol(name string) Protocol {
	return Protocol{Magic: "test 1", Group: "g", Name: name, KindCount: 2, SilenceTimeout: time.Minute}
}

// send retries until the dialer has a connection that accepts the frame.
func (p *pair) send(content string) {
	for !p.dialer.Send(1, []byte(content)) {
		time.Sleep(time.Millisecond)
	}
}

// A frame reaches the server with the client's name, and its answer reaches the client with the server's.
func TestFramesGoBothWays(t *testing.T) {
	p := newPair(t, protocol("server"), protocol("client"))
	p.send("hello")
	if got := <-p.atServer; got != "client hello" {
		t.Error(got)
	}
	if got := <-p.atDialer; got != "server back hello" {
		t.Error(got)
	}
}

// A hello of another group, protocol or name than expected ends the connection, and no frame is passed on.
func TestMismatchedHelloIsRefused(t *testing.T) {
	for name, tt := range map[string]struct {
		alter func(p *Protocol)
		want  string
	}{
		"group":    {func(p *Protocol) { p.Group = "other" }, `of group "other", not "g"`},
		"protocol": {func(p *Protocol) { p.Magic = "test 2" }, `protocol "test 2", not "test 1"`},
		"name":     {func(p *Protocol) { p.Name = "stranger" }, `"stranger" is not expected`},
	} {
		served, dialled := protocol("server"), protocol("client")
		served.Admit = func(name string) bool { return name == "client" }
		tt.alter(&dialled)
		p := newPair(t, served, dialled)
		for {
			if err := <-p.invalid; strings.Contains(err.Error(), tt.want) && errors.Is(err, ErrInvalidFrame) {
				break
			} else if !errors.Is(err, ErrInvalidFrame) {
				t.Errorf("%s: %v", name, err)
			}
		}
		p.cancel()
		p.ended.Wait()
		if len(p.atServer) > 0 {
			t.Errorf("%s: a frame was passed on although the hello doesn't match", name)
		}
	}
}

// A frame of a kind that the protocol doesn't have ends the connection; the dialer connects again.
func TestUnknownKind(t *testing.T) {
	p := newPair(t, protocol("server"), protocol("client"))
	p.send("first")
	<-p.atServer
	p.dialer.Send(2, nil)
	if err := <-p.invalid; !errors.Is(err, ErrInvalidFrame) || !strings.Contains(err.Error(), "kind 2") {
		t.Error(err)
	}
	for {
		p.send("second")
		select {
		case got := <-p.atServer:
			if got != "client second" {
				t.Error(got)
			}
			return
		case <-time.After(20 * time.Millisecond): // the frame was lost with the connection that was being closed
		}
	}
}

// Pings keep an idle connection open and aren't passed to the handler; without pings it is closed after SilenceTimeout.
func TestPingsPreventSilenceTimeout(t *testing.T) {
	for _, ping := range []time.Duration{0, 5 * time.Millisecond} {
		served, dialled := protocol("server"), protocol("client")
		served.PingInterval, dialled.PingInterval = ping, ping
		dialled.SilenceTimeout = 50 * time.Millisecond
		if ping > 0 {
			dialled.SilenceTimeout = 10 * time.Second
		}
		p := newPair(t, served, dialled)
		p.send("x")
		<-p.atServer
		<-p.atDialer
		p.dialer.mu.Lock()
		first := p.dialer.conn
		p.dialer.mu.Unlock()
		if ping == 0 {
			<-first.done // closed by the silence timeout
		} else {
			time.Sleep(20 * ping)
			select {
			case <-first.done:
				t.Error("a connection with pings was closed by the silence timeout")
			default:
			}
		}
		p.cancel()
		p.ended.Wait()
		if len(p.atServer) > 0 || len(p.atDialer) > 0 {
			t.Error("a ping was passed to the handler")
		}
	}
}

// Send refuses frames beyond the queue's bound, frames that are too long, and any frame after Close.
func TestQueueIsBounded(t *testing.T) {
	c := Detached("peer")
	sent := 0
	for range 2 * maxQueuedFrames {
		if c.Send(1, nil) {
			sent++
		}
	}
	if sent != maxQueuedFrames || c.Send(1, make([]byte, maxContentBytes+1)) {
		t.Errorf("%d frames were queued, the limit is %d", sent, maxQueuedFrames)
	}
	c.Close()
	if _, ok := c.Next(); !ok || c.Send(1, nil) {
		t.Error("a closed connection accepts frames")
	}
}
