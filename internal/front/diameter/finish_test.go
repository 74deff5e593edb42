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

// tcpPair returns both ends of a TCP connection.
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

// An answer that is queued, and whose request is no longer pending, when a planned stop ends its connection
// is written before the connection is closed, although the writer processes the queue only afterwards.
func TestQueuedAnswersAreWrittenAtTheEnd(t *testing.T) {
	front, err := New(Config{Limits: relay.DefaultLimits(), CERTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler),
		Overload: overload.Config{Interval: 100 * time.Millisecond, Validity: time.Second, MinAnswers: 8, GrowthFactor: 2, MinReduction: 0.05, MaxReduction: 0.9}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	here, there := tcpPair(t)
	c := &conn{Conn: here, front: front, writes: make(chan []byte, writeQueue), ended: make(chan struct{})}
	front.conns[c.id] = c
	c.enqueue([]byte("one answer, "))
	c.enqueue([]byte("another"))
	c.closeAfterWrites()
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
