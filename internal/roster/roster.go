// Package roster follows discovery: it asks for the list of backends, or watches it, reads what comes and
// hands it on in the order of its versions. It decides nothing: where lists are asked for, when to ask is the
// decision module's matter. A Client's Run and one goroutine for each call end with the context given to New.
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
	// What a silent watch misses counts as told 6 s after it fell silent, which is up to 2 s after its last byte: by
	// then it has to be found out, opened anew, if need be twice, and read.
	silence = 3 * time.Second // a watch has a heartbeat every 2 s: it is dead after this long without a byte
	opening = time.Second     // where lists are pushed the service answers at once: one that doesn't is asked anew
	within  = time.Second     // where they are asked for, for the next call after a silent watch: the call may wait
	// After any other call that failed, the next one begins so long after the last that came whole, or after the failed one
	// began: what the service has had since then counts as told 6 s later, and the call takes time too.
	askAgain = 5 * time.Second

	reopenFirst  = 100 * time.Millisecond // between the beginnings of two watches at first, by chance
	reopenMost   = 250 * time.Millisecond // and at the most
	fetchLimit   = 5 * time.Second
	maxListBytes = 8 << 20
)

// List is a list of backends in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is an entry of a list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`

	bad error // why the entry can't be read, but for its host
}

// backend translates an entry by the settings' names.
func (h Host) backend(names wire.Names) (balance.Backend, error) {
	b := balance.Backend{ID: h.Host, State: balance.Gone, Cell: h.Block, Weight: h.Share,
		Zone: slices.Index(names.Zones, h.Site), Kind: slices.Index(names.Kinds, h.Class),
		Started: wire.Duration(h.BornMs)}
	if len(names.Zones) == 0 { // a deployment without zones or kinds has one of each
		b.Zone = 0
	}
	if len(names.Kinds) == 0 {
		b.Kind = 0
	}
	switch {
	case h.Host == "":
		return b, errors.New("no host")
	case h.bad != nil:
		return b, h.bad
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

// Client follows the list of backends and hands what it learns to told at once.
type Client struct {
	ask   bool // the module asks; else a watch stays open by itself
	names wire.Names
	told  func(list balance.List, addrs map[string]string)
	log   *slog.Logger
	http  *http.Client
	ctx   context.Context // ends all calls

	silence time.Duration // a watch without a byte for so long is dead
	opening time.Duration // and one that has not begun by then
	after   func(time.Duration) <-chan time.Time

	mu    sync.Mutex // held while a list is told, so never by the loop
	base  string     // URL of the list
	seq   int64
	moved int                // how often the service was replaced by another
	fresh bool               // the present one has told nothing yet
	watch context.CancelFunc // ends the watch that is open; nil: none
	wake  chan struct{}      // ends the wait for the next one

	missing atomic.Bool // a watch fell silent, and no list has come since
	hung    atomic.Bool // the last call did not begin in time, and the one before had not hung

	firstList chan struct{} // closed once a list has been told, or the first call for one has failed
	firstOnce sync.Once

	stop context.CancelFunc // ends the watch that was asked for; nil: none; the loop's own
}

// Config is what a Client is told at its start.
type Config struct {
	Service netip.AddrPort
	Ask     bool // lists are asked for by Subscribe and Fetch; else Run keeps a watch open
	Names   wire.Names
	Seq     int64 // version of the list that is known already
}

// New returns a client that hands lists, with the addresses of their backends, to told until ctx ends.
func New(ctx context.Context, c Config, told func(balance.List, map[string]string), log *slog.Logger) *Client {
	begin := opening
	if c.Ask { // a call may wait there
		begin = silence
	}
	d := &Client{base: listURL(c.Service), firstList: make(chan struct{}), wake: make(chan struct{}, 1), ask: c.Ask,
		names: c.Names, told: told, log: log, ctx: ctx, seq: c.Seq, silence: silence, opening: begin, after: time.After}
	d.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.dial}}
	return d
}

// dial opens a connection to the service, within the time for a call to begin. Guards against dials that go on for minutes
// after their calls were given up, as net/http's do where nobody answers: each holds a descriptor.
func (d *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.patience()}
	return dialer.DialContext(ctx, network, address)
}

func listURL(service netip.AddrPort) string { return "http://" + service.String() + "/discovery/hosts" }

// Move follows another service from now on. The list stays as it is until that one speaks.
func (d *Client) Move(service netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	base := listURL(service)
	if base == d.base {
		return
	}
	d.base, d.fresh = base, true
	d.moved++
	if d.watch != nil {
		d.watch()
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// FirstList is closed once the first list has been told, or the first call has come to nothing.
func (d *Client) FirstList() <-chan struct{} { return d.firstList }

func (d *Client) firstListDone() { d.firstOnce.Do(func() { close(d.firstList) }) }

// source is the service that a call goes to: a list of one that has been replaced counts no more.
type source struct {
	base  string
	since int64
	fresh bool
	moved int
}

// Tell passes on a list. Guards against an entry that makes no sense: it counts as gone, since
// a backend that can't be understood can't be used, and must not live on as it was before.
func (d *Client) Tell(l List, kind balance.ListKind) { tell(l, kind, d.names, d.told, d.log) }

func tell(l List, kind balance.ListKind, names wire.Names, told func(balance.List, map[string]string), log *slog.Logger) {
	list := balance.List{Kind: kind, Version: l.Seq}
	addrs := map[string]string{}
	for _, h := range l.Hosts {
		b, err := h.backend(names)
		if err != nil {
			log.Warn("entry of the list ignored", "host", h.Host, "err", err)
		}
		list.Backends = append(list.Backends, b)
		addrs[h.Host] = h.Dial
	}
	told(list, addrs)
}

// failed notes that a call has failed that last brought something whole, or began, at a time.
func (d *Client) failed(err error, heard time.Time) {
	if d.ctx.Err() != nil {
		return // the agent stops
	}
	d.log.Warn("discovery", "err", err)
	defer d.firstListDone()
	if d.ask {
		soon := within
		if !d.missing.Load() {
			soon = max(within, askAgain-time.Since(heard))
		}
		d.told(balance.List{Kind: balance.ListFailed, Within: soon}, nil)
	}
}

// Run keeps a watch open until the context ends, where lists come unasked.
func (d *Client) Run() {
	if d.ask {
		return
	}
	wait := reopenFirst
	for d.ctx.Err() == nil {
		began := time.Now()
		received, heard, err := d.follow(d.ctx)
		if received {
			wait = reopenFirst
		}
		d.failed(err, heard)
		// Guards against a drain that is told while no call is open: what the service has counts as told all the same. So
		// only a call that ended soon is followed by a pause; one that hung or fell silent has lasted for long enough.
		if pause := time.Duration(rand.Float64()*float64(wait)) - time.Since(began); pause > 0 {
			select {
			case <-d.after(pause):
			case <-d.wake:
				wait = reopenFirst
				continue
			case <-d.ctx.Done():
			}
		}
		wait = min(2*wait, reopenMost)
	}
}

var (
	errSilent = errors.New("watch is silent")
	errMoved  = errors.New("discovery has moved")
)

// follow watches the list until the connection ends or falls silent, or the service moves. It reports whether anything came,
// and when the last list or heartbeat was whole, or, if none was, when the call began.
func (d *Client) follow(ctx context.Context) (received bool, heard time.Time, err error) {
	heard = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(d.patience(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	begun := false
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		// A call that never began has missed nothing: haste of a whole fleet would keep its service from coming back.
		if begun && errors.Is(err, errSilent) {
			d.missing.Store(true)
		}
		d.hung.Store(!begun && errors.Is(err, errSilent) && !d.hung.Load())
	}()
	d.mu.Lock()
	from := d.source()
	d.watch = func() { cancel(errMoved) }
	d.mu.Unlock()
	query := "?follow=1"
	if !from.fresh { // versions of another service mean nothing
		query += "&since=" + strconv.FormatInt(from.since, 10)
	}
	body, err := d.get(ctx, from.base+query)
	if err != nil {
		return false, heard, err
	}
	defer body.Close()
	begun = true
	watchdog.Reset(d.silence)
	var in *objects
	in = newObjects(body, d.silence, func() {
		received = true
		if in.apart {
			heard = time.Now()
		}
		// Guards against a list that begins, trickles and then stops: its own time is over before a silence would show.
		watchdog.Reset(in.left())
	})
	for {
		l, err := in.next()
		if errors.Is(err, io.EOF) {
			return received, heard, errors.New("watch ended")
		}
		if err != nil {
			return received, heard, fmt.Errorf("watch: %w", err)
		}
		heard = time.Now()
		watchdog.Reset(in.left())
		if err := d.take(l, from, true); err != nil {
			return received, heard, err
		}
	}
}

// patience is how long a call may take to begin: the one after a call that hung may take longer. Guards against a service
// that is too slow for the shorter time, and would never be heard.
func (d *Client) patience() time.Duration {
	if d.hung.Load() {
		return max(d.opening, d.silence)
	}
	return d.opening
}

// take passes on one list.
func (d *Client) take(l List, from source, watched bool) error {
	d.mu.Lock()
	defer d.mu.Unlock() // lists reach the module in the order of their versions
	if from.moved != d.moved && watched {
		return errors.New("watch of a service that was replaced")
	}
	// Guards against changes that are older than what is known, which would bring drained backends back: they don't
	// follow on it, so that the next watch asks for all. A whole list is taken: its service may count anew.
	if watched && !d.fresh && !l.Whole && l.Seq < d.seq {
		d.fresh = true
		return fmt.Errorf("list: seq: %d after %d: all of it is asked for anew", l.Seq, d.seq)
	}
	// Guards against a fetched list that a watch or another service has overtaken: it would bring
	// drained backends back. Its call is still owed an answer: nothing has changed.
	if from.moved != d.moved || !watched && !d.fresh && l.Seq < d.seq {
		l = List{Seq: d.seq}
	} else {
		d.seq, d.fresh = l.Seq, false
	}
	kind := balance.ListDelta
	if l.Whole {
		kind = balance.ListFull
	}
	d.missing.Store(false)
	d.Tell(l, kind)
	d.firstListDone()
	return nil
}

// source is called with the lock held.
func (d *Client) source() source { return source{d.base, d.seq, d.fresh, d.moved} }

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

// Subscribe opens a watch, anew if there is one. Where lists come unasked one is always open.
func (d *Client) Subscribe() {
	if !d.ask {
		return
	}
	d.Unsubscribe()
	ctx, cancel := context.WithCancel(d.ctx)
	d.stop = cancel
	go func() {
		defer cancel()
		for {
			_, heard, err := d.follow(ctx)
			if errors.Is(err, errMoved) && ctx.Err() == nil {
				continue // it was asked for, of whichever service
			}
			if ctx.Err() == nil { // not ended by unsubscribe
				d.failed(err, heard)
			}
			return
		}
	}()
}

// Unsubscribe ends the watch that was asked for.
func (d *Client) Unsubscribe() {
	if d.stop != nil {
		d.stop()
		d.stop = nil
	}
}

// Fetch gets the whole list once.
func (d *Client) Fetch() {
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, fetchLimit)
		defer cancel()
		d.mu.Lock()
		from := d.source()
		d.mu.Unlock()
		body, err := d.get(ctx, from.base)
		if err == nil {
			var raw []byte
			raw, err = io.ReadAll(io.LimitReader(body, maxListBytes))
			body.Close()
			var l List
			if err == nil {
				l, err = parseList(raw)
			}
			if err == nil {
				err = d.take(l, from, false)
			}
		}
		if err != nil {
			d.failed(err, began)
		}
	}()
}
