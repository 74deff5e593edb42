package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Registry is the state machine that the control machines of one group replicate: the latest revision of each scope
// that the group writes, with what it takes to make patches from earlier ones. It satisfies replica.StateMachine.
// No two of its methods may run at the same time, also of those that only read.
//
// Replicas that run different versions of the program have to come to the same state, so Apply goes by what a document
// of each Format may hold, which never changes, and takes a document of a later Format as it is: the machine that
// proposed it has checked it.
type Registry struct {
	// OnRevision, unless nil, is told of each new revision as it is applied, for a history. A log that is read again
	// after a restart tells it again; revisions that came with a snapshot aren't told.
	OnRevision func(Revision)

	group   string
	scopes  map[Scope]*scopeState
	bytes   int // of all documents
	changes changeLog
}

// NewRegistry returns the empty registry of a group.
func NewRegistry(group string) *Registry {
	return &Registry{group: group, scopes: map[Scope]*scopeState{}, changes: newChangeLog()}
}

// EncodeChange makes a change a command for Apply.
func EncodeChange(c Change) ([]byte, error) { return json.Marshal(c) }

// outcome is what Apply returns, as JSON. One of both is set.
type outcome struct {
	Accepted *Accepted  `json:"accepted,omitempty"`
	Refused  *ErrorBody `json:"refused,omitempty"`
}

// DecodeResult reads what Apply returned. The error is an *ErrorBody where the change was refused.
func DecodeResult(result []byte) (Accepted, error) {
	var o outcome
	if err := json.Unmarshal(result, &o); err != nil {
		return Accepted{}, fmt.Errorf("result of a change: %w", err)
	}
	switch {
	case o.Accepted != nil:
		return *o.Accepted, nil
	case o.Refused != nil:
		return Accepted{}, o.Refused
	}
	return Accepted{}, fmt.Errorf("result of a change: neither accepted nor refused: %.100q", result)
}

// Check refuses a change before it is proposed, at least as strictly as Apply would; the error is an *ErrorBody. A
// change that was taken before passes, so that Apply can give its first result again.
func (r *Registry) Check(c Change) error {
	if r.changes.has(c.ID) {
		return nil
	}
	if _, err := ParseDocument(c.Document); err != nil {
		return invalid("%v", err)
	}
	if _, refused := r.judge(c); refused != nil {
		return refused
	}
	return nil
}

// Apply carries out a command of EncodeChange at the epoch (the term of the log entry) and returns a result for
// DecodeResult. The same Change.ID again gets its first result.
func (r *Registry) Apply(epoch uint64, command []byte) (result []byte) {
	var c Change
	if err := json.Unmarshal(command, &c); err != nil {
		return encodeOutcome(outcome{Refused: invalid("change: %v", err)})
	}
	if first, ok := r.changes.find(c); ok {
		return encodeOutcome(first)
	}
	o := r.change(epoch, c)
	r.changes.add(c, o)
	return encodeOutcome(o)
}

func encodeOutcome(o outcome) []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic("configuration: " + err.Error()) // strings and numbers alone
	}
	return text
}

// change makes a new revision, if the change may.
func (r *Registry) change(epoch uint64, c Change) outcome {
	document, refused := r.judge(c)
	if refused != nil {
		return outcome{Refused: refused}
	}
	state := r.scopes[c.Scope]
	if state == nil {
		state = &scopeState{}
		r.scopes[c.Scope] = state
	}
	next := Revision{
		Scope:    c.Scope,
		Position: Position{Revision: state.latest.Revision + 1, Epoch: epoch},
		Document: document,
		Digest:   Digest(document),
		Change:   c.ID,
		By:       c.By,
		Why:      c.Why,
		At:       c.At,
	}
	r.bytes += len(document) - len(state.latest.Document)
	state.advance(next)
	if r.OnRevision != nil {
		r.OnRevision(next)
	}
	return outcome{Accepted: &Accepted{Scope: next.Scope, Position: next.Position, Digest: next.Digest}}
}

// judge returns the canonical document of a change, or why it is refused.
func (r *Registry) judge(c Change) (json.RawMessage, *ErrorBody) {
	if refused := r.judgeFrame(c); refused != nil {
		return nil, refused
	}
	document, refused := canonicalOf(c.Document)
	if refused != nil {
		return nil, refused
	}
	if refused := r.judgeBounds(c.Scope, len(document)); refused != nil {
		return nil, refused
	}
	var at Position
	if state := r.scopes[c.Scope]; state != nil {
		at = state.latest.Position
	}
	if c.Base != at.Revision {
		return nil, &ErrorBody{Kind: ErrorConflict, Position: at,
			Message: fmt.Sprintf("%v is at revision %d, not at %d", c.Scope, at.Revision, c.Base)}
	}
	return document, nil
}

// Bounds of what goes with a change.
const whyMost = 1024 // bytes of the reason

// judgeFrame looks at all but the document.
func (r *Registry) judgeFrame(c Change) *ErrorBody {
	if c.ID == "" || len(c.ID) > ChangeIDMost {
		return invalid("id: %d bytes, not within 1 and %d", len(c.ID), ChangeIDMost)
	}
	// A scope that was put together by hand may not be one.
	if scope, err := ParseScope(c.Scope.String()); err != nil {
		return invalid("%v", err)
	} else if scope != c.Scope {
		return invalid("scope: %v is not written as it should be", c.Scope)
	}
	if c.Scope.Group() != r.group {
		return &ErrorBody{Kind: ErrorNotHere,
			Message: fmt.Sprintf("%v is written by the group %s, not by %s", c.Scope, c.Scope.Group(), r.group)}
	}
	if len(c.By) > NameMost {
		return invalid("by: %d bytes, over %d", len(c.By), NameMost)
	}
	if len(c.Why) > whyMost {
		return invalid("why: %d bytes, over %d", len(c.Why), whyMost)
	}
	if _, err := time.Parse(time.RFC3339, c.At); c.At != "" && err != nil {
		return invalid("at: %v", err)
	}
	return nil
}

func (r *Registry) judgeBounds(scope Scope, length int) *ErrorBody {
	before := 0
	if state := r.scopes[scope]; state != nil {
		before = len(state.latest.Document)
	} else if len(r.scopes) >= ScopesMost {
		return invalid("%v would be one scope more than the %d that a group may have", scope, ScopesMost)
	}
	if total := r.bytes - before + length; total > GroupMost {
		return invalid("the documents of the group %s would have %d bytes, over %d", r.group, total, GroupMost)
	}
	return nil
}

// canonicalOf checks a document and returns its canonical text; one of a later Format is taken as it is.
func canonicalOf(raw json.RawMessage) (json.RawMessage, *ErrorBody) {
	if len(raw) > DocumentMost {
		return nil, invalid("%v", tooLong(len(raw)))
	}
	if later, ok := laterFormat(raw); ok {
		if len(later) > DocumentMost {
			return nil, invalid("%v", tooLong(len(later)))
		}
		return later, nil
	}
	document, err := ParseDocument(raw)
	if err != nil {
		return nil, invalid("%v", err)
	}
	return document.Canonical(), nil
}

// laterFormat returns the canonical text of a document if its Format is later than this program's.
func laterFormat(raw []byte) (json.RawMessage, bool) {
	var d struct {
		Format int `json:"format"`
	}
	if json.Unmarshal(raw, &d) != nil || d.Format <= Format {
		return nil, false
	}
	object, err := decodeObject(raw)
	if err != nil {
		return nil, false
	}
	return encodeAny(object), true
}

func invalid(format string, values ...any) *ErrorBody {
	return &ErrorBody{Kind: ErrorInvalid, Message: cutText(fmt.Sprintf(format, values...), RefusalMost)}
}

// Revision returns the latest revision of a scope.
func (r *Registry) Revision(scope Scope) (Revision, bool) {
	state, ok := r.scopes[scope]
	if !ok {
		return Revision{}, false
	}
	return state.latest, true
}

// Scopes are those with a document, in the order of their text.
func (r *Registry) Scopes() []Scope {
	return slices.SortedFunc(maps.Keys(r.scopes), func(a, b Scope) int { return strings.Compare(a.String(), b.String()) })
}

// Updates are what takes an agent from the position it has to the latest revision of a scope: none, a patch, or the
// whole in one or more parts. All but the last have More set; where updates of further scopes follow at once, the
// caller sets it on the last one too. A position with an Epoch of 0 asks for the whole, if it is newer.
func (r *Registry) Updates(scope Scope, have Position) []Update {
	state, ok := r.scopes[scope]
	if !ok || have.Revision >= state.latest.Revision {
		return nil
	}
	if patch, ok := state.patchFrom(have); ok {
		return []Update{state.latest.update(have.Revision, patch)}
	}
	return state.latest.whole()
}
