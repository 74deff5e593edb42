package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
)

// Canonical is the document's one text: JSON without space, keys in order, sections without content left out. The
// document must be one that Check passes.
func (d *Document) Canonical() []byte {
	text, err := json.Marshal(d.withoutEmpty())
	if err != nil {
		panic("configuration: a document that Check refuses: " + err.Error()) // NaN and infinities alone
	}
	value, err := decodeAny(text)
	if err != nil {
		panic("configuration: " + err.Error()) // Marshal has just written it
	}
	return encodeAny(value)
}

// withoutEmpty leaves out sections, classes and tenants that change nothing.
func (d *Document) withoutEmpty() *Document {
	lean := *d
	lean.Classes = maps.Clone(d.Classes)
	maps.DeleteFunc(lean.Classes, func(_ string, c ClassDocument) bool { return c == ClassDocument{} })
	lean.Tenants = maps.Clone(d.Tenants)
	maps.DeleteFunc(lean.Tenants, func(_ string, t TenantDocument) bool { return t == TenantDocument{} })
	if d.Limits != nil && *d.Limits == (LimitsDocument{}) {
		lean.Limits = nil
	}
	if d.Cold != nil && *d.Cold == (ColdDocument{}) {
		lean.Cold = nil
	}
	return &lean
}

// digestBytes of a SHA-256 name a text.
const digestBytes = 16

// Digest names a canonical text: the first 16 bytes of its SHA-256, in hex.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:digestBytes])
}
