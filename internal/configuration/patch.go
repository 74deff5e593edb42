package configuration

// MakePatch returns the RFC 7396 merge patch that makes one canonical text of another.
func MakePatch(from, to []byte) ([]byte, error) { return nil, errStub }

// ApplyPatch lays an RFC 7396 merge patch over a canonical text. The result is canonical. It knows nothing of a
// document's fields, so that an agent can follow documents of a later Format too.
func ApplyPatch(document, patch []byte) ([]byte, error) { return nil, errStub }
