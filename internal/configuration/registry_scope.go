package configuration

import (
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// scopeState is what a Registry has of a scope: its latest revision, and the way back to earlier ones.
type scopeState struct {
	latest Revision
	// steps lead back, the latest first. Together they are no longer than the latest document: from further back
	// nothing could be shorter than the whole by much, and memory stays within twice the documents.
	steps   []backStep
	patches map[uint64]json.RawMessage // to latest, by the revision that they are laid upon; made when asked for
}

// backStep leads from a revision to the one before.
type backStep struct {
	To    Position        `json:"to"`
	Patch json.RawMessage `json:"patch"`
}

// advance makes a revision the latest.
func (s *scopeState) advance(next Revision) {
	if s.latest.Revision > 0 {
		back := encodeAny(difference(mustObject(next.Document), mustObject(s.latest.Document)))
		s.steps = slices.Insert(s.steps, 0, backStep{s.latest.Position, back})
	}
	s.latest = next
	s.steps = s.steps[:s.stepsWithin(len(next.Document))]
	s.patches = nil
}

// stepsWithin counts the steps that are within the bounds.
func (s *scopeState) stepsWithin(most int) int {
	total := 0
	for i, step := range s.steps {
		total += len(step.Patch)
		if i == PatchesKept || total > most {
			return i
		}
	}
	return len(s.steps)
}

// patchFrom returns the patch from a position to the latest revision, if there is one that is shorter than the whole
// and fits into an update.
func (s *scopeState) patchFrom(have Position) (json.RawMessage, bool) {
	step := slices.IndexFunc(s.steps, func(step backStep) bool { return step.To == have })
	if step < 0 {
		return nil, false
	}
	patch, made := s.patches[have.Revision]
	if !made {
		patch = s.makePatch(step)
		if s.patches == nil {
			s.patches = map[uint64]json.RawMessage{}
		}
		s.patches[have.Revision] = patch
	}
	return patch, len(patch) < len(s.latest.Document) && len(patch) <= PartMost
}

// makePatch goes back to the revision that a step leads to and makes the patch from there.
func (s *scopeState) makePatch(step int) json.RawMessage {
	earlier := mustObject(s.latest.Document)
	for _, back := range s.steps[:step+1] {
		mergePatch(earlier, mustObject(back.Patch))
	}
	return encodeAny(difference(earlier, mustObject(s.latest.Document)))
}

// mustObject decodes a text that the registry itself has made.
func mustObject(text []byte) map[string]any {
	object, err := decodeObject(text)
	if err != nil {
		panic("configuration: " + err.Error())
	}
	return object
}

// update is an update to the revision; from 0 the patch is the whole document.
func (r Revision) update(from uint64, patch json.RawMessage) Update {
	return Update{Scope: r.Scope, Position: r.Position, From: from, Patch: patch, Digest: r.Digest}
}

// whole is the whole document, in parts if it is long.
func (r Revision) whole() []Update {
	if len(r.Document) <= PartMost {
		return []Update{r.update(0, r.Document)}
	}
	texts := splitText(string(r.Document), PartMost)
	updates := make([]Update, len(texts))
	for i, text := range texts {
		updates[i] = r.update(0, nil)
		updates[i].Text, updates[i].Part, updates[i].Parts = text, i, len(texts)
		updates[i].More = i < len(texts)-1
	}
	return updates
}

// splitText cuts a text between characters, so that no part as a JSON string is longer than most.
func splitText(text string, most int) (parts []string) {
	begin, length := 0, 0
	for i, r := range text {
		width := jsonWidth(r)
		if length+width > most {
			parts = append(parts, text[begin:i])
			begin, length = i, 0
		}
		length += width
	}
	return append(parts, text[begin:])
}

// jsonWidth is the length of a character in a JSON string.
func jsonWidth(r rune) int {
	switch {
	case r == '"' || r == '\\':
		return 2
	case r < ' ' || r == '<' || r == '>' || r == '&' || r == '\u2028' || r == '\u2029':
		return 6
	}
	return utf8.RuneLen(r)
}
