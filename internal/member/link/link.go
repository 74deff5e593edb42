// Package link drives a member.Member: it owns its clock and goroutine, passes datagrams to and fro, and shows its
// view. Sockets belong to the agent: link gets what came and says what is to be sent.
//
// One goroutine, Run's, owns the Member. Others hand it functions on a bounded inbox; what comes from the network
// while that is full is lost, as on the way, and counted.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"lemonrail/internal/control"
	"lemonrail/internal/figures"
	"lemonrail/internal/member"
)

const (
	inboxSize  = 512 // datagrams and calls that wait
	quietEvery = time.Second
	goodbyes   = 300 * time.Millisecond // for which an agent that leaves says so
)

// ErrEnded says that the membership has ended, or never began.
var ErrEnded = errors.New("membership: not running")

// Options are what a Link is made from.
type Options struct {
	Settings *Settings
	Name     string
	Zone     string           // where the settings name none
	Self     member.ID        // Nobody: a hash of the name
	Peers    []netip.AddrPort // by the agents' numbers, this one's among them; none: the settings' list
	Seed     uint64
	Send     func(to netip.AddrPort, data []byte) // must not wait; may lose it
	Counted  func(member.Count)                   // called when it has changed; must not wait long
	Log      *slog.Logger
}

// Link is a running membership.
type Link struct {
	o     Options
	m     *member.Member
	addrs map[member.ID]netip.AddrPort
	ids   map[netip.AddrPort]member.ID
	start time.Time
	inbox chan func()
	ended chan struct{}

	muted atomic.Bool // another process of this agent is the member
	lost  atomic.Int64
	alive atomic.Int64
	major atomic.Int64
	moved atomic.Int64
	count member.Count
}

// New makes a membership that has not begun.
func New(o Options) (*Link, error) {
	c := o.Settings.config()
	c.Name, c.Self, c.Seed = o.Name, o.Self, o.Seed
	if c.Zone == "" {
		c.Zone = o.Zone
	}
	l := &Link{o: o, addrs: map[member.ID]netip.AddrPort{}, ids: map[netip.AddrPort]member.ID{}, start: time.Now(),
		inbox: make(chan func(), inboxSize), ended: make(chan struct{})}
	if len(o.Settings.list) > 0 {
		c.Self = member.NameID(o.Name)
		listed := false
		for _, p := range o.Settings.list {
			c.Peers = append(c.Peers, p.Peer)
			l.addrs[p.ID], l.ids[p.Address] = p.Address, p.ID
			if p.ID == c.Self {
				listed = true
				if c.Zone == "" {
					c.Zone = p.Zone
				}
			}
		}
		if !listed { // the others have to be told where it is
			c.Addr = o.Settings.tell
		}
	} else {
		if c.Self == member.Nobody {
			c.Self = member.NameID(o.Name)
			c.Addr = o.Settings.tell
		}
		for i, a := range o.Peers {
			c.Peers = append(c.Peers, member.Peer{ID: member.ID(i)})
			l.addrs[member.ID(i)], l.ids[a] = a, member.ID(i)
		}
	}
	if len(c.Zone) > member.MaxZone {
		c.Zone = c.Zone[:member.MaxZone]
	}
	if len(c.Name) > member.MaxName {
		c.Name = c.Name[:member.MaxName]
	}
	var err error
	if c.Start, err = nextLife(o.Settings.Folder, o.Name, time.Now()); err != nil {
		// Guards against a disk that is full or lies: the clock's counter, or what others remember, does.
		o.Log.Warn("the start counter is not kept", "err", err)
	}
	if l.m, err = member.New(c, 0); err != nil {
		return nil, err
	}
	return l, nil
}

// post hands f to Run without waiting; false: there is no room.
func (l *Link) post(f func()) bool {
	select {
	case l.inbox <- f:
		return true
	default:
		return false
	}
}

// Received takes a datagram that came from an address. It never waits.
func (l *Link) Received(from netip.AddrPort, data []byte) {
	id, known := l.ids[from]
	if !known {
		id = member.Nobody
	}
	if !l.post(func() {
		if !l.muted.Load() {
			l.m.Receive(l.now(), id, data)
		}
	}) {
		l.lost.Add(1)
	}
}

// Refused takes that the machine at an address said that nobody listens there. It never waits.
func (l *Link) Refused(to netip.AddrPort) {
	if id, known := l.ids[to]; known {
		l.post(func() {
			if !l.muted.Load() {
				l.m.Refused(l.now(), id)
			}
		})
	}
}

// Mute has this process say and hear nothing, while another process of the same agent is the member.
func (l *Link) Mute(mute bool) { l.muted.Store(mute) }

func (l *Link) now() time.Duration { return time.Since(l.start) }

// Run drives the membership until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	defer close(l.ended)
	l.start = time.Now()
	l.turn()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		for queued := len(l.inbox); queued > 0; queued-- {
			(<-l.inbox)()
		}
		l.turn()
		wait := quietEvery
		if !l.muted.Load() {
			wait = min(wait, max(0, l.m.Wake()-l.now()))
		}
		timer.Reset(wait)
	}
}

// turn does what is due, sends what is to be sent and shows what has changed.
func (l *Link) turn() {
	if !l.muted.Load() {
		l.m.Tick(l.now())
	}
	for _, d := range l.m.Out() {
		to := l.addrs[d.To]
		if !to.IsValid() {
			to = d.Addr
		}
		if to.IsValid() && !l.muted.Load() {
			l.o.Send(to, d.Data)
		}
	}
	for _, c := range l.m.Changes() {
		l.tell(c)
	}
	v := l.m.Brief()
	l.alive.Store(int64(v.Alive))
	l.moved.Store(int64(v.Moved))
	l.major.Store(0)
	if v.Standing == member.Majority {
		l.major.Store(1)
	}
	if c := l.m.Count(); c.Living != l.count.Living || c.Possible != l.count.Possible || len(c.Away) != len(l.count.Away) {
		l.count = c
		if l.o.Counted != nil {
			l.o.Counted(c)
		}
	}
}

// tell logs a change.
func (l *Link) tell(c member.Change) {
	if c.Of == member.Nobody {
		l.o.Log.Info("membership", "standing", c.Standing, "moved", c.Moved)
		return
	}
	l.o.Log.Info("membership", "member", l.m.Name(c.Of), "was", c.From, "is", c.To, "proved", c.Proved, "moved", c.Moved)
}

// Leave tells the others that this agent goes, for a moment; nothing where another process of it is the member.
func (l *Link) Leave(within time.Duration) {
	if l.muted.Load() {
		return
	}
	if l.post(func() { l.m.Leave(l.now()) }) {
		select {
		case <-time.After(min(goodbyes, max(0, within))):
		case <-l.ended:
		}
	}
}

// ask has Run do something, and waits for it while ctx lasts.
func (l *Link) ask(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case l.inbox <- func() { do(); close(done) }:
	case <-l.ended:
		return ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("membership is busy: %w", ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return ErrEnded
	case <-ctx.Done():
		return fmt.Errorf("membership is busy: %w", ctx.Err())
	}
}

// Report is a view as it is shown.
type Report struct {
	Name        string          `json:"name"`
	Zone        string          `json:"zone"`
	Start       uint32          `json:"start"`
	Incarnation uint16          `json:"incarnation"`
	Number      uint64          `json:"view"`
	Digest      string          `json:"digest"`
	Moved       uint64          `json:"changes"`
	Standing    string          `json:"standing"`
	Majority    bool            `json:"majority"`
	Expected    int             `json:"expected"`
	Alive       int             `json:"alive"`
	Living      int             `json:"living"`
	Possible    int             `json:"possible"`
	Muted       bool            `json:"muted,omitempty"`
	At          time.Time       `json:"at"`
	Members     []Row           `json:"members"`
	Counters    member.Counters `json:"counters"`
	Lost        int64           `json:"lost"` // datagrams that came while the inbox was full
}

// Row is one member in a Report.
type Row struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	State           string    `json:"state"`
	Proved          bool      `json:"proved,omitempty"`
	Start           uint32    `json:"start"`
	Incarnation     uint16    `json:"incarnation"`
	Since           time.Time `json:"since"`
	Accused         int       `json:"accused,omitempty"`
	Doubts          bool      `json:"doubts,omitempty"`
	UnreachableFrom []string  `json:"unreachable_from,omitempty"`
}

// Report returns the present view.
func (l *Link) Report(ctx context.Context) (r *Report, err error) {
	err = l.ask(ctx, func() { r = l.report() })
	return r, err
}

func (l *Link) report() *Report {
	v, c := l.m.View(), l.m.Count()
	r := &Report{Number: v.Number, Digest: fmt.Sprintf("%016x", v.Digest), Moved: v.Moved, Standing: v.Standing.String(), Majority: v.Majority(),
		Expected: v.Expected, Alive: v.Alive, Living: c.Living, Possible: c.Possible, Muted: l.muted.Load(), At: time.Now(),
		Counters: l.m.Counters(), Lost: l.lost.Load()}
	for _, s := range v.Members {
		row := Row{Name: l.m.Name(s.ID), Zone: s.Zone, State: s.State.String(), Proved: s.Proved, Start: s.Start, Incarnation: s.Incarnation,
			Since: l.start.Add(s.Since), Accused: s.Accused, Doubts: s.Doubts}
		for _, id := range s.UnreachableFrom {
			row.UnreachableFrom = append(row.UnreachableFrom, l.m.Name(id))
		}
		if s.ID == v.Self {
			r.Name, r.Zone, r.Start, r.Incarnation = row.Name, s.Zone, s.Start, s.Incarnation
		}
		r.Members = append(r.Members, row)
	}
	return r
}

// Look hands the present view to f, on the membership's goroutine, without waiting; nothing where it is behind or muted.
func (l *Link) Look(f func(member.View)) {
	l.post(func() {
		if !l.muted.Load() {
			f(l.m.View())
		}
	})
}

// Say has the other members know a few bytes; see member.Say. It never waits: where the membership is behind the
// bytes are lost, and false comes back.
func (l *Link) Say(note []byte) bool {
	return l.post(func() { l.m.Say(l.now(), note) })
}

// Routes are the calls at the control listener.
func (l *Link) Routes() []control.Route {
	return []control.Route{control.Text("GET /api/members", "application/json", func(ctx context.Context) ([]byte, error) {
		r, err := l.Report(ctx)
		if err != nil {
			return nil, err
		}
		return json.Marshal(r)
	})}
}

// Gauges are the figures.
func (l *Link) Gauges() []figures.Gauge {
	return []figures.Gauge{{Name: "members_alive", Value: l.alive.Load}, {Name: "members_majority", Value: l.major.Load},
		{Name: "members_changes", Value: l.moved.Load}}
}
