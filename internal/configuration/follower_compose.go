package configuration

import (
	"errors"
	"maps"
	"unicode/utf8"
)

// compose lays the documents of all scopes over one another, from the widest to the narrowest. One whose addition
// fails the check is refused; then the scope keeps the revision that is in force, if that passes.
func (f *Follower) compose() *Effective {
	var merged *Document
	made := map[Scope]document{}
	for _, scope := range f.scopes {
		state := f.states[scope]
		state.refused = ""
		next, d, err := f.add(merged, state.received, state.failed)
		if err != nil {
			state.refused = err.Error()
			next, d, err = f.add(merged, state.inForce, "")
		}
		if err == nil && d.Revision > 0 {
			merged, made[scope] = next, d
		}
	}
	return newEffective(merged, made)
}

// add lays one more document over a merged one, if it passes.
func (f *Follower) add(merged *Document, d document, failed string) (*Document, document, error) {
	switch {
	case d.Revision == 0:
		return merged, d, nil
	case d.fault != nil:
		return nil, d, d.fault
	case failed != "":
		return nil, d, errors.New(failed)
	}
	next := Merge(merged, d.parsed)
	if err := f.check(next); err != nil {
		return nil, d, err
	}
	return next, d, nil
}

// firstChange is what is in force with only the widest of the scopes changed that are to change.
func (f *Follower) firstChange(wanted *Effective) *Effective {
	changed := f.changedScopes(wanted)
	if len(changed) == 0 {
		return wanted
	}
	first := changed[0]
	made := maps.Clone(f.inForce.made)
	if made == nil {
		made = map[Scope]document{}
	}
	if d, ok := wanted.made[first]; ok {
		made[first] = d
	} else {
		delete(made, first)
	}
	var merged *Document
	for _, scope := range f.scopes {
		if d, ok := made[scope]; ok {
			merged = Merge(merged, d.parsed)
		}
	}
	return newEffective(merged, made)
}

// cutText cuts a text between characters to so many bytes.
func cutText(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}
