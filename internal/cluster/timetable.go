package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lemonrail/internal/strict"
)

// Timetable schedules faults of links and processes.
type Timetable struct {
	Name    string  `toml:"name"`
	Seed    uint64  `toml:"seed"`
	Seconds float64 `toml:"seconds"` // duration; all faults of links end with it
	Agents  int     `toml:"agents"`  // number of agents; n0 is the first
	Zones   int     `toml:"zones"`   // number of zones, to which agents are assigned in turn
	Events  []Event `toml:"event"`
}

// Event is one fault of links or processes. Agents are named n0, n1 and so on, zone:a, all, or any:N for N agents that the seed
// picks.
type Event struct {
	AtS  float64  `toml:"at_s"`
	ForS float64  `toml:"for_s"` // 0: to the end of the timetable
	What string   `toml:"what"`  // key of EventKinds
	From []string `toml:"from"`  // faults of links: senders
	To   []string `toml:"to"`    // faults of links: receivers
	Both bool     `toml:"both"`  // faults of links: also in the other direction
	Who  []string `toml:"who"`   // faults of processes: agents
	Size float64  `toml:"size"`  // meaning depends on What; see EventKinds
}

// EventKinds describes the faults and the meaning of their size.
var EventKinds = map[string]string{
	"cut":    "links drop everything",
	"loss":   "links lose this share",
	"double": "links carry this share twice",
	"delay":  "links take up to this many ms, so that the order changes",
	"stall":  "links hold datagrams, and deliver them at the end",
	"stop":   "processes are stopped (SIGSTOP), and continued at the end",
	"kill":   "processes are killed, and started again at the end if there is one",
	"wipe":   "as kill, with an empty folder at the restart",
	"vanish": "as kill, and their machines neither answer nor refuse meanwhile",
	"term":   "processes are asked to stop (SIGTERM), and started again at the end if there is one",
	"slow":   "processes get this share of a core",
}

// linkFaults maps the kinds of events that are faults of links to functions that begin (on) or end the fault.
var linkFaults = map[string]func(f *Fault, on bool, size float64){
	"cut":    func(f *Fault, on bool, _ float64) { f.Cut = on },
	"loss":   func(f *Fault, on bool, size float64) { f.Loss = sizeIf(on, size) },
	"double": func(f *Fault, on bool, size float64) { f.Double = sizeIf(on, size) },
	"delay": func(f *Fault, on bool, size float64) {
		f.Delay = [2]time.Duration{0, time.Duration(sizeIf(on, size) * float64(time.Millisecond))}
	},
	"stall": func(f *Fault, on bool, _ float64) { f.Stall = on },
}

// sizeIf returns size if on is set, 0 otherwise.
func sizeIf(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

// ReadTimetable reads and checks a timetable file.
func ReadTimetable(path string) (*Timetable, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("timetable: %w", err)
	}
	return ParseTimetable(path, raw)
}

// ParseTimetable decodes and checks a timetable; file is its name in errors.
func ParseTimetable(file string, raw []byte) (*Timetable, error) {
	t := &Timetable{}
	if err := strict.Decode(file, raw, t); err != nil {
		return nil, err
	}
	if t.Agents < 1 || t.Agents > MaxAgents {
		return nil, fmt.Errorf("%s: line %d: agents: %d are not within 1 and %d", file, strict.KeyLine(raw, "agents"), t.Agents, MaxAgents)
	}
	if t.Zones = max(1, t.Zones); t.Zones > 26 {
		return nil, fmt.Errorf("%s: line %d: zones: %d are over 26", file, strict.KeyLine(raw, "zones"), t.Zones)
	}
	if !(t.Seconds > 0 && t.Seconds <= 3600) {
		return nil, fmt.Errorf("%s: seconds: %v is not within 0 and 3600", file, t.Seconds)
	}
	for i, e := range t.Events {
		bad := func(key string, v any) error {
			return fmt.Errorf("%s: line %d: event.%s: invalid value: %v", file, strict.TableLine(raw, "event", i), key, v)
		}
		_, links := linkFaults[e.What]
		switch {
		case EventKinds[e.What] == "":
			return nil, bad("what", e.What)
		case !(e.AtS >= 0 && e.AtS <= t.Seconds):
			return nil, bad("at_s", e.AtS)
		case !(e.ForS >= 0):
			return nil, bad("for_s", e.ForS)
		case !(e.Size >= 0) || (e.What == "loss" || e.What == "double" || e.What == "slow") && e.Size > 1:
			return nil, bad("size", e.Size)
		case links && (len(e.From) == 0 || len(e.To) == 0 || len(e.Who) > 0):
			return nil, bad("from, to", "a fault of links without either, or with who")
		case !links && (len(e.Who) == 0 || len(e.From)+len(e.To) > 0):
			return nil, bad("who", "a fault of processes without it, or with from and to")
		}
		for _, names := range [][]string{e.From, e.To, e.Who} {
			if _, err := t.agentsNamed(names, rand.New(rand.NewPCG(0, 0))); err != nil {
				return nil, bad("from, to, who", err)
			}
		}
	}
	return t, nil
}

// agentsNamed returns the indexes of the agents that names stand for, sorted. rng picks those of any:N.
func (t *Timetable) agentsNamed(names []string, rng *rand.Rand) (who []int, err error) {
	for _, name := range names {
		var n int
		kind, rest, _ := strings.Cut(name, ":")
		switch {
		case name == "all":
			for i := range t.Agents {
				who = append(who, i)
			}
		case kind == "zone" && len(rest) == 1 && rest[0] >= 'a' && int(rest[0]-'a') < t.Zones:
			for i := int(rest[0] - 'a'); i < t.Agents; i += t.Zones {
				who = append(who, i)
			}
		case kind == "any":
			if _, err := fmt.Sscanf(rest, "%d", &n); err != nil || n < 1 || n > t.Agents {
				return nil, fmt.Errorf("%q: 1 to %d agents", name, t.Agents)
			}
			who = append(who, rng.Perm(t.Agents)[:n]...)
		default:
			if _, err := fmt.Sscanf(name, "n%d", &n); err != nil || n < 0 || n >= t.Agents || name != fmt.Sprintf("n%d", n) {
				return nil, fmt.Errorf("%q is not one of n0 to n%d, zone:a, all, any:N", name, t.Agents-1)
			}
			who = append(who, n)
		}
	}
	slices.Sort(who)
	return slices.Compact(who), nil
}

// step is the beginning or the end of an event.
type step struct {
	at     time.Duration // since the start of the timetable
	event  *Event
	begins bool     // whether the event begins
	agents [3][]int // indexes of the agents in From, To and Who of the event
}

// steps returns the timetable's steps in the order of their times. The agents that the seed picks are the same
// at each call.
func (t *Timetable) steps() (all []step) {
	rng := rand.New(rand.NewPCG(t.Seed, 11))
	for i := range t.Events {
		e := &t.Events[i]
		s := step{at: time.Duration(e.AtS * float64(time.Second)), event: e, begins: true}
		for k, names := range [][]string{e.From, e.To, e.Who} {
			s.agents[k], _ = t.agentsNamed(names, rng) // checked by ParseTimetable
		}
		all = append(all, s)
		_, links := linkFaults[e.What]
		end := e.AtS + e.ForS
		if e.ForS == 0 {
			if !links && e.What != "stop" && e.What != "slow" {
				continue // killed processes are not started again
			}
			end = t.Seconds
		}
		s.at, s.begins = time.Duration(min(end, t.Seconds)*float64(time.Second)), false
		all = append(all, s)
	}
	slices.SortStableFunc(all, func(a, b step) int { return int(a.at - b.at) })
	return all
}

// TimetableEvent is a step that was carried out: the beginning or end of an event.
type TimetableEvent struct {
	At   time.Duration // since the start of Play
	Text string        // what began or ended, for people
}

// Play carries out a timetable and returns when its duration has passed. did, if not nil, is called before each step.
func (c *Cluster) Play(ctx context.Context, t *Timetable, did func(TimetableEvent)) error {
	begun := time.Now()
	var errs []error
	for _, s := range t.steps() {
		if err := sleep(ctx, time.Until(begun.Add(s.at))); err != nil {
			return errors.Join(append(errs, err)...)
		}
		if did != nil {
			did(TimetableEvent{time.Since(begun), s.String()})
		}
		if err := c.applyStep(&s); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.String(), err))
		}
	}
	return errors.Join(append(errs, sleep(ctx, time.Until(begun.Add(time.Duration(t.Seconds*float64(time.Second))))))...)
}

// sleep waits for d, or returns the error of ctx if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// String returns the step for people, such as "loss ends (0.2): n1 to n2".
func (s *step) String() string {
	names := func(who []int) string {
		var n []string
		for _, i := range who {
			n = append(n, fmt.Sprintf("n%d", i))
		}
		return strings.Join(n, " ")
	}
	what := s.event.What
	if !s.begins {
		what += " ends"
	}
	if s.event.Size > 0 {
		what += fmt.Sprintf(" (%g)", s.event.Size)
	}
	if len(s.agents[2]) > 0 {
		return what + ": " + names(s.agents[2])
	}
	arrow := " to "
	if s.event.Both {
		arrow = " and "
	}
	return what + ": " + names(s.agents[0]) + arrow + names(s.agents[1])
}

// applyStep begins or ends the step's event at its links or processes.
func (c *Cluster) applyStep(s *step) error {
	e := s.event
	if set := linkFaults[e.What]; set != nil {
		change := func(f *Fault) { set(f, s.begins, e.Size) }
		c.Link(s.agents[0], s.agents[1], change)
		if e.Both {
			c.Link(s.agents[1], s.agents[0], change)
		}
		return nil
	}
	errs := make([]error, len(s.agents[2]))
	var all sync.WaitGroup // ends of processes are waited for concurrently
	for k, i := range s.agents[2] {
		all.Go(func() { errs[k] = c.Agents[i].applyFault(e, s.begins) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// applyFault begins or ends a fault of one process.
func (a *Agent) applyFault(e *Event, on bool) error {
	others := make([]int, 0, len(a.cluster.Agents))
	for i := range a.cluster.Agents {
		others = append(others, i)
	}
	switch {
	case e.What == "stop" && on:
		return a.Signal(syscall.SIGSTOP)
	case e.What == "stop":
		return a.Signal(syscall.SIGCONT)
	case e.What == "slow" && on:
		a.LimitCPU(e.Size)
	case e.What == "slow":
		a.LimitCPU(1)
	case e.What == "term" && on:
		return a.Term()
	case e.What == "vanish" && on: // links first, so that no peer learns of the exit from a refused datagram
		a.cluster.Link(others, []int{a.index}, func(f *Fault) { f.Cut = true })
		a.cluster.Link([]int{a.index}, others, func(f *Fault) { f.Cut = true })
		err := a.Kill()
		return errors.Join(err, a.cluster.setRefusing(a.index, false))
	case on:
		return a.Kill()
	case e.What == "vanish":
		a.cluster.Link(others, []int{a.index}, func(f *Fault) { f.Cut = false })
		a.cluster.Link([]int{a.index}, others, func(f *Fault) { f.Cut = false })
		return a.Start()
	case e.What == "wipe":
		return errors.Join(a.Wipe(), a.Start())
	default:
		return a.Start()
	}
	return nil
}

// RandomTimetable returns a timetable drawn from a seed, with a few faults of links and processes, which may overlap.
func RandomTimetable(seed uint64, agents, zones int, seconds float64) *Timetable {
	rng := rand.New(rand.NewPCG(seed, 12))
	t := &Timetable{Name: fmt.Sprintf("seed %d", seed), Seed: seed, Seconds: seconds, Agents: agents, Zones: zones}
	some := func() []string {
		if zones > 1 && rng.IntN(3) == 0 {
			return []string{fmt.Sprintf("zone:%c", 'a'+rng.IntN(zones))}
		}
		return []string{fmt.Sprintf("any:%d", 1+rng.IntN(max(1, agents/3)))}
	}
	whats := []string{"cut", "loss", "double", "delay", "stall", "stop", "kill", "wipe", "vanish", "term", "slow"}
	for range 3 + rng.IntN(4) {
		e := Event{What: whats[rng.IntN(len(whats))], AtS: rng.Float64() * seconds * 0.6}
		e.ForS = 1 + rng.Float64()*max(0, seconds*0.9-e.AtS-1)
		if _, links := linkFaults[e.What]; links {
			e.From, e.To, e.Both = some(), []string{"all"}, rng.IntN(2) == 0
		} else {
			e.Who = some()
		}
		switch e.What {
		case "loss", "double":
			e.Size = 0.1 + 0.4*rng.Float64()
		case "delay":
			e.Size = 100 + 1900*rng.Float64()
		case "slow":
			e.Size = 0.05 + 0.2*rng.Float64()
		}
		t.Events = append(t.Events, e)
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return int(1000 * (a.AtS - b.AtS)) })
	return t
}
