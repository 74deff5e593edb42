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

// laidOut is two lists with heartbeats between them, laid out in every way that JSON allows.
var laidOut = map[string]string{
	"a line each":          "\n{\"seq\":42,\"whole\":false,\"hosts\":[]}\n\n\n{\"seq\":43,\"hosts\":[{\"host\":\"h{1\",\"health\":\"gone\"}]}\n\n",
	"indented":             "\r\n{\r\n  \"seq\": 42,\r\n\r\n  \"whole\": false,\r\n  \"hosts\": [\r\n  ]\r\n}\r\n\r\n{\n\t\"seq\": 43,\n\t\"hosts\": [\n\t\t{\n\"host\": \"h{1\",\n\"health\": \"gone\" } ]\n}\n",
	"two in one line":      `{"seq":42,"hosts":[]} {"seq":43,"hosts":[{"host":"h{1","health":"gone"}]}`,
	"one behind the other": `{"seq":42,"hosts":[]}{"seq":43,"hosts":[{"host":"h{1","health":"gone"}]}` + "\n",
}

// Lists are read alike however they are laid out and wherever their bytes are cut, and every byte feeds the watchdog.
func TestLayoutOfLists(t *testing.T) {
	for name, text := range laidOut {
		for cut := range len(text) + 1 { // in two at every byte; at last byte by byte
			pieces := io.MultiReader(strings.NewReader(text[:cut]), strings.NewReader(text[cut:]))
			if cut == len(text) {
				pieces = iotest.OneByteReader(strings.NewReader(text))
			}
			fed := 0
			o := newObjects(pieces, silence, func() { fed++ })
			for want := int64(42); want <= 43; want++ {
				if l, err := o.next(); err != nil || l.Seq != want || len(l.Hosts) != int(want-42) {
					t.Fatalf("%s, cut at %d: got %+v, %v", name, cut, l, err)
				}
			}
			if _, err := o.next(); !errors.Is(err, io.EOF) {
				t.Errorf("%s, cut at %d: ended with %v", name, cut, err)
			}
			if cut == len(text) && fed != len(text) {
				t.Errorf("%s: fed %d times by %d bytes", name, fed, len(text))
			}
		}
	}
}

// A list that ends too soon at whatever byte is an error, never a shorter list.
func TestListsCutShort(t *testing.T) {
	text := `{"seq":42,"whole":true,"hosts":[{"host":"h1","dial":"127.0.0.1:1","site":"a","class":"m1","health":"ready"}]}`
	for cut := 1; cut < len(text); cut++ {
		if l, err := newObjects(strings.NewReader(text[:cut]), silence, func() {}).next(); err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: got %+v, %v", cut, l, err)
		}
	}
}

// What a list can't go without is named where it lacks. Without the check a whole list without backends would take
// all of them, and one without a version would have the next watch ask from the beginning.
func TestListsThatMakeNoSense(t *testing.T) {
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
		if l, err := newObjects(strings.NewReader(text+"\n"), silence, func() {}).next(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %+v, %v", text, l, err)
		}
	}
}

// Heartbeats leave nothing behind, however long nothing else comes; a list without end is given up.
func TestListsAreBounded(t *testing.T) {
	o := newObjects(io.MultiReader(io.LimitReader(endless(" \n"), 3*maxListBytes), strings.NewReader(`{"seq":42}`)), silence, func() {})
	if l, err := o.next(); err != nil || l.Seq != 42 {
		t.Errorf("got %+v, %v", l, err)
	}
	o = newObjects(io.MultiReader(strings.NewReader(`{"seq":42,"hosts":[`), endless(" \n")), silence, func() {})
	if _, err := o.next(); err == nil {
		t.Error("no end, and no error")
	}
	o = newObjects(strings.NewReader(` {"seq"`), silence, func() {})
	o.apart, o.begun = false, time.Now().Add(-silence-time.Second)
	if _, err := o.next(); err == nil || !strings.Contains(err.Error(), "not whole after") {
		t.Errorf("got %v", err)
	}
}

// endless gives a text over and over.
type endless string

func (e endless) Read(p []byte) (n int, err error) {
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// A field of the wrong kind takes its entry, which counts as gone, and not the list.
func TestEntryOfTheWrongKind(t *testing.T) {
	r := newService(t)
	d, lists := following(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- roll(42, false, `{"host":"h1","dial":"127.0.0.1:1","site":"a","class":"m1","block":"three","health":"ready"}`, `7`, entry("h2", "a", "m1", "draining"))
	got := await(t, lists).list.Backends
	if len(got) != 3 || got[0].ID != "h1" || got[0].State != balance.Gone || got[1].State != balance.Gone || got[2].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// A deployment may have no zones and no kinds.
func TestNoZonesNoKinds(t *testing.T) {
	b, err := Host{Host: "h1", Dial: "127.0.0.1:1", Health: "ready"}.backend(wire.Names{})
	if err != nil || b.State != balance.Up || b.Zone != 0 || b.Kind != 0 {
		t.Errorf("got %+v, %v", b, err)
	}
}

// An indented list on a watch, and a drain behind it in the same line.
func TestIndentedOnAWatch(t *testing.T) {
	r := newService(t)
	d, lists := following(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- "{\n \"seq\": 42,\n\n \"whole\": true,\n \"hosts\": [\n" + entry("h1", "a", "m1", "ready") + "\n ]\n} " + roll(43, false, entry("h1", "a", "m1", "draining"))
	if got := await(t, lists); got.list.Kind != balance.ListFull || got.list.Backends[0].State != balance.Up {
		t.Errorf("got %+v", got)
	}
	if got := await(t, lists); got.list.Version != 43 || got.list.Backends[0].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// Changes that are older than what is known would bring drained backends back: they are left aside, and the next
// watch asks for all. A whole list of a service that counts anew is taken.
func TestVersionGoesBack(t *testing.T) {
	r := newService(t)
	d, lists := following(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	c.lines <- roll(50, false, entry("h1", "a", "m1", "draining"))
	await(t, lists)
	c.lines <- roll(49, false, entry("h1", "a", "m1", "ready"))
	c = await(t, r.calls)
	if c.query != "follow=1" || len(lists) != 0 {
		t.Errorf("asked %q, told %d more", c.query, len(lists))
	}
	c.lines <- roll(3, true, entry("h1", "a", "m1", "draining"))
	if got := await(t, lists); got.list.Version != 3 || got.list.Kind != balance.ListFull {
		t.Errorf("got %+v", got)
	}
	c.lines <- roll(2, true, entry("h1", "a", "m1", "ready"))
	if got := await(t, lists); got.list.Version != 2 {
		t.Errorf("got %+v", got)
	}
}

// A watch that falls silent behind its head, and one whose call hangs, are each opened anew: what they miss counts as
// told 6 s after the silence, which the times have to stay under with one call that hangs between.
func TestSilenceIsFoundOutInTime(t *testing.T) {
	if worst := silence + reopenFirst + opening + 2*reopenFirst; worst > 5*time.Second {
		t.Errorf("%v until the second call", worst)
	}
	r := newService(t)
	d, lists := following(t, r, false)
	d.opening, d.silence = 100*time.Millisecond, 50*time.Millisecond
	go d.Run()
	await(t, r.calls) // hangs in its head
	for _, seq := range []int{42, 43} {
		for told := false; !told; { // each watch says one thing and falls silent; a slow machine may need several
			select {
			case c := <-r.calls:
				c.lines <- roll(seq, false)
			case got := <-lists:
				told = got.list.Version == int64(seq)
			case <-time.After(patient):
				t.Fatal("nothing came")
			}
		}
	}
}

// No call is open between two: what the service is told then would be known too late. So a watch that has hung, or fallen
// silent, is opened anew without a pause, and one that ended at once after one.
func TestOpenedAnewWithoutAPause(t *testing.T) {
	r := newService(t)
	d, lists := following(t, r, false)
	d.opening, d.silence = 2*reopenMost, 2*reopenMost
	pauses := make(chan time.Duration, 100)
	d.after = func(p time.Duration) <-chan time.Time {
		pauses <- p
		return time.After(p)
	}
	go d.Run()
	await(t, r.calls)           // hangs in its head
	for told := false; !told; { // the next says one thing and falls silent; a slow machine may need several
		select {
		case c := <-r.calls:
			c.lines <- roll(42, false)
		case <-lists:
			told = true
		case <-time.After(patient):
			t.Fatal("nothing came")
		}
	}
	c := await(t, r.calls)
	for len(pauses) > 0 {
		t.Errorf("a pause of %v after a call that hung, or a watch that fell silent", <-pauses)
	}
	for len(pauses) == 0 { // chance may have it that none is left
		close(c.lines)
		c = await(t, r.calls)
	}
	if p := <-pauses; p > reopenMost {
		t.Errorf("a pause of %v", p)
	}
}

// A list that comes byte by byte keeps a watch from falling silent, and is not whole in time: the watch is opened anew.
func TestListThatTrickles(t *testing.T) {
	trickle, whole := make(chan struct{}), roll(43, false, entry("h1", "a", "m1", "draining"))
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			io.WriteString(w, whole+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		for n := 0; n < len(whole)-1; n++ { // never the last one
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
		t.Error("all but the last byte was waited for")
		close(trickle)
	}))
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(srv.Close)
	t.Cleanup(stop)
	lists := make(chan balance.List, 10)
	d := New(ctx, Config{Service: netip.MustParseAddrPort(srv.Listener.Addr().String()), Names: wire.Names{Zones: []string{"a"}, Kinds: []string{"m1"}}},
		func(l balance.List, _ map[string]string) { lists <- l }, slog.New(slog.DiscardHandler))
	d.silence = 200 * time.Millisecond
	go d.Run()
	await(t, trickle)
	if got := await(t, lists); got.Version != 43 || got.Backends[0].State != balance.Draining {
		t.Errorf("got %+v", got)
	}
}

// Where lists are asked for, the module learns within which time it has to ask again: soon after a silence, until a list
// has come; after any other failure in what is left of askAgain since the call began, or last brought a list or a heartbeat.
func TestSilenceHurriesTheModule(t *testing.T) {
	r := newService(t)
	d, lists := following(t, r, true)
	var began time.Time
	// Only the step that is to fall silent may: a slow machine must not turn the verdict of the others.
	open := func(opening, silence time.Duration) *rosterCall {
		d.opening, d.silence = opening, silence
		began = time.Now()
		d.Subscribe()
		return await(t, r.calls)
	}
	failed := func(most time.Duration) {
		t.Helper()
		got := await(t, lists)
		least := min(most, max(within, askAgain-time.Since(began)))
		if got.list.Kind != balance.ListFailed || got.list.Within < least || got.list.Within > most {
			t.Errorf("got %+v, want within %v to %v", got, least, most)
		}
	}
	close(open(patient, patient).lines)
	failed(askAgain)
	const hang = 2 * time.Second
	open(hang, patient)
	failed(askAgain - hang) // a call that hangs
	open(patient, 50*time.Millisecond).lines <- ""
	failed(within) // silent
	close(open(patient, patient).lines)
	failed(within) // nothing has come since
	c := open(patient, patient)
	c.lines <- roll(42, false)
	await(t, lists)
	close(c.lines)
	failed(askAgain)
}

const patient = 20 * time.Second

// Where lists are asked for, a watch goes on at the new service without the module having to ask.
func TestAskedWatchMoves(t *testing.T) {
	one, two := newService(t), newService(t)
	d, lists := following(t, one, true)
	d.Subscribe()
	c := await(t, one.calls)
	c.lines <- roll(42, false)
	await(t, lists)
	d.Move(netip.MustParseAddrPort(two.srv.Listener.Addr().String()))
	c = await(t, two.calls)
	c.lines <- roll(3, true)
	if got := await(t, lists); got.list.Kind != balance.ListFull || c.query != "follow=1" {
		t.Errorf("asked %q, got %+v", c.query, got)
	}
}

// SIGHUP in the instant of a silence, of a break and of a list, over and over: the last service is followed at the
// end, and no list of an earlier one comes behind its first.
func TestMovesCross(t *testing.T) {
	services := []*service{newService(t), newService(t)}
	d, lists := following(t, services[0], false)
	go d.Run()
	c := await(t, services[0].calls)
	for n := range 100 {
		to := services[(n+1)%2]
		moved := make(chan struct{})
		go func() {
			d.Move(netip.MustParseAddrPort(to.srv.Listener.Addr().String()))
			close(moved)
		}()
		switch n % 3 {
		case 0:
			close(c.lines)
		case 1:
			c.lines <- roll(1000-n, false)
		}
		await(t, moved)
		for { // the old one may be called once more before it has moved
			c = await(t, to.calls)
			if c.query == "follow=1" {
				break
			}
		}
		c.lines <- roll(n, true, entry(fmt.Sprint("h", n), "a", "m1", "ready"))
		for {
			got := await(t, lists)
			if got.list.Kind == balance.ListFull {
				if got.list.Backends[0].ID != fmt.Sprint("h", n) {
					t.Fatalf("move %d: got %+v", n, got)
				}
				break
			}
		}
		for len(services[n%2].calls) > 0 { // of a watch that has ended
			<-services[n%2].calls
		}
	}
}
