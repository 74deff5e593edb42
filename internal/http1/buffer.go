package http1

import "sync"

// PartSize is the size in bytes of the buffers that pass on the parts of a long request body or answer.
const PartSize = 16 << 10

var bufferPool = sync.Pool{New: func() any { return new([PartSize]byte) }}

// TakePart returns a buffer for one part. The caller returns it with GivePart.
func TakePart() *[PartSize]byte { return bufferPool.Get().(*[PartSize]byte) }

// GivePart returns a buffer to the pool.
func GivePart(part *[PartSize]byte) { bufferPool.Put(part) }
