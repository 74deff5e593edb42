// Package link runs a member.Member: it owns the clock and the goroutine, passes datagrams in and out, and
// reports the view. The agent owns the sockets: it passes received datagrams to a Link, which sends through
// Options.Send.
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
	"lemonrail/internal/member"
	"lemonrail/internal/metrics"
)

const (
	inboxSize       = 512                    // maximum number of datagrams and calls that wait for Run's goroutine
	maxTickInterval = time.Second            // maximum time between two steps of Run
	leaveWait       = 300 * time.Millisecond // maximum time that Leave waits, so that the announcements are sent
)

// ErrEnded is returned by calls on a membership that is not running.
var ErrEnded = errors.New("membership: not running")

// Options holds the settings and callbacks of a Link.
type Options struct {
	Settings *Settings
	Name     string
	Zone     string                               // zone of this agent if the settings have none
	Self     member.ID                            // NoID: derived from a hash of the name
	Peers    []netip.AddrPort                     // addresses of the fleet's agents, indexed by ID, this agent included; empty: use the settings' list
	Seed     uint64                               // of all random choices
	Send     func(to netip.AddrPort, data []byte) // must not block; may drop the datagram
	OnCount  func(member.AgentCount)              // called when the count of agents changes; must not block for long
	Log      *slog.Logger
}

// Link is a running membership. One goroutine, Run's, owns the member.Member; others pass it functions on a
// bounded inbox. Datagrams that arrive while the inbox is full are dropped and counted.
type Link struct {
	options   Options
	member    *member.Member
	addrs     map[member.ID]netip.AddrPort // addresses of the listed agents
	ids       map[netip.AddrPort]member.ID // the reverse of addrs
	startedAt time.Time
	inbox     chan func()   // functions for Run's goroutine
	ended     chan struct{} // closed when Run returns

	muted     atomic.Bool       // another process of this agent takes part in the membership instead
	dropped   atomic.Int64      // datagrams dropped because the inbox was full
	alive     atomic.Int64      // metric: members in state Alive
	majority  atomic.Int64      // metric: 1 if this agent sees more than half of the fleet, else 0
	changes   atomic.Int64      // metric: changes of the view so far
	lastCount member.AgentCount // the latest count that was passed to OnCount
}

// New creates a membership; Run starts it.
func New(o Options) (*Link, error) {
	c := o.Settings.config()
	c.Name, c.Self, c.Seed = o.Name, o.Self, o.Seed
	if c.Zone == "" {
		c.Zone = o.Zone
	}
	l := &Link{options: o, addrs: map[member.ID]netip.AddrPort{}, ids: map[netip.AddrPort]member.ID{}, startedAt: time.Now(),
		inbox: make(chan func(), inboxSize), ended: make(chan struct{})}
	if len(o.Settings.listed) > 0 {
		c.Self = member.NameID(o.Name)
		listed := false
		for _, p := range o.Settings.listed {
			c.Peers = append(c.Peers, p.Peer)
			l.addrs[p.ID], l.ids[p.Address] = p.Address, p.ID
			if p.ID == c.Self {
				listed = true
				if c.Zone == "" {
					c.Zone = p.Zone
				}
			}
		}
		if !listed { // the others need its address to reply
			c.Addr = o.Settings.advertised
		}
	} else {
		if c.Self == member.NoID {
			c.Self = member.NameID(o.Name)
			c.Addr = o.Settings.advertised
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
	if c.Start, err = nextStartCounter(o.Settings.Folder, o.Name, time.Now()); err != nil {
		// Not fatal: the clock's counter is used, and an outdated one is corrected by the records of other
		// agents.
		o.Log.Warn("cannot store the start counter", "err", err)
	}
	if l.member, err = member.New(c, 0); err != nil {
		return nil, err
	}
	return l, nil
}

// post queues f for Run without blocking, and reports whether there was room.
func (l *Link) post(f func()) bool {
	select {
	case l.inbox <- f:
		return true
	default:
		return false
	}
}

// Received processes a datagram received from an address. It doesn't block; a full inbox drops the
// datagram.
func (l *Link) Received(from netip.AddrPort, data []byte) {
	id, known := l.ids[from]
	if !known {
		id = member.NoID
	}
	if !l.post(func() {
		if !l.muted.Load() {
			l.member.Receive(l.now(), id, data)
		}
	}) {
		l.dropped.Add(1)
	}
}

// Refused reports that the host at an address answered that no process listens there. It doesn't block.
func (l *Link) Refused(to netip.AddrPort) {
	if id, known := l.ids[to]; known {
		l.post(func() {
			if !l.muted.Load() {
				l.member.Refused(l.now(), id)
			}
		})
	}
}

// Mute suspends or resumes sending and receiving, while another process of the same agent takes part
// instead.
func (l *Link) Mute(mute bool) { l.muted.Store(mute) }

// now returns the time on the clock of the member.Member: since Run began.
func (l *Link) now() time.Duration { return time.Since(l.startedAt) }

// Run runs the membership until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	defer close(l.ended)
	l.startedAt = time.Now()
	l.step()
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
		l.step()
		wait := maxTickInterval
		if !l.muted.Load() {
			wait = min(wait, max(0, l.member.Wake()-l.now()))
		}
		timer.Reset(wait)
	}
}

// step does all work that is due, sends datagrams, logs changes and publishes the counts.
func (l *Link) step() {
	if !l.muted.Load() {
		l.member.Tick(l.now())
	}
	for _, d := range l.member.Out() {
		to := l.addrs[d.To]
		if !to.IsValid() {
			to = d.Addr
		}
		if to.IsValid() && !l.muted.Load() {
			l.options.Send(to, d.Data)
		}
	}
	for _, c := range l.member.Changes() {
		l.logChange(c)
	}
	v := l.member.Brief()
	l.alive.Store(int64(v.Alive))
	l.changes.Store(int64(v.Changes))
	l.majority.Store(0)
	if v.Standing == member.Majority {
		l.majority.Store(1)
	}
	if c := l.member.Count(); c.Living != l.lastCount.Living || c.Possible != l.lastCount.Possible || len(c.Away) != len(l.lastCount.Away) {
		l.lastCount = c
		if l.options.OnCount != nil {
			l.options.OnCount(c)
		}
	}
}

// logChange logs a state change of a member or a change of this agent's standing.
func (l *Link) logChange(c member.Change) {
	if c.Member == member.NoID {
		l.options.Log.Info("membership", "standing", c.Standing, "moved", c.Sequence)
		return
	}
	l.options.Log.Info("membership", "member", l.member.Name(c.Member), "was", c.From, "is", c.To, "proved", c.Proved, "moved", c.Sequence)
}

// Leave announces to the others that this agent leaves, and gives the announcement leaveWait to be sent, but no longer
// than within. It does nothing while muted.
func (l *Link) Leave(within time.Duration) {
	if l.muted.Load() {
		return
	}
	if l.post(func() { l.member.Leave(l.now()) }) {
		select {
		case <-time.After(min(leaveWait, max(0, within))):
		case <-l.ended:
		}
	}
}

// call runs do on Run's goroutine and waits until it has returned or ctx ends.
func (l *Link) call(ctx context.Context, do func()) error {
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

// Report is the view of this agent in the form of the control API.
type Report struct {
	Name        string          `json:"name"`        // name of this agent
	Zone        string          `json:"zone"`        // zone of this agent
	Start       uint32          `json:"start"`       // start counter
	Incarnation uint16          `json:"incarnation"` // lives since that start, from 0
	Number      uint64          `json:"view"`        // see member.View
	Digest      string          `json:"digest"`      // hash of all records, in hexadecimal; the same at agents with the same view
	Changes     uint64          `json:"changes"`     // number of changes that this agent has seen since its start
	Standing    string          `json:"standing"`    // see member.Standing
	Majority    bool            `json:"majority"`
	Expected    int             `json:"expected"` // number of agents in the complete fleet
	Alive       int             `json:"alive"`    // members in state alive, this agent included
	Living      int             `json:"living"`   // see member.AgentCount
	Possible    int             `json:"possible"` // see member.AgentCount
	Muted       bool            `json:"muted,omitempty"`
	At          time.Time       `json:"at"`
	Members     []Row           `json:"members"`
	Counters    member.Counters `json:"counters"`
	Lost        int64           `json:"lost"` // datagrams dropped because the inbox was full
}

// Row describes one member in a Report.
type Row struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	State           string    `json:"state"`
	Proved          bool      `json:"proved,omitempty"`  // dead, and its host reported that no process listens
	Start           uint32    `json:"start"`             // start counter
	Incarnation     uint16    `json:"incarnation"`       // lives since that start, from 0
	Since           time.Time `json:"since"`             // when it entered State
	Accused         int       `json:"accused,omitempty"` // observers that list it as unreachable
	Doubts          bool      `json:"doubts,omitempty"`  // it believes that it may be cut off itself
	UnreachableFrom []string  `json:"unreachable_from,omitempty"`
}

// Report returns the current view.
func (l *Link) Report(ctx context.Context) (r *Report, err error) {
	err = l.call(ctx, func() { r = l.report() })
	return r, err
}

// report builds the report; it must run on Run's goroutine.
func (l *Link) report() *Report {
	v, c := l.member.View(), l.member.Count()
	r := &Report{Number: v.Number, Digest: fmt.Sprintf("%016x", v.Digest), Changes: v.Changes, Standing: v.Standing.String(), Majority: v.Majority(),
		Expected: v.Expected, Alive: v.Alive, Living: c.Living, Possible: c.Possible, Muted: l.muted.Load(), At: time.Now(),
		Counters: l.member.Counters(), Lost: l.dropped.Load()}
	for _, s := range v.Members {
		row := Row{Name: l.member.Name(s.ID), Zone: s.Zone, State: s.State.String(), Proved: s.Proved, Start: s.Start, Incarnation: s.Incarnation,
			Since: l.startedAt.Add(s.Since), Accused: s.Accused, Doubts: s.Doubts}
		for _, id := range s.UnreachableFrom {
			row.UnreachableFrom = append(row.UnreachableFrom, l.member.Name(id))
		}
		if s.ID == v.Self {
			r.Name, r.Zone, r.Start, r.Incarnation = row.Name, s.Zone, s.Start, s.Incarnation
		}
		r.Members = append(r.Members, row)
	}
	return r
}

// WithView passes the current view to f, on Run's goroutine, without blocking. f is not called if the inbox is
// full or the link is muted.
func (l *Link) WithView(f func(member.View)) {
	l.post(func() {
		if !l.muted.Load() {
			f(l.member.View())
		}
	})
}

// SetNote publishes a note of a few bytes to the other members; see member.SetNote. It doesn't block; false:
// the inbox is full and the note was dropped.
func (l *Link) SetNote(note []byte) bool {
	return l.post(func() { l.member.SetNote(l.now(), note) })
}

// Routes returns the routes of the control listener.
func (l *Link) Routes() []control.Route {
	return []control.Route{control.TextRoute("GET /api/members", "application/json", func(ctx context.Context) ([]byte, error) {
		r, err := l.Report(ctx)
		if err != nil {
			return nil, err
		}
		return json.Marshal(r)
	})}
}

// Gauges returns the metrics of the membership.
func (l *Link) Gauges() []metrics.Gauge {
	return []metrics.Gauge{{Name: "members_alive", Value: l.alive.Load}, {Name: "members_majority", Value: l.majority.Load},
		{Name: "members_changes", Value: l.changes.Load}}
}
