package http1

import "sync"

// PartSize is how much of a long body or answer is passed on at a time.
const PartSize = 16 << 10

var parts = sync.Pool{New: func() any { return new([PartSize]byte) }}

// TakePart returns a buffer for one part, to be given back by GivePart.
func TakePart() *[PartSize]byte { return parts.Get().(*[PartSize]byte) }

// GivePart gives a buffer back.
func GivePart(part *[PartSize]byte) { parts.Put(part) }
