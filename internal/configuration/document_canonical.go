package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
)

// Canonical returns the canonical text of the document: JSON without whitespace, with sorted keys and without
// empty sections. It panics on a document that Check refuses.
func (d *Document) Canonical() []byte {
	text, err := json.Marshal(d.withoutEmpty())
	if err != nil {
		panic("configuration: a document that Check refuses: " + err.Error()) // Marshal fails on NaN and infinities only
	}
	value, err := decodeAny(text)
	if err != nil {
		panic("configuration: " + err.Error()) // can't happen: Marshal has just written the text
	}
	return encodeAny(value)
}

// withoutEmpty returns a copy without the sections, classes and tenants that change nothing.
func (d *Document) withoutEmpty() *Document {
	trimmed := *d
	trimmed.Classes = maps.Clone(d.Classes)
	maps.DeleteFunc(trimmed.Classes, func(_ string, c ClassDocument) bool { return c == ClassDocument{} })
	trimmed.Tenants = maps.Clone(d.Tenants)
	maps.DeleteFunc(trimmed.Tenants, func(_ string, t TenantDocument) bool { return t == TenantDocument{} })
	if d.Limits != nil && *d.Limits == (LimitsDocument{}) {
		trimmed.Limits = nil
	}
	if d.Cold != nil && *d.Cold == (ColdDocument{}) {
		trimmed.Cold = nil
	}
	return &trimmed
}

// digestBytes is the number of bytes of a SHA-256 sum that a digest keeps.
const digestBytes = 16

// Digest returns the digest of a canonical text: the first 16 bytes of its SHA-256 sum, in hex.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:digestBytes])
}
