package balance

import "time"

// Reason says why a request was ended without an answer, as the module saw it.
type Reason uint8

const (
	NoReason     Reason = iota
	RepeatNoRoom        // a client's repeat found no room and is not held
	TooLate             // held for room until an answer in time was out of reach
	NoBackend           // there was room, but no backend that may take it, until then
	NoTokens            // the retry bucket can't pay for another attempt
	NoTime              // the wait before the next attempt would outlast the time left
	NoAttempt           // no further attempt is allowed, by number, group or window
	NeverSent           // the agent could not send it
	SiteLost            // a site is lost, and its class can't be borne without room
)

var reasonNames = [...]string{"", "repeat-no-room", "too-late", "no-backend", "no-tokens", "no-time", "no-attempt", "never-sent", "site-lost"}

// String returns the reason's name as notes carry it.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// NoteKind says what a Note is about.
type NoteKind uint8

const (
	NoteState   NoteKind = iota // how things stand, once in a while
	NoteRefused                 // a request was refused
	NoteFailed                  // a request was failed
	NoteCut                     // the limit on attempts in flight was cut
)

var noteNames = [...]string{"state", "refused", "failed", "cut"}

// String returns the kind's name as notes carry it.
func (k NoteKind) String() string {
	if int(k) < len(noteNames) {
		return noteNames[k]
	}
	return "unknown"
}

// Note tells what the module decided and what it went by. It is told while Explain is on.
type Note struct {
	At   time.Duration // the step's time
	Kind NoteKind

	// Of the request that was refused or failed.
	Request  string
	Class    int
	Why      Reason
	Waited   time.Duration // since it came
	Left     time.Duration // until its client stops waiting
	Aim      time.Duration // until an answer earns less; negative: past
	Repeat   bool          // it counts as a client's repeat
	Attempts int           // made for it

	// The limit on attempts in flight and what it rests on.
	PerBackend float64       // attempts that all agents may have out, for each backend in use
	Part       float64       // this agent's part of the limit
	Fraction   float64       // its share of what all agents may have out
	InFlight   int           // attempts out
	Stuck      int           // of these, on backends that are not in use, or overdue
	Overdue    int           // of the stuck ones, those on backends in use
	Held       int           // requests that wait for room
	Up, Used   int           // backends that the list says are up; of these, neither ejected nor down
	Idle       int           // of those used, the ones with nothing of this agent's
	Capacity   float64       // those used, each by its warmth
	Delay      float64       // running mean of latency over aim
	Base       float64       // its low
	Aimed      float64       // what the mean is kept to
	Usual      time.Duration // mean latency over the classes
	Spare      time.Duration // attempt time saved up below the limit
	Errors     float64       // running share of errors
	Tokens     float64       // of the retry bucket
	Free       int           // backends that could take an attempt now, by strikes and their own bound

	Backends []BackendNote // with NoteState
}

// BackendNote is what the module thinks of one backend that the list says is up.
type BackendNote struct {
	ID      string
	Out     int           // this agent's attempts there
	Down    bool          // looks gone
	Ejected time.Duration // for so long yet; 0: not
	Strikes float64
	Warmth  float64 // share of its full capacity that it surely has
	Slow    float64 // latency over the mean of all; 0: no answer yet
}

// noteEvery is the time between two notes on how things stand.
const noteEvery = 100 * time.Millisecond

// Explain has the module tell why it refuses, fails and cuts, from now on; nil ends that. It
// changes no decision. tell is called within Step and must not call the Balancer.
func (b *Balancer) Explain(tell func(Note)) { b.notes, b.noted = tell, 0 }

// note tells how things stand, with what the kind adds.
func (b *Balancer) note(n Note) {
	n.At, n.PerBackend, n.Part, n.InFlight, n.Stuck, n.Held = b.now, b.perBack, b.part(), b.inFlight, b.stuck, len(b.held)
	n.Fraction = b.fraction
	n.Up, n.Capacity, n.Delay, n.Base, n.Aimed = b.up, b.capacity, b.delay, b.base, b.aimed()
	n.Usual, n.Spare, n.Errors, n.Tokens = time.Duration(b.usual()), time.Duration(b.spare), b.usualErrors(nil), b.tokens
	n.Overdue = b.stuck
	for _, t := range b.backends {
		if n.Kind == NoteState && t.State == Up {
			n.Backends = append(n.Backends, BackendNote{ID: t.ID, Out: len(t.out), Down: t.down, Ejected: max(0, t.ejected-b.now),
				Strikes: t.strikes, Warmth: b.warmth(t), Slow: t.slow})
		}
		if t.State == Up && !t.down && b.now >= t.ejected {
			n.Used++
			if len(t.out) == 0 {
				n.Idle++
			}
			if !(t.strikes > 0 && len(t.out) > 0) && float64(len(t.out)) < b.backMost() {
				n.Free++
			}
		} else {
			n.Overdue -= len(t.out)
		}
	}
	b.notes(n)
}

// noteState tells how things stand now and then.
func (b *Balancer) noteState() {
	if b.notes != nil && b.now-b.noted >= noteEvery {
		b.noted = b.now
		b.note(Note{Kind: NoteState})
	}
}

// noteEnd tells of a request's end without an answer.
func (b *Balancer) noteEnd(r *request, kind NoteKind, why Reason) {
	if b.notes != nil {
		b.note(Note{Kind: kind, Request: r.id, Class: r.class, Why: why, Waited: b.now - r.came, Left: r.deadline - b.now,
			Aim: r.aim - b.now, Repeat: r.repeat, Attempts: len(r.attempts)})
	}
}

// Ejected lists the backends that are up by the list and get no ordinary traffic now, by the module's choice.
func (b *Balancer) Ejected(now time.Duration) (ids []string) {
	for _, t := range b.backends {
		if t.State == Up && (t.down || now < t.ejected || b.share(t) == 0) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}
