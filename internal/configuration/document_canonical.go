package configuration

// Canonical is the document's one text: JSON without space, keys in order, sections without content left out.
func (d *Document) Canonical() []byte { return nil }

// Digest names a canonical text: the first 16 bytes of its SHA-256, in hex.
func Digest(canonical []byte) string { return "" }

// Merge lays a narrower document over a wider one, field by field. It changes neither; either may be nil.
func Merge(wide, narrow *Document) *Document { return nil }
