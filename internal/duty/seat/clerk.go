package seat

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/transport"
)

// Work is what a duty has its holder do. Its functions are called by the clerk's goroutine and must not wait.
type Work interface {
	// Step does what is due, under a permit; it comes every Clerk.Every while the agent holds the duty, and begins with
	// the state that the one before left. What it returns is told to the seats, where told is true.
	Step(now time.Time, p duty.Permit, state []byte) (next []byte, told bool)
	// Heard is told to every agent: who holds the duty, in which epoch, and the state.
	Heard(now time.Time, d duty.Duty)
}

const (
	lookEvery   = 250 * time.Millisecond
	stepEvery   = 500 * time.Millisecond
	historyMost = 128
	silentLooks = 4 // without word of the seat that leads, after which it counts as unknown
)

// ClerkOptions say what a Clerk is made from.
type ClerkOptions struct {
	Settings *Settings
	Name     string // of the agent
	Zone     string
	Work     map[string]Work // by duty: those that the agent is there for
	Log      *slog.Logger
	Now      func() time.Duration // nil: the monotonic clock
	Rand     *rand.Rand           // for waits, numbers of asks and which seat is asked; nil: one of its own
}

// Clerk is an agent's side of the duties: it asks the seats, and does the work of those that the agent holds. One
// goroutine (Run) owns it.
type Clerk struct {
	o       ClerkOptions
	begun   time.Time
	inbox   chan func()
	ended   chan struct{}
	lines   sync.WaitGroup
	dialers map[string]*transport.Dialer
	names   []string
	leader  string
	holders map[string]*duty.Holder
	states  map[string][]byte // of those held, as told last
	stepped map[string]time.Duration
	looked  time.Duration
	table   []duty.Duty
	from    string        // seat that showed it
	seen    time.Duration // when; 0: never
	history []Event
	held    atomic.Int64
	looks   int
	word    time.Duration // when something last came of the one that leads
}

// Event is something that the agent's duties came to.
type Event struct {
	At     time.Time  `json:"at"`
	Duty   string     `json:"duty"`
	What   string     `json:"what"` // began, ended
	Epoch  duty.Epoch `json:"epoch"`
	Reason string     `json:"reason,omitempty"`
}

// NewClerk makes one that has asked nobody.
func NewClerk(o ClerkOptions) *Clerk {
	if o.Rand == nil {
		o.Rand = newRand()
	}
	c := &Clerk{o: o, begun: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}), dialers: map[string]*transport.Dialer{}, holders: map[string]*duty.Holder{},
		states: map[string][]byte{}, stepped: map[string]time.Duration{}}
	mine := protocol(o.Settings, o.Name)
	for _, p := range o.Settings.seats {
		c.names = append(c.names, p.name)
		c.dialers[p.name] = &transport.Dialer{Address: p.addr.String(), Protocol: mine, Handle: c.heard, Invalid: func(err error) { o.Log.Debug("duties", "err", err) }}
	}
	for _, spec := range o.Settings.specs {
		if o.Work[spec.Name] == nil || len(spec.Eligible) > 0 && !slices.Contains(spec.Eligible, o.Name) {
			continue
		}
		h := duty.NewHolder(duty.HolderConfig{Agent: o.Name, Zone: o.Zone, Spec: spec, Clocks: duty.Clocks{Drift: o.Settings.Drift}, Act: o.Settings.act(),
			Round: 4 * o.Settings.tick(), Seed: o.Rand.Uint64()}, o.Rand.Uint64()>>2, 0)
		h.Want(0, true)
		c.holders[spec.Name] = h
	}
	return c
}

func (c *Clerk) now() time.Duration {
	if c.o.Now != nil {
		return c.o.Now()
	}
	return time.Since(c.begun)
}

// post hands f to Run; it waits while there is no room.
func (c *Clerk) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.ended:
	}
}

// Run drives the clerk until ctx ends.
func (c *Clerk) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		close(c.ended)
		c.lines.Wait()
	}()
	for _, d := range c.dialers {
		c.lines.Go(func() { d.Run(inner, rand.Float64) })
	}
	tick := time.NewTicker(c.o.Settings.tick())
	defer tick.Stop()
	for {
		select {
		case f := <-c.inbox:
			f()
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for queued := len(c.inbox); queued > 0; queued-- {
			(<-c.inbox)()
		}
		c.turn()
	}
}

func (c *Clerk) turn() {
	now := c.now()
	for _, name := range c.order() {
		h := c.holders[name]
		c.send(h.Tick(now))
		c.news(name, h)
		if now-c.stepped[name] < stepEvery {
			continue
		}
		p, ok := h.May(now)
		if !ok {
			continue
		}
		c.stepped[name] = now
		next, told := c.o.Work[name].Step(time.Now(), p, c.states[name])
		// The step may have taken long, or the process was stopped in it: only what is still within the permit counts.
		if told && c.now() < p.Till {
			if cmd, ok := h.Tell(c.now(), next); ok {
				c.states[name] = next
				c.send([]duty.Command{cmd})
			}
		}
	}
	holds, every := int64(0), lookEvery
	for _, h := range c.holders {
		if h.Expects() {
			every = 2 * c.o.Settings.tick()
		}
		if h.Stage() == duty.Holding {
			holds++
		}
	}
	c.held.Store(holds)
	if now-c.looked >= every {
		c.looked = now
		if c.leader != "" && now-c.word > silentLooks*lookEvery { // its line stands, and brings nothing: another may lead by now
			c.leader = ""
		}
		c.looks++
		all := c.preferred()
		if c.leader != "" && c.looks%2 == 0 {
			all = all[1:] // whoever leads may be the one that is cut off
		}
		for _, d := range all {
			if d.Send(frameLook, nil) {
				break
			}
		}
	}
}

func (c *Clerk) order() []string {
	var names []string
	for _, s := range c.o.Settings.specs {
		if c.holders[s.Name] != nil {
			names = append(names, s.Name)
		}
	}
	return names
}

// preferred are the seats in the order in which they are to be asked: the one that leads, as far as is known, then the
// others by chance.
func (c *Clerk) preferred() (all []*transport.Dialer) {
	if d := c.dialers[c.leader]; d != nil {
		all = append(all, d)
	}
	for _, i := range c.o.Rand.Perm(len(c.names)) {
		if c.names[i] != c.leader {
			all = append(all, c.dialers[c.names[i]])
		}
	}
	return all
}

func (c *Clerk) send(cmds []duty.Command) {
	for _, cmd := range cmds {
		for _, d := range c.preferred() {
			if d.SendJSON(frameAsk, asked{cmd}) {
				break
			}
		}
	}
}

// news takes note of what holders came to.
func (c *Clerk) news(name string, h *duty.Holder) {
	for _, ch := range h.Changes() {
		e := Event{At: time.Now(), Duty: name, What: "began", Epoch: ch.Epoch, Reason: ch.Reason}
		if ch.Ended {
			e.What = "ended"
		} else {
			c.states[name], c.stepped[name] = ch.State, -stepEvery
		}
		c.history = append(c.history, e)
		c.history = c.history[max(0, len(c.history)-historyMost):]
		c.o.Log.Info("duty", "duty", name, "what", e.What, "epoch", uint64(e.Epoch), "reason", e.Reason)
	}
}

// heard takes a frame; it is called by the connections' goroutines.
func (c *Clerk) heard(from *transport.Conn, k transport.Kind, content []byte) {
	switch k {
	case frameAnswer:
		var a answered
		if json.Unmarshal(content, &a) != nil {
			from.Close()
			return
		}
		c.post(func() { c.answered(from.Peer(), &a) })
	case frameTable:
		var t shown
		if json.Unmarshal(content, &t) != nil {
			from.Close()
			return
		}
		c.post(func() { c.shown(&t) })
	}
}

func (c *Clerk) answered(from string, a *answered) {
	switch {
	case a.Asked:
		c.leader, c.word = from, c.now()
	case a.Leader != "" && a.Leader != from:
		c.lead(a.Leader)
	case c.leader == from:
		c.leader = ""
	}
	h := c.holders[a.Answer.Duty]
	if h == nil || !a.Asked || a.Agent != c.o.Name {
		return
	}
	h.Answer(c.now(), &a.Answer)
	c.news(a.Answer.Duty, h)
}

func (c *Clerk) shown(t *shown) {
	now := c.now()
	if t.Leads {
		c.leader, c.word = t.Seat, now
	} else if t.Leader != "" {
		c.lead(t.Leader)
	}
	if t.Seat != c.from && c.older(t) { // another seat, that lags behind
		return
	}
	c.table, c.from, c.seen = t.Duties, t.Seat, now
	holds := 0
	for _, d := range t.Duties {
		if d.Holder == c.o.Name {
			holds++
		}
	}
	for i := range t.Duties {
		d := &t.Duties[i]
		if w := c.o.Work[d.Name]; w != nil {
			w.Heard(time.Now(), *d)
		}
		if h := c.holders[d.Name]; h != nil {
			a := duty.Answer{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, Lease: d.Lease, Next: d.Next, Ready: d.Ready, State: d.State, Acts: d.Acts}
			c.send(h.Seen(now, &a, holds))
			c.news(d.Name, h)
		}
	}
}

// lead takes a seat's word on which one leads.
func (c *Clerk) lead(name string) {
	if name != c.leader {
		c.leader, c.word = name, c.now() // it has a while to say so itself
	}
}

// older reports whether a table is of before the one that is known.
func (c *Clerk) older(t *shown) bool {
	for i := range t.Duties {
		for k := range c.table {
			if c.table[k].Name == t.Duties[i].Name && (t.Duties[i].Epoch < c.table[k].Epoch || t.Duties[i].Epoch == c.table[k].Epoch && t.Duties[i].Acts < c.table[k].Acts) {
				return true
			}
		}
	}
	return len(t.Duties) < len(c.table)
}

// Report is how an agent's duties stand.
type Report struct {
	Agent   string      `json:"agent"`
	At      time.Time   `json:"at"`
	Seat    *SeatReport `json:"seat,omitempty"` // where the agent has one
	From    string      `json:"from"`           // seat that showed the table
	AgeS    float64     `json:"age_s"`          // of it; negative: none was ever shown
	Duties  []Row       `json:"duties"`
	History []Event     `json:"history,omitempty"`
}

// Row is one duty.
type Row struct {
	Duty    string     `json:"duty"`
	Holder  string     `json:"holder"` // empty: nobody
	Epoch   duty.Epoch `json:"epoch"`
	LeaseMs int64      `json:"lease_ms"`
	Zone    string     `json:"zone,omitempty"`
	Next    string     `json:"next,omitempty"` // who was named to take over
	Ready   bool       `json:"ready,omitempty"`
	Acts    uint64     `json:"acts"`
	State   string     `json:"state,omitempty"`
	Mine    string     `json:"mine"` // this agent's stage: idle, asking, holding, handing on, releasing
	LeftMs  int64      `json:"left_ms,omitempty"`
}

// SeatReport is how a seat stands.
type SeatReport struct {
	Name     string            `json:"name"`
	Identity string            `json:"identity"`
	Votes    bool              `json:"votes"`
	Leads    bool              `json:"leads"`
	Leader   string            `json:"leader"`
	Start    string            `json:"start"`
	Why      string            `json:"why"` // why it doesn't vote, or how it began
	Seats    map[string]string `json:"seats"`
	Term     uint64            `json:"term"`
	Applied  uint64            `json:"applied"`
	Written  uint64            `json:"bytes_written"`
	Syncs    uint64            `json:"syncs"`
	Garbled  int64             `json:"garbled"`
}

// Report returns how things stand.
func (c *Clerk) Report(ctx context.Context) (r *Report, err error) {
	return r, c.ask(ctx, func() { r = c.report() })
}

func (c *Clerk) report() *Report {
	now := c.now()
	r := &Report{Agent: c.o.Name, At: time.Now(), From: c.from, AgeS: -1, History: slices.Clone(c.history)}
	if c.seen > 0 {
		r.AgeS = (now - c.seen).Seconds()
	}
	for _, d := range c.table {
		row := Row{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.Lease.Milliseconds(), Zone: d.Zone, Next: d.Next, Ready: d.Ready, Acts: d.Acts,
			State: string(d.State), Mine: duty.Idle.String()}
		if h := c.holders[d.Name]; h != nil {
			if row.Mine = h.Stage().String(); h.Stage() == duty.Holding {
				row.LeftMs = (h.Until() - now).Milliseconds()
			}
		}
		r.Duties = append(r.Duties, row)
	}
	return r
}

func (c *Clerk) ask(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case c.inbox <- func() { do(); close(done) }:
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.ended:
		return ErrEnded
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("duties are busy: %w", ctx.Err())
	case <-c.ended:
		return ErrEnded
	}
}

// ErrEnded says that the agent stops.
var ErrEnded = fmt.Errorf("duties have ended")

// HandOn names who is to take a duty over; the holder gives it once that one is ready.
func (c *Clerk) HandOn(ctx context.Context, name, to string) error {
	return c.ask(ctx, func() { c.send([]duty.Command{{Kind: duty.Name, Duty: name, Agent: to}}) })
}

// Release has this agent let a duty go; false: it doesn't hold it.
func (c *Clerk) Release(ctx context.Context, name string) (held bool, err error) {
	err = c.ask(ctx, func() {
		if h := c.holders[name]; h != nil && h.Stage() == duty.Holding {
			held = true
			h.Release(c.now())
			c.news(name, h)
			c.turn()
		}
	})
	return held, err
}

// Leave has the agent hand on or let go what it holds, for a moment, before it ends.
func (c *Clerk) Leave(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		left := 0
		if c.ask(ctx, func() {
			for _, name := range c.order() {
				h := c.holders[name]
				h.Want(c.now(), false)
				if h.Stage() == duty.Holding {
					h.Release(c.now())
					c.news(name, h)
				}
				if h.Stage() != duty.Idle {
					left++
				}
			}
			c.turn()
		}) != nil || left == 0 {
			return
		}
		select {
		case <-time.After(c.o.Settings.tick()):
		case <-ctx.Done():
			return
		}
	}
}

// Held counts the duties that this agent held when it last looked. It may be called from any goroutine.
func (c *Clerk) Held() int64 { return c.held.Load() }
