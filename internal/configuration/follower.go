package configuration

import (
	"fmt"
	"maps"
	"slices"
)

// Follower is the agent's side: it puts the updates of a watch together, checks them, says which effective document
// is to be applied, and reports what is in force.
//
//	follower.Connected()                  // a watch begins: ask with follower.Have()
//	result := follower.Take(update)       // for each line; ResultAskWhole: end the watch, begin a new one after a pause
//	effective, ok := follower.Pending()   // after each Connected and Take: apply it, then
//	follower.InForce(effective)           // or follower.Failed(effective, err); then look at Pending again
//	follower.Report()                     // send it as soon as a watch is answered, when it has changed, and now and then
type Follower struct {
	place    Place
	check    func(effective *Document) error
	scopes   []Scope // of the place, from the widest to the narrowest
	states   map[Scope]*followedScope
	awaited  bool // further updates are to take effect together with the last one
	oneByOne bool // applying several changes at once has failed

	inForce *Effective         // never nil
	pending *Effective         // what is to be applied; nil: what is in force, or not yet known
	known   bool               // pending and the refusals are those of what was taken so far
	failed  map[Scope]Position // what couldn't be applied last; it isn't offered again before something has come

	unguarded guards
}

// guards are left out by tests that show what each is for.
type guards struct{ order, from, digest bool }

// followedScope is what an agent has of one scope.
type followedScope struct {
	received   document      // the latest revision that came; patches are laid upon it
	inForce    document      // the one that is in force; Revision 0: none
	parts      *partAssembly // of a revision that is coming; nil: none
	needsWhole bool
	failed     string // why received couldn't be applied
	refused    string // why received isn't part of what is to be in force
}

// document is a revision's text and what it says; a Revision of 0 is none.
type document struct {
	Position
	text   []byte
	digest string
	parsed *Document
	fault  error // of parsing
}

func newDocument(at Position, text []byte) document {
	parsed, err := ParseDocument(text)
	return document{Position: at, text: text, digest: Digest(text), parsed: parsed, fault: err}
}

// Effective is what all documents of an agent come to. It isn't changed after Pending has returned it.
type Effective struct {
	Document  *Document
	Positions map[Scope]Position // revisions that it is made of
	Digest    string             // of Document

	made map[Scope]document
}

// ResultKind says what became of an update.
type ResultKind uint8

// The kinds.
const (
	ResultTaken    ResultKind = iota // the scope has a new revision
	ResultPart                       // further parts are to come
	ResultKnown                      // this or a later revision was there before; nothing has changed
	ResultForeign                    // the scope isn't this agent's; nothing has changed
	ResultAskWhole                   // it doesn't fit what is there; see NeedsWhole
)

// Result answers an update.
type Result struct {
	Kind ResultKind
	Why  string // with ResultKnown, ResultForeign and ResultAskWhole
}

// NewFollower returns the follower of the agent at a place. check refuses an effective document that the agent can't
// apply to the settings it was started with; it is called with partial merges too, from the widest scope on.
func NewFollower(place Place, check func(effective *Document) error) *Follower {
	f := &Follower{place: place, check: check, scopes: place.Scopes(), states: map[Scope]*followedScope{}}
	for _, scope := range f.scopes {
		f.states[scope] = &followedScope{}
	}
	f.inForce = newEffective(nil, nil)
	return f
}

func newEffective(merged *Document, made map[Scope]document) *Effective {
	merged = Merge(merged, nil)
	e := &Effective{Document: merged, Positions: map[Scope]Position{}, Digest: Digest(merged.Canonical()), made: made}
	for scope, d := range made {
		e.Positions[scope] = d.Position
	}
	return e
}

// Connected says that a new watch begins: parts that the last one left incomplete are given up, and a set takes effect
// as far as it came, so that something may be pending. To be called before Have.
func (f *Follower) Connected() {
	f.awaited = false
	for _, state := range f.states {
		state.parts = nil
	}
}

// Have are the positions to watch from. A scope that needs the whole has an Epoch of 0.
func (f *Follower) Have() map[Scope]Position {
	have := map[Scope]Position{}
	for scope, state := range f.states {
		at := state.received.Position
		if state.needsWhole {
			at.Epoch = 0
		}
		if at.Revision > 0 {
			have[scope] = at
		}
	}
	return have
}

// NeedsWhole are scopes of which an update didn't fit. A new watch that asks with Have gets them whole.
func (f *Follower) NeedsWhole() (scopes []Scope) {
	for _, scope := range f.scopes {
		if f.states[scope].needsWhole {
			scopes = append(scopes, scope)
		}
	}
	return scopes
}

// Take takes the next update of the watch.
func (f *Follower) Take(u Update) Result {
	f.awaited = u.More
	f.known, f.failed = false, nil
	state, own := f.states[u.Scope]
	if !own {
		return Result{ResultForeign, fmt.Sprintf("%v doesn't hold for this agent", u.Scope)}
	}
	if !f.unguarded.order && u.Revision <= state.received.Revision {
		return state.takeKnown(u)
	}
	text, result := f.textOf(u, state)
	if result.Kind != ResultTaken {
		state.needsWhole = state.needsWhole || result.Kind == ResultAskWhole
		return result
	}
	*state = followedScope{received: newDocument(u.Position, text), inForce: state.inForce}
	return result
}

// takeKnown answers an update of a revision that was there before.
func (s *followedScope) takeKnown(u Update) Result {
	have := s.received
	if u.Revision == have.Revision && u.Digest != have.digest {
		return Result{ResultKnown, fmt.Sprintf("%v: another document of revision %d (digest %s, was %s)",
			u.Scope, u.Revision, u.Digest, have.digest)}
	}
	return Result{ResultKnown, fmt.Sprintf("%v: revision %d is here, %d has come", u.Scope, have.Revision, u.Revision)}
}

// textOf is the document's text after an update, or why there is none.
func (f *Follower) textOf(u Update, state *followedScope) ([]byte, Result) {
	var text []byte
	var result Result
	switch {
	case u.Parts > 1:
		text, result = state.assemble(u)
	case u.From > 0:
		text, result = f.patched(u, state)
	default:
		text = u.Patch
	}
	if result.Kind != ResultTaken {
		return nil, result
	}
	if len(text) > DocumentMost {
		return nil, askWhole(u, tooLong(len(text)).Error())
	}
	if digest := Digest(text); !f.unguarded.digest && digest != u.Digest {
		return nil, askWhole(u, fmt.Sprintf("the document's digest is %s, not %s", digest, u.Digest))
	}
	return slices.Clone(text), Result{}
}

func askWhole(u Update, why string) Result {
	return Result{ResultAskWhole, fmt.Sprintf("%v: revision %d: %s", u.Scope, u.Revision, why)}
}

// patched lays a patch over what came last.
func (f *Follower) patched(u Update, state *followedScope) ([]byte, Result) {
	if have := state.received.Revision; !f.unguarded.from && u.From != have {
		return nil, askWhole(u, fmt.Sprintf("a patch from revision %d, where %d is", u.From, have))
	}
	text, err := ApplyPatch(state.received.text, u.Patch)
	if err != nil {
		return nil, askWhole(u, err.Error())
	}
	return text, Result{}
}

// Pending returns the effective document that is to be applied, if it isn't in force yet and no update is awaited.
func (f *Follower) Pending() (*Effective, bool) {
	if f.awaited {
		return nil, false
	}
	f.evaluate()
	return f.pending, f.pending != nil
}

// evaluate works out what is to be in force and which revisions are refused.
func (f *Follower) evaluate() {
	if f.known {
		return
	}
	f.known = true
	wanted := f.compose()
	if f.oneByOne {
		wanted = f.firstChange(wanted)
	}
	f.pending = wanted
	if maps.Equal(wanted.Positions, f.inForce.Positions) {
		f.pending, f.oneByOne = nil, false
	} else if f.failed != nil && maps.Equal(wanted.Positions, f.failed) {
		f.pending = nil
	}
}

// InForce says that an effective document was applied.
func (f *Follower) InForce(e *Effective) {
	f.inForce, f.known = e, false
	for scope, state := range f.states {
		state.inForce = e.made[scope]
	}
}

// Failed says that applying an effective document was refused. Where several scopes had changed they are tried one by
// one, from the widest on; one alone is refused until its next revision.
func (f *Follower) Failed(e *Effective, cause error) {
	f.known, f.failed = false, e.Positions
	changed := f.changedScopes(e)
	if len(changed) > 1 {
		f.oneByOne = true
		return
	}
	for _, scope := range changed {
		if state := f.states[scope]; state.received.Position == e.Positions[scope] {
			state.failed = "could not be applied: " + cause.Error()
		}
	}
}

// changedScopes are those of which an effective document has another revision than the one in force.
func (f *Follower) changedScopes(e *Effective) (changed []Scope) {
	for _, scope := range f.scopes {
		if e.Positions[scope] != f.inForce.Positions[scope] {
			changed = append(changed, scope)
		}
	}
	return changed
}

// Report says what is in force and what is refused.
func (f *Follower) Report() Report {
	if !f.awaited {
		f.evaluate()
	}
	report := Report{Place: f.place, Format: Format, InForce: maps.Clone(f.inForce.Positions), Digest: f.inForce.Digest}
	for _, scope := range f.scopes {
		if state := f.states[scope]; state.refused != "" {
			refusal := Refusal{Scope: scope, Position: state.received.Position, Why: cutText(state.refused, RefusalMost)}
			report.Refused = append(report.Refused, refusal)
		}
	}
	return report
}
