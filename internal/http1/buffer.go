package http1

import "sync"

// BufferSize is the size in bytes of the buffers that pass on the parts of a long request body or answer.
const BufferSize = 16 << 10

var bufferPool = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// GetBuffer returns a buffer for one part. The caller returns it with PutBuffer.
func GetBuffer() *[BufferSize]byte { return bufferPool.Get().(*[BufferSize]byte) }

// PutBuffer returns a buffer to the pool.
func PutBuffer(part *[BufferSize]byte) { bufferPool.Put(part) }
