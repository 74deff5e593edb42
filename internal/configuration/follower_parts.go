package configuration

import "fmt"

// partAssembly is a document of which not all parts have come.
type partAssembly struct {
	of   Update // the first part
	next int    // the part that is to come
	text []byte
}

// assemble takes a part. With the last one it returns the whole text.
func (s *followedScope) assemble(u Update) ([]byte, Result) {
	if u.Part == 0 {
		s.parts = &partAssembly{of: u}
	}
	parts := s.parts
	if parts == nil || !parts.continues(u) {
		s.parts = nil
		return nil, askWhole(u, fmt.Sprintf("part %d of %d doesn't follow what came before", u.Part, u.Parts))
	}
	parts.text = append(parts.text, u.Text...)
	parts.next++
	if parts.next < u.Parts {
		return nil, Result{Kind: ResultPart}
	}
	s.parts = nil
	return parts.text, Result{}
}

// continues reports whether an update is the part that is to come.
func (p *partAssembly) continues(u Update) bool {
	return u.Part == p.next && u.Parts == p.of.Parts && u.Position == p.of.Position && u.Digest == p.of.Digest &&
		len(p.text)+len(u.Text) <= DocumentMost
}
