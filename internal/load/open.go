package load

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/klauspost/compress/zstd"
)

// Options say how files are read.
type Options struct {
	Format string     // "auto", "har", "json", "common", "combined", "vhost_combined", or empty for auto
	Nginx  []string   // log_format strings or directives that are tried first
	Apache []string   // LogFormat strings or directives that are tried first
	JSON   *JSONNames // nil: DefaultJSONNames
	Stdin  io.Reader  // what "-" reads; nil: os.Stdin
}

const sniffSize = 64 << 10 // bytes that decide what a file is

// formats compiles the formats that are tried on lines.
func (o *Options) formats() (list []*Format, err error) {
	add := func(f *Format, e error) {
		if e != nil {
			err = errors.Join(err, e)
			return
		}
		list = append(list, f)
	}
	for i, text := range o.Nginx {
		add(CompileNginx(fmt.Sprintf("nginx-%d", i+1), text))
	}
	for i, text := range o.Apache {
		add(CompileApache(fmt.Sprintf("apache-%d", i+1), text))
	}
	known := map[string]string{"combined": Combined, "common": Common, "vhost_combined": VhostCombined}
	switch o.Format {
	case "", "auto":
		for _, name := range []string{"combined", "common", "vhost_combined"} {
			add(CompileApache(name, known[name]))
		}
	case "har", "json", "custom":
	default:
		text, ok := known[o.Format]
		if !ok {
			return nil, fmt.Errorf("format %q is not known; there are auto, har, json, common, combined, vhost_combined and custom", o.Format)
		}
		add(CompileApache(o.Format, text))
	}
	if o.Format == "custom" && len(list) == 0 && err == nil {
		err = errors.New("format custom needs a log_format or LogFormat")
	}
	return list, err
}

// Open opens a file ("-": standard input), plain or compressed by gzip or zstd, and tells by its
// first bytes what it holds where the options don't say.
func Open(name string, o Options, counts *Counts) (Source, error) {
	formats, err := o.formats()
	if err != nil {
		return nil, err
	}
	var raw io.ReadCloser
	if name == "-" {
		in := o.Stdin
		if in == nil {
			in = os.Stdin
		}
		raw = io.NopCloser(in)
	} else if raw, err = os.Open(name); err != nil {
		return nil, err
	}
	r, err := decompress(raw)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	buf := bufio.NewReaderSize(r, sniffSize)
	head, err := buf.Peek(sniffSize)
	if err != nil && !errors.Is(err, io.EOF) && len(head) == 0 {
		r.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if bytes.HasPrefix(head, []byte("\ufeff")) {
		buf.Discard(3)
		head = head[3:]
	}
	in := readCloser{buf, r}
	if o.Format == "har" || (o.Format == "" || o.Format == "auto") && looksLikeHAR(head) {
		return NewHARSource(name, in), nil
	}
	names := DefaultJSONNames()
	if o.JSON != nil {
		names = *o.JSON
	}
	jsonNames := &names
	if o.Format != "" && o.Format != "auto" && o.Format != "json" {
		jsonNames = nil
	}
	return NewLogSource(name, in, formats, jsonNames, counts), nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

// decompress tells by the first bytes how a stream is compressed.
func decompress(raw io.ReadCloser) (io.ReadCloser, error) {
	buf := bufio.NewReaderSize(raw, 64<<10)
	magic, _ := buf.Peek(4)
	switch {
	case bytes.HasPrefix(magic, []byte{0x1f, 0x8b}):
		z, err := gzip.NewReader(buf)
		if err != nil {
			return nil, fmt.Errorf("gzip: %w", err)
		}
		return readCloser{z, raw}, nil
	case bytes.Equal(magic, []byte{0x28, 0xb5, 0x2f, 0xfd}):
		// One goroutine and a bounded window: a file must not decide what memory it takes.
		z, err := zstd.NewReader(buf, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20),
			zstd.WithDecoderMaxWindow(16<<20))
		if err != nil {
			return nil, fmt.Errorf("zstd: %w", err)
		}
		return readCloser{z, closers{z.IOReadCloser(), raw}}, nil
	}
	return readCloser{buf, raw}, nil
}

type closers []io.Closer

func (c closers) Close() error {
	var err error
	for _, x := range c {
		err = errors.Join(err, x.Close())
	}
	return err
}

// looksLikeHAR tells a HAR file from JSON lines: an object whose first member that is an object is
// "log", or that has it within its first bytes while its first line is no whole object.
func looksLikeHAR(head []byte) bool {
	text := bytes.TrimLeft(head, " \t\r\n")
	if len(text) == 0 || text[0] != '{' {
		return false
	}
	after := bytes.TrimLeft(text[1:], " \t\r\n")
	if !bytes.HasPrefix(after, []byte(`"log"`)) {
		return false
	}
	after = bytes.TrimLeft(after[5:], " \t\r\n")
	after = bytes.TrimLeft(bytes.TrimPrefix(after, []byte(":")), " \t\r\n")
	return len(after) > 0 && after[0] == '{' && strings.Contains(string(text), `"entries"`) || len(after) > 0 && after[0] == '{' && len(head) >= sniffSize
}
