package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"testing"
	"time"
)

// made is a log of about 10 MB.
func made(b *testing.B, format string) []byte {
	b.Helper()
	var text bytes.Buffer
	if _, err := Generate(&text, GenerateOptions{Format: format, Rate: 1000, Seconds: 90, Repeats: 0.03, Seed: 1}); err != nil {
		b.Fatal(err)
	}
	return text.Bytes()
}

// BenchmarkSources reads logs to requests, in full: the line of figures per source in
// docs/measurements/load.md.
func BenchmarkSources(b *testing.B) {
	for _, format := range []string{"combined", "json", "har"} {
		b.Run(format, func(b *testing.B) {
			raw := made(b, format)
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				p, err := NewPlan([]string{"-"}, Options{Stdin: bytes.NewReader(raw)}, OrderOptions{}, nil)
				if err != nil {
					b.Fatal(err)
				}
				if in, err := Inspect(p, 10*time.Second, nil); err != nil || in.Unmatched > 0 || len(in.Skipped) > 0 {
					b.Fatal(in, err)
				}
			}
		})
	}
}

// BenchmarkReading is the sources alone: entries, neither put in order nor mapped.
func BenchmarkReading(b *testing.B) {
	for _, format := range []string{"combined", "json", "har"} {
		b.Run(format, func(b *testing.B) {
			raw := made(b, format)
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				src, err := Open("-", Options{Stdin: bytes.NewReader(raw)}, NewCounts())
				if err != nil {
					b.Fatal(err)
				}
				for {
					if _, err := src.Next(); err == io.EOF {
						break
					} else if err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkBare is what the same lines cost without any of it: their ends counted, one regular
// expression a line, encoding/json into a struct.
func BenchmarkBare(b *testing.B) {
	b.Run("lines", func(b *testing.B) {
		raw := made(b, "combined")
		b.SetBytes(int64(len(raw)))
		for b.Loop() {
			l := newLines(bytes.NewReader(raw))
			for {
				if _, err := l.next(); err == io.EOF {
					break
				}
			}
		}
	})
	b.Run("regexp", func(b *testing.B) {
		re := regexp.MustCompile(`^(\S+) \S+ \S+ \[([^\]]+)\] "(\S+) (\S+) [^"]*" (\d+) \S+ "([^"]*)" "([^"]*)"$`)
		raw := made(b, "combined")
		b.SetBytes(int64(len(raw)))
		for b.Loop() {
			s := bufio.NewScanner(bytes.NewReader(raw))
			for s.Scan() {
				if re.FindSubmatch(s.Bytes()) == nil {
					b.Fatal(s.Text())
				}
			}
		}
	})
	b.Run("json", func(b *testing.B) {
		raw := made(b, "json")
		b.SetBytes(int64(len(raw)))
		for b.Loop() {
			s := bufio.NewScanner(bytes.NewReader(raw))
			for s.Scan() {
				var v struct {
					Time, RemoteAddr, Method, URI string
					Status                        int
				}
				if err := json.Unmarshal(s.Bytes(), &v); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}
