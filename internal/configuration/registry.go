package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Registry is the state machine that the control machines of one group replicate. It holds the latest
// revision of each scope that the group writes, and what is needed to make patches from earlier revisions. It
// implements replica.StateMachine. Its methods, including those that only read, must not run concurrently.
//
// Replicas that run different versions of the program must reach the same state. Apply therefore uses the
// rules of each document's Format, which never change, and accepts a document of a later Format unchecked:
// the machine that proposed it has checked it.
type Registry struct {
	// OnRevision, if not nil, is called with each new revision when it is applied, to record a history. When
	// the log is replayed after a restart it is called again for the same revisions; for those of a snapshot
	// it isn't called.
	OnRevision func(Revision)

	group   string
	scopes  map[Scope]*scopeState // latest revision and patches, by scope
	bytes   int                   // total length of all documents
	changes changeLog             // results of the last changes
}

// NewRegistry returns the empty registry of a group.
func NewRegistry(group string) *Registry {
	return &Registry{group: group, scopes: map[Scope]*scopeState{}, changes: newChangeLog()}
}

// EncodeChange encodes a change as a command, which is an entry of the group's log and the argument of Apply.
func EncodeChange(c Change) ([]byte, error) { return json.Marshal(c) }

// outcome is the result of Apply, encoded as JSON. One of its fields is set.
type outcome struct {
	Accepted *Accepted  `json:"accepted,omitempty"`
	Refused  *ErrorBody `json:"refused,omitempty"`
}

// DecodeResult decodes the result of Apply. If the change was refused, the error is an *ErrorBody.
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

// Check returns an *ErrorBody for a change that Apply would refuse, and for some others such as documents of
// a later Format. The leader calls it before it proposes a change. A change that was applied before passes,
// so that Apply can return its first result again.
func (r *Registry) Check(c Change) error {
	if r.changes.has(c.ID) {
		return nil
	}
	if _, err := ParseDocument(c.Document); err != nil {
		return invalidError("%v", err)
	}
	if _, refused := r.validate(c); refused != nil {
		return refused
	}
	return nil
}

// Apply applies a command of EncodeChange at an epoch, the term of its log entry, and returns a result for
// DecodeResult. A command with the ID of an earlier change returns the first result.
func (r *Registry) Apply(epoch uint64, command []byte) (result []byte) {
	var c Change
	if err := json.Unmarshal(command, &c); err != nil {
		return encodeOutcome(outcome{Refused: invalidError("change: %v", err)})
	}
	if first, ok := r.changes.find(c); ok {
		return encodeOutcome(first)
	}
	o := r.applyChange(epoch, c)
	r.changes.add(c, o)
	return encodeOutcome(o)
}

func encodeOutcome(o outcome) []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic("configuration: " + err.Error()) // can't happen: an outcome holds only strings and numbers
	}
	return text
}

// applyChange makes a new revision of the change's document if the change is valid.
func (r *Registry) applyChange(epoch uint64, c Change) outcome {
	document, refused := r.validate(c)
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
		Author:   c.Author,
		Reason:   c.Reason,
		At:       c.At,
	}
	r.bytes += len(document) - len(state.latest.Document)
	state.advance(next)
	if r.OnRevision != nil {
		r.OnRevision(next)
	}
	return outcome{Accepted: &Accepted{Scope: next.Scope, Position: next.Position, Digest: next.Digest}}
}

// validate returns the canonical document of a change, or the reason why the change is refused.
func (r *Registry) validate(c Change) (json.RawMessage, *ErrorBody) {
	if refused := r.validateMetadata(c); refused != nil {
		return nil, refused
	}
	document, refused := canonicalDocument(c.Document)
	if refused != nil {
		return nil, refused
	}
	if refused := r.checkLimits(c.Scope, len(document)); refused != nil {
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

// maxReasonBytes limits the reason that the author of a change gives.
const maxReasonBytes = 1024

// validateMetadata checks all fields of a change but the document.
func (r *Registry) validateMetadata(c Change) *ErrorBody {
	if c.ID == "" || len(c.ID) > MaxChangeIDBytes {
		return invalidError("id: %d bytes, not within 1 and %d", len(c.ID), MaxChangeIDBytes)
	}
	// A Scope that was not made by ParseScope may be invalid.
	if scope, err := ParseScope(c.Scope.String()); err != nil {
		return invalidError("%v", err)
	} else if scope != c.Scope {
		return invalidError("scope: %v is not written as it should be", c.Scope)
	}
	if c.Scope.Group() != r.group {
		return &ErrorBody{Kind: ErrorNotHere,
			Message: fmt.Sprintf("%v is written by the group %s, not by %s", c.Scope, c.Scope.Group(), r.group)}
	}
	if len(c.Author) > MaxNameBytes {
		return invalidError("by: %d bytes, over %d", len(c.Author), MaxNameBytes)
	}
	if len(c.Reason) > maxReasonBytes {
		return invalidError("why: %d bytes, over %d", len(c.Reason), maxReasonBytes)
	}
	if _, err := time.Parse(time.RFC3339, c.At); c.At != "" && err != nil {
		return invalidError("at: %v", err)
	}
	return nil
}

// checkLimits checks that the group stays within MaxScopes and MaxGroupBytes if the scope gets a document of
// length bytes.
func (r *Registry) checkLimits(scope Scope, length int) *ErrorBody {
	before := 0
	if state := r.scopes[scope]; state != nil {
		before = len(state.latest.Document)
	} else if len(r.scopes) >= MaxScopes {
		return invalidError("%v would be one scope more than the %d that a group may have", scope, MaxScopes)
	}
	if total := r.bytes - before + length; total > MaxGroupBytes {
		return invalidError("the documents of the group %s would have %d bytes, over %d", r.group, total, MaxGroupBytes)
	}
	return nil
}

// canonicalDocument checks a document and returns its canonical text. A document of a later Format isn't
// checked.
func canonicalDocument(raw json.RawMessage) (json.RawMessage, *ErrorBody) {
	if len(raw) > MaxDocumentBytes {
		return nil, invalidError("%v", tooLongError(len(raw)))
	}
	if later, ok := laterFormat(raw); ok {
		if len(later) > MaxDocumentBytes {
			return nil, invalidError("%v", tooLongError(len(later)))
		}
		return later, nil
	}
	document, err := ParseDocument(raw)
	if err != nil {
		return nil, invalidError("%v", err)
	}
	return document.Canonical(), nil
}

// laterFormat returns the canonical text of a document, and true if its Format is later than this program's.
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

// invalidError returns an error of kind invalid.
func invalidError(format string, values ...any) *ErrorBody {
	return &ErrorBody{Kind: ErrorInvalid, Message: truncateText(fmt.Sprintf(format, values...), MaxRefusalBytes)}
}

// Latest returns the latest revision of a scope.
func (r *Registry) Latest(scope Scope) (Revision, bool) {
	state, ok := r.scopes[scope]
	if !ok {
		return Revision{}, false
	}
	return state.latest, true
}

// Scopes returns the scopes that have a document, sorted by their text.
func (r *Registry) Scopes() []Scope {
	return slices.SortedFunc(maps.Keys(r.scopes), func(a, b Scope) int { return strings.Compare(a.String(), b.String()) })
}

// Updates returns the updates that take an agent from position have to the latest revision of a scope: none,
// a patch, or the whole document in one or more parts. All but the last have More set; if updates of further
// scopes follow at once, the caller sets it on the last one as well. With an Epoch of 0 the whole document is
// returned if it is newer.
func (r *Registry) Updates(scope Scope, have Position) []Update {
	state, ok := r.scopes[scope]
	if !ok || have.Revision >= state.latest.Revision {
		return nil
	}
	if patch, ok := state.patchFrom(have); ok {
		return []Update{state.latest.newUpdate(have.Revision, patch)}
	}
	return state.latest.wholeUpdates()
}
