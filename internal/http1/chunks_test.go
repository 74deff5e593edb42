package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

func TestChunks(t *testing.T) {
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

// What has come is returned, though the buffer has room for more.
func TestChunksAsTheyCome(t *testing.T) {
	r, w := io.Pipe()
	defer w.Close()
	go io.WriteString(w, "100\r\nhello")
	c := NewChunkReader(bufio.NewReader(r))
	if n, err := c.Read(make([]byte, 256)); n != 5 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
}

// Whatever is read here as a whole body the standard library reads as the same one.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{"5\r\nhello\r\n0\r\n\r\n", "5;x\r\nhello\r\n0\r\nA: b\r\n\r\n", "1\n!\n0\n\n", "F\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := io.ReadAll(NewChunkReader(bufio.NewReader(bytes.NewReader(raw))))
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw)))
		// The library counts what extensions cost and gives up on many; it never reads something else.
		if err == nil && !bytes.Equal(got, want) || err != nil && !bytes.HasPrefix(got, want) {
			t.Errorf("%q: %q, not %q (%v)", raw, got, want, errors.Unwrap(err))
		}
	})
}
