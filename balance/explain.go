package balance

import "time"

// Reason says why a request ended without an answer.
type Reason uint8

const (
	NoReason         Reason = iota // in notes that are about no request
	RepeatNoRoom                   // a client's repeat found no room until an answer within its aim was out of reach
	TooLate                        // held for room until an answer within the aim was out of reach
	NoBackend                      // there was room, but no backend that may take the request in time
	NoTokens                       // the retry bucket can't pay for another attempt
	NoTime                         // the wait before the next attempt would outlast the time left
	NoAttemptAllowed               // no further attempt is allowed by number, group or window
	NeverSent                      // the agent could not send the attempt
	SiteLost                       // a site is lost, Sites.AdmitShares does not admit the request, and there was no room
)

var reasonNames = [...]string{"", "repeat-no-room", "too-late", "no-backend", "no-tokens", "no-time", "no-attempt", "never-sent", "site-lost"}

// String returns the reason's name as it appears in notes.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// NoteKind says what a Note is about.
type NoteKind uint8

const (
	NoteState    NoteKind = iota // the state of the balancer, at intervals
	NoteRefused                  // a request was refused
	NoteFailed                   // a request was failed
	NoteLimitCut                 // the limit on attempts in flight was cut
)

var noteKindNames = [...]string{"state", "refused", "failed", "cut"}

// String returns the kind's name as it appears in notes.
func (k NoteKind) String() string {
	if int(k) < len(noteKindNames) {
		return noteKindNames[k]
	}
	return "unknown"
}

// Note reports a decision and the state that it was based on. Notes are made while Explain is on.
type Note struct {
	At   time.Duration // the step's time
	Kind NoteKind

	// The request that was refused or failed.
	Request  string
	Class    int
	Reason   Reason
	Waited   time.Duration // since the request came
	TimeLeft time.Duration // until its client stops waiting
	AimLeft  time.Duration // until an answer earns less; negative: in the past
	Repeat   bool          // it counts as a client's repeat
	Attempts int           // attempts made for it

	// The limit on attempts in flight and its inputs.
	PerBackend  float64       // attempts that all agents may have in flight, per backend in use
	Limit       float64       // this agent's limit, before rounding
	LimitShare  float64       // this agent's share of the limit of all agents
	InFlight    int           // attempts in flight
	Stuck       int           // attempts in flight that use no room: at backends out of use, or overdue
	Overdue     int           // the stuck attempts that are at backends in use
	Held        int           // requests that wait for room
	Up, InUse   int           // backends that are up by the list, and those of them neither ejected nor down
	Idle        int           // backends in use where this agent has no attempt
	Capacity    float64       // backends in use, each counted by its warmth
	MeanDelay   float64       // running mean of latency over aim
	BaseDelay   float64       // falls with MeanDelay and rises very slowly: the delay without queues
	TargetDelay float64       // the target that the limit keeps MeanDelay to
	MeanLatency time.Duration // mean latency over the classes
	SavedTime   time.Duration // saved attempt time below the limit
	ErrorShare  float64       // recent share of errors over all backends
	RetryTokens float64       // tokens in the retry bucket
	Available   int           // backends in use that may take one more attempt now, by strikes and maxPerBackend

	Backends []BackendSnapshot // with NoteState only
}

// BackendSnapshot is the part of a note of kind NoteState that describes one backend, which is up by the list.
type BackendSnapshot struct {
	ID         string        // of the backend
	InFlight   int           // this agent's attempts there
	Down       bool          // its process looks gone
	EjectedFor time.Duration // remaining time of its ejection; 0: it is not ejected
	Strikes    float64       // count of recent ejections, reduced by served attempts
	Warmth     float64       // share of its full capacity that it has by now at least
	SlowRatio  float64       // latency over the mean of all backends; 0: no answer yet
}

// stateNoteInterval is the minimum time between two notes of kind NoteState.
const stateNoteInterval = 100 * time.Millisecond

// Explain makes the Balancer pass notes on its refusals, failures, limit cuts and state to the function tell
// from now on; nil ends that. It changes no decision. tell is called within Step and must not call the Balancer.
func (b *Balancer) Explain(tell func(Note)) { b.onNote, b.stateNotedAt = tell, 0 }

// emitNote completes n with the current state and passes it on.
func (b *Balancer) emitNote(n Note) {
	n.At, n.PerBackend, n.Limit, n.InFlight, n.Stuck, n.Held = b.now, b.perBackend, b.limitWithoutMinimum(), b.inFlight, b.stuck, len(b.held)
	n.LimitShare = b.limitShare
	n.Up, n.Capacity, n.MeanDelay, n.BaseDelay, n.TargetDelay = b.up, b.capacity, b.meanDelay, b.baseDelay, b.targetDelay()
	n.MeanLatency, n.SavedTime, n.ErrorShare, n.RetryTokens = time.Duration(b.meanLatency()), time.Duration(b.savedTime), b.usualErrorShare(nil), b.retryTokens
	n.Overdue = b.stuck
	for _, t := range b.backends {
		if n.Kind == NoteState && t.State == Up {
			n.Backends = append(n.Backends, BackendSnapshot{ID: t.ID, InFlight: len(t.inFlight), Down: t.down, EjectedFor: max(0, t.ejectedUntil-b.now),
				Strikes: t.strikes, Warmth: b.warmth(t), SlowRatio: t.slowRatio})
		}
		if t.State == Up && !t.down && b.now >= t.ejectedUntil {
			n.InUse++
			if len(t.inFlight) == 0 {
				n.Idle++
			}
			if !(t.strikes > 0 && len(t.inFlight) > 0) && float64(len(t.inFlight)) < b.maxPerBackend() {
				n.Available++
			}
		} else {
			n.Overdue -= len(t.inFlight)
		}
	}
	b.onNote(n)
}

// emitStateNote emits a note of kind NoteState if the interval has passed.
func (b *Balancer) emitStateNote() {
	if b.onNote != nil && b.now-b.stateNotedAt >= stateNoteInterval {
		b.stateNotedAt = b.now
		b.emitNote(Note{Kind: NoteState})
	}
}

// emitEndNote emits a note on a request that ended without an answer.
func (b *Balancer) emitEndNote(r *request, kind NoteKind, reason Reason) {
	if b.onNote != nil {
		b.emitNote(Note{Kind: kind, Request: r.id, Class: r.class, Reason: reason, Waited: b.now - r.arrivedAt, TimeLeft: r.deadline - b.now,
			AimLeft: r.aimAt - b.now, Repeat: r.repeat, Attempts: len(r.attempts)})
	}
}

// Ejected lists the backends that are up by the list but get no ordinary traffic at now: they look down, are
// ejected or their site is lost.
func (b *Balancer) Ejected(now time.Duration) (ids []string) {
	for _, t := range b.backends {
		if t.State == Up && (t.down || now < t.ejectedUntil || b.siteWeight(t) == 0) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}
