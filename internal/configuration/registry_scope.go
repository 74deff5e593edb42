package configuration

import (
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// scopeState is a Registry's state of a scope: the latest revision, and reverse patches to earlier revisions.
type scopeState struct {
	latest Revision // latest revision, with its document
	// reversePatches lead back revision by revision, the newest first. Their total length is at most that of
	// the latest document: a patch from further back could hardly be shorter than the whole document, and
	// memory stays within twice the documents.
	reversePatches []reversePatch
	patchCache     map[uint64]json.RawMessage // patches to latest by the revision that they apply to, filled on demand
}

// reversePatch is a merge patch that turns the document of a revision into that of the revision before it.
type reversePatch struct {
	To    Position        `json:"to"` // position of the earlier revision
	Patch json.RawMessage `json:"patch"`
}

// advance makes next the latest revision and adds the reverse patch to the one before it.
func (s *scopeState) advance(next Revision) {
	if s.latest.Revision > 0 {
		back := encodeAny(difference(mustDecodeObject(next.Document), mustDecodeObject(s.latest.Document)))
		s.reversePatches = slices.Insert(s.reversePatches, 0, reversePatch{s.latest.Position, back})
	}
	s.latest = next
	s.reversePatches = s.reversePatches[:s.retainedCount(len(next.Document))]
	s.patchCache = nil
}

// retainedCount returns how many reverse patches to keep: at most MaxReversePatches with at most maxBytes in
// total.
func (s *scopeState) retainedCount(maxBytes int) int {
	total := 0
	for i, step := range s.reversePatches {
		total += len(step.Patch)
		if i == MaxReversePatches || total > maxBytes {
			return i
		}
	}
	return len(s.reversePatches)
}

// patchFrom returns the patch from a position to the latest revision. It returns false if the position is no
// longer known, or the patch is as long as the whole document or too long for an update.
func (s *scopeState) patchFrom(have Position) (json.RawMessage, bool) {
	step := slices.IndexFunc(s.reversePatches, func(step reversePatch) bool { return step.To == have })
	if step < 0 {
		return nil, false
	}
	patch, made := s.patchCache[have.Revision]
	if !made {
		patch = s.makePatch(step)
		if s.patchCache == nil {
			s.patchCache = map[uint64]json.RawMessage{}
		}
		s.patchCache[have.Revision] = patch
	}
	return patch, len(patch) < len(s.latest.Document) && len(patch) <= MaxPartBytes
}

// makePatch reconstructs the earlier document with the reverse patches up to index step, and returns the
// patch that turns it into the latest document.
func (s *scopeState) makePatch(step int) json.RawMessage {
	earlier := mustDecodeObject(s.latest.Document)
	for _, back := range s.reversePatches[:step+1] {
		mergePatch(earlier, mustDecodeObject(back.Patch))
	}
	return encodeAny(difference(earlier, mustDecodeObject(s.latest.Document)))
}

// mustDecodeObject decodes a JSON object that the registry itself has encoded; anything else is a bug and
// panics.
func mustDecodeObject(text []byte) map[string]any {
	object, err := decodeObject(text)
	if err != nil {
		panic("configuration: " + err.Error())
	}
	return object
}

// newUpdate returns an update to the revision. If from is 0, patch is the whole document, otherwise it
// applies to revision from.
func (r Revision) newUpdate(from uint64, patch json.RawMessage) Update {
	return Update{Scope: r.Scope, Position: r.Position, From: from, Patch: patch, Digest: r.Digest}
}

// wholeUpdates returns updates with the whole document, in parts if it is long.
func (r Revision) wholeUpdates() []Update {
	if len(r.Document) <= MaxPartBytes {
		return []Update{r.newUpdate(0, r.Document)}
	}
	texts := splitText(string(r.Document), MaxPartBytes)
	updates := make([]Update, len(texts))
	for i, text := range texts {
		updates[i] = r.newUpdate(0, nil)
		updates[i].Text, updates[i].Part, updates[i].Parts = text, i, len(texts)
		updates[i].More = i < len(texts)-1
	}
	return updates
}

// splitText splits a text between characters, so that no part, encoded as a JSON string, is longer than
// maxBytes.
func splitText(text string, maxBytes int) (parts []string) {
	begin, length := 0, 0
	for i, r := range text {
		width := jsonWidth(r)
		if length+width > maxBytes {
			parts = append(parts, text[begin:i])
			begin, length = i, 0
		}
		length += width
	}
	return append(parts, text[begin:])
}

// jsonWidth returns the length in bytes of a character of a canonical text within a JSON string. Characters
// that JSON writes as \u escapes are ASCII in a canonical text already.
func jsonWidth(r rune) int {
	if r == '"' || r == '\\' {
		return 2
	}
	return utf8.RuneLen(r)
}
