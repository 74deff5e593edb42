package diameter

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"lemonrail/internal/diameter/overload"
	"lemonrail/internal/diameter/relay"
	"lemonrail/internal/scripted"
)

// tcpPair is both ends of a connection.
func tcpPair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if there, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if here, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

// An answer that is queued, and no longer in hand, when a planned stop ends its connection is written before the end,
// though the writer comes to it only afterwards.
func TestQueuedAnswersAreWrittenAtTheEnd(t *testing.T) {
	front, err := New(Config{Limits: relay.DefaultLimits(), Hello: 10 * time.Second, Log: slog.New(slog.DiscardHandler),
		Overload: overload.Config{Span: 100 * time.Millisecond, Validity: time.Second, Least: 8, Grow: 2, Step: 0.05, Most: 0.9}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	here, there := tcpPair(t)
	c := &conn{Conn: here, f: front, writes: make(chan []byte, writeQueue), ended: make(chan struct{})}
	front.conns[c.no] = c
	c.enqueue([]byte("one answer, "))
	c.enqueue([]byte("another"))
	c.finish()
	var running sync.WaitGroup
	running.Go(c.write)
	running.Go(c.read)
	got := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(there)
		got <- string(all)
	}()
	if all := scripted.Await(t, got); all != "one answer, another" {
		t.Errorf("the client got %q", all)
	}
	running.Wait()
}
