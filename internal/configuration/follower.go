package configuration

import (
	"fmt"
	"maps"
	"slices"
)

// Follower is the agent's side of a watch. It assembles the updates, checks the documents, returns the
// effective document to apply, and reports which revisions are in force.
//
//	follower.Connected()                  // a watch begins: request it with follower.Positions()
//	result := follower.Receive(update)    // for each line; on ResultNeedsWhole end the watch, begin a new one after a pause
//	effective, ok := follower.Pending()   // after each Connected and Receive: apply it, then call
//	follower.Applied(effective)           // or follower.ApplyFailed(effective, err), and check Pending again
//	follower.Report()                     // send it when a watch is answered, when it has changed, and periodically
type Follower struct {
	place         Place
	check         func(effective *Document) error // returns an error for an effective document that the agent can't apply
	scopes        []Scope                         // scopes whose documents the agent uses, from the widest to the narrowest
	states        map[Scope]*followedScope
	moreExpected  bool // further updates follow that take effect together with the last one
	applyOneByOne bool // applying several changed scopes at once has failed, so Pending offers one change at a time

	inForce    *Effective         // effective document that the agent works with; never nil
	pending    *Effective         // effective document to be applied; nil: it is in force already, or not computed yet
	evaluated  bool               // pending and the refusals reflect all updates received so far
	lastFailed map[Scope]Position // positions of the effective document that failed to apply last; it isn't offered again before the next update

	skip skippedChecks
}

// skippedChecks disables checks of received updates, for tests that show which fault each check prevents:
// that revisions rise, that a patch is based on the received revision, and that the digest matches.
type skippedChecks struct{ order, from, digest bool }

// followedScope is what the agent has of the document of one scope.
type followedScope struct {
	received      scopeDocument // latest revision received; patches apply to its text
	inForce       scopeDocument // revision in force; Revision 0: none
	parts         *partAssembly // parts received of a revision that is sent in parts; nil: none
	needsWhole    bool          // an update could not be used, so the whole document has to be requested
	applyFailure  string        // why the agent could not apply received; empty: it hasn't failed
	refusalReason string        // why received is refused, and so not part of the effective document; empty: it isn't refused
}

// scopeDocument is the text of a revision and its parsed form. A Revision of 0 means that there is none.
type scopeDocument struct {
	Position
	text     []byte
	digest   string
	parsed   *Document
	parseErr error // set if text could not be parsed
}

func newScopeDocument(at Position, text []byte) scopeDocument {
	parsed, err := ParseDocument(text)
	return scopeDocument{Position: at, text: text, digest: Digest(text), parsed: parsed, parseErr: err}
}

// Effective is the merged document of all scopes of an agent. It isn't modified after Pending has returned it.
type Effective struct {
	Document  *Document
	Positions map[Scope]Position // revisions that it was merged from
	Digest    string             // of Document

	sources map[Scope]scopeDocument // revisions that Document was merged from, with their texts
}

// ResultKind is the kind of the result of an update.
type ResultKind uint8

// The kinds of results.
const (
	ResultAccepted     ResultKind = iota // the scope has a new revision
	ResultPartial                        // further parts of the revision are expected
	ResultAlreadyKnown                   // this or a later revision was received before; nothing has changed
	ResultWrongScope                     // the scope doesn't apply to this agent; nothing has changed
	ResultNeedsWhole                     // the update can't be applied to the revision received before; see ScopesNeedingWhole
)

// Result is the result of an update.
type Result struct {
	Kind   ResultKind
	Reason string // reason, for ResultAlreadyKnown, ResultWrongScope and ResultNeedsWhole
}

// NewFollower returns the follower of the agent at a place. check returns an error for an effective document
// that the agent can't apply to the settings it was started with. It is also called with partially merged
// documents, from the widest scope on.
func NewFollower(place Place, check func(effective *Document) error) *Follower {
	f := &Follower{place: place, check: check, scopes: place.Scopes(), states: map[Scope]*followedScope{}}
	for _, scope := range f.scopes {
		f.states[scope] = &followedScope{}
	}
	f.inForce = newEffective(nil, nil)
	return f
}

func newEffective(merged *Document, sources map[Scope]scopeDocument) *Effective {
	merged = Merge(merged, nil)
	e := &Effective{Document: merged, Positions: map[Scope]Position{}, Digest: Digest(merged.Canonical()), sources: sources}
	for scope, d := range sources {
		e.Positions[scope] = d.Position
	}
	return e
}

// Connected records that a new watch begins. Incomplete parts of the last watch are discarded, and an
// incomplete set of updates takes effect as far as it was received, so a document may be pending afterwards.
// Call it before Positions.
func (f *Follower) Connected() {
	f.moreExpected = false
	for _, state := range f.states {
		state.parts = nil
	}
}

// Positions returns the position of each scope's received document, from which a watch is to begin. An Epoch
// of 0 asks for the whole document of the scope.
func (f *Follower) Positions() map[Scope]Position {
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

// ScopesNeedingWhole returns the scopes for which an update could not be used. A new watch from Positions
// receives the whole documents of these scopes.
func (f *Follower) ScopesNeedingWhole() (scopes []Scope) {
	for _, scope := range f.scopes {
		if f.states[scope].needsWhole {
			scopes = append(scopes, scope)
		}
	}
	return scopes
}

// Receive processes the next update of the watch and returns what became of it.
func (f *Follower) Receive(u Update) Result {
	f.moreExpected = u.More
	f.evaluated, f.lastFailed = false, nil
	state, applies := f.states[u.Scope]
	if !applies {
		return Result{ResultWrongScope, fmt.Sprintf("%v doesn't hold for this agent", u.Scope)}
	}
	if !f.skip.order && u.Revision <= state.received.Revision {
		return state.alreadyKnown(u)
	}
	text, result := f.textAfter(u, state)
	if result.Kind != ResultAccepted {
		state.needsWhole = state.needsWhole || result.Kind == ResultNeedsWhole
		return result
	}
	*state = followedScope{received: newScopeDocument(u.Position, text), inForce: state.inForce}
	return result
}

// alreadyKnown returns the result for an update whose revision isn't later than the one received.
func (s *followedScope) alreadyKnown(u Update) Result {
	have := s.received
	if u.Revision == have.Revision && u.Digest != have.digest {
		return Result{ResultAlreadyKnown, fmt.Sprintf("%v: another document of revision %d (digest %s, was %s)",
			u.Scope, u.Revision, u.Digest, have.digest)}
	}
	return Result{ResultAlreadyKnown, fmt.Sprintf("%v: revision %d is here, %d has come", u.Scope, have.Revision, u.Revision)}
}

// textAfter returns the text of the scope's document after an update. The result is ResultAccepted if the
// text is complete and has the expected digest; otherwise it says why not.
func (f *Follower) textAfter(u Update, state *followedScope) ([]byte, Result) {
	var text []byte
	var result Result
	switch {
	case u.Parts > 1:
		text, result = state.assemble(u)
	case u.From > 0:
		text, result = f.patchedText(u, state)
	default:
		text = u.Patch
	}
	if result.Kind != ResultAccepted {
		return nil, result
	}
	if len(text) > MaxDocumentBytes {
		return nil, needsWholeResult(u, tooLongError(len(text)).Error())
	}
	if digest := Digest(text); !f.skip.digest && digest != u.Digest {
		return nil, needsWholeResult(u, fmt.Sprintf("the document's digest is %s, not %s", digest, u.Digest))
	}
	return slices.Clone(text), Result{}
}

// needsWholeResult returns the result that asks for the scope's whole document, with the reason.
func needsWholeResult(u Update, why string) Result {
	return Result{ResultNeedsWhole, fmt.Sprintf("%v: revision %d: %s", u.Scope, u.Revision, why)}
}

// patchedText applies a patch to the text of the revision received last.
func (f *Follower) patchedText(u Update, state *followedScope) ([]byte, Result) {
	if have := state.received.Revision; !f.skip.from && u.From != have {
		return nil, needsWholeResult(u, fmt.Sprintf("a patch from revision %d, where %d is", u.From, have))
	}
	text, err := ApplyPatch(state.received.text, u.Patch)
	if err != nil {
		return nil, needsWholeResult(u, err.Error())
	}
	return text, Result{}
}

// Pending returns the effective document to be applied, if it isn't in force yet and no further update is
// expected.
func (f *Follower) Pending() (*Effective, bool) {
	if f.moreExpected {
		return nil, false
	}
	f.evaluate()
	return f.pending, f.pending != nil
}

// evaluate computes the pending document and the refusals, unless they were computed since the last change.
func (f *Follower) evaluate() {
	if f.evaluated {
		return
	}
	f.evaluated = true
	wanted := f.compose()
	if f.applyOneByOne {
		wanted = f.firstChange(wanted)
	}
	f.pending = wanted
	if maps.Equal(wanted.Positions, f.inForce.Positions) {
		f.pending, f.applyOneByOne = nil, false
	} else if f.lastFailed != nil && maps.Equal(wanted.Positions, f.lastFailed) {
		f.pending = nil
	}
}

// Applied records that an effective document was applied.
func (f *Follower) Applied(e *Effective) {
	f.inForce, f.evaluated = e, false
	for scope, state := range f.states {
		state.inForce = e.sources[scope]
	}
}

// ApplyFailed records that the agent could not apply an effective document. If several scopes had changed,
// Pending offers their changes one by one from now on, from the widest scope; if only one had, its revision
// is refused until the scope gets a later one.
func (f *Follower) ApplyFailed(e *Effective, cause error) {
	f.evaluated, f.lastFailed = false, e.Positions
	changed := f.changedScopes(e)
	if len(changed) > 1 {
		f.applyOneByOne = true
		return
	}
	for _, scope := range changed {
		if state := f.states[scope]; state.received.Position == e.Positions[scope] {
			state.applyFailure = "could not be applied: " + cause.Error()
		}
	}
}

// changedScopes returns the scopes whose revision in e differs from the one in force.
func (f *Follower) changedScopes(e *Effective) (changed []Scope) {
	for _, scope := range f.scopes {
		if e.Positions[scope] != f.inForce.Positions[scope] {
			changed = append(changed, scope)
		}
	}
	return changed
}

// Report returns the report with the positions in force and the refusals.
func (f *Follower) Report() Report {
	if !f.moreExpected {
		f.evaluate()
	}
	report := Report{Place: f.place, Format: Format, InForce: maps.Clone(f.inForce.Positions), Digest: f.inForce.Digest}
	for _, scope := range f.scopes {
		if state := f.states[scope]; state.refusalReason != "" {
			refusal := Refusal{Scope: scope, Position: state.received.Position, Reason: truncateText(state.refusalReason, MaxRefusalBytes)}
			report.Refused = append(report.Refused, refusal)
		}
	}
	return report
}
