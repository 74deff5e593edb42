package roster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// listLayouts holds the same two lists, with heartbeats between them, in various JSON layouts.
var listLayouts = map[string]string{
	"a line each":          "\n{\"seq\":42,\"whole\":false,\"hosts\":[]}\n\n\n{\"seq\":43,\"hosts\":[{\"host\":\"h{1\",\"health\":\"gone\"}]}\n\n",
	"indented":             "\r\n{\r\n  \"seq\": 42,\r\n\r\n  \"whole\": false,\r\n  \"hosts\": [\r\n  ]\r\n}\r\n\r\n{\n\t\"seq\": 43,\n\t\"hosts\": [\n\t\t{\n\"host\": \"h{1\",\n\"health\": \"gone\" } ]\n}\n",
	"two in one line":      `{"seq":42,"hosts":[]} {"seq":43,"hosts":[{"host":"h{1","health":"gone"}]}`,
	"one behind the other": `{"seq":42,"hosts":[]}{"seq":43,"hosts":[{"host":"h{1","health":"gone"}]}` + "\n",
}

// Lists are read alike in any layout and wherever their bytes are split, and every byte resets the watchdog.
func TestReadListLayouts(t *testing.T) {
	for name, text := range listLayouts {
		for split := range len(text) + 1 { // in two parts at each byte, finally byte by byte
			pieces := io.MultiReader(strings.NewReader(text[:split]), strings.NewReader(text[split:]))
			if split == len(text) {
				pieces = iotest.OneByteReader(strings.NewReader(text))
			}
			reads := 0
			lr := newListReader(pieces, silenceTimeout, func() { reads++ })
			for want := int64(42); want <= 43; want++ {
				if l, err := lr.next(); err != nil || l.Seq != want || len(l.Hosts) != int(want-42) {
					t.Fatalf("%s, split at %d: got %+v, %v", name, split, l, err)
				}
			}
			if _, err := lr.next(); !errors.Is(err, io.EOF) {
				t.Errorf("%s, split at %d: ended with %v", name, split, err)
			}
			if split == len(text) && reads != len(text) {
				t.Errorf("%s: onData called %d times for %d bytes", name, reads, len(text))
			}
		}
	}
}

// A list that is truncated at any byte is an error, never a shorter list.
func TestTruncatedLists(t *testing.T) {
	text := `{"seq":42,"whole":true,"hosts":[{"host":"h1","dial":"127.0.0.1:1","site":"a","class":"m1","health":"ready"}]}`
	for cut := 1; cut < len(text); cut++ {
		if l, err := newListReader(strings.NewReader(text[:cut]), silenceTimeout, func() {}).next(); err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: got %+v, %v", cut, l, err)
		}
	}
}

// An error names the required field that a list lacks. Without the check, a whole list without backends would
// remove all of them, and the watch after a list without a version would start at the first version.
func TestInvalidLists(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                        "seq: missing",
		`null`:                      "seq: missing",
		`{"whole":true,"hosts":[]}`: "seq: missing",
		`{"seq":42,"whole":true}`:   "hosts: missing",
		`{"seq":"x","hosts":[]}`:    "seq",
		`{"seq":42,"hosts":{}}`:     "hosts",
		`[]`:                        "list",
		`"seq"`:                     "list",
		`{"seq":42,`:                "list",
		`nonsense`:                  "list",
	} {
		if l, err := newListReader(strings.NewReader(text+"\n"), silenceTimeout, func() {}).next(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %+v, %v", text, l, err)
		}
	}
}

// Heartbeats use no memory, however long no list arrives. A list that is too long or takes too long is an
// error.
func TestListReaderIsBounded(t *testing.T) {
	lr := newListReader(io.MultiReader(io.LimitReader(repeatedText(" \n"), 3*maxListBytes), strings.NewReader(`{"seq":42}`)), silenceTimeout, func() {})
	if l, err := lr.next(); err != nil || l.Seq != 42 {
		t.Errorf("got %+v, %v", l, err)
	}
	lr = newListReader(io.MultiReader(strings.NewReader(`{"seq":42,"hosts":[`), repeatedText(" \n")), silenceTimeout, func() {})
	if _, err := lr.next(); err == nil {
		t.Error("a list over the size limit is not an error")
	}
	lr = newListReader(strings.NewReader(` {"seq"`), silenceTimeout, func() {})
	lr.betweenLists, lr.startedAt = false, time.Now().Add(-silenceTimeout-time.Second)
	if _, err := lr.next(); err == nil || !strings.Contains(err.Error(), "list not complete after") {
		t.Errorf("got %v", err)
	}
}

// repeatedText is a reader that returns a text over and over.
type repeatedText string

func (e repeatedText) Read(p []byte) (n int, err error) {
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// An entry with a field of the wrong type counts as gone, and the other entries of the list are used.
func TestEntryWithWrongFieldType(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- listJSON(42, false, `{"host":"h1","dial":"127.0.0.1:1","site":"a","class":"m1","block":"three","health":"ready"}`, `7`, entryJSON("h2", "a", "m1", "draining"))
	got := await(t, lists).list.Backends
	if len(got) != 3 || got[0].ID != "h1" || got[0].State != balance.Gone || got[1].State != balance.Gone || got[2].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// A deployment may have no zone and kind names.
func TestBackendWithoutZonesAndKinds(t *testing.T) {
	b, err := Host{Host: "h1", Dial: "127.0.0.1:1", Health: "ready"}.backend(wire.Names{})
	if err != nil || b.State != balance.Up || b.Zone != 0 || b.Kind != 0 {
		t.Errorf("got %+v, %v", b, err)
	}
}

// A watch delivers an indented list and a drain after it in the same line.
func TestWatchIndentedList(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- "{\n \"seq\": 42,\n\n \"whole\": true,\n \"hosts\": [\n" + entryJSON("h1", "a", "m1", "ready") + "\n ]\n} " + listJSON(43, false, entryJSON("h1", "a", "m1", "draining"))
	if got := await(t, lists); got.list.Kind != balance.ListFull || got.list.Backends[0].State != balance.Up {
		t.Errorf("got %+v", got)
	}
	if got := await(t, lists); got.list.Version != 43 || got.list.Backends[0].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// Guards against a delta with a version below the known one, which would bring drained backends back: it is
// ignored, and the next watch requests the whole list. A whole list of a service that restarted its versions
// is accepted.
func TestWatchIgnoresOlderDelta(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- listJSON(50, false, entryJSON("h1", "a", "m1", "draining"))
	await(t, lists)
	c.lines <- listJSON(49, false, entryJSON("h1", "a", "m1", "ready"))
	c = await(t, r.calls)
	if c.query != "follow=1" || len(lists) != 0 {
		t.Errorf("query %q, %d more lists delivered", c.query, len(lists))
	}
	c.lines <- listJSON(3, true, entryJSON("h1", "a", "m1", "draining"))
	if got := await(t, lists); got.list.Version != 3 || got.list.Kind != balance.ListFull {
		t.Errorf("got %+v", got)
	}
	c.lines <- listJSON(2, true, entryJSON("h1", "a", "m1", "ready"))
	if got := await(t, lists); got.list.Version != 2 {
		t.Errorf("got %+v", got)
	}
}

// A watch that falls silent after its response header, and one whose call hangs, are both reopened. A change
// that they miss counts as known 6 s after the silence began, so the timeouts must add up to less, with one
// call that hangs.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	if longest := silenceTimeout + initialReopenInterval + openTimeout + 2*initialReopenInterval; longest > 5*time.Second {
		t.Errorf("%v until the second call", longest)
	}
	r := newService(t)
	d, lists := newClient(t, r, false)
	d.openTimeout, d.silenceTimeout = 100*time.Millisecond, 50*time.Millisecond
	go d.Run()
	await(t, r.calls) // no response header
	for _, seq := range []int{42, 43} {
		for delivered := false; !delivered; { // each watch sends one list and falls silent; a slow machine may need several
			select {
			case c := <-r.calls:
				c.lines <- listJSON(seq, false)
			case got := <-lists:
				delivered = got.list.Version == int64(seq)
			case <-time.After(testTimeout):
				t.Fatal("no call and no list in time")
			}
		}
	}
}

// Guards against pauses without an open call, after which a change would be known too late: a watch that hung
// or fell silent is reopened at once, and only one that ended soon is reopened after a pause.
func TestReopenWithoutPause(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, false)
	d.openTimeout, d.silenceTimeout = 2*maxReopenInterval, 2*maxReopenInterval
	pauses := make(chan time.Duration, 100)
	d.after = func(p time.Duration) <-chan time.Time {
		pauses <- p
		return time.After(p)
	}
	go d.Run()
	await(t, r.calls)                     // no response header
	for delivered := false; !delivered; { // the next watch sends one list and falls silent; a slow machine may need several
		select {
		case c := <-r.calls:
			c.lines <- listJSON(42, false)
		case <-lists:
			delivered = true
		case <-time.After(testTimeout):
			t.Fatal("no call and no list in time")
		}
	}
	c := await(t, r.calls)
	for len(pauses) > 0 {
		t.Errorf("a pause of %v after a call that hung, or a watch that fell silent", <-pauses)
	}
	for len(pauses) == 0 { // the random pause may be shorter than the call
		close(c.lines)
		c = await(t, r.calls)
	}
	if p := <-pauses; p > maxReopenInterval {
		t.Errorf("a pause of %v", p)
	}
}

// Guards against a list that arrives byte by byte: it keeps the watch from falling silent, but is not
// complete in time, so the watch is reopened.
func TestTricklingListReopensWatch(t *testing.T) {
	trickle, whole := make(chan struct{}), listJSON(43, false, entryJSON("h1", "a", "m1", "draining"))
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			io.WriteString(w, whole+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		for n := 0; n < len(whole)-1; n++ { // the last byte is never sent
			io.WriteString(w, whole[n:n+1])
			w.(http.Flusher).Flush()
			select {
			case <-time.After(10 * time.Millisecond):
			case <-r.Context().Done():
				close(trickle)
				return
			}
		}
		<-r.Context().Done()
		t.Error("the client waited for all but the last byte")
		close(trickle)
	}))
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(srv.Close)
	t.Cleanup(stop)
	lists := make(chan balance.List, 10)
	d := New(ctx, Config{Service: netip.MustParseAddrPort(srv.Listener.Addr().String()), Names: wire.Names{Zones: []string{"a"}, Kinds: []string{"m1"}}},
		func(l balance.List, _ map[string]string) { lists <- l }, slog.New(slog.DiscardHandler))
	d.silenceTimeout = 200 * time.Millisecond
	go d.Run()
	await(t, trickle)
	if got := await(t, lists); got.Version != 43 || got.Backends[0].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// On demand, a failure states in which time the decision module must request the list again: soon after a silence, until
// a list has arrived; after any other failure in the rest of retryInterval since the call began or last got a
// list or a heartbeat.
func TestFailureRetryTime(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, true)
	var began time.Time
	// Only the step that tests a silence has a short timeout, so that a slow machine does not fail the
	// others.
	open := func(opening, silence time.Duration) *discoveryCall {
		d.openTimeout, d.silenceTimeout = opening, silence
		began = time.Now()
		d.Subscribe()
		return await(t, r.calls)
	}
	failed := func(longest time.Duration) {
		t.Helper()
		got := await(t, lists)
		shortest := min(longest, max(retryAfterSilence, retryInterval-time.Since(began)))
		if got.list.Kind != balance.ListFailed || got.list.RetryWithin < shortest || got.list.RetryWithin > longest {
			t.Errorf("got %+v, want Within between %v and %v", got, shortest, longest)
		}
	}
	close(open(testTimeout, testTimeout).lines)
	failed(retryInterval)
	const hang = 2 * time.Second
	open(hang, testTimeout)
	failed(retryInterval - hang) // a call that hangs
	open(testTimeout, 50*time.Millisecond).lines <- ""
	failed(retryAfterSilence) // a watch that falls silent
	close(open(testTimeout, testTimeout).lines)
	failed(retryAfterSilence) // no list has arrived since
	c := open(testTimeout, testTimeout)
	c.lines <- listJSON(42, false)
	await(t, lists)
	close(c.lines)
	failed(retryInterval)
}

const testTimeout = 20 * time.Second

// On demand, the watch continues at the new service without another request of the decision module.
func TestOnDemandWatchFollowsNewService(t *testing.T) {
	one, two := newService(t), newService(t)
	d, lists := newClient(t, one, true)
	d.Subscribe()
	c := await(t, one.calls)
	c.lines <- listJSON(42, false)
	await(t, lists)
	d.SetService(netip.MustParseAddrPort(two.srv.Listener.Addr().String()))
	c = await(t, two.calls)
	c.lines <- listJSON(3, true)
	if got := await(t, lists); got.list.Kind != balance.ListFull || c.query != "follow=1" {
		t.Errorf("query %q, got %+v", c.query, got)
	}
}

// Replaces the service 100 times, at the same moment as the watch ends, a list arrives, or neither: the
// client follows the last service, and no list of an earlier one is delivered after its first.
func TestServiceReplacedDuringFailures(t *testing.T) {
	services := []*service{newService(t), newService(t)}
	d, lists := newClient(t, services[0], false)
	go d.Run()
	c := await(t, services[0].calls)
	for n := range 100 {
		to := services[(n+1)%2]
		moved := make(chan struct{})
		go func() {
			d.SetService(netip.MustParseAddrPort(to.srv.Listener.Addr().String()))
			close(moved)
		}()
		switch n % 3 {
		case 0:
			close(c.lines)
		case 1:
			c.lines <- listJSON(1000-n, false)
		}
		await(t, moved)
		for { // the previous service may be called once more before the replacement
			c = await(t, to.calls)
			if c.query == "follow=1" {
				break
			}
		}
		c.lines <- listJSON(n, true, entryJSON(fmt.Sprint("h", n), "a", "m1", "ready"))
		for {
			got := await(t, lists)
			if got.list.Kind == balance.ListFull {
				if got.list.Backends[0].ID != fmt.Sprint("h", n) {
					t.Fatalf("move %d: got %+v", n, got)
				}
				break
			}
		}
		for len(services[n%2].calls) > 0 { // calls of a watch that has ended
			<-services[n%2].calls
		}
	}
}
