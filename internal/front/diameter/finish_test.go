package diameter

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonrail/internal/diameter"
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

// newTestConn returns a connection of a front without goroutines, and the client's end of it.
func newTestConn(t *testing.T) (c *conn, client net.Conn) {
	t.Helper()
	front, err := New(Config{Limits: relay.DefaultLimits(), CERTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Identity: "relay.example.net", Realm: "example.net",
		Overload: overload.Config{Interval: 100 * time.Millisecond, Validity: time.Second, MinAnswers: 8, GrowthFactor: 2, MinReduction: 0.05, MaxReduction: 0.9}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	here, there := tcpPair(t)
	c = &conn{Conn: here, front: front, writes: newOutbox(func(int) {}),
		peer: diameter.NewPeer("relay.example.net", diameter.DefaultPeerConfig(), rand.New(rand.NewPCG(1, 0)))}
	front.conns[c.id] = c
	return c, there
}

// receiveAll runs a connection's goroutines until they end, and returns all that its client receives.
func receiveAll(t *testing.T, c *conn, client net.Conn) string {
	t.Helper()
	var running sync.WaitGroup
	running.Go(c.write)
	running.Go(c.read)
	got := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(client)
		got <- string(all)
	}()
	all := scripted.Await(t, got)
	running.Wait()
	return all
}

// An answer that is queued, and whose request is no longer pending, when a planned stop ends its connection
// is written before the connection is closed, although the writer processes the queue only afterwards.
func TestQueuedAnswersAreWrittenAtTheEnd(t *testing.T) {
	c, client := newTestConn(t)
	c.enqueue([]byte("one answer, "))
	c.enqueue([]byte("another"))
	c.closeAfterWrites()
	if all := receiveAll(t, c, client); all != "one answer, another" {
		t.Errorf("the client got %q", all)
	}
}

// Guards against a lost answer at a planned stop: it is queued, and its request no longer pending, when the client's DPA
// ends the connection.
func TestQueuedAnswerIsWrittenAfterDPA(t *testing.T) {
	const answer = "the answer"
	c, client := newTestConn(t)
	c.mu.Lock()
	c.step(diameter.Event{Input: diameter.GotCER, Host: "client1.example.net"})
	c.front.stopping = true
	c.step(diameter.Event{Input: diameter.Stop, Cause: diameter.Rebooting})
	c.enqueue([]byte(answer))
	c.step(diameter.Event{Input: diameter.GotDPA, Side: diameter.Responder})
	ended := c.dpaReceived
	c.mu.Unlock()
	if !ended {
		t.Fatal("the DPA doesn't end the connection")
	}
	if all := receiveAll(t, c, client); !strings.HasSuffix(all, answer) {
		t.Errorf("the client got %d bytes without the answer", len(all))
	}
}
