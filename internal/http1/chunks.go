package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
)

// ChunkReader reads a body in chunks (RFC 9112, section 7.1). Unlike the standard library's it returns what
// has come, and does not wait until the buffer is full: what comes slowly is to go on as it comes.
type ChunkReader struct {
	r    *bufio.Reader
	left uint64 // of the present chunk
	data bool   // a chunk has been read, the end of its line not yet
	err  error
}

const (
	chunkLine    = 4 << 10 // bytes of a chunk's first line, with its extensions
	trailerLines = 64      // of the trailer, each of up to as many bytes
)

var errChunk = errors.New("chunks that make no sense")

// NewChunkReader reads from r, which is left behind the last chunk and its trailer.
func NewChunkReader(r *bufio.Reader) *ChunkReader { return &ChunkReader{r: r} }

// Read reads what has come of the body; an error stays.
func (c *ChunkReader) Read(p []byte) (n int, err error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.left == 0 {
		if c.err = c.next(); c.err != nil {
			return 0, c.err
		}
	}
	n, err = c.r.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	c.data = true
	if c.err = unexpected(err); c.err != nil {
		return n, c.err
	}
	return n, nil
}

// next reads up to the data of the next chunk, or to the end of the trailer: io.EOF.
func (c *ChunkReader) next() error {
	if c.data {
		if line, err := c.line(); err != nil || len(line) != 0 {
			return cmp.Or(err, errChunk)
		}
		c.data = false
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if c.left, err = hex(bytes.TrimRight(size, " \t")); err != nil {
		return err
	}
	if c.left > 0 {
		return nil
	}
	for range trailerLines {
		if line, err = c.line(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: a trailer without end", errChunk)
}

// line reads a line without its end.
func (c *ChunkReader) line() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			err = errChunk
		}
		return nil, unexpected(err)
	}
	if len(line) > chunkLine {
		return nil, errChunk
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func hex(text []byte) (v uint64, err error) {
	if len(text) == 0 || len(text) > 15 { // far longer than any body
		return 0, errChunk
	}
	for _, b := range text {
		switch {
		case '0' <= b && b <= '9':
			b -= '0'
		case 'a' <= b && b <= 'f':
			b -= 'a' - 10
		case 'A' <= b && b <= 'F':
			b -= 'A' - 10
		default:
			return 0, errChunk
		}
		v = v<<4 | uint64(b)
	}
	return v, nil
}

// unexpected is the error of an end within a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
