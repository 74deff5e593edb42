package load

import (
	"bufio"
	"errors"
	"io"
)

// MaxLine is the longest line that is looked at, in bytes.
const MaxLine = 1 << 20

// lines reads a stream line by line in bounded memory.
type lines struct {
	r    *bufio.Reader
	long []byte // a line that didn't fit the reader's buffer
	n    int64  // number of the last line, from 1
}

func newLines(r io.Reader) *lines { return &lines{r: bufio.NewReaderSize(r, 256<<10)} }

var errLongLine = errors.New("long line")

// next returns the next line without its end; it is valid until the next call. errLongLine: it
// was too long, and has been passed over. A last line without an end comes with its bytes and
// no error; io.EOF follows.
func (l *lines) next() ([]byte, error) {
	l.long = l.long[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		switch {
		case err == nil && len(l.long) == 0:
			l.n++
			return trimEnd(part), nil
		case errors.Is(err, bufio.ErrBufferFull):
			if len(l.long)+len(part) > MaxLine {
				return nil, l.passOver()
			}
			l.long = append(l.long, part...)
		case err == nil || len(part)+len(l.long) > 0 && errors.Is(err, io.EOF):
			l.n++
			l.long = append(l.long, part...)
			if len(l.long) > MaxLine {
				return nil, errLongLine
			}
			return trimEnd(l.long), nil
		default:
			return nil, err // the bytes before a broken stream's end are no line
		}
	}
}

// passOver reads to the end of a line that is too long.
func (l *lines) passOver() error {
	l.n++
	for {
		_, err := l.r.ReadSlice('\n')
		switch {
		case err == nil || errors.Is(err, io.EOF):
			return errLongLine
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

func trimEnd(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line
}
