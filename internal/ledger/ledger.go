// Package ledger is an observer of a site: it is told what clients sent and got, what each node
// began and finished, and what discovery told each agent when, and says whether the four rules held.
// It shares no code with the agent, so that a fault of the agent's can't hide in it.
//
// All calls may come from any goroutine, in any order; the times they carry count. Each request is
// judged when it is settled: some time after its end, so that memory is bounded by what happened
// within Rules.Settle and not by the length of a run. What is found is a Breach with its evidence.
//
// What it can't see: an answer that a node wrote and a broken connection swallowed; bytes between
// a node's kernel and the node. Where that matters it decides for the agent.
package ledger

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect is what repeating a request does.
type Effect string

const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Group says which nodes drop repeats of a keyed request.
type Group string

const (
	All  Group = "all"
	Zone Group = "zone"
	Cell Group = "cell"
)

// Class is what the rules depend on.
type Class struct {
	Effect Effect
	Group  Group
	Window time.Duration
}

// Rules are the site's figures.
type Rules struct {
	Classes map[string]Class

	AnswerGrace  time.Duration // after its time is up an answer still counts
	DrainGrace   time.Duration // after it was told an agent may still send to a draining node
	ColdShare    float64       // of its capacity that a node has when it starts
	Ramp         time.Duration // in which it warms up
	FallMultiple float64       // a cold node sent more than this multiple of what it can do ...
	FallWindow   time.Duration // ... over this span falls over

	Slack  time.Duration // by which each time limit is longer on sockets; PROTOCOL: 50 ms
	Settle time.Duration // after the end of a request nothing more is expected of it; 0: 10 s
}

// Rule is one of the four.
type Rule string

const (
	Lost   Rule = "no request lost"
	Twice  Rule = "no effect twice"
	Drains Rule = "drains kept"
	Cold   Rule = "no cold node pushed over"
)

// Breach is a rule that was broken, with its evidence.
type Breach struct {
	Rule     Rule      `json:"rule"`
	At       time.Time `json:"at"`
	Request  string    `json:"request,omitempty"`
	Node     string    `json:"node,omitempty"`
	Agent    string    `json:"agent,omitempty"`
	Evidence string    `json:"evidence"`
}

func (b Breach) String() string {
	var who []string
	for _, x := range []string{b.Agent, b.Node, b.Request} {
		if x != "" {
			who = append(who, x)
		}
	}
	return fmt.Sprintf("%s: %s (%s)", b.Rule, b.Evidence, strings.Join(who, ", "))
}

// Answer is what a client got at last.
type Answer struct {
	Status int    // 0: the connection ended without a whole answer
	Body   []byte // of a 200
	Begun  bool   // with Status 0: part of an answer had come, so the client can tell
	Unsent bool   // with Status 0: it was the first on a connection that ended, and is failed if no node saw it
}

// Attempt is one request as it came to a node.
type Attempt struct {
	Request string // id; as the client's
	Agent   string // who sent it
	Node    string
	Zone    string
	Cell    int
	First   time.Time // its first byte came
	Last    time.Time // its last one
}

// Ending is what a node did with an attempt.
type Ending struct {
	Turned bool   // away, unseen: it never ran
	Ran    bool   // its effect took place; false for a repeat that was dropped
	Answer []byte // the body of the answer that was written, if one was
}

type attempt struct {
	Attempt
	Ending
	ended bool
}

type request struct {
	class    string
	agent    string
	sent     time.Time
	left     time.Duration
	answers  []Answer
	answered time.Time // the first
	gone     bool      // the client went away
	goneAt   time.Time
	attempts []*attempt
}

// known is a node's latest start that an agent was told of, and when it was.
type known struct{ started, at time.Time }

// told is what an agent knows of a node's state.
type told struct {
	state string
	at    time.Time
}

type node struct {
	started time.Time // 0: long ago
	rate    float64   // work that it does in a second when warm
	work    []work    // sent to it lately, while it was cold
	fell    bool
}

type work struct {
	at    time.Time
	agent string
	work  float64
}

const (
	maxBreaches = 100  // kept in full
	maxWork     = 4096 // pieces of work to one cold node within the window
)

// Ledger is one site's. The zero value is not of use; see New.
type Ledger struct {
	rules Rules

	mu       sync.Mutex
	requests map[string]*request
	ends     []end // when requests may be settled, in order of their ends
	told     map[[2]string][]told
	nodes    map[string]*node
	knows    map[[2]string]known // by agent and node

	verdict Verdict
}

type end struct {
	id string
	at time.Time
}

// Verdict is what a run came to.
type Verdict struct {
	Requests int64          `json:"requests"`
	Served   int64          `json:"served"`
	Refused  int64          `json:"refused"`
	Failed   int64          `json:"failed"`
	Gone     int64          `json:"gone"`     // the client went away first
	Attempts int64          `json:"attempts"` // that came to nodes
	Effects  int64          `json:"effects"`  // that took place
	Broken   map[Rule]int64 `json:"broken"`
	Breaches []Breach       `json:"breaches"` // the first ones
}

// Held reports whether no rule was broken.
func (v *Verdict) Held() bool { return len(v.Broken) == 0 }

func (v *Verdict) String() string {
	if v.Held() {
		return fmt.Sprintf("rules held over %d requests: %d served, %d refused, %d failed, %d clients gone; %d attempts",
			v.Requests, v.Served, v.Refused, v.Failed, v.Gone, v.Attempts)
	}
	var b strings.Builder
	for _, r := range []Rule{Lost, Twice, Drains, Cold} {
		if n := v.Broken[r]; n > 0 {
			fmt.Fprintf(&b, "BROKEN, %d times: %s\n", n, r)
		}
	}
	for _, x := range v.Breaches[:min(len(v.Breaches), 5)] {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// New returns an empty ledger.
func New(rules Rules) *Ledger {
	if rules.Settle == 0 {
		rules.Settle = 10 * time.Second
	}
	return &Ledger{rules: rules, requests: map[string]*request{}, told: map[[2]string][]told{}, nodes: map[string]*node{},
		knows: map[[2]string]known{}, verdict: Verdict{Broken: map[Rule]int64{}, Breaches: []Breach{}}}
}

func (l *Ledger) breach(b Breach) {
	l.verdict.Broken[b.Rule]++
	if len(l.verdict.Breaches) < maxBreaches {
		l.verdict.Breaches = append(l.verdict.Breaches, b)
	}
}

// get returns a request's record, new if it is heard of for the first time.
func (l *Ledger) get(id string) *request {
	r := l.requests[id]
	if r == nil {
		r = &request{}
		l.requests[id] = r
	}
	return r
}

// Sent notes that the last byte of a client's request was written, to an agent.
func (l *Ledger) Sent(id, class, agent string, at time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(id)
	if !r.sent.IsZero() { // the same one again, after its connection ended with it unread
		r.sent = at
		return
	}
	r.class, r.agent, r.sent, r.left = class, agent, at, left
	l.ends = append(l.ends, end{id, at.Add(left)})
	l.settle(at)
}

// Got notes what a client got.
func (l *Ledger) Got(id string, at time.Time, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(id)
	if len(r.answers) == 0 {
		r.answered = at
	}
	r.answers = append(r.answers, a)
}

// Gone notes that a client went away before it had an answer.
func (l *Ledger) Gone(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(id)
	r.gone, r.goneAt = true, at
}

// Began notes that an attempt came to a node. The returned function is to be called once, with what
// became of it.
func (l *Ledger) Began(a Attempt) (ended func(Ending)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdict.Attempts++
	x := &attempt{Attempt: a}
	r := l.get(a.Request)
	if len(r.attempts) == 0 && r.sent.IsZero() { // the client's word may still come
		l.ends = append(l.ends, end{a.Request, a.Last.Add(time.Minute)})
	}
	r.attempts = append(r.attempts, x)
	l.drained(x)
	return func(e Ending) {
		l.mu.Lock()
		defer l.mu.Unlock()
		x.Ending, x.ended = e, true
		if e.Ran {
			l.verdict.Effects++
		}
	}
}

// Told notes that discovery told an agent of a node's state ("ready", "draining", "gone") and of its
// latest start; zero: long ago.
func (l *Ledger) Told(agent, node, state string, started, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := [2]string{agent, node}
	if !started.IsZero() {
		if started.After(l.knows[k].started) {
			l.knows[k] = known{started, at}
		}
	}
	list := l.told[k]
	if n := len(list); n > 0 && list[n-1].state == state {
		return
	}
	// What is older than any attempt still to come decides nothing.
	if len(list) >= 16 {
		list = append(list[:0], list[len(list)-8:]...)
	}
	l.told[k] = append(list, told{state, at})
}

// drained checks an attempt against what its agent had been told.
func (l *Ledger) drained(x *attempt) {
	var last *told
	list := l.told[[2]string{x.Agent, x.Node}]
	for i := range list {
		if !list[i].at.After(x.First) {
			last = &list[i]
		}
	}
	if last == nil || last.state == "ready" {
		return
	}
	// It may have been told "draining" and then "gone": the first of these counts.
	since := last.at
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].at.After(x.First) {
			continue
		}
		if list[i].state == "ready" {
			break
		}
		since = list[i].at
	}
	if late := x.First.Sub(since); late > l.rules.DrainGrace+l.rules.Slack {
		l.breach(Breach{Rule: Drains, At: x.First, Request: x.Request, Node: x.Node, Agent: x.Agent,
			Evidence: fmt.Sprintf("sent %v after the agent was told that the node is %s; %v are allowed", late.Round(time.Millisecond), last.state, l.rules.DrainGrace)})
	}
}

// Started notes that a node's process started cold, and the work (in seconds of its own time, all
// cores together) that it does in a second when warm.
func (l *Ledger) Started(name string, at time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[name] = &node{started: at, rate: rate}
}

// Work notes work that was sent to a node, whether it was taken or turned away. It reports whether
// a cold node falls over by it.
func (l *Ledger) Work(name, agent string, at time.Time, amount float64) (falls bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.nodes[name]
	if n == nil || n.fell || n.started.IsZero() || at.Sub(n.started) >= l.rules.Ramp {
		return false
	}
	keep := n.work[:0]
	for _, w := range n.work {
		if at.Sub(w.at) < l.rules.FallWindow {
			keep = append(keep, w)
		}
	}
	n.work = append(keep, work{at, agent, amount})
	if len(n.work) > maxWork {
		n.work = n.work[len(n.work)-maxWork:]
	}
	warmth := l.rules.ColdShare + (1-l.rules.ColdShare)*at.Sub(n.started).Seconds()/l.rules.Ramp.Seconds()
	limit := l.rules.FallMultiple * warmth * n.rate * l.rules.FallWindow.Seconds()
	sum, knowing := 0.0, 0.0
	for _, w := range n.work {
		sum += w.work
		// Lists tell starts in whole milliseconds.
		if k := l.knows[[2]string{w.agent, name}]; k.started.After(n.started.Add(-2*time.Millisecond)) && !k.at.After(w.at) {
			knowing += w.work
		}
	}
	if sum <= limit {
		return false
	}
	n.fell = true
	if knowing >= sum*2/3 {
		l.breach(Breach{Rule: Cold, At: at, Node: name, Agent: agent,
			Evidence: fmt.Sprintf("%.2f s of work within %v, %v after its start; it falls over above %.2f s, and agents that knew sent %.2f s of it",
				sum, l.rules.FallWindow, at.Sub(n.started).Round(time.Millisecond), limit, knowing)})
	}
	return true
}

// settle judges the requests that ended long enough before now.
func (l *Ledger) settle(now time.Time) {
	n := 0
	for n < len(l.ends) && now.Sub(l.ends[n].at) > l.rules.Settle {
		l.judge(l.ends[n].id)
		n++
	}
	if n > 0 {
		l.ends = append(l.ends[:0], l.ends[n:]...)
	}
}

// Verdict judges all that is left and returns what the run came to.
func (l *Ledger) Verdict() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.judge(id)
	}
	l.ends = nil
	v := l.verdict
	v.Breaches = slices.Clone(v.Breaches)
	v.Broken = map[Rule]int64{}
	for r, n := range l.verdict.Broken {
		v.Broken[r] = n
	}
	return v
}

// judge checks one request against the first two rules, and forgets it.
func (l *Ledger) judge(id string) {
	r := l.requests[id]
	if r == nil {
		return
	}
	delete(l.requests, id)
	slices.SortStableFunc(r.attempts, func(a, b *attempt) int { return a.First.Compare(b.First) })
	if r.sent.IsZero() { // no client of ours sent it
		for _, a := range r.attempts {
			l.breach(Breach{Rule: Lost, At: a.First, Request: id, Node: a.Node, Agent: a.Agent, Evidence: "came to a node though no client sent it"})
		}
		return
	}
	l.verdict.Requests++
	l.lost(id, r)
	l.twice(id, r)
}

// lost checks that a request got exactly one final answer in time, made for it, and that nothing
// was sent for it afterwards.
func (l *Ledger) lost(id string, r *request) {
	say := func(at time.Time, format string, args ...any) {
		l.breach(Breach{Rule: Lost, At: at, Request: id, Agent: r.agent, Evidence: fmt.Sprintf(format, args...)})
	}
	if r.gone && (len(r.answers) == 0 || !r.answered.Before(r.goneAt)) {
		l.verdict.Gone++
		l.after(id, r, r.goneAt)
		return
	}
	limit := r.sent.Add(r.left + l.rules.AnswerGrace + l.rules.Slack)
	if len(r.answers) == 0 {
		l.verdict.Failed++
		say(limit, "no answer within %v", r.left)
		return
	}
	a := r.answers[0]
	switch {
	case a.Status == 200:
		l.verdict.Served++
		if !slices.ContainsFunc(r.attempts, func(x *attempt) bool { return x.Answer != nil && string(x.Answer) == string(a.Body) }) {
			say(r.answered, "served with %.40q, which no node made for it", a.Body)
		}
	case a.Status == 429 || a.Status == 503:
		l.verdict.Refused++
	default:
		l.verdict.Failed++
		if a.Status == 0 && !a.Begun && !(a.Unsent && len(r.attempts) == 0) {
			say(r.answered, "its connection ended without a whole answer after %d attempts", len(r.attempts))
		}
	}
	if r.answered.After(limit) {
		say(r.answered, "answered %v after its time of %v was up", r.answered.Sub(r.sent.Add(r.left)).Round(time.Millisecond), r.left)
	}
	if len(r.answers) > 1 {
		say(r.answered, "%d final answers", len(r.answers))
	}
	l.after(id, r, r.answered)
}

// after checks that no attempt was begun once a request had ended.
func (l *Ledger) after(id string, r *request, ended time.Time) {
	for _, x := range r.attempts {
		if x.First.After(ended.Add(l.rules.Slack)) {
			l.breach(Breach{Rule: Lost, At: x.First, Request: id, Node: x.Node, Agent: x.Agent,
				Evidence: fmt.Sprintf("sent to a node %v after its end", x.First.Sub(ended).Round(time.Millisecond))})
		}
	}
}

// twice checks that nothing ran, or may have run, more often than its class allows.
func (l *Ledger) twice(id string, r *request) {
	c, known := l.rules.Classes[r.class]
	if !known || c.Effect == Safe {
		return
	}
	var first *attempt // that may have run
	ran := 0
	for i, x := range r.attempts {
		say := func(format string, args ...any) {
			l.breach(Breach{Rule: Twice, At: x.First, Request: id, Node: x.Node, Agent: x.Agent,
				Evidence: fmt.Sprintf("attempt %d: ", i+1) + fmt.Sprintf(format, args...)})
		}
		if x.Ran {
			ran++
		}
		if first != nil {
			switch {
			case c.Effect == Unsafe:
				say("sent though the one to %s may have run, and the class is unsafe", first.Node)
			case c.Group == Zone && x.Zone != first.Zone:
				say("sent to zone %s though the one to %s in zone %s may have run", x.Zone, first.Node, first.Zone)
			case c.Group == Cell && x.Cell != first.Cell:
				say("sent to cell %d though the one to %s in cell %d may have run", x.Cell, first.Node, first.Cell)
			case x.First.Sub(first.First) > c.Window+l.rules.Slack:
				say("sent %v after the first that may have run; repeats are dropped for %v", x.First.Sub(first.First).Round(time.Millisecond), c.Window)
			}
		}
		if first == nil && !(x.ended && x.Turned) {
			first = x
		}
	}
	if ran > 1 {
		l.breach(Breach{Rule: Twice, At: r.answered, Request: id, Agent: r.agent, Evidence: fmt.Sprintf("its effect took place %d times", ran)})
	}
	refused := len(r.answers) > 0 && (r.answers[0].Status == 429 || r.answers[0].Status == 503)
	if refused && first != nil && !(c.Effect == Keyed && c.Group == All) && !r.answered.Before(first.Last) {
		l.breach(Breach{Rule: Twice, At: r.answered, Request: id, Node: first.Node, Agent: r.agent,
			Evidence: fmt.Sprintf("refused with %d though the attempt at %s may have run", r.answers[0].Status, first.Node)})
	}
}
