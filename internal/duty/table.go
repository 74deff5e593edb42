// Package duty decides who may do work that only one agent may do at a time: election by an agreed log, leases,
// fencing. It performs no I/O, has no clock and starts no goroutine: times, commands and answers are handed in.
//
// Three parties, each with its own decisions here:
//
//   - the Table is what the seated agents agree on, command by command, in the order of their log: for each duty its
//     holder, an epoch that rises with each handover and never falls, the lease's length, and the small state that goes
//     from holder to holder. The same commands give the same table everywhere. A Grantor, at the seat that leads, says by
//     its own clock when a lease has run out;
//   - a Holder is an agent's side: when it asks for a duty, until when it may act, when it stops by itself;
//   - a Fence is the side of whoever is acted upon: a lower epoch than one that was seen is refused.
//
// Why no two act at once: a holder counts its lease from before it asked, by its own clock, and takes off the drift that
// the settings allow; the Grantor counts from after the command was agreed, and adds it; one that begins to lead counts
// all leases from then. Should that fail all the same (a clock beyond its bounds, a process stopped between check and
// act) the epoch of the late act is the lower one, and the Fence refuses it.
//
// Files: table.go, grantor.go, holder.go, fence.go; wire.go commands and answers as bytes.
//
// Bounds: DutiesMost duties, EligibleMost agents of each, StateMost bytes of state.
package duty

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Epoch numbers the holders of a duty; 0: none was ever.
type Epoch uint64

// Bounds.
const (
	DutiesMost   = 64
	EligibleMost = 64
	StateMost    = 4 << 10
	NameMost     = 64 // bytes of a duty's or an agent's name
	answersMost  = 4  // of an agent, that are kept so that a command that comes twice counts once
)

// Spec is what is asked of a duty.
type Spec struct {
	Name     string
	Lease    time.Duration
	Zone     string   // where the holder had best be; empty: anywhere
	Eligible []string // who may hold it; none: everybody
}

// Check names the first value that makes no sense.
func (s *Spec) Check() error {
	switch {
	case s.Name == "" || len(s.Name) > NameMost:
		return fmt.Errorf("name: %q is empty or longer than %d bytes", s.Name, NameMost)
	case s.Lease < 100*time.Millisecond || s.Lease > time.Hour:
		return fmt.Errorf("lease: %v is not within 100 ms and an hour", s.Lease)
	case len(s.Eligible) > EligibleMost:
		return fmt.Errorf("eligible: %d agents are over %d", len(s.Eligible), EligibleMost)
	}
	for _, a := range s.Eligible {
		if a == "" || len(a) > NameMost {
			return fmt.Errorf("eligible: %q is empty or longer than %d bytes", a, NameMost)
		}
	}
	return nil
}

// Duty is one in the table.
type Duty struct {
	Spec
	Holder string // empty: nobody
	Epoch  Epoch  // of the holder, or of the last one
	State  []byte // what it has done so far, as its holders told
	Acts   uint64 // times that state was told, over all holders
	Kept   uint64 // times that a lease was renewed, or told within, over all holders
	Next   string // who is to take over; empty: nobody is named
	Ready  bool   // Next has said that it can begin at once
}

// Kind is what a command does.
type Kind uint8

const (
	Define  Kind = iota // Spec: adds a duty, or changes what is asked of one
	Claim               // Agent wants to hold Duty, which nobody holds
	Renew               // Agent, holder in Epoch, goes on
	Release             // Agent, holder in Epoch, lets go
	Expire              // the lease of Epoch has run out, by the Grantor, who saw it kept Kept times
	Tell                // Agent, holder in Epoch, has the state be State, and goes on
	Name                // Agent is to take over: by hand, or by the holder
	Prepare             // Agent, who was named, can begin at once
	HandOn              // Agent, holder in Epoch, gives it to the one that was named and is ready
	kinds
)

var kindNames = [kinds]string{"define", "claim", "renew", "release", "expire", "tell", "name", "prepare", "hand-on"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is one that the seated agents agree on.
type Command struct {
	ID    uint64 // drawn by the agent that asks, so that what comes twice counts once; 0: it may count twice
	Kind  Kind
	Duty  string
	Agent string
	Epoch Epoch
	State []byte
	Acts  uint64 // of Tell: what the table has to count before it, so that an earlier one that comes late is void
	Kept  uint64 // of Expire: as often as the lease was kept when it ran out; once more, and it goes on
	Spec  Spec   // of Define
}

// Why says why a command did nothing.
type Why uint8

const (
	Done       Why = iota
	Unknown        // no such duty
	Held           // somebody holds it
	NotHolder      // the epoch or the agent is not that of the holder
	Ineligible     // the agent may not hold it
	NotNamed       // nobody, or another one, is named to take over
	NotReady       // the one that is named is not ready
	Stale          // state that others were told after; an expiry that was decided before a renewal
	Senseless      // the command makes no sense, or is over a bound
	whys
)

var whyNames = [whys]string{"done", "unknown", "held", "not the holder", "ineligible", "not named", "not ready", "stale", "senseless"}

func (w Why) String() string {
	if w < whys {
		return whyNames[w]
	}
	return fmt.Sprintf("why %d", uint8(w))
}

// Answer is what came of a command: the duty as it stands after it.
type Answer struct {
	ID     uint64
	Why    Why
	Duty   string
	Holder string
	Epoch  Epoch
	Lease  time.Duration
	Next   string
	Ready  bool
	State  []byte
	Acts   uint64
}

// answered is what an agent's last commands came to.
type answered struct {
	ids     []uint64
	answers []Answer
}

// Table is what the seats agree on.
type Table struct {
	duties map[string]*Duty
	recent map[string]*answered // by agent and duty; bounded by agentsMost, the one that asked longest ago goes
	order  []string             // of these, the last that asked at the end
}

const agentsMost = 1024

// NewTable is empty.
func NewTable() *Table { return &Table{duties: map[string]*Duty{}, recent: map[string]*answered{}} }

// Apply carries a command out. It hangs on nothing but the table and the command.
func (t *Table) Apply(c Command) Answer {
	if c.ID > 0 {
		if r := t.recent[c.Agent+"\x00"+c.Duty]; r != nil {
			if i := slices.Index(r.ids, c.ID); i >= 0 {
				return r.answers[i]
			}
		}
	}
	why := t.apply(&c)
	a := t.answer(c.Duty, why)
	if a.ID = c.ID; c.ID > 0 {
		t.keep(c.Agent+"\x00"+c.Duty, a)
	}
	return a
}

func (t *Table) keep(agent string, a Answer) {
	r := t.recent[agent]
	if r == nil {
		r = &answered{}
		t.recent[agent] = r
	} else {
		t.order = slices.DeleteFunc(t.order, func(s string) bool { return s == agent })
	}
	t.order = append(t.order, agent)
	if len(t.order) > agentsMost {
		delete(t.recent, t.order[0])
		t.order = t.order[1:]
	}
	r.ids, r.answers = append(r.ids, a.ID), append(r.answers, a)
	if n := len(r.ids) - answersMost; n > 0 {
		r.ids, r.answers = r.ids[n:], r.answers[n:]
	}
}

func (t *Table) answer(name string, why Why) Answer {
	a := Answer{Why: why, Duty: name}
	if d := t.duties[name]; d != nil {
		a.Holder, a.Epoch, a.Lease, a.Next, a.Ready, a.State, a.Acts = d.Holder, d.Epoch, d.Lease, d.Next, d.Ready, d.State, d.Acts
	}
	return a
}

func (t *Table) apply(c *Command) Why {
	if c.Kind >= kinds || len(c.State) > StateMost || len(c.Agent) > NameMost {
		return Senseless
	}
	if c.Kind == Define {
		return t.define(c)
	}
	d := t.duties[c.Duty]
	if d == nil {
		return Unknown
	}
	mine := d.Holder != "" && d.Holder == c.Agent && d.Epoch == c.Epoch
	switch c.Kind {
	case Claim:
		switch {
		case d.Holder != "":
			return Held
		case c.Agent == "":
			return Senseless
		case !d.may(c.Agent):
			return Ineligible
		}
		d.give(c.Agent)
	case Renew:
		if !mine {
			return NotHolder
		}
		d.Kept++
	case Tell:
		switch {
		case !mine:
			return NotHolder
		case c.Acts != d.Acts:
			return Stale
		}
		d.State = slices.Clone(c.State)
		d.Acts++
		d.Kept++
	case Release:
		if !mine {
			return NotHolder
		}
		d.Holder, d.Next, d.Ready = "", "", false
	case Expire:
		switch {
		case d.Holder == "" || d.Epoch != c.Epoch:
			return NotHolder
		case d.Kept != c.Kept: // it crossed with a renewal, which the holder has been told of: two would act
			return Stale
		}
		d.Holder, d.Next, d.Ready = "", "", false
	case Name:
		switch {
		case d.Holder == "" || c.Epoch != 0 && c.Epoch != d.Epoch:
			return NotHolder
		case c.Agent == "" || c.Agent == d.Holder: // nobody, after all
			d.Next, d.Ready = "", false
			return Done
		case !d.may(c.Agent):
			return Ineligible
		}
		if d.Next != c.Agent {
			d.Next, d.Ready = c.Agent, false
		}
	case Prepare:
		if d.Next == "" || d.Next != c.Agent {
			return NotNamed
		}
		d.Ready = true
	case HandOn:
		switch {
		case !mine:
			return NotHolder
		case d.Next == "":
			return NotNamed
		case !d.Ready:
			return NotReady
		}
		d.give(d.Next)
	}
	return Done
}

func (d *Duty) may(agent string) bool {
	return len(d.Eligible) == 0 || slices.Contains(d.Eligible, agent)
}

// give makes an agent the holder, in a new epoch.
func (d *Duty) give(agent string) {
	d.Holder, d.Next, d.Ready = agent, "", false
	d.Epoch++
}

func (t *Table) define(c *Command) Why {
	if c.Spec.Check() != nil || c.Duty != c.Spec.Name {
		return Senseless
	}
	d := t.duties[c.Duty]
	switch {
	case d == nil && len(t.duties) >= DutiesMost:
		return Senseless
	case d == nil:
		d = &Duty{}
		t.duties[c.Duty] = d
	case d.Holder != "" && c.Spec.Lease != d.Lease: // the holder reckons with the other one
		return Held
	}
	d.Spec = c.Spec
	d.Eligible = slices.Clone(c.Spec.Eligible)
	return Done
}

// Duties are all of them, by name.
func (t *Table) Duties() []Duty {
	all := make([]Duty, 0, len(t.duties))
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		d := *t.duties[name]
		d.State, d.Eligible = slices.Clone(d.State), slices.Clone(d.Eligible)
		all = append(all, d)
	}
	return all
}

// Duty is one of them.
func (t *Table) Duty(name string) (Duty, bool) {
	if d := t.duties[name]; d != nil {
		return *d, true
	}
	return Duty{}, false
}

// Holds counts the duties of each agent.
func (t *Table) Holds() map[string]int {
	n := map[string]int{}
	for _, d := range t.duties {
		if d.Holder != "" {
			n[d.Holder]++
		}
	}
	return n
}

// ErrTable says that a table's bytes make no sense.
var ErrTable = errors.New("duties: the table can't be read")
