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

// Options define how recorded files are read.
type Options struct {
	Format string     // "auto", "har", "json", "common", "combined", "vhost_combined" or "custom"; empty for auto
	Nginx  []string   // log_format strings or directives that are tried first
	Apache []string   // LogFormat strings or directives that are tried first
	JSON   *JSONNames // nil for DefaultJSONNames
	Stdin  io.Reader  // input for the file name "-"; nil for os.Stdin
}

const sniffSize = 64 << 10 // bytes from the start of a file by which its format is detected

// formats compiles the line formats that are tried on each line.
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
			return nil, fmt.Errorf("unknown format %q; want auto, har, json, common, combined, vhost_combined or custom", o.Format)
		}
		add(CompileApache(o.Format, text))
	}
	if o.Format == "custom" && len(list) == 0 && err == nil {
		err = errors.New("format custom needs a log_format or LogFormat string")
	}
	return list, err
}

// Open opens a file, or standard input for "-". Plain, gzip and zstd files are accepted. If the options don't
// set the format, it is detected from the first bytes.
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

// decompress detects gzip and zstd by their magic numbers and returns a reader of the decompressed stream.
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
		// One goroutine and a bounded window, so that a file cannot dictate how much memory is used.
		z, err := zstd.NewReader(buf, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20),
			zstd.WithDecoderMaxWindow(16<<20))
		if err != nil {
			return nil, fmt.Errorf("zstd: %w", err)
		}
		return readCloser{z, closers{z.IOReadCloser(), raw}}, nil
	}
	return readCloser{buf, raw}, nil
}

// closers closes several closers in order.
type closers []io.Closer

func (c closers) Close() error {
	var err error
	for _, x := range c {
		err = errors.Join(err, x.Close())
	}
	return err
}

// looksLikeHAR distinguishes a HAR file from JSON lines: the first member of the first object is the object
// "log", and either "entries" occurs in head or head is as long as sniffSize.
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
