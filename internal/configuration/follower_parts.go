package configuration

import "fmt"

// partAssembly is a document of which some parts are still missing.
type partAssembly struct {
	first    Update // the first part
	nextPart int    // number of the part expected next
	text     []byte // texts of the parts received so far, joined
}

// assemble adds a part. With the last part it returns the whole text.
func (s *followedScope) assemble(u Update) ([]byte, Result) {
	if u.Part == 0 {
		s.parts = &partAssembly{first: u}
	}
	parts := s.parts
	if parts == nil || !parts.continues(u) {
		s.parts = nil
		return nil, needsWholeResult(u, fmt.Sprintf("part %d of %d doesn't follow what came before", u.Part, u.Parts))
	}
	parts.text = append(parts.text, u.Text...)
	parts.nextPart++
	if parts.nextPart < u.Parts {
		return nil, Result{Kind: ResultPartial}
	}
	s.parts = nil
	return parts.text, Result{}
}

// continues reports whether an update is the next part of the same document and the text stays within
// MaxDocumentBytes.
func (p *partAssembly) continues(u Update) bool {
	return u.Part == p.nextPart && u.Parts == p.first.Parts && u.Position == p.first.Position && u.Digest == p.first.Digest &&
		len(p.text)+len(u.Text) <= MaxDocumentBytes
}
