package seat

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lemonrail/internal/duty"
	"lemonrail/internal/replica/transport"
)

// Task is what a duty has its holder do. Its functions are called by the client's goroutine and must not wait.
type Task interface {
	// Step does what is due, under a permit; it comes every half second while the agent holds the duty, and begins with
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

// ClientOptions say what a Client is made from.
type ClientOptions struct {
	Settings *Settings
	Name     string // of the agent
	Zone     string
	Tasks    map[string]Task // by duty: those that the agent is there for
	Log      *slog.Logger
	Now      func() time.Duration // nil: the monotonic clock
	Rand     *rand.Rand           // for waits, numbers of asks and which seat is asked; nil: one of its own
}

// Client is an agent's side of the duties: it asks the seats, and does the tasks of those that the agent holds. One
// goroutine (Run) owns it.
type Client struct {
	o           ClientOptions
	begun       time.Time
	inbox       chan func()
	ended       chan struct{}
	connections sync.WaitGroup
	dialers     map[string]*transport.Dialer
	names       []string
	leader      string
	holders     map[string]*duty.Holder
	states      map[string][]byte // of those held, as told last
	stepped     map[string]time.Duration
	looked      time.Duration
	table       []duty.Duty
	from        string        // seat that showed it
	seen        time.Duration // when; 0: never
	history     []Event
	held        atomic.Int64
	looks       int
	leaderHeard time.Duration // when something last came of the one that leads
}

// NewClient makes one that has asked nobody.
func NewClient(o ClientOptions) *Client {
	if o.Rand == nil {
		o.Rand = newRand()
	}
	c := &Client{o: o, begun: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}), dialers: map[string]*transport.Dialer{}, holders: map[string]*duty.Holder{},
		states: map[string][]byte{}, stepped: map[string]time.Duration{}}
	mine := protocol(o.Settings, o.Name)
	for _, p := range o.Settings.seats {
		c.names = append(c.names, p.name)
		c.dialers[p.name] = &transport.Dialer{Address: p.addr.String(), Protocol: mine, Handle: c.receive, Invalid: func(err error) { o.Log.Debug("duties", "err", err) }}
	}
	for _, spec := range o.Settings.specs {
		if o.Tasks[spec.Name] == nil || len(spec.Eligible) > 0 && !slices.Contains(spec.Eligible, o.Name) {
			continue
		}
		h := duty.NewHolder(duty.HolderConfig{Agent: o.Name, Zone: o.Zone, Spec: spec, Clocks: duty.Clocks{Drift: o.Settings.Drift}, Act: o.Settings.act(),
			Round: 4 * o.Settings.tick(), Seed: o.Rand.Uint64()}, o.Rand.Uint64()>>2, 0)
		h.Want(0, true)
		c.holders[spec.Name] = h
	}
	return c
}

func (c *Client) now() time.Duration {
	if c.o.Now != nil {
		return c.o.Now()
	}
	return time.Since(c.begun)
}

// post hands f to Run; it waits while there is no room.
func (c *Client) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.ended:
	}
}

// Run drives the client until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		close(c.ended)
		c.connections.Wait()
	}()
	for _, d := range c.dialers {
		c.connections.Go(func() { d.Run(inner, rand.Float64) })
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

func (c *Client) turn() {
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
		next, told := c.o.Tasks[name].Step(time.Now(), p, c.states[name])
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
		if c.leader != "" && now-c.leaderHeard > silentLooks*lookEvery { // its line stands, and brings nothing: another may lead by now
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

func (c *Client) order() []string {
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
func (c *Client) preferred() (all []*transport.Dialer) {
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

func (c *Client) send(cmds []duty.Command) {
	for _, cmd := range cmds {
		for _, d := range c.preferred() {
			if d.SendJSON(frameAsk, asked{cmd}) {
				break
			}
		}
	}
}

// news takes note of what holders came to.
func (c *Client) news(name string, h *duty.Holder) {
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

// receive takes a frame; it is called by the connections' goroutines.
func (c *Client) receive(from *transport.Conn, k transport.Kind, content []byte) {
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

func (c *Client) answered(from string, a *answered) {
	switch {
	case a.Asked:
		c.leader, c.leaderHeard = from, c.now()
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

func (c *Client) shown(t *shown) {
	now := c.now()
	if t.Leads {
		c.leader, c.leaderHeard = t.Seat, now
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
		if task := c.o.Tasks[d.Name]; task != nil {
			task.Heard(time.Now(), *d)
		}
		if h := c.holders[d.Name]; h != nil {
			a := duty.Answer{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, Lease: d.Lease, Next: d.Next, Ready: d.Ready, State: d.State, Acts: d.Acts}
			c.send(h.Seen(now, &a, holds))
			c.news(d.Name, h)
		}
	}
}

// lead takes a seat's word on which one leads.
func (c *Client) lead(name string) {
	if name != c.leader {
		c.leader, c.leaderHeard = name, c.now() // it has a while to say so itself
	}
}

// older reports whether a table is of before the one that is known.
func (c *Client) older(t *shown) bool {
	for i := range t.Duties {
		for k := range c.table {
			if c.table[k].Name == t.Duties[i].Name && (t.Duties[i].Epoch < c.table[k].Epoch || t.Duties[i].Epoch == c.table[k].Epoch && t.Duties[i].Acts < c.table[k].Acts) {
				return true
			}
		}
	}
	return len(t.Duties) < len(c.table)
}

// Held counts the duties that this agent held when it last looked. It may be called from any goroutine.
func (c *Client) Held() int64 { return c.held.Load() }
