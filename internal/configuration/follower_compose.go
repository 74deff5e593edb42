package configuration

import (
	"errors"
	"maps"
	"unicode/utf8"
)

// compose merges the received documents of all scopes, from the widest to the narrowest. A document that is
// invalid, could not be applied, or makes the check fail is refused; its scope then keeps the revision in
// force, unless the check fails with that one too.
func (f *Follower) compose() *Effective {
	var merged *Document
	sources := map[Scope]scopeDocument{}
	for _, scope := range f.scopes {
		state := f.states[scope]
		state.refusalReason = ""
		next, d, err := f.addDocument(merged, state.received, state.applyFailure)
		if err != nil {
			state.refusalReason = err.Error()
			next, d, err = f.addDocument(merged, state.inForce, "")
		}
		if err == nil && d.Revision > 0 {
			merged, sources[scope] = next, d
		}
	}
	return newEffective(merged, sources)
}

// addDocument returns merged overlaid with d, or an error if d is invalid, could not be applied before
// (applyFailure says why; empty: it could) or makes the check fail.
func (f *Follower) addDocument(merged *Document, d scopeDocument, applyFailure string) (*Document, scopeDocument, error) {
	switch {
	case d.Revision == 0:
		return merged, d, nil
	case d.parseErr != nil:
		return nil, d, d.parseErr
	case applyFailure != "":
		return nil, d, errors.New(applyFailure)
	}
	next := Merge(merged, d.parsed)
	if err := f.check(next); err != nil {
		return nil, d, err
	}
	return next, d, nil
}

// firstChange returns the document in force with only one of the changes that lead to wanted: that of the
// widest scope whose revision differs.
func (f *Follower) firstChange(wanted *Effective) *Effective {
	changed := f.changedScopes(wanted)
	if len(changed) == 0 {
		return wanted
	}
	first := changed[0]
	sources := maps.Clone(f.inForce.sources)
	if sources == nil {
		sources = map[Scope]scopeDocument{}
	}
	if d, ok := wanted.sources[first]; ok {
		sources[first] = d
	} else {
		delete(sources, first)
	}
	var merged *Document
	for _, scope := range f.scopes {
		if d, ok := sources[scope]; ok {
			merged = Merge(merged, d.parsed)
		}
	}
	return newEffective(merged, sources)
}

// truncateText truncates a text to at most maxBytes bytes, without splitting a UTF-8 character.
func truncateText(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
