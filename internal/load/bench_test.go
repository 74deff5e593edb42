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

// generatedLog returns a synthetic log of about 10 MB.
func generatedLog(b *testing.B, format string) []byte {
	b.Helper()
	var text bytes.Buffer
	if _, err := Generate(&text, GenerateOptions{Format: format, Rate: 1000, Seconds: 90, Repeats: 0.03, Seed: 1}); err != nil {
		b.Fatal(err)
	}
	return text.Bytes()
}

// BenchmarkSources measures reading logs up to requests. docs/measurements/load.md lists its result for each
// format.
func BenchmarkSources(b *testing.B) {
	for _, format := range []string{"combined", "json", "har"} {
		b.Run(format, func(b *testing.B) {
			raw := generatedLog(b, format)
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

// BenchmarkReading measures the sources alone: entries are neither sorted nor mapped.
func BenchmarkReading(b *testing.B) {
	for _, format := range []string{"combined", "json", "har"} {
		b.Run(format, func(b *testing.B) {
			raw := generatedLog(b, format)
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

// BenchmarkBare measures a baseline on the same logs: splitting into lines, one regular expression per line, and
// decoding each line into a struct with encoding/json.
func BenchmarkBare(b *testing.B) {
	b.Run("lines", func(b *testing.B) {
		raw := generatedLog(b, "combined")
		b.SetBytes(int64(len(raw)))
		for b.Loop() {
			l := newLineReader(bytes.NewReader(raw))
			for {
				if _, err := l.next(); err == io.EOF {
					break
				}
			}
		}
	})
	b.Run("regexp", func(b *testing.B) {
		re := regexp.MustCompile(`^(\S+) \S+ \S+ \[([^\]]+)\] "(\S+) (\S+) [^"]*" (\d+) \S+ "([^"]*)" "([^"]*)"$`)
		raw := generatedLog(b, "combined")
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
		raw := generatedLog(b, "json")
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
