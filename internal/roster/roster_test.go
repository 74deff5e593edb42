package roster

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

// service is a scripted discovery service that hands each call to the test.
type service struct {
	calls chan *discoveryCall
	srv   *httptest.Server
}

// discoveryCall is a call that the service received and has not answered in full.
type discoveryCall struct {
	query string
	lines chan string // written as they are received; the response ends when the channel is closed
}

func newService(t *testing.T) *service {
	r := &service{calls: make(chan *discoveryCall, 10)}
	r.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := &discoveryCall{req.URL.RawQuery, make(chan string, 10)}
		select {
		case r.calls <- c:
		case <-req.Context().Done():
			return
		}
		for {
			select {
			case line, ok := <-c.lines:
				if !ok {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-req.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(r.srv.Close)
	return r
}

func listJSON(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

func entryJSON(id, site, class, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:9000","site":%q,"class":%q,"block":3,"health":%q,"share":1,"born_ms":1500}`,
		id, site, class, health)
}

// delivery is one list that a Client delivered.
type delivery struct {
	list  balance.List
	addrs map[string]string
}

// newClient returns a client of the service r that knows version 41 of the list, and the lists that the client
// delivers; ask: lists are requested on demand.
func newClient(t *testing.T, r *service, onDemand bool) (*Client, <-chan delivery) {
	t.Helper()
	at := netip.MustParseAddrPort(r.srv.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	lists := make(chan delivery, 10)
	d := New(ctx, Config{at, onDemand, wire.Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}, 41}, func(l balance.List, addrs map[string]string) { lists <- delivery{l, addrs} }, slog.New(slog.DiscardHandler))
	t.Cleanup(cancel)
	return d, lists
}

func TestWatch(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, false)
	go d.Run()
	c := await(t, r.calls)
	if c.query != "follow=1&since=41" {
		t.Errorf("query %q", c.query)
	}
	c.lines <- listJSON(42, false, entryJSON("h1", "b", "m2", "draining"), entryJSON("h2", "nowhere", "m1", "ready"), entryJSON("h3", "", "", "gone"))
	got := await(t, lists)
	want := []balance.Backend{
		{ID: "h1", State: balance.Draining, Zone: 1, Cell: 3, Kind: 1, Weight: 1, Started: 1500 * time.Millisecond},
		// an invalid entry can't be used and must not keep its previous data
		{ID: "h2", State: balance.Gone, Zone: -1, Cell: 3, Weight: 1, Started: 1500 * time.Millisecond},
		{ID: "h3", State: balance.Gone, Zone: -1, Cell: 3, Kind: -1, Weight: 1, Started: 1500 * time.Millisecond},
	}
	if got.list.Kind != balance.ListDelta || got.list.Version != 42 || fmt.Sprint(got.list.Backends) != fmt.Sprint(want) ||
		got.addrs["h1"] != "127.0.0.1:9000" {
		t.Errorf("got %+v", got)
	}
	c.lines <- ""
	c.lines <- listJSON(43, true, entryJSON("h1", "a", "m1", "ready"))
	if got := await(t, lists); got.list.Kind != balance.ListFull || got.list.Backends[0].State != balance.Up {
		t.Errorf("got %+v", got)
	}
	close(c.lines) // the connection to discovery breaks
	if c = await(t, r.calls); c.query != "follow=1&since=43" {
		t.Errorf("query %q after the break", c.query)
	}
}

// Guards against a watch on a machine that was cut off, whose connection never ends by itself: it is reopened
// when it falls silent.
func TestSilentWatchIsReopened(t *testing.T) {
	r := newService(t)
	d, _ := newClient(t, r, false)
	d.silenceTimeout = 50 * time.Millisecond
	go d.Run()
	await(t, r.calls) // gets no response
	await(t, r.calls)
}

func TestOnDemandClient(t *testing.T) {
	r := newService(t)
	d, lists := newClient(t, r, true)
	d.Run() // returns without opening a watch
	d.Subscribe()
	c := await(t, r.calls)
	c.lines <- listJSON(42, false)
	if got := await(t, lists); got.list.Kind != balance.ListDelta || got.list.Version != 42 {
		t.Errorf("got %+v", got)
	}
	d.Fetch()
	f := await(t, r.calls)
	if f.query != "" {
		t.Errorf("query of Fetch %q", f.query)
	}
	f.lines <- listJSON(44, true, entryJSON("h1", "a", "m1", "ready"))
	close(f.lines)
	if got := await(t, lists); got.list.Kind != balance.ListFull {
		t.Errorf("got %+v", got)
	}
	d.Fetch()
	f = await(t, r.calls)
	f.lines <- listJSON(43, true) // older than the list from the watch: it would undo version 44
	close(f.lines)
	if got := await(t, lists); got.list.Kind != balance.ListDelta || len(got.list.Backends) != 0 {
		t.Errorf("got %+v", got)
	}
	close(c.lines) // the subscription breaks: the decision module gets ListFailed and decides when to subscribe again
	if got := await(t, lists); got.list.Kind != balance.ListFailed {
		t.Errorf("got %+v", got)
	}
	d.Subscribe()
	await(t, r.calls)
	d.Unsubscribe()
	d.Fetch()
	close(await(t, r.calls).lines) // no list: only this call has failed, the watch was ended by Unsubscribe
	if got := await(t, lists); got.list.Kind != balance.ListFailed {
		t.Errorf("got %+v", got)
	}
	if len(lists) > 0 {
		t.Errorf("also delivered %+v", await(t, lists))
	}
}

// The first list of the new service replaces the old list whatever its version: backends missing from it are
// gone. Until then the old list stays in use, and lists of the old service are ignored.
func TestDiscoveryServiceReplaced(t *testing.T) {
	one, two := newService(t), newService(t)
	d, lists := newClient(t, one, false)
	go d.Run()
	first := await(t, one.calls)
	first.lines <- listJSON(90, true, entryJSON("h1", "a", "m1", "ready"), entryJSON("h2", "a", "m1", "ready"))
	await(t, lists)
	d.SetService(netip.MustParseAddrPort(two.srv.Listener.Addr().String()))
	c := await(t, two.calls)
	if c.query != "follow=1" {
		t.Errorf("query %q", c.query)
	}
	if len(lists) > 0 {
		t.Errorf("delivered %+v before the new service sent a list", await(t, lists))
	}
	c.lines <- listJSON(3, true, entryJSON("h1", "a", "m1", "ready"))
	if got := await(t, lists); got.list.Kind != balance.ListFull || got.list.Version != 3 || len(got.list.Backends) != 1 {
		t.Errorf("got %+v", got)
	}
	close(c.lines)
	if c = await(t, two.calls); c.query != "follow=1&since=3" {
		t.Errorf("query %q after the break", c.query)
	}
}

func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing received in time")
	}
	panic("unreachable")
}
