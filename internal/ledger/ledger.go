// Package ledger records what happens at a site and checks four rules: what clients sent and received, which
// attempts each node started and finished, and when discovery reported which node state to each agent. It
// shares no code with the agent, so that a fault of the agent cannot hide in it.
//
// The methods may be called from any goroutine and in any order: the times that are passed count. Each request
// is checked when it is settled, some time after its end, so that memory is bounded by what happened within
// Rules.Settle and not by the length of a run. Each violation is recorded as a Breach with its evidence.
//
// The ledger cannot see an answer that a node wrote and that was lost with a broken connection, nor bytes
// between a node's kernel and the node. Where that matters it decides in favour of the agent.
package ledger

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect says whether a request may be executed more than once.
type Effect string

const (
	Safe   Effect = "safe"   // may be repeated anywhere
	Keyed  Effect = "keyed"  // carries an idempotency key, by which the nodes of a Group drop repeats
	Unsafe Effect = "unsafe" // must not be executed twice
)

// Group says which nodes drop repeats of a keyed request: all, those of one zone or those of one cell.
type Group string

const (
	All  Group = "all"  // all nodes
	Zone Group = "zone" // the nodes of one zone
	Cell Group = "cell" // the nodes of one cell
)

// Class holds the properties of a class of requests that the rules depend on.
type Class struct {
	Effect Effect
	Group  Group         // of class Keyed: which nodes drop repeats
	Window time.Duration // of class Keyed: time for which they do
}

// Rules holds the parameters that the four rules are checked against.
type Rules struct {
	Classes map[string]Class // by name of the class

	AnswerGrace  time.Duration // time after a request's deadline within which an answer still counts
	DrainGrace   time.Duration // time for which an agent may still send to a node after discovery reported to it that the node drains
	ColdShare    float64       // share of its capacity that a node has when it starts
	Ramp         time.Duration // time from a node's start until it has its full capacity
	FallMultiple float64       // a cold node fails if it is sent more than this multiple of its capacity ...
	FallWindow   time.Duration // ... within this span

	Slack  time.Duration // tolerance on each time limit, for delays on sockets; 50 ms in PROTOCOL
	Settle time.Duration // time after a request's end from which it is checked and forgotten; 0: 10 s
}

// Rule identifies one of the four rules.
type Rule string

const (
	RuleNoRequestLost    Rule = "no request lost"          // each request gets exactly one answer in time, made for it, and isn't sent to a node after that
	RuleNoRepeatedEffect Rule = "no effect twice"          // no request takes effect more often than its class allows
	RuleDrainsKept       Rule = "drains kept"              // no node gets requests from an agent that has known it to be draining or gone for longer than DrainGrace
	RuleNoColdOverload   Rule = "no cold node pushed over" // agents that know of a node's cold start don't make it fail by too much work
)

// Breach is one violation of a rule, with its evidence.
type Breach struct {
	Rule     Rule      `json:"rule"`
	At       time.Time `json:"at"`
	Request  string    `json:"request,omitempty"`
	Node     string    `json:"node,omitempty"`
	Agent    string    `json:"agent,omitempty"`
	Evidence string    `json:"evidence"`
}

func (b Breach) String() string {
	var parties []string
	for _, x := range []string{b.Agent, b.Node, b.Request} {
		if x != "" {
			parties = append(parties, x)
		}
	}
	return fmt.Sprintf("%s: %s (%s)", b.Rule, b.Evidence, strings.Join(parties, ", "))
}

// Answer is the final answer that a client received.
type Answer struct {
	Status            int    // 0: the connection ended without a whole answer
	Body              []byte // of an answer with status 200
	Partial           bool   // with Status 0: part of an answer had arrived, so that the client can tell that it was cut off
	FirstOnConnection bool   // with Status 0: first request on a connection that ended; it counts as failed if no node received it
}

// Attempt is one request as a node received it.
type Attempt struct {
	Request   string // the client's request id
	Agent     string // the agent that sent it
	Node      string
	Zone      string
	Cell      int
	FirstByte time.Time // when its first byte arrived
	LastByte  time.Time // when its last byte arrived
}

// Outcome is the outcome of an attempt at a node.
type Outcome struct {
	Rejected   bool   // rejected unprocessed: it had no effect
	TookEffect bool   // its effect took place; false for a repeat that the node dropped
	AnswerBody []byte // body of the answer that the node wrote; nil if it wrote none
}

// attempt is an attempt and, once it has ended, its outcome.
type attempt struct {
	Attempt
	Outcome
	ended bool // Outcome is valid
}

// request is what the ledger knows of one request.
type request struct {
	class       string
	agent       string
	sent        time.Time     // when the client wrote its last byte; zero: no client has been recorded yet
	timeLeft    time.Duration // time from sent until the client stops waiting
	answers     []Answer      // all final answers that the client received; a correct one has at most one
	answered    time.Time     // time of the first answer
	abandoned   bool          // the client closed before it had an answer
	abandonedAt time.Time
	attempts    []*attempt
}

// nodeStart is the latest start of a node that one agent knows of (started), and when discovery reported it to the agent (at).
type nodeStart struct{ started, at time.Time }

// stateReport is a state of a node that discovery reported to one agent, and when.
type stateReport struct {
	state string
	at    time.Time
}

// coldNode is a node whose process started cold, and the work that it received since.
type coldNode struct {
	started    time.Time // zero: long ago, so the node is warm
	rate       float64   // capacity when warm, in seconds of work per second
	recentWork []work    // work sent to the node within the last FallWindow while it was cold
	failed     bool      // failed under too much work
}

// work is one piece of work that an agent sent to a node.
type work struct {
	at    time.Time
	agent string
	work  float64 // in seconds of work
}

const (
	maxBreaches = 100  // number of breaches kept with their evidence; further ones are only counted
	maxWork     = 4096 // maximum number of recent pieces of work kept for one cold node
)

// Ledger records the events of one site. New makes one; the zero value is not usable.
type Ledger struct {
	rules Rules

	mu           sync.Mutex
	requests     map[string]*request         // requests that have not been checked yet, by id
	deadlines    []deadline                  // when each request ends at the latest, in the order in which the requests were recorded
	stateReports map[[2]string][]stateReport // reported states in order of time, by agent and node
	nodes        map[string]*coldNode        // nodes that started cold, by id
	knownStarts  map[[2]string]nodeStart     // latest start that an agent knows of, by agent and node

	verdict Verdict
}

// deadline is the time at which a request ends at the latest.
type deadline struct {
	id string
	at time.Time
}

// Verdict is the result of a run: numbers of requests, by how they ended for the client, and broken rules.
type Verdict struct {
	Requests int64          `json:"requests"`
	Served   int64          `json:"served"`
	Refused  int64          `json:"refused"`
	Failed   int64          `json:"failed"`
	Gone     int64          `json:"gone"`     // the client closed before it had an answer
	Attempts int64          `json:"attempts"` // received by nodes
	Effects  int64          `json:"effects"`  // effects that took place, with repeats
	Broken   map[Rule]int64 `json:"broken"`   // number of breaches, by rule
	Breaches []Breach       `json:"breaches"` // the first maxBreaches
}

// Held reports whether no rule was broken.
func (v *Verdict) Held() bool { return len(v.Broken) == 0 }

func (v *Verdict) String() string {
	if v.Held() {
		return fmt.Sprintf("rules held over %d requests: %d served, %d refused, %d failed, %d clients gone; %d attempts",
			v.Requests, v.Served, v.Refused, v.Failed, v.Gone, v.Attempts)
	}
	var b strings.Builder
	for _, r := range []Rule{RuleNoRequestLost, RuleNoRepeatedEffect, RuleDrainsKept, RuleNoColdOverload} {
		if n := v.Broken[r]; n > 0 {
			fmt.Fprintf(&b, "BROKEN, %d times: %s\n", n, r)
		}
	}
	for _, x := range v.Breaches[:min(len(v.Breaches), 5)] {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// New returns a ledger without requests, which checks against the given rules.
func New(rules Rules) *Ledger {
	if rules.Settle == 0 {
		rules.Settle = 10 * time.Second
	}
	return &Ledger{rules: rules, requests: map[string]*request{}, stateReports: map[[2]string][]stateReport{}, nodes: map[string]*coldNode{},
		knownStarts: map[[2]string]nodeStart{}, verdict: Verdict{Broken: map[Rule]int64{}, Breaches: []Breach{}}}
}

func (l *Ledger) addBreach(b Breach) {
	l.verdict.Broken[b.Rule]++
	if len(l.verdict.Breaches) < maxBreaches {
		l.verdict.Breaches = append(l.verdict.Breaches, b)
	}
}

// requestRecord returns the record of a request and creates it for an id that is not known yet.
func (l *Ledger) requestRecord(id string) *request {
	r := l.requests[id]
	if r == nil {
		r = &request{}
		l.requests[id] = r
	}
	return r
}

// RequestSent records that a client wrote the last byte of its request to an agent, with the time that is left for an
// answer.
func (l *Ledger) RequestSent(id, class, agent string, at time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requestRecord(id)
	if !r.sent.IsZero() { // sent again on a new connection, since the first one ended before the request was read
		r.sent = at
		return
	}
	r.class, r.agent, r.sent, r.timeLeft = class, agent, at, left
	l.deadlines = append(l.deadlines, deadline{id, at.Add(left)})
	l.checkSettled(at)
}

// AnswerReceived records an answer that a client received.
func (l *Ledger) AnswerReceived(id string, at time.Time, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requestRecord(id)
	if len(r.answers) == 0 {
		r.answered = at
	}
	r.answers = append(r.answers, a)
}

// ClientLeft records that a client closed before it had an answer.
func (l *Ledger) ClientLeft(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requestRecord(id)
	r.abandoned, r.abandonedAt = true, at
}

// AttemptStarted records that a node received an attempt. The caller must call the returned function once, with the
// attempt's outcome, when the node has finished with it.
func (l *Ledger) AttemptStarted(a Attempt) (ended func(Outcome)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdict.Attempts++
	x := &attempt{Attempt: a}
	r := l.requestRecord(a.Request)
	if len(r.attempts) == 0 && r.sent.IsZero() { // RequestSent may be called later for this request
		l.deadlines = append(l.deadlines, deadline{a.Request, a.LastByte.Add(time.Minute)})
	}
	r.attempts = append(r.attempts, x)
	l.checkDrain(x)
	return func(e Outcome) {
		l.mu.Lock()
		defer l.mu.Unlock()
		x.Outcome, x.ended = e, true
		if e.TookEffect {
			l.verdict.Effects++
		}
	}
}

// StateReported records that discovery reported a node's state ("ready", "draining", "gone") and latest start to an
// agent. A zero start means long ago.
func (l *Ledger) StateReported(agent, node, state string, started, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := [2]string{agent, node}
	if !started.IsZero() {
		if started.After(l.knownStarts[k].started) {
			l.knownStarts[k] = nodeStart{started, at}
		}
	}
	list := l.stateReports[k]
	if n := len(list); n > 0 && list[n-1].state == state {
		return
	}
	// Keep the latest 8 reports: no attempt is recorded so late that an earlier one was the latest at its first byte.
	if len(list) >= 16 {
		list = append(list[:0], list[len(list)-8:]...)
	}
	l.stateReports[k] = append(list, stateReport{state, at})
}

// checkDrain checks that an attempt did not go to a node that its agent knew to be draining or gone.
func (l *Ledger) checkDrain(x *attempt) {
	var last *stateReport
	list := l.stateReports[[2]string{x.Agent, x.Node}]
	for i := range list {
		if !list[i].at.After(x.FirstByte) {
			last = &list[i]
		}
	}
	if last == nil || last.state == "ready" {
		return
	}
	// The node may have been reported as draining first and then as gone: the grace counts from the first of these reports.
	since := last.at
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].at.After(x.FirstByte) {
			continue
		}
		if list[i].state == "ready" {
			break
		}
		since = list[i].at
	}
	if late := x.FirstByte.Sub(since); late > l.rules.DrainGrace+l.rules.Slack {
		l.addBreach(Breach{Rule: RuleDrainsKept, At: x.FirstByte, Request: x.Request, Node: x.Node, Agent: x.Agent,
			Evidence: fmt.Sprintf("sent %v after the agent was told that the node is %s; %v are allowed", late.Round(time.Millisecond), last.state, l.rules.DrainGrace)})
	}
}

// NodeStarted records that a node's process started cold. rate is the node's capacity when warm: seconds of work per second,
// on all cores together.
func (l *Ledger) NodeStarted(name string, at time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[name] = &coldNode{started: at, rate: rate}
}

// WorkSent records work that an agent sent to a node, in seconds of work, accepted or rejected. It reports whether the node,
// being cold, fails under it.
func (l *Ledger) WorkSent(name, agent string, at time.Time, amount float64) (falls bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.nodes[name]
	if n == nil || n.failed || n.started.IsZero() || at.Sub(n.started) >= l.rules.Ramp {
		return false
	}
	keep := n.recentWork[:0]
	for _, w := range n.recentWork {
		if at.Sub(w.at) < l.rules.FallWindow {
			keep = append(keep, w)
		}
	}
	n.recentWork = append(keep, work{at, agent, amount})
	if len(n.recentWork) > maxWork {
		n.recentWork = n.recentWork[len(n.recentWork)-maxWork:]
	}
	warmth := l.rules.ColdShare + (1-l.rules.ColdShare)*at.Sub(n.started).Seconds()/l.rules.Ramp.Seconds()
	limit := l.rules.FallMultiple * warmth * n.rate * l.rules.FallWindow.Seconds()
	sum, informed := 0.0, 0.0
	for _, w := range n.recentWork {
		sum += w.work
		// Lists give start times in whole milliseconds, so a known start may seem up to 2 ms early.
		if k := l.knownStarts[[2]string{w.agent, name}]; k.started.After(n.started.Add(-2*time.Millisecond)) && !k.at.After(w.at) {
			informed += w.work
		}
	}
	if sum <= limit {
		return false
	}
	n.failed = true
	if informed >= sum*2/3 {
		l.addBreach(Breach{Rule: RuleNoColdOverload, At: at, Node: name, Agent: agent,
			Evidence: fmt.Sprintf("%.2f s of work within %v, %v after its start; it falls over above %.2f s, and agents that knew sent %.2f s of it",
				sum, l.rules.FallWindow, at.Sub(n.started).Round(time.Millisecond), limit, informed)})
	}
	return true
}

// checkSettled checks and forgets the requests whose deadlines were more than Rules.Settle before now.
func (l *Ledger) checkSettled(now time.Time) {
	n := 0
	for n < len(l.deadlines) && now.Sub(l.deadlines[n].at) > l.rules.Settle {
		l.checkRequest(l.deadlines[n].id)
		n++
	}
	if n > 0 {
		l.deadlines = append(l.deadlines[:0], l.deadlines[n:]...)
	}
}

// Verdict checks all requests that are left and returns the result of the run.
func (l *Ledger) Verdict() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.checkRequest(id)
	}
	l.deadlines = nil
	v := l.verdict
	v.Breaches = slices.Clone(v.Breaches)
	v.Broken = map[Rule]int64{}
	for r, n := range l.verdict.Broken {
		v.Broken[r] = n
	}
	return v
}

// checkRequest checks one request against the rules on answers and on effects, counts it and forgets it.
func (l *Ledger) checkRequest(id string) {
	r := l.requests[id]
	if r == nil {
		return
	}
	delete(l.requests, id)
	slices.SortStableFunc(r.attempts, func(a, b *attempt) int { return a.FirstByte.Compare(b.FirstByte) })
	if r.sent.IsZero() { // no client recorded by RequestSent
		for _, a := range r.attempts {
			l.addBreach(Breach{Rule: RuleNoRequestLost, At: a.FirstByte, Request: id, Node: a.Node, Agent: a.Agent, Evidence: "came to a node though no client sent it"})
		}
		return
	}
	l.verdict.Requests++
	l.checkAnswers(id, r)
	l.checkEffects(id, r)
}

// checkAnswers checks that a request got exactly one final answer in time, made by a node that it was sent to,
// and that it was not sent to a node after that.
func (l *Ledger) checkAnswers(id string, r *request) {
	report := func(at time.Time, format string, args ...any) {
		l.addBreach(Breach{Rule: RuleNoRequestLost, At: at, Request: id, Agent: r.agent, Evidence: fmt.Sprintf(format, args...)})
	}
	if r.abandoned && (len(r.answers) == 0 || !r.answered.Before(r.abandonedAt)) {
		l.verdict.Gone++
		l.checkNoLateAttempts(id, r, r.abandonedAt)
		return
	}
	limit := r.sent.Add(r.timeLeft + l.rules.AnswerGrace + l.rules.Slack)
	if len(r.answers) == 0 {
		l.verdict.Failed++
		report(limit, "no answer within %v", r.timeLeft)
		return
	}
	a := r.answers[0]
	switch {
	case a.Status == 200:
		l.verdict.Served++
		if !slices.ContainsFunc(r.attempts, func(x *attempt) bool { return x.AnswerBody != nil && string(x.AnswerBody) == string(a.Body) }) {
			report(r.answered, "served with %.40q, which no node made for it", a.Body)
		}
	case a.Status == 429 || a.Status == 503:
		l.verdict.Refused++
	default:
		l.verdict.Failed++
		if a.Status == 0 && !a.Partial && !(a.FirstOnConnection && len(r.attempts) == 0) {
			report(r.answered, "its connection ended without a whole answer after %d attempts", len(r.attempts))
		}
	}
	if r.answered.After(limit) {
		report(r.answered, "answered %v after its time of %v was up", r.answered.Sub(r.sent.Add(r.timeLeft)).Round(time.Millisecond), r.timeLeft)
	}
	if len(r.answers) > 1 {
		report(r.answered, "%d final answers", len(r.answers))
	}
	l.checkNoLateAttempts(id, r, r.answered)
}

// checkNoLateAttempts checks that no attempt of a request reached a node after the request had ended for the client.
func (l *Ledger) checkNoLateAttempts(id string, r *request, ended time.Time) {
	for _, x := range r.attempts {
		if x.FirstByte.After(ended.Add(l.rules.Slack)) {
			l.addBreach(Breach{Rule: RuleNoRequestLost, At: x.FirstByte, Request: id, Node: x.Node, Agent: x.Agent,
				Evidence: fmt.Sprintf("sent to a node %v after its end", x.FirstByte.Sub(ended).Round(time.Millisecond))})
		}
	}
}

// checkEffects checks that no request took effect, or may have taken effect, more often than its class allows.
func (l *Ledger) checkEffects(id string, r *request) {
	c, found := l.rules.Classes[r.class]
	if !found || c.Effect == Safe {
		return
	}
	var first *attempt // the first attempt that may have taken effect
	ran := 0
	for i, x := range r.attempts {
		report := func(format string, args ...any) {
			l.addBreach(Breach{Rule: RuleNoRepeatedEffect, At: x.FirstByte, Request: id, Node: x.Node, Agent: x.Agent,
				Evidence: fmt.Sprintf("attempt %d: ", i+1) + fmt.Sprintf(format, args...)})
		}
		if x.TookEffect {
			ran++
		}
		if first != nil {
			switch {
			case c.Effect == Unsafe:
				report("sent though the one to %s may have run, and the class is unsafe", first.Node)
			case c.Group == Zone && x.Zone != first.Zone:
				report("sent to zone %s though the one to %s in zone %s may have run", x.Zone, first.Node, first.Zone)
			case c.Group == Cell && x.Cell != first.Cell:
				report("sent to cell %d though the one to %s in cell %d may have run", x.Cell, first.Node, first.Cell)
			case x.FirstByte.Sub(first.FirstByte) > c.Window+l.rules.Slack:
				report("sent %v after the first that may have run; repeats are dropped for %v", x.FirstByte.Sub(first.FirstByte).Round(time.Millisecond), c.Window)
			}
		}
		if first == nil && !(x.ended && x.Rejected) {
			first = x
		}
	}
	if ran > 1 {
		l.addBreach(Breach{Rule: RuleNoRepeatedEffect, At: r.answered, Request: id, Agent: r.agent, Evidence: fmt.Sprintf("its effect took place %d times", ran)})
	}
	refused := len(r.answers) > 0 && (r.answers[0].Status == 429 || r.answers[0].Status == 503)
	if refused && first != nil && !(c.Effect == Keyed && c.Group == All) && !r.answered.Before(first.LastByte) {
		l.addBreach(Breach{Rule: RuleNoRepeatedEffect, At: r.answered, Request: id, Node: first.Node, Agent: r.agent,
			Evidence: fmt.Sprintf("refused with %d though the attempt at %s may have run", r.answers[0].Status, first.Node)})
	}
}
