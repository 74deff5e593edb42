package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strings"
	"testing"
	"testing/iotest"
)

func TestChunkReader(t *testing.T) {
	for text, want := range map[string]string{
		"5\r\nhello\r\n0\r\n\r\n": "hello",
		"0\r\n\r\n":               "",
		"5;a=b;c=\"d\"\r\nhello\r\n1\r\n!\r\n00\r\n\r\n":   "hello!",
		"A\r\n0123456789\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n": "0123456789",
		"5 \r\nhello\r\n0\r\n\r\n":                         "hello",
		"5\nhello\n0\n\n":                                  "hello",
	} {
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "next")))
		got, err := io.ReadAll(NewChunkReader(r))
		if rest, _ := io.ReadAll(r); err != nil || string(got) != want || string(rest) != "next" {
			t.Errorf("%q: %q, %v, then %q", text, got, err, rest)
		}
	}
	for _, text := range []string{"", "5", "5\r\nhel", "5\r\nhello", "5\r\nhelloX\r\n0\r\n\r\n", "5\r\nhello\r\n", "-1\r\n", "x\r\n",
		"\r\n", "0\r\n", "0\r\nX: 1\r\n", "1000000000000000\r\n", "5\r\nhello\r\n0\r\n" + strings.Repeat("X: 1\r\n", 100) + "\r\n",
		"5;" + strings.Repeat("x", 9000) + "\r\nhello\r\n0\r\n\r\n"} {
		if got, err := io.ReadAll(NewChunkReader(bufio.NewReader(strings.NewReader(text)))); err == nil {
			t.Errorf("%.20q: %q", text, got)
		}
	}
}

// timeoutReader returns one byte at a time, and a time-out before each.
type timeoutReader struct {
	text     string
	timedOut bool
}

func (r *timeoutReader) Read(p []byte) (int, error) {
	if r.timedOut = !r.timedOut; r.timedOut {
		return 0, os.ErrDeadlineExceeded
	}
	if r.text == "" {
		return 0, io.EOF
	}
	p[0], r.text = r.text[0], r.text[1:]
	return 1, nil
}

// Guards against a broken body whose sender pauses within a line: reading goes on after a time-out, wherever it comes.
func TestChunkReaderGoesOnAfterTimeout(t *testing.T) {
	c := NewChunkReader(bufio.NewReader(&timeoutReader{text: "5;a=b\r\nhello\r\n1\r\n!\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"}))
	var got []byte
	for {
		part := make([]byte, 16)
		n, err := c.Read(part)
		got = append(got, part[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
	}
	if string(got) != "hello!" {
		t.Errorf("%q", got)
	}
}

// Read returns data that has arrived even if the buffer has room for more.
func TestChunkReaderReturnsPartialData(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	go io.WriteString(w, "100\r\nhello")
	c := NewChunkReader(bufio.NewReader(r))
	if n, err := c.Read(make([]byte, 256)); n != 5 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
}

// A body that is read here without an error is read by the standard library as the same body.
func FuzzChunkReader(f *testing.F) {
	for _, seed := range []string{"5\r\nhello\r\n0\r\n\r\n", "5;x\r\nhello\r\n0\r\nA: b\r\n\r\n", "1\n!\n0\n\n", "F\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := io.ReadAll(NewChunkReader(bufio.NewReader(bytes.NewReader(raw))))
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw)))
		// The library limits the cost of extensions and fails where there are many; it never returns other
		// data.
		if err == nil && !bytes.Equal(got, want) || err != nil && !bytes.HasPrefix(got, want) {
			t.Errorf("%q: %q, not %q (%v)", raw, got, want, errors.Unwrap(err))
		}
	})
}
