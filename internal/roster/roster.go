// Package roster is the client of the discovery service. It fetches or watches the list of backends, parses
// it and delivers it in the order of its versions. It makes no decisions: where lists are requested on
// demand, the decision module (package balance) determines when. A Client's Run and its one goroutine per
// call end with the context given to New.
package roster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/wire"
)

const (
	// A change that a silent watch misses counts as known to the agent 6 s after the watch fell silent, which
	// is up to 2 s after its last byte. Within this time the silence must be detected, a new watch opened,
	// with a second attempt if necessary, and its list read.
	silenceTimeout    = 3 * time.Second // without a byte for this long a watch is dead; heartbeats come every 2 s
	openTimeout       = time.Second     // pushed lists: the service responds at once, so a slower call is repeated
	retryAfterSilence = time.Second     // on demand, after a silent watch: short, since the next call may wait too
	// On demand: after any other failed call, the next one begins at most this time after the last complete
	// list or heartbeat, or after the failed call began. A change that the service got since then counts as
	// known 6 s later, and the next call takes time too.
	retryInterval = 5 * time.Second

	initialReopenInterval = 100 * time.Millisecond // upper bound of the random interval between two watch starts
	maxReopenInterval     = 250 * time.Millisecond // the same after repeated failures
	fetchTimeout          = 5 * time.Second        // time for a Fetch, the whole list included
	maxListBytes          = 8 << 20                // of one list
)

// List is a list of backends in the format of the discovery service.
type List struct {
	Seq   int64  `json:"seq"`   // version, which grows with each change
	Whole bool   `json:"whole"` // Hosts holds all backends; otherwise those that changed
	Hosts []Host `json:"hosts"`
}

// Host is an entry of a List.
type Host struct {
	Host   string  `json:"host"`    // the backend's id
	Dial   string  `json:"dial"`    // its address, host and port
	Site   string  `json:"site"`    // name of its zone
	Class  string  `json:"class"`   // name of its kind
	Block  int     `json:"block"`   // number of its cell
	Health string  `json:"health"`  // ready, draining or gone
	Share  float64 `json:"share"`   // its weight
	BornMs float64 `json:"born_ms"` // when its process last started, ms of Unix time

	decodeErr error // why the entry can't be decoded; only Host is set then
}

// backend converts an entry to a balance.Backend, with the zone and kind names of the settings.
func (h Host) backend(names wire.Names) (balance.Backend, error) {
	b := balance.Backend{ID: h.Host, State: balance.Gone, Cell: h.Block, Weight: h.Share,
		Zone: slices.Index(names.Zones, h.Site), Kind: slices.Index(names.Kinds, h.Class),
		Started: wire.Duration(h.BornMs)}
	if len(names.Zones) == 0 { // a deployment without zone or kind names has one zone or kind
		b.Zone = 0
	}
	if len(names.Kinds) == 0 {
		b.Kind = 0
	}
	switch {
	case h.Host == "":
		return b, errors.New("no host")
	case h.decodeErr != nil:
		return b, h.decodeErr
	case h.Health == "gone":
		return b, nil
	case b.Zone < 0:
		return b, fmt.Errorf("unknown site %q", h.Site)
	case b.Kind < 0:
		return b, fmt.Errorf("unknown class %q", h.Class)
	}
	if _, _, err := net.SplitHostPort(h.Dial); err != nil {
		return b, fmt.Errorf("dial: %w", err)
	}
	switch h.Health {
	case "ready":
		b.State = balance.Up
	case "draining":
		b.State = balance.Draining
	default:
		return b, fmt.Errorf("unknown health %q", h.Health)
	}
	return b, nil
}

// Client follows the list of backends and passes each update to deliver at once.
type Client struct {
	onDemand bool // the decision module requests lists (Subscribe, Fetch); otherwise Run keeps a watch open
	names    wire.Names
	deliver  func(list balance.List, addrs map[string]string)
	log      *slog.Logger
	http     *http.Client
	ctx      context.Context // ends all calls

	silenceTimeout time.Duration                        // a watch without a byte for this long is dead
	openTimeout    time.Duration                        // a call that has no response for this long has failed
	after          func(time.Duration) <-chan time.Time // time.After, replaced by tests

	mu                  sync.Mutex         // held while a list is delivered, so the loop must never wait for it
	url                 string             // of the list
	seq                 int64              // version of the last list
	serviceReplacements int                // number of times that SetService replaced the discovery service
	needWholeList       bool               // the service has delivered no list yet, or an outdated delta
	cancelWatch         context.CancelFunc // ends the open watch; nil: there has been none
	wake                chan struct{}      // ends the pause before the next watch

	fellSilent   atomic.Bool   // a watch fell silent, and no list has arrived since
	lastCallHung atomic.Bool   // the last call had no response in time, and the one before it did not hang
	firstList    chan struct{} // closed once the first list has been delivered, or the first call has failed
	firstOnce    sync.Once     // closes firstList

	cancelSubscription context.CancelFunc // ends the watch of Subscribe; nil: none; only the loop uses it
}

// Config configures a Client.
type Config struct {
	Service  netip.AddrPort
	OnDemand bool // lists are requested by Subscribe and Fetch; otherwise Run keeps a watch open
	Names    wire.Names
	Seq      int64 // version of the list that is already known
}

// New returns a client that passes lists, with the addresses of their backends, to deliver until ctx ends.
func New(ctx context.Context, c Config, deliver func(balance.List, map[string]string), log *slog.Logger) *Client {
	timeout := openTimeout
	if c.OnDemand { // the service may hold a call before it responds
		timeout = silenceTimeout
	}
	d := &Client{url: listURL(c.Service), firstList: make(chan struct{}), wake: make(chan struct{}, 1), onDemand: c.OnDemand,
		names: c.Names, deliver: deliver, log: log, ctx: ctx, seq: c.Seq, silenceTimeout: silenceTimeout, openTimeout: timeout, after: time.After}
	d.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.dial}}
	return d
}

// dial opens a connection to the service within the time for a call to begin. Without its own timeout,
// net/http continues a dial for minutes after the call was given up if nothing responds, and each dial holds
// a descriptor.
func (d *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.currentOpenTimeout()}
	return dialer.DialContext(ctx, network, address)
}

func listURL(service netip.AddrPort) string { return "http://" + service.String() + "/discovery/hosts" }

// SetService switches to another service. The last list stays in use until the new service delivers one.
func (d *Client) SetService(service netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	url := listURL(service)
	if url == d.url {
		return
	}
	d.url, d.needWholeList = url, true
	d.serviceReplacements++
	if d.cancelWatch != nil {
		d.cancelWatch()
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// FirstList returns a channel that is closed once the first list has been delivered or the first call has
// failed.
func (d *Client) FirstList() <-chan struct{} { return d.firstList }

func (d *Client) firstListDone() { d.firstOnce.Do(func() { close(d.firstList) }) }

// source is the service that a call goes to, and its state when the call began. A list from a service that
// has been replaced since then is ignored.
type source struct {
	url           string // of the list
	since         int64  // version of the last list
	needWholeList bool   // as Client.needWholeList
	moves         int    // as Client.moves; it differs once the service has been replaced
}

// Deliver delivers a list. An invalid entry counts as gone: a backend that can't be parsed can't be used, and
// must not stay in use with its previous data.
func (d *Client) Deliver(l List, kind balance.ListKind) {
	deliverList(l, kind, d.names, d.deliver, d.log)
}

// deliverList converts a list to a balance.List and passes it to deliver. Invalid entries count as gone.
func deliverList(l List, kind balance.ListKind, names wire.Names, deliver func(balance.List, map[string]string), log *slog.Logger) {
	list := balance.List{Kind: kind, Version: l.Seq}
	addrs := map[string]string{}
	for _, h := range l.Hosts {
		b, err := h.backend(names)
		if err != nil {
			log.Warn("invalid entry of the list, the backend counts as gone", "host", h.Host, "err", err)
		}
		list.Backends = append(list.Backends, b)
		addrs[h.Host] = h.Dial
	}
	deliver(list, addrs)
}

// reportFailure reports a failed call. lastReceived is the time of its last complete list or heartbeat, or of
// its start.
func (d *Client) reportFailure(err error, lastReceived time.Time) {
	if d.ctx.Err() != nil {
		return // the agent is stopping
	}
	d.log.Warn("discovery", "err", err)
	defer d.firstListDone()
	if d.onDemand {
		retryWithin := retryAfterSilence
		if !d.fellSilent.Load() {
			retryWithin = max(retryAfterSilence, retryInterval-time.Since(lastReceived))
		}
		d.deliver(balance.List{Kind: balance.ListFailed, RetryWithin: retryWithin}, nil)
	}
}

// Run keeps a watch open until the context ends, where lists are pushed; otherwise it returns at once.
func (d *Client) Run() {
	if d.onDemand {
		return
	}
	wait := initialReopenInterval
	for d.ctx.Err() == nil {
		began := time.Now()
		received, lastReceived, err := d.follow(d.ctx)
		if received {
			wait = initialReopenInterval
		}
		d.reportFailure(err, lastReceived)
		// No call is open during a pause, and a drain that the service gets then still counts as known on
		// time. So only a call that ended soon is followed by a pause; one that hung or fell silent has
		// lasted long enough.
		if pause := time.Duration(rand.Float64()*float64(wait)) - time.Since(began); pause > 0 {
			select {
			case <-d.after(pause):
			case <-d.wake:
				wait = initialReopenInterval
				continue
			case <-d.ctx.Done():
			}
		}
		wait = min(2*wait, maxReopenInterval)
	}
}

var (
	errSilent          = errors.New("watch is silent")
	errServiceReplaced = errors.New("the discovery service was replaced")
)

// follow watches the list until the connection ends or falls silent, or the service is replaced. It reports
// whether any data arrived, and when the last list or heartbeat was complete or, if there was none, when the
// call began.
func (d *Client) follow(ctx context.Context) (received bool, lastReceived time.Time, err error) {
	lastReceived = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(d.currentOpenTimeout(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	begun := false
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		// A call that never began has missed nothing, and a whole fleet retrying fast would keep its service
		// from recovering.
		if begun && errors.Is(err, errSilent) {
			d.fellSilent.Store(true)
		}
		d.lastCallHung.Store(!begun && errors.Is(err, errSilent) && !d.lastCallHung.Load())
	}()
	d.mu.Lock()
	from := d.source()
	d.cancelWatch = func() { cancel(errServiceReplaced) }
	d.mu.Unlock()
	query := "?follow=1"
	if !from.needWholeList { // a version of another service is meaningless
		query += "&since=" + strconv.FormatInt(from.since, 10)
	}
	body, err := d.get(ctx, from.url+query)
	if err != nil {
		return false, lastReceived, err
	}
	defer body.Close()
	begun = true
	watchdog.Reset(d.silenceTimeout)
	var lists *listReader
	lists = newListReader(body, d.silenceTimeout, func() {
		received = true
		if lists.betweenLists {
			lastReceived = time.Now()
		}
		// A list that begins, trickles and then stops reaches its own time limit before the silence timeout.
		watchdog.Reset(lists.timeLeft())
	})
	for {
		l, err := lists.next()
		if errors.Is(err, io.EOF) {
			return received, lastReceived, errors.New("watch ended")
		}
		if err != nil {
			return received, lastReceived, fmt.Errorf("watch: %w", err)
		}
		lastReceived = time.Now()
		watchdog.Reset(lists.timeLeft())
		if err := d.accept(l, from, true); err != nil {
			return received, lastReceived, err
		}
	}
}

// currentOpenTimeout returns how long the next call may take to begin. The call after one that hung may take
// longer, so that a service that is too slow for the shorter timeout is still followed.
func (d *Client) currentOpenTimeout() time.Duration {
	if d.lastCallHung.Load() {
		return max(d.openTimeout, d.silenceTimeout)
	}
	return d.openTimeout
}

// accept delivers a list unless it is outdated.
func (d *Client) accept(l List, from source, fromWatch bool) error {
	d.mu.Lock()
	defer d.mu.Unlock() // held while delivering, so that lists reach the decision module in the order of their versions
	if from.moves != d.serviceReplacements && fromWatch {
		return errors.New("the watched service was replaced")
	}
	// A delta that is older than the known version does not apply to it and would bring drained backends
	// back, so the next watch requests the whole list. A whole list is accepted: its service may have
	// restarted its versions.
	if fromWatch && !d.needWholeList && !l.Whole && l.Seq < d.seq {
		d.needWholeList = true
		return fmt.Errorf("list: seq: %d after %d: the whole list is requested", l.Seq, d.seq)
	}
	// A fetched list that is older than one from a watch or another service would bring drained backends
	// back. The decision module still needs a response to its call, so it gets a list without changes.
	if from.moves != d.serviceReplacements || !fromWatch && !d.needWholeList && l.Seq < d.seq {
		l = List{Seq: d.seq}
	} else {
		d.seq, d.needWholeList = l.Seq, false
	}
	kind := balance.ListDelta
	if l.Whole {
		kind = balance.ListFull
	}
	d.fellSilent.Store(false)
	d.Deliver(l, kind)
	d.firstListDone()
	return nil
}

// source returns the source for a new call. The caller holds the lock.
func (d *Client) source() source { return source{d.url, d.seq, d.needWholeList, d.serviceReplacements} }

// get starts a GET request and returns the body of the response, which the caller closes.
func (d *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

// Subscribe opens a watch in place of the open one, if any. Where lists are pushed it does nothing, since Run
// has one.
func (d *Client) Subscribe() {
	if !d.onDemand {
		return
	}
	d.Unsubscribe()
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelSubscription = cancel
	go func() {
		defer cancel()
		for {
			_, lastReceived, err := d.follow(ctx)
			if errors.Is(err, errServiceReplaced) && ctx.Err() == nil {
				continue // the decision module's subscription holds for the new service too
			}
			if ctx.Err() == nil { // not ended by Unsubscribe
				d.reportFailure(err, lastReceived)
			}
			return
		}
	}()
}

// Unsubscribe ends the watch that Subscribe opened.
func (d *Client) Unsubscribe() {
	if d.cancelSubscription != nil {
		d.cancelSubscription()
		d.cancelSubscription = nil
	}
}

// Fetch gets the whole list once, in the background.
func (d *Client) Fetch() {
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
		defer cancel()
		d.mu.Lock()
		from := d.source()
		d.mu.Unlock()
		body, err := d.get(ctx, from.url)
		if err == nil {
			var raw []byte
			raw, err = io.ReadAll(io.LimitReader(body, maxListBytes))
			body.Close()
			var l List
			if err == nil {
				l, err = parseList(raw)
			}
			if err == nil {
				err = d.accept(l, from, false)
			}
		}
		if err != nil {
			d.reportFailure(err, began)
		}
	}()
}
