package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
)

// ChunkReader reads a chunked body (RFC 9112, section 7.1). Unlike the standard library's reader it returns
// the data that has arrived without waiting until the buffer is full, so that a slow body is passed on as it
// arrives.
type ChunkReader struct {
	r            *bufio.Reader
	remaining    uint64 // bytes left in the current chunk
	needLineEnd  bool   // a chunk's data has been read, but not the line end after it
	inTrailer    bool   // the last chunk's size has been read
	trailerLines int    // lines of the trailer that have been read
	partialLine  []byte // the part of a line that had arrived when a read timed out
	err          error
}

const (
	maxChunkLine    = 4 << 10 // bytes of a chunk-size line with its extensions, or of a trailer line
	maxTrailerLines = 64      // lines of the trailer
)

var errChunk = errors.New("invalid chunked encoding")

// NewChunkReader returns a reader of a chunked body from r. At the end of the body r is positioned after the
// trailer.
func NewChunkReader(r *bufio.Reader) *ChunkReader { return &ChunkReader{r: r} }

// Read returns the data that has arrived. Errors are permanent, except that reading may go on after a time-out.
func (c *ChunkReader) Read(p []byte) (n int, err error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.remaining == 0 {
		if err := c.next(); err != nil {
			return 0, c.keep(err)
		}
	}
	n, err = c.r.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	c.needLineEnd = true
	return n, c.keep(unexpectedEOF(err))
}

// keep makes an error permanent unless it is a time-out, and returns it.
func (c *ChunkReader) keep(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return err
}

// next reads up to the data of the next chunk. It returns io.EOF at the end of the trailer.
func (c *ChunkReader) next() error {
	if c.inTrailer {
		return c.trailer()
	}
	if c.needLineEnd {
		if line, err := c.line(); err != nil || len(line) != 0 {
			return cmp.Or(err, errChunk)
		}
		c.needLineEnd = false
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if c.remaining, err = parseHex(bytes.TrimRight(size, " \t")); err != nil {
		return err
	}
	if c.remaining > 0 {
		return nil
	}
	c.inTrailer = true
	return c.trailer()
}

// trailer reads the trailer. It returns io.EOF at its end.
func (c *ChunkReader) trailer() error {
	for ; c.trailerLines < maxTrailerLines; c.trailerLines++ {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: too many trailer lines", errChunk)
}

// line reads a line and returns it without its line end.
func (c *ChunkReader) line() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) || len(c.partialLine)+len(line) > maxChunkLine {
			err = errChunk
		}
		c.partialLine = append(c.partialLine, line...)
		return nil, unexpectedEOF(err)
	}
	if len(c.partialLine) > 0 {
		line = append(c.partialLine, line...)
		c.partialLine = nil
	}
	if len(line) > maxChunkLine {
		return nil, errChunk
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// parseHex parses a chunk size.
func parseHex(text []byte) (v uint64, err error) {
	if len(text) == 0 || len(text) > 15 { // 15 digits fit into 64 bits and exceed the size of any body
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

// unexpectedEOF replaces io.EOF, which is unexpected within a body, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
