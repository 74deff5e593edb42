package load

import (
	"bufio"
	"errors"
	"io"
)

// MaxLine is the maximum length of a line, in bytes; longer lines are skipped.
const MaxLine = 1 << 20

// lineReader reads a stream line by line in bounded memory.
type lineReader struct {
	r          *bufio.Reader
	longLine   []byte // collects a line that exceeds the reader's buffer
	lineNumber int64  // number of the last line returned, from 1
}

func newLineReader(r io.Reader) *lineReader { return &lineReader{r: bufio.NewReaderSize(r, 256<<10)} }

var errLongLine = errors.New("long line")

// next returns the next line without its line ending; the slice is valid until the next call. It returns
// errLongLine after skipping a line that is too long. A last line without a line ending is returned without an
// error, and io.EOF with the next call.
func (l *lineReader) next() ([]byte, error) {
	l.longLine = l.longLine[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		switch {
		case err == nil && len(l.longLine) == 0:
			l.lineNumber++
			return trimLineEnd(part), nil
		case errors.Is(err, bufio.ErrBufferFull):
			if len(l.longLine)+len(part) > MaxLine {
				return nil, l.skipRest()
			}
			l.longLine = append(l.longLine, part...)
		case err == nil || len(part)+len(l.longLine) > 0 && errors.Is(err, io.EOF):
			l.lineNumber++
			l.longLine = append(l.longLine, part...)
			if len(l.longLine) > MaxLine {
				return nil, errLongLine
			}
			return trimLineEnd(l.longLine), nil
		default:
			return nil, err // the bytes before the end of a broken stream are not a whole line
		}
	}
}

// skipRest discards the rest of a line that is too long.
func (l *lineReader) skipRest() error {
	l.lineNumber++
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

func trimLineEnd(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line
}
