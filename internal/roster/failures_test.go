package roster

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/scripted"
	"lemonrail/internal/wire"
)

// toldWithin is the time after which a change counts as told, from the moment on in which discovery had it and could be
// reached, whatever call failed before.
const toldWithin = 6 * time.Second

// Ways in which a call to discovery fails, or comes to nothing.
type failure int

const (
	refused    failure = iota // no connection
	hungDial                  // the connection neither comes up nor is refused
	hung                      // it comes up, and nothing is answered
	hungHead                  // the head of the answer is cut short, and nothing follows
	hungBody                  // the head comes, and nothing follows
	overloaded                // 503, after a time
	resetHead                 // reset before the head
	resetBody                 // the list breaks off in the middle
	trickling                 // a list comes byte by byte and never ends
	stalled                   // a list begins, goes on just before it would be given up, and stops
	silenced                  // a heartbeat, then nothing
	nonsense                  // what comes is no list
	failures
)

// flaky is a discovery whose calls fail in a seeded order until it can be reached. It lives on the test's clock.
type flaky struct {
	rng   *rand.Rand
	calls []failure // that were made, for the report

	mu     sync.Mutex
	up     bool
	seq    int64
	tell   chan struct{} // closed with each change
	broken chan struct{} // closed when what is open falls silent
	slow   time.Duration // after which a call is answered
}

// dial is a call's connection: the other end answers as it will.
func (f *flaky) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f.mu.Lock()
	way, up := failure(f.rng.IntN(int(failures))), f.up
	if !up {
		f.calls = append(f.calls, way)
	}
	delay := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	f.mu.Unlock()
	switch {
	case up:
	case way == refused:
		return nil, errors.New("connection refused")
	case way == hungDial:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	mine, theirs := net.Pipe()
	go func() {
		defer theirs.Close()
		r := bufio.NewReader(theirs)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		gone := make(chan struct{})
		go func() {
			io.Copy(io.Discard, r) // until the caller's end
			close(gone)
		}()
		if up {
			time.Sleep(f.slow)
			f.serve(theirs, gone)
		} else {
			fail(theirs, gone, way, delay)
		}
	}()
	return mine, nil
}

const answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// fail answers a call in a way that comes to nothing. It returns when the caller has gone, or at once where it resets.
func fail(c net.Conn, gone <-chan struct{}, way failure, delay time.Duration) {
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	list := roll(99, true, entry("h1", "a", "m1", "ready"))
	switch way {
	case hungHead:
		write(answerHead[:20])
	case hungBody:
		write(answerHead)
	case overloaded:
		time.Sleep(delay)
		write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case resetHead:
		time.Sleep(delay / 4)
		return
	case resetBody:
		write(answerHead + chunk(list[:len(list)/2]))
		return
	case trickling:
		write(answerHead)
		for i := 0; write(chunk(string(list[i%(len(list)-1)]))); i++ {
			time.Sleep(delay/20 + time.Millisecond)
		}
	case stalled:
		write(answerHead + chunk(list[:10]))
		time.Sleep(silence - 10*time.Millisecond)
		write(chunk(list[10:20]))
	case silenced:
		write(answerHead + chunk("\n"))
	case nonsense:
		write(answerHead + chunk("{\"seq\":\"many\"}\n"))
	}
	<-gone
}

// serve answers a call as it should: with the list, a heartbeat every 2 s, and each change.
func (f *flaky) serve(c net.Conn, gone <-chan struct{}) {
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if !write(answerHead) {
		return
	}
	for told := int64(-1); ; {
		f.mu.Lock()
		seq, tell, broken := f.seq, f.tell, f.broken
		f.mu.Unlock()
		if seq != told && !write(chunk(roll(int(seq), true, entry("h1", "a", "m1", "ready"))+"\n")) {
			return
		}
		told = seq
		select {
		case <-tell:
		case <-broken: // it stays open and says nothing more
			<-gone
			return
		case <-gone:
			return
		case <-time.After(2 * time.Second):
			if !write(chunk("\n")) {
				return
			}
		}
	}
}

// change has discovery hold another version of the list.
func (f *flaky) change() (seq int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	close(f.tell)
	f.tell = make(chan struct{})
	return f.seq
}

// reach says whether calls that are made from now on are answered. Those that are open fall silent when it can't be
// reached any more, and stay so.
func (f *flaky) reach(up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.up = up; !up {
		close(f.broken)
		f.broken = make(chan struct{})
	}
}

// follower is a client with, where lists are asked for, the real decision module, which says when.
type follower struct {
	mu    sync.Mutex
	d     *Client
	bal   *balance.Balancer
	start time.Time
	known int64
}

func (f *follower) step(e balance.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := e.(balance.List); ok && l.Kind != balance.ListFailed {
		f.known = max(f.known, l.Version)
	}
	if f.bal == nil {
		return
	}
	for _, a := range f.bal.Step(time.Since(f.start)+time.Hour, []balance.Event{e}) {
		switch a := a.(type) {
		case balance.SetTimer:
			time.AfterFunc(a.After, func() { f.step(balance.TimerFired{Token: a.Token}) })
		case balance.Subscribe:
			f.d.Subscribe()
		}
	}
}

func (f *follower) knows() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// askedSettings are those of a fleet that asks for its lists.
func askedSettings(agents int) balance.Settings {
	return balance.Settings{Balancers: agents, Zones: 2, Kinds: 2, Subscribe: true, AskWithin: 10 * time.Second, MaxAttempts: 3,
		Tick: 5 * time.Millisecond, ConnectTimeout: time.Second, AnswerGrace: 20 * time.Millisecond, ColdShare: 0.3, FallMultiple: 3,
		FallWindow: time.Second, RampTime: time.Second, DrainGrace: 500 * time.Millisecond,
		Classes: []balance.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}}
}

// playFailures plays one seeded order of failures, several outages long, and returns what went wrong.
func playFailures(t *testing.T, seed uint64, agents int) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, uint64(agents)))
		service := &flaky{rng: rng, tell: make(chan struct{}), broken: make(chan struct{}), seq: 1}
		ctx, stop := context.WithCancel(t.Context())
		if agents == 0 && seed%3 == 0 { // where lists are asked for, a call that waits has more time
			service.slow = time.Duration(rng.Int64N(int64(1900 * time.Millisecond)))
		}
		f := &follower{start: time.Now()}
		f.d = New(ctx, Config{Service: netip.MustParseAddrPort("127.0.0.1:1"), Ask: agents > 0, Names: wire.Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}},
			func(l balance.List, _ map[string]string) { f.step(l) }, slog.New(slog.DiscardHandler))
		f.d.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, f.d.patience()) // as the client's own
			defer cancel()
			return service.dial(ctx, network, address)
		}
		if agents > 0 {
			bal, err := balance.New(askedSettings(agents), seed)
			if err != nil {
				t.Fatal(err)
			}
			f.bal = bal
			f.step(balance.List{Kind: balance.ListCached})
		} else {
			go f.d.Run()
		}
		// A new process that asks for its lists may take its time for the first call: a failure has yet to come.
		time.Sleep(10 * time.Second)
		for range 4 {
			within := func(longest time.Duration) time.Duration { return time.Duration(service.random(int64(longest))) }
			time.Sleep(within(12 * time.Second))
			before := service.since()
			var seq int64
			if within(2) == 0 { // it had the change before it could be reached, or has it some time later
				seq = service.change()
				service.reach(true)
			} else {
				service.reach(true)
				time.Sleep(within(8 * time.Second))
				seq = service.change()
			}
			time.Sleep(toldWithin)
			synctest.Wait()
			if known := f.knows(); known < seq {
				wrong = fmt.Sprintf("%v after the change the module knows version %d of %d; calls that failed before: %v", toldWithin, known, seq, before)
				break
			}
			service.reach(false)
		}
		stop()
		synctest.Wait()
		time.Sleep(time.Minute) // what is open ends
	})
	return wrong
}

func (f *flaky) random(n int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Int64N(n)
}

// since is what calls have failed since it was last asked.
func (f *flaky) since() []failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

// Whatever calls were refused, hung or answered in part, in whatever order, and whether lists are pushed or asked for by a
// small fleet or a large one, by a service that may be slow: 6 s after discovery had a change and could be reached, the module knows it.
func TestToldWhateverCallFailed(t *testing.T) {
	seeds := uint64(300)
	if one := os.Getenv("SEED"); one != "" {
		var first uint64
		fmt.Sscan(one, &first)
		if wrong := playFailures(t, first, agentsOf(first)); wrong != "" {
			t.Error(wrong)
		}
		return
	}
	failed := 0
	for seed := range seeds {
		if wrong := playFailures(t, seed, agentsOf(seed)); wrong != "" {
			if failed++; failed <= 5 {
				t.Errorf("seed %d, %d agents that ask: %s\nto see it again: SEED=%d go test -run TestToldWhateverCallFailed ./internal/roster", seed, agentsOf(seed), wrong, seed)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d seeds failed", failed, seeds)
	}
}

// agentsOf is how many agents ask for their lists on a seed; 0: lists are pushed.
func agentsOf(seed uint64) int { return []int{0, 0, 1, 5, 60, 300}[seed%6] }

// A service where connections neither come up nor are refused holds few descriptors, however often it is called: a dial
// ends with its call.
func TestDialsEndWithTheirCalls(t *testing.T) {
	silent := scripted.Silent(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	d := New(ctx, Config{Service: netip.MustParseAddrPort(silent)}, func(balance.List, map[string]string) {}, slog.New(slog.DiscardHandler))
	d.opening, d.silence = 20*time.Millisecond, 20*time.Millisecond
	calls := make(chan struct{}, 1000)
	dial := d.http.Transport.(*http.Transport).DialContext
	d.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		calls <- struct{}{}
		return dial(ctx, network, address)
	}
	go d.Run()
	for range 15 {
		await(t, calls)
	}
	if n := dialling(t, silent); n > 3 {
		t.Errorf("%d dials are out after 15 calls that were given up", n)
	}
}

// dialling counts the connections to an address that have yet to come up.
func dialling(t *testing.T, address string) (n int) {
	t.Helper()
	const synSent = "02"
	raw, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	remote := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), at.Port())
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 3 && fields[2] == remote && fields[3] == synSent {
			n++
		}
	}
	return n
}
