// Package duty decides which agent may do work that only one agent may do at a time, by means of a replicated
// log, leases and fencing. It performs no I/O, reads no clock and starts no goroutine: times, commands and
// answers are passed in.
//
// Three parties take part, each with its own type here:
//
//   - the Table is the state machine of the replicated log: for each duty its holder, an epoch that rises with each
//     change of holder and never falls, the length of the lease, and a small state that passes from holder to holder.
//     The same commands give the same table at every voter. A Grantor at the leader detects by its own clock when a
//     lease has run out;
//   - a Holder is an agent's side: it decides when to claim a duty, until when the agent may act, and when to stop;
//   - a Fence belongs to the target of the holder's actions, and refuses an epoch lower than one it has seen.
//
// Why no two agents act at once: a holder counts its lease from before it sent the command, by its own clock,
// and subtracts the drift that the settings allow; the Grantor counts from after the command was applied, and
// adds the drift; a new leader counts all leases from when it became leader. Should that fail all the same (a
// clock beyond its bounds, a process paused between check and action), the late action has the lower epoch and
// the Fence refuses it.
//
// Files: table.go, grantor.go, holder.go, fence.go; wire.go encodes commands and snapshots; startup.go decides
// how a voter starts and which voter is replaced.
//
// Bounds: MaxDuties duties, MaxEligible agents of each, MaxStateBytes bytes of state.
package duty

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Epoch numbers the holders of a duty, and serves as the fencing token; 0: the duty never had a holder.
type Epoch uint64

// Bounds of the table and of its parts.
const (
	MaxDuties     = 64      // in a table
	MaxEligible   = 64      // agents in Spec.Eligible
	MaxStateBytes = 4 << 10 // bytes of a duty's state
	MaxNameBytes  = 64      // bytes of a duty's or an agent's name
	// Answers remembered for an agent and a duty, so that a command that is delivered twice takes effect once.
	maxAnswersPerAgent = 4
)

// Spec is the definition of a duty.
type Spec struct {
	Name     string
	Lease    time.Duration // how long a holder keeps the duty without a renewal
	Zone     string        // preferred zone of the holder; empty: any
	Eligible []string      // agents that may hold the duty; none: all
}

// Check returns an error for the first invalid field.
func (s *Spec) Check() error {
	switch {
	case s.Name == "" || len(s.Name) > MaxNameBytes:
		return fmt.Errorf("name: %q is empty or longer than %d bytes", s.Name, MaxNameBytes)
	case s.Lease < 100*time.Millisecond || s.Lease > time.Hour:
		return fmt.Errorf("lease: %v is not within 100 ms and an hour", s.Lease)
	case len(s.Eligible) > MaxEligible:
		return fmt.Errorf("eligible: %d agents are over %d", len(s.Eligible), MaxEligible)
	}
	for _, a := range s.Eligible {
		if a == "" || len(a) > MaxNameBytes {
			return fmt.Errorf("eligible: %q is empty or longer than %d bytes", a, MaxNameBytes)
		}
	}
	return nil
}

// Duty is a duty's entry in the table.
type Duty struct {
	Spec
	Holder string // empty: no holder
	Epoch  Epoch  // epoch of the holder, or of the last one
	State  []byte // progress of the work, as the holders saved it
	Acts   uint64 // number of times that State was saved, over all holders
	Kept   uint64 // number of times that a lease was extended by Renew or SaveState, over all holders
	Next   string // the agent that is to take over; empty: none is named
	Ready  bool   // Next has reported that it can begin at once
}

// Kind is what a command does to its duty.
type Kind uint8

const (
	Define        Kind = iota // adds a duty with Spec, or changes its definition
	Claim                     // Agent wants to hold Duty, which has no holder
	Renew                     // Agent, holder in Epoch, extends its lease
	Release                   // Agent, holder in Epoch, gives the duty up
	Expire                    // the Grantor found the lease of Epoch expired when Duty.Kept was Kept
	SaveState                 // Agent, holder in Epoch, saves State and extends its lease
	NameSuccessor             // names Agent as successor; sent on behalf of an operator or the holder
	Prepare                   // Agent, the named successor, can begin at once
	HandOn                    // Agent, holder in Epoch, hands the duty on to the successor, which is ready
	kindCount
)

var kindNames = [kindCount]string{"define", "claim", "renew", "release", "expire", "tell", "name", "prepare", "hand-on"}

func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Command is an entry of the replicated log.
type Command struct {
	// Drawn by the sending agent, so that a command that is delivered twice takes effect once; 0: no such check.
	ID    uint64
	Kind  Kind
	Duty  string // name of the duty
	Agent string // the agent that the comment of Kind names
	Epoch Epoch  // epoch of the holding that the command is for
	State []byte // of SaveState: the duty's new state
	Acts  uint64 // of SaveState: the expected Duty.Acts, so that a save that arrives after a later one is refused
	Kept  uint64 // of Expire: Duty.Kept when the lease ran out; the command is refused if the lease was extended since
	Spec  Spec   // of Define
}

// Result tells whether a command took effect, and if not, why.
type Result uint8

const (
	Done        Result = iota
	UnknownDuty        // no such duty
	AlreadyHeld        // the duty has a holder, or its lease can't change while it has one
	NotHolder          // agent and epoch are not those of the current holder
	Ineligible         // the agent is not in the duty's list of eligible agents
	NotNamed           // no successor, or another one, is named
	NotReady           // the named successor is not ready
	Stale              // a save based on an outdated state, or an expiry that was decided before a renewal
	Invalid            // the command is invalid, or exceeds a bound
	resultCount
)

var resultNames = [resultCount]string{"done", "unknown", "held", "not the holder", "ineligible", "not named", "not ready", "stale", "senseless"}

func (w Result) String() string {
	if w < resultCount {
		return resultNames[w]
	}
	return fmt.Sprintf("why %d", uint8(w))
}

// Answer is the result of a command, and the duty's fields after it (those of Duty and Spec by the same
// names).
type Answer struct {
	ID     uint64 // ID of the command
	Why    Result // the result
	Duty   string
	Holder string
	Epoch  Epoch
	Lease  time.Duration
	Next   string
	Ready  bool
	State  []byte
	Acts   uint64
}

// answerCache holds the answers to the last commands of one agent about one duty, at most maxAnswersPerAgent.
type answerCache struct {
	ids     []uint64 // of the commands, the oldest first
	answers []Answer // the answer to each of ids
}

// Table is the state machine that the voters replicate.
type Table struct {
	duties map[string]*Duty // by name
	// Keys are the agent's name, a zero byte and the duty's name. At most maxAnswerCaches; the least recently
	// used one is dropped.
	answered      map[string]*answerCache
	answeredOrder []string // keys of answered, the most recently used one last
}

const maxAnswerCaches = 1024 // bound of Table.answered

// NewTable returns a table without duties.
func NewTable() *Table {
	return &Table{duties: map[string]*Duty{}, answered: map[string]*answerCache{}}
}

// Apply applies a command and returns the result. A command whose ID is remembered is not applied again and
// gets its first answer. The result depends on nothing but the table and the command.
func (t *Table) Apply(c Command) Answer {
	if c.ID > 0 {
		if r := t.answered[c.Agent+"\x00"+c.Duty]; r != nil {
			if i := slices.Index(r.ids, c.ID); i >= 0 {
				return r.answers[i]
			}
		}
	}
	result := t.apply(&c)
	a := t.answer(c.Duty, result)
	if a.ID = c.ID; c.ID > 0 {
		t.rememberAnswer(c.Agent+"\x00"+c.Duty, a)
	}
	return a
}

// rememberAnswer keeps an answer under a key of Table.answered, and drops the oldest beyond the bounds.
func (t *Table) rememberAnswer(requester string, a Answer) {
	r := t.answered[requester]
	if r == nil {
		r = &answerCache{}
		t.answered[requester] = r
	} else {
		t.answeredOrder = slices.DeleteFunc(t.answeredOrder, func(s string) bool { return s == requester })
	}
	t.answeredOrder = append(t.answeredOrder, requester)
	if len(t.answeredOrder) > maxAnswerCaches {
		delete(t.answered, t.answeredOrder[0])
		t.answeredOrder = t.answeredOrder[1:]
	}
	r.ids, r.answers = append(r.ids, a.ID), append(r.answers, a)
	if n := len(r.ids) - maxAnswersPerAgent; n > 0 {
		r.ids, r.answers = r.ids[n:], r.answers[n:]
	}
}

// answer returns a duty's fields as an Answer with the given result.
func (t *Table) answer(name string, result Result) Answer {
	a := Answer{Why: result, Duty: name}
	if d := t.duties[name]; d != nil {
		a.Holder, a.Epoch, a.Lease, a.Next, a.Ready, a.State, a.Acts = d.Holder, d.Epoch, d.Lease, d.Next, d.Ready, d.State, d.Acts
	}
	return a
}

// apply changes the table by a command, and returns whether or why not. Apply has handled repeated commands.
func (t *Table) apply(c *Command) Result {
	if c.Kind >= kindCount || len(c.State) > MaxStateBytes || len(c.Agent) > MaxNameBytes {
		return Invalid
	}
	if c.Kind == Define {
		return t.define(c)
	}
	d := t.duties[c.Duty]
	if d == nil {
		return UnknownDuty
	}
	isHolder := d.Holder != "" && d.Holder == c.Agent && d.Epoch == c.Epoch
	switch c.Kind {
	case Claim:
		switch {
		case d.Holder != "":
			return AlreadyHeld
		case c.Agent == "":
			return Invalid
		case !d.isEligible(c.Agent):
			return Ineligible
		}
		d.assign(c.Agent)
	case Renew:
		if !isHolder {
			return NotHolder
		}
		d.Kept++
	case SaveState:
		switch {
		case !isHolder:
			return NotHolder
		case c.Acts != d.Acts:
			return Stale
		}
		d.State = slices.Clone(c.State)
		d.Acts++
		d.Kept++
	case Release:
		if !isHolder {
			return NotHolder
		}
		d.Holder, d.Next, d.Ready = "", "", false
	case Expire:
		switch {
		case d.Holder == "" || d.Epoch != c.Epoch:
			return NotHolder
			// The lease was extended after the Grantor had found it expired, and the holder may already rely on the
			// answer: if the duty were free now, two agents could act at once.
		case d.Kept != c.Kept:
			return Stale
		}
		d.Holder, d.Next, d.Ready = "", "", false
	case NameSuccessor:
		switch {
		case d.Holder == "" || c.Epoch != 0 && c.Epoch != d.Epoch:
			return NotHolder
		case c.Agent == "" || c.Agent == d.Holder: // withdraws the nomination
			d.Next, d.Ready = "", false
			return Done
		case !d.isEligible(c.Agent):
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
		case !isHolder:
			return NotHolder
		case d.Next == "":
			return NotNamed
		case !d.Ready:
			return NotReady
		}
		d.assign(d.Next)
	}
	return Done
}

func (d *Duty) isEligible(agent string) bool {
	return len(d.Eligible) == 0 || slices.Contains(d.Eligible, agent)
}

// assign makes an agent the holder, in a new epoch.
func (d *Duty) assign(agent string) {
	d.Holder, d.Next, d.Ready = agent, "", false
	d.Epoch++
}

// define adds a duty, or changes the definition of an existing one.
func (t *Table) define(c *Command) Result {
	if c.Spec.Check() != nil || c.Duty != c.Spec.Name {
		return Invalid
	}
	d := t.duties[c.Duty]
	switch {
	case d == nil && len(t.duties) >= MaxDuties:
		return Invalid
	case d == nil:
		d = &Duty{}
		t.duties[c.Duty] = d
	case d.Holder != "" && c.Spec.Lease != d.Lease: // the holder counts its lease with the old length, which stays until it ends
		return AlreadyHeld
	}
	d.Spec = c.Spec
	d.Eligible = slices.Clone(c.Spec.Eligible)
	return Done
}

// Duties returns copies of all duties, sorted by name.
func (t *Table) Duties() []Duty {
	all := make([]Duty, 0, len(t.duties))
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		d := *t.duties[name]
		d.State, d.Eligible = slices.Clone(d.State), slices.Clone(d.Eligible)
		all = append(all, d)
	}
	return all
}

// Duty returns a duty by name; false: the table has none of that name. The result shares State with the
// table.
func (t *Table) Duty(name string) (Duty, bool) {
	if d := t.duties[name]; d != nil {
		return *d, true
	}
	return Duty{}, false
}

// HoldCounts returns the number of duties that each agent holds.
func (t *Table) HoldCounts() map[string]int {
	n := map[string]int{}
	for _, d := range t.duties {
		if d.Holder != "" {
			n[d.Holder]++
		}
	}
	return n
}

// ErrInvalidTable reports that a snapshot of a table can't be decoded or exceeds a bound.
var ErrInvalidTable = errors.New("duties: the table can't be read")
