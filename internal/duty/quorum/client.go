package quorum

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

// Task is the work of a duty. Its methods are called by the client's goroutine and must not block.
type Task interface {
	// Step does the work that is due, under a permit. It is called every half second while the agent holds the
	// duty, and first with the state that the previous holder left. If changed is true, the client makes the
	// voters store next as the duty's state.
	Step(now time.Time, p duty.Permit, state []byte) (next []byte, changed bool)
	// Observe is called at every agent with each table that the client accepts: the duty's holder, epoch and
	// state.
	Observe(now time.Time, d duty.Duty)
}

const (
	pollInterval   = 250 * time.Millisecond // between requests for the table
	stepInterval   = 500 * time.Millisecond // between calls of Task.Step
	maxHistory     = 128                    // number of events kept for Report
	maxSilentPolls = 4                      // polls without a message of the leader, after which the leader counts as unknown
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Settings *Settings
	Name     string          // name of the agent
	Zone     string          // zone of the agent
	Tasks    map[string]Task // by duty: what to do while the agent holds it; it is available for these duties only
	// Owns reports whether the agent's duties are this process's; false: an earlier process of the agent still runs, and has
	// them. It is asked until it returns true, and must not block. nil: they are this process's from the start.
	Owns func() bool
	Log  *slog.Logger
	Now  func() time.Duration // nil: the monotonic clock
	// For delays, command IDs and the choice of the voter to ask; nil: a random source of its own.
	Rand *rand.Rand
}

// Client is an agent's side of the duties: it sends commands to the voters, and runs the tasks of the duties
// that the agent holds. It is owned by one goroutine (Run).
type Client struct {
	options      ClientOptions
	startedAt    time.Time
	inbox        chan func()                  // functions for the goroutine of Run
	done         chan struct{}                // closed when Run returns
	connections  sync.WaitGroup               // goroutines of the dialers
	dialers      map[string]*transport.Dialer // connections to the voters, by voter name
	voterNames   []string                     // in the order of the settings
	leader       string                       // name of the voter that leads, as far as it is known; empty: unknown
	holders      map[string]*duty.Holder      // by duty
	owns         bool                         // the agent's duties are this process's; see ClientOptions.Owns
	states       map[string][]byte            // states of the duties that this agent holds, as last saved
	lastStep     map[string]time.Duration     // time of the last call of Task.Step, by duty
	lastPoll     time.Duration                // time of the last request for the table, on the client's clock
	table        []duty.Duty                  // all duties, as tableSource last reported them
	tableSource  string                       // voter that sent the table
	tableAt      time.Duration                // when the table was received; 0: never
	history      []Event                      // the last maxHistory events
	heldCount    atomic.Int64                 // number of duties held at the last iteration
	pollCount    int                          // number of requests for the table so far
	leaderSeenAt time.Duration                // when the last message of the leader was received
}

// NewClient creates a client. It contacts nobody before Run is called.
func NewClient(o ClientOptions) *Client {
	if o.Rand == nil {
		o.Rand = newRand()
	}
	c := &Client{options: o, startedAt: time.Now(), inbox: make(chan func(), inboxSize), done: make(chan struct{}), dialers: map[string]*transport.Dialer{}, holders: map[string]*duty.Holder{},
		states: map[string][]byte{}, lastStep: map[string]time.Duration{}}
	proto := protocol(o.Settings, o.Name)
	for _, p := range o.Settings.seats {
		c.voterNames = append(c.voterNames, p.name)
		c.dialers[p.name] = &transport.Dialer{Address: p.addr.String(), Protocol: proto, Handle: c.receive, OnInvalid: func(err error) { o.Log.Debug("duties", "err", err) }}
	}
	for _, spec := range o.Settings.specs {
		if o.Tasks[spec.Name] == nil || len(spec.Eligible) > 0 && !slices.Contains(spec.Eligible, o.Name) {
			continue
		}
		h := duty.NewHolder(duty.HolderConfig{Agent: o.Name, Zone: o.Zone, Spec: spec, Clocks: duty.Clocks{Drift: o.Settings.Drift}, MaxActTime: o.Settings.maxActTime(),
			RoundTrip: 4 * o.Settings.tickInterval(), Seed: o.Rand.Uint64()}, o.Rand.Uint64()>>2, 0)
		c.holders[spec.Name] = h
	}
	c.checkOwnership(0)
	return c
}

// checkOwnership makes the agent available for its duties once they are this process's. Voters know an agent by its name
// alone: two processes of one agent that both took over would both hold the duty.
func (c *Client) checkOwnership(now time.Duration) {
	if c.owns || c.options.Owns != nil && !c.options.Owns() {
		return
	}
	c.owns = true
	for _, h := range c.holders {
		h.SetWanted(now, true)
	}
}

// now returns the time on the client's clock.
func (c *Client) now() time.Duration {
	if c.options.Now != nil {
		return c.options.Now()
	}
	return time.Since(c.startedAt)
}

// post passes f to the goroutine of Run, and blocks while the inbox is full.
func (c *Client) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// Run runs the client until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		close(c.done)
		c.connections.Wait()
	}()
	for _, d := range c.dialers {
		c.connections.Go(func() { d.Run(inner, rand.Float64) })
	}
	tick := time.NewTicker(c.options.Settings.tickInterval())
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
		c.doDueWork()
	}
}

// doDueWork sends the commands that are due, calls Task.Step for the duties that the agent holds, and asks a
// voter for the table.
func (c *Client) doDueWork() {
	now := c.now()
	c.checkOwnership(now)
	for _, name := range c.dutyNames() {
		h := c.holders[name]
		c.send(h.Tick(now))
		c.recordChanges(name, h)
		if now-c.lastStep[name] < stepInterval {
			continue
		}
		p, ok := h.MayAct(now)
		if !ok {
			continue
		}
		c.lastStep[name] = now
		next, changed := c.options.Tasks[name].Step(time.Now(), p, c.states[name])
		// The step may have taken long, or the process may have been paused in it: its result is saved only if
		// the permit still holds.
		if changed && c.now() < p.Until {
			if cmd, ok := h.SaveState(c.now(), next); ok {
				c.states[name] = next
				c.send([]duty.Command{cmd})
			}
		}
	}
	holds, interval := int64(0), pollInterval
	for _, h := range c.holders {
		if h.ExpectsHandOn() {
			interval = 2 * c.options.Settings.tickInterval()
		}
		if h.Stage() == duty.Holding {
			holds++
		}
	}
	c.heldCount.Store(holds)
	if now-c.lastPoll >= interval {
		c.lastPoll = now
		// The leader's connection may be open but silent: another voter may be the leader by now.
		if c.leader != "" && now-c.leaderSeenAt > maxSilentPolls*pollInterval {
			c.leader = ""
		}
		c.pollCount++
		all := c.dialersByPreference()
		if c.leader != "" && c.pollCount%2 == 0 {
			all = all[1:] // every other request goes to another voter, since the one that claims to lead may be partitioned from the rest
		}
		for _, d := range all {
			if d.Send(frameTableRequest, nil) {
				break
			}
		}
	}
}

// dutyNames returns the duties that the agent is available for, in the order of the settings.
func (c *Client) dutyNames() []string {
	var names []string
	for _, s := range c.options.Settings.specs {
		if c.holders[s.Name] != nil {
			names = append(names, s.Name)
		}
	}
	return names
}

// dialersByPreference returns the voters in the order in which they should be tried: the leader, if it is
// known, then the others in random order.
func (c *Client) dialersByPreference() (all []*transport.Dialer) {
	if d := c.dialers[c.leader]; d != nil {
		all = append(all, d)
	}
	for _, i := range c.options.Rand.Perm(len(c.voterNames)) {
		if c.voterNames[i] != c.leader {
			all = append(all, c.dialers[c.voterNames[i]])
		}
	}
	return all
}

// send sends each command to the first voter by preference whose connection accepts it.
func (c *Client) send(cmds []duty.Command) {
	for _, cmd := range cmds {
		for _, d := range c.dialersByPreference() {
			if d.SendJSON(frameCommand, commandRequest{cmd}) {
				break
			}
		}
	}
}

// recordChanges logs the beginnings and ends of a duty's holding since the last call, and adds them to the
// history.
func (c *Client) recordChanges(name string, h *duty.Holder) {
	for _, ch := range h.TakeChanges() {
		e := Event{At: time.Now(), Duty: name, What: "began", Epoch: ch.Epoch, Reason: ch.Reason}
		if ch.Ended {
			e.What = "ended"
		} else {
			c.states[name], c.lastStep[name] = ch.State, -stepInterval
		}
		c.history = append(c.history, e)
		c.history = c.history[max(0, len(c.history)-maxHistory):]
		c.options.Log.Info("duty", "duty", name, "what", e.What, "epoch", uint64(e.Epoch), "reason", e.Reason)
	}
}

// receive handles a frame. It is called by the connections' goroutines.
func (c *Client) receive(from *transport.Conn, k transport.Kind, content []byte) {
	switch k {
	case frameCommandReply:
		var a commandReply
		if json.Unmarshal(content, &a) != nil {
			from.Close()
			return
		}
		c.post(func() { c.handleReply(from.Peer(), &a) })
	case frameTableReply:
		var t tableReply
		if json.Unmarshal(content, &t) != nil {
			from.Close()
			return
		}
		c.post(func() { c.handleTable(&t) })
	}
}

// handleReply learns from a voter's reply which voter leads, and passes the answer to the holder of its duty.
func (c *Client) handleReply(from string, a *commandReply) {
	switch {
	case a.Asked:
		c.leader, c.leaderSeenAt = from, c.now()
	case a.Leader != "" && a.Leader != from:
		c.setLeader(a.Leader)
	case c.leader == from:
		c.leader = ""
	}
	h := c.holders[a.Answer.Duty]
	if h == nil || !a.Asked || a.Agent != c.options.Name {
		return
	}
	h.HandleAnswer(c.now(), &a.Answer)
	c.recordChanges(a.Answer.Duty, h)
}

// handleTable passes the duties of a voter's table to the tasks and holders, unless the table is older than
// the current one.
func (c *Client) handleTable(t *tableReply) {
	now := c.now()
	if t.Leads {
		c.leader, c.leaderSeenAt = t.Seat, now
	} else if t.Leader != "" {
		c.setLeader(t.Leader)
	}
	if t.Seat != c.tableSource && c.isOlder(t) { // another voter, which lags behind
		return
	}
	c.table, c.tableSource, c.tableAt = t.Duties, t.Seat, now
	holds := 0
	for _, d := range t.Duties {
		if d.Holder == c.options.Name {
			holds++
		}
	}
	for i := range t.Duties {
		d := &t.Duties[i]
		if task := c.options.Tasks[d.Name]; task != nil {
			task.Observe(time.Now(), *d)
		}
		if h := c.holders[d.Name]; h != nil {
			a := duty.Answer{Duty: d.Name, Holder: d.Holder, Epoch: d.Epoch, Lease: d.Lease, Next: d.Next, Ready: d.Ready, State: d.State, Acts: d.Acts}
			c.send(h.Observe(now, &a, holds))
			c.recordChanges(d.Name, h)
		}
	}
}

// setLeader records which voter leads, as another voter reported.
func (c *Client) setLeader(name string) {
	if name != c.leader {
		c.leader, c.leaderSeenAt = name, c.now() // gives the new leader time to send a message itself
	}
}

// isOlder reports whether a table is older than the current one: a duty has a lower epoch or fewer saves in
// it, or it has fewer duties.
func (c *Client) isOlder(t *tableReply) bool {
	for i := range t.Duties {
		for k := range c.table {
			if c.table[k].Name == t.Duties[i].Name && (t.Duties[i].Epoch < c.table[k].Epoch || t.Duties[i].Epoch == c.table[k].Epoch && t.Duties[i].Acts < c.table[k].Acts) {
				return true
			}
		}
	}
	return len(t.Duties) < len(c.table)
}

// HeldCount returns the number of duties that this agent held at the last iteration. It may be called from any
// goroutine.
func (c *Client) HeldCount() int64 { return c.heldCount.Load() }
