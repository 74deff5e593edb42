package load

import (
	"bytes"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Format is an access log's line format, compiled. It is used by one goroutine at a time.
type Format struct {
	Name   string
	pieces []piece
	json   bool // values are escaped as in JSON
	times  commonTimes
}

// piece is a literal text, or a field that ends where the next literal begins.
type piece struct {
	lit   string
	field field
	name  string // with fieldOther and fieldHeader
	quote bool   // stands between quotes, with escapes
}

type field uint8

const (
	fieldNone   field = iota // a literal
	fieldIgnore              // of no use here
	fieldClient
	fieldRequest // method, target and version
	fieldMethod
	fieldTarget // path with query
	fieldPath
	fieldQuery // without its question mark
	fieldStatus
	fieldCommonTime
	fieldISOTime
	fieldSeconds // Unix time with a fraction
	fieldMillis
	fieldMicros
	fieldAnyTime
	fieldHost
	fieldBody
	fieldHeader
	fieldOther
)

// The formats that are known by name.
const (
	Common        = `%h %l %u %t "%r" %>s %b`
	Combined      = Common + ` "%{Referer}i" "%{User-Agent}i"`
	VhostCombined = `%v:%p ` + Combined
)

var nginxFields = map[string]field{
	"remote_addr": fieldClient, "realip_remote_addr": fieldClient, "request": fieldRequest, "request_method": fieldMethod,
	"request_uri": fieldTarget, "uri": fieldPath, "document_uri": fieldPath, "args": fieldQuery, "query_string": fieldQuery,
	"status": fieldStatus, "time_local": fieldCommonTime, "time_iso8601": fieldISOTime, "msec": fieldSeconds,
	"host": fieldHost, "http_host": fieldHost, "server_name": fieldHost, "request_body": fieldBody,
}

// CompileNginx compiles the format of an nginx log_format directive: the string itself, or the
// whole directive with its name, quotes and escape parameter.
func CompileNginx(name, text string) (*Format, error) {
	f := &Format{Name: name}
	text = strings.TrimSpace(text)
	if rest, ok := strings.CutPrefix(text, "log_format"); ok {
		var err error
		if text, err = joinDirective(rest, f); err != nil {
			return nil, fmt.Errorf("log_format: %w", err)
		}
	}
	lit := ""
	for len(text) > 0 {
		if text[0] != '$' {
			lit += text[:1]
			text = text[1:]
			continue
		}
		var v string
		if strings.HasPrefix(text, "${") {
			end := strings.IndexByte(text, '}')
			if end < 0 {
				return nil, fmt.Errorf("log_format: %q has no end", text)
			}
			v, text = text[2:end], text[end+1:]
		} else {
			end := 1
			for end < len(text) && (text[end] == '_' || isAlnum(text[end])) {
				end++
			}
			v, text = text[1:end], text[end:]
		}
		if v == "" {
			return nil, fmt.Errorf("log_format: a $ without a name")
		}
		p := piece{field: nginxFields[v], name: v}
		if p.field == fieldNone {
			p.field = fieldOther
			if h, ok := strings.CutPrefix(v, "http_"); ok {
				p.field, p.name = fieldHeader, "header."+strings.ReplaceAll(h, "_", "-")
			} else if a, ok := strings.CutPrefix(v, "arg_"); ok {
				p.name = "query." + a
			}
		}
		f.add(&lit, p)
	}
	return f.finish(lit)
}

// joinDirective takes a log_format directive apart: its name, escape=, and quoted strings that
// are joined.
func joinDirective(rest string, f *Format) (string, error) {
	rest = strings.TrimSuffix(strings.TrimSpace(rest), ";")
	joined, first := "", true
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(rest) {
		if rest[0] == '\'' || rest[0] == '"' {
			q, i, b := rest[0], 1, strings.Builder{}
			for ; i < len(rest) && rest[i] != q; i++ {
				if rest[i] == '\\' && i+1 < len(rest) {
					i++
				}
				b.WriteByte(rest[i])
			}
			if i >= len(rest) {
				return "", fmt.Errorf("a string has no end")
			}
			joined += b.String()
			rest = rest[i+1:]
			continue
		}
		word, after, _ := strings.Cut(rest, " ")
		switch {
		case strings.HasPrefix(word, "escape="):
			f.json = word == "escape=json"
		case first:
			f.Name = word
		default:
			joined += word
		}
		first, rest = false, after
	}
	return joined, nil
}

func isAlnum(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// CompileApache compiles the format of an Apache LogFormat directive: the string itself, or the
// whole directive with its quotes and nickname.
func CompileApache(name, text string) (*Format, error) {
	f := &Format{Name: name}
	text = strings.TrimSpace(text)
	if rest, ok := strings.CutPrefix(text, "LogFormat"); ok {
		rest = strings.TrimSpace(rest)
		if rest == "" || rest[0] != '"' {
			return nil, fmt.Errorf("LogFormat: no quoted format")
		}
		var b strings.Builder
		i := 1
		for ; i < len(rest) && rest[i] != '"'; i++ {
			if rest[i] == '\\' && i+1 < len(rest) && (rest[i+1] == '"' || rest[i+1] == '\\') {
				i++
			}
			b.WriteByte(rest[i])
		}
		if i >= len(rest) {
			return nil, fmt.Errorf("LogFormat: the format has no end")
		}
		if nick := strings.TrimSpace(rest[i+1:]); nick != "" {
			f.Name = nick
		}
		text = b.String()
	} else {
		text = strings.ReplaceAll(text, `\"`, `"`)
	}
	lit := ""
	for len(text) > 0 {
		if text[0] != '%' {
			lit += text[:1]
			text = text[1:]
			continue
		}
		if strings.HasPrefix(text, "%%") {
			lit += "%"
			text = text[2:]
			continue
		}
		i := 1
		for i < len(text) && (text[i] == '!' || text[i] == ',' || text[i] == '<' || text[i] == '>' || text[i] >= '0' && text[i] <= '9') {
			i++
		}
		arg := ""
		if i < len(text) && text[i] == '{' {
			end := strings.IndexByte(text[i:], '}')
			if end < 0 {
				return nil, fmt.Errorf("LogFormat: %q has no end", text)
			}
			arg = text[i+1 : i+end]
			i += end + 1
		}
		if i < len(text) && text[i] == '^' {
			i += 2
		}
		if i >= len(text) {
			return nil, fmt.Errorf("LogFormat: %q has no directive", text)
		}
		p, bracket := apacheField(text[i], arg)
		if bracket { // %t brings its own
			lit += "["
			f.add(&lit, p)
			lit = "]"
		} else {
			f.add(&lit, p)
		}
		text = text[i+1:]
	}
	return f.finish(lit)
}

// apacheField tells what a directive stands for, and whether it is written in brackets.
func apacheField(d byte, arg string) (p piece, bracket bool) {
	switch d {
	case 'h', 'a':
		return piece{field: fieldClient}, false
	case 'r':
		return piece{field: fieldRequest}, false
	case 'm':
		return piece{field: fieldMethod}, false
	case 'U':
		return piece{field: fieldPath}, false
	case 'q':
		return piece{field: fieldQuery}, false
	case 's':
		return piece{field: fieldStatus}, false
	case 'v', 'V':
		return piece{field: fieldHost}, false
	case 'i':
		if strings.EqualFold(arg, "host") {
			return piece{field: fieldHost}, false
		}
		return piece{field: fieldHeader, name: "header." + strings.ToLower(arg)}, false
	case 't':
		arg = strings.TrimPrefix(strings.TrimPrefix(arg, "begin:"), "end:")
		switch arg {
		case "":
			return piece{field: fieldCommonTime}, true
		case "sec":
			return piece{field: fieldSeconds}, false
		case "msec":
			return piece{field: fieldMillis}, false
		case "usec":
			return piece{field: fieldMicros}, false
		}
		return piece{field: fieldAnyTime}, false
	case 'l', 'b', 'B', 'p', 'P', 'H', 'k', 'X', 'O', 'I', 'S', 'f', 'R', 'A', 'L':
		return piece{field: fieldIgnore}, false
	case 'u':
		return piece{field: fieldOther, name: "user"}, false
	}
	return piece{field: fieldOther, name: strings.ToLower(strings.TrimSpace(string(d) + "." + arg))}, false
}

func (f *Format) add(lit *string, p piece) {
	if *lit != "" {
		f.pieces = append(f.pieces, piece{lit: *lit})
	}
	*lit = ""
	f.pieces = append(f.pieces, p)
}

// finish checks a format: two fields with nothing between them can't be told apart.
func (f *Format) finish(lit string) (*Format, error) {
	if lit != "" {
		f.pieces = append(f.pieces, piece{lit: lit})
	}
	request := false
	for i := range f.pieces {
		p := &f.pieces[i]
		if p.field == fieldNone {
			continue
		}
		request = request || p.field == fieldRequest || p.field == fieldTarget || p.field == fieldPath
		if i > 0 && i+1 < len(f.pieces) && strings.HasSuffix(f.pieces[i-1].lit, `"`) && strings.HasPrefix(f.pieces[i+1].lit, `"`) {
			p.quote = true
		}
		if i+1 < len(f.pieces) && f.pieces[i+1].field != fieldNone {
			if p.field == fieldPath && f.pieces[i+1].field == fieldQuery { // %U%q: the question mark parts them
				continue
			}
			return nil, fmt.Errorf("format %s: nothing stands between two fields", f.Name)
		}
	}
	if !request {
		return nil, fmt.Errorf("format %s: it records no request", f.Name)
	}
	return f, nil
}

// parse reads a line into e. It returns what stands behind the format's end.
func (f *Format) parse(line []byte, e *Entry) (rest []byte, ok bool) {
	at := line
	var path, query string
	for i := range f.pieces {
		p := &f.pieces[i]
		if p.field == fieldNone {
			if len(at) < len(p.lit) || string(at[:len(p.lit)]) != p.lit {
				return nil, false
			}
			at = at[len(p.lit):]
			continue
		}
		value, after, ok := f.value(at, i)
		if !ok {
			return nil, false
		}
		at = after
		if p.field == fieldIgnore || len(value) == 1 && value[0] == '-' || len(value) == 0 && p.field != fieldRequest {
			continue
		}
		if !f.take(e, p, value, &path, &query) {
			return nil, false
		}
	}
	if e.Target == "" && path != "" {
		if e.Target = path; query != "" {
			e.Target += "?" + strings.TrimPrefix(query, "?")
		}
	}
	return at, true
}

// value finds where the field at place i ends.
func (f *Format) value(at []byte, i int) (value, rest []byte, ok bool) {
	p := &f.pieces[i]
	switch {
	case p.quote:
		for n := 0; n < len(at); n++ {
			if at[n] == '\\' {
				n++
			} else if at[n] == '"' {
				return at[:n], at[n:], true
			}
		}
		return nil, nil, false
	case i+1 == len(f.pieces): // to the end; a number ends by itself, so that what is run together shows
		n := 0
		if p.field == fieldIgnore || p.field == fieldStatus {
			for n < len(at) && at[n] != ' ' && (at[n] >= '0' && at[n] <= '9' || n == 0) {
				n++
			}
		} else {
			n = len(at)
		}
		return at[:n], at[n:], n > 0
	case f.pieces[i+1].field != fieldNone: // a path before its query
		n := bytes.IndexAny(at, "? \"")
		if n < 0 {
			n = len(at)
		}
		return at[:n], at[n:], true
	}
	lit := f.pieces[i+1].lit
	n := bytes.Index(at, []byte(lit))
	if lit[0] == ' ' && p.field != fieldCommonTime && p.field != fieldISOTime && p.field != fieldAnyTime && p.field != fieldRequest {
		n = bytes.IndexByte(at, ' ') // a value without quotes holds no blank
	}
	if n < 0 {
		return nil, nil, false
	}
	return at[:n], at[n:], true
}

// take puts one value in its place.
func (f *Format) take(e *Entry, p *piece, value []byte, path, query *string) bool {
	var err error
	switch p.field {
	case fieldClient:
		e.Client = string(value)
	case fieldRequest:
		return requestLine(e, f.text(p, value))
	case fieldMethod:
		e.Method = f.text(p, value)
	case fieldTarget:
		e.Target = f.text(p, value)
	case fieldPath:
		*path = f.text(p, value)
	case fieldQuery:
		*query = f.text(p, value)
	case fieldStatus:
		n, ok := digits(string(value))
		if !ok || n > 999 {
			return false
		}
		e.Status = n
	case fieldCommonTime:
		e.Time, err = f.times.parse(value)
		e.Coarse = true
	case fieldISOTime:
		e.Time, err = parseISOTime(string(value))
		e.Coarse = !bytes.ContainsAny(value, ".,")
	case fieldSeconds:
		e.Time, err = parseEpoch(string(value), 1)
		e.Coarse = bytes.IndexByte(value, '.') < 0
	case fieldMillis:
		e.Time, err = parseEpoch(string(value), 1e3)
		e.Coarse = false
	case fieldMicros:
		e.Time, err = parseEpoch(string(value), 1e6)
		e.Coarse = false
	case fieldAnyTime:
		e.Time, e.Coarse, err = parseAnyTime(strings.Trim(string(value), "[]"))
	case fieldHost:
		e.Host = f.text(p, value)
	case fieldBody:
		e.Body = []byte(f.text(p, value))
		e.BodySize = int64(len(e.Body))
	case fieldHeader, fieldOther:
		if e.Fields == nil {
			e.Fields = make(Fields, 0, 4)
		}
		e.Fields = append(e.Fields, Field{p.name, f.text(p, value)})
	}
	// A time that can't be read is a time that is missing: the request was sent all the same.
	if err != nil {
		e.Time, e.Coarse = time.Time{}, false
		return p.field == fieldCommonTime && looksLikeTime(value) || p.field != fieldCommonTime
	}
	return true
}

// looksLikeTime tells a time that makes no sense from another field in its place.
func looksLikeTime(b []byte) bool { return len(b) <= 40 && !bytes.ContainsAny(b, `"[`) }

// requestLine reads METHOD TARGET VERSION; HTTP/0.9 has no version.
func requestLine(e *Entry, text string) bool {
	method, rest, ok := strings.Cut(text, " ")
	if !ok { // noise that was logged for a request
		e.Method, e.Target = text, ""
		return true
	}
	e.Method, e.Target = method, rest
	if i := strings.LastIndexByte(rest, ' '); i >= 0 && strings.HasPrefix(rest[i+1:], "HTTP/") {
		e.Target = rest[:i]
	}
	return true
}

// text undoes the escapes of a value.
func (f *Format) text(p *piece, value []byte) string {
	if bytes.IndexByte(value, '\\') < 0 {
		return string(value)
	}
	if f.json {
		if s, err := strconv.Unquote(`"` + strings.ReplaceAll(string(value), `\/`, "/") + `"`); err == nil {
			return s
		}
	}
	out := make([]byte, 0, len(value))
	for i := 0; i < len(value); i++ {
		c := value[i]
		if c != '\\' || i+1 == len(value) {
			out = append(out, c)
			continue
		}
		i++
		switch value[i] {
		case 'n':
			out = append(out, '\n')
		case 't':
			out = append(out, '\t')
		case 'r':
			out = append(out, '\r')
		case 'x':
			if i+2 < len(value) {
				if v, err := strconv.ParseUint(string(value[i+1:i+3]), 16, 8); err == nil {
					out = append(out, byte(v))
					i += 2
					continue
				}
			}
			out = append(out, '\\', 'x')
		default:
			out = append(out, value[i])
		}
	}
	return string(out)
}

// bracketed finds what begins the time of a record in the Common Log Format.
var bracketed = regexp.MustCompile(`\[\d{2}/[A-Z][a-z]{2}/\d{4}:`)

// suffix finds in a line that doesn't parse the last record that does: rotation and crashes run the
// head of one line and a whole one together. The client's address is taken from the right, as
// long as it is one.
func (f *Format) suffix(line []byte, e *Entry) bool {
	found := bracketed.FindAllIndex(line, 8)
	for k := len(found) - 1; k >= 0; k-- {
		for s := max(0, clientStart(line, found[k][0])); s < found[k][0]; s++ {
			try := *e
			try.Fields = nil
			if rest, ok := f.parse(line[s:], &try); ok && len(rest) == 0 && plausibleClient(try.Client) {
				*e = try
				return true
			}
		}
	}
	return false
}

// clientStart is where the token begins that stands two tokens before the time.
func clientStart(line []byte, at int) int {
	for range 3 {
		if at == 0 {
			return 0
		}
		i := bytes.LastIndexByte(line[:at-1], ' ')
		if i < 0 {
			return 0
		}
		at = i + 1
	}
	return at
}

func plausibleClient(s string) bool {
	if _, err := netip.ParseAddr(s); err == nil {
		return true
	}
	return s != "" && utf8.ValidString(s) && !strings.ContainsAny(s, `":[]/`) && strings.ContainsFunc(s, func(r rune) bool { return r >= 'a' && r <= 'z' })
}
