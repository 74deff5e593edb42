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

// Format is the compiled line format of an access log. It is not safe for concurrent use, since it caches parsed times.
type Format struct {
	Name        string
	pieces      []piece         // the line from left to right
	jsonEscapes bool            // values are escaped as JSON strings
	times       commonTimeCache // cache of the last time parsed
}

// piece is a part of a format: a literal text (field is fieldNone), or a field whose value extends to the next literal.
type piece struct {
	literal string
	field   field
	name    string // name of the entry's field, for fieldOther and fieldHeader
	quoted  bool   // the value stands between double quotes and may contain escapes
}

// field is the kind of value that a piece of a format holds.
type field uint8

const (
	fieldNone   field = iota // a literal
	fieldIgnore              // parsed, but not used
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

// Formats known by name, as format strings of Apache's LogFormat.
const (
	Common        = `%h %l %u %t "%r" %>s %b`
	Combined      = Common + ` "%{Referer}i" "%{User-Agent}i"`
	VhostCombined = `%v:%p ` + Combined
)

// nginxFields maps nginx variables to the fields that they hold.
var nginxFields = map[string]field{
	"remote_addr": fieldClient, "realip_remote_addr": fieldClient, "request": fieldRequest, "request_method": fieldMethod,
	"request_uri": fieldTarget, "uri": fieldPath, "document_uri": fieldPath, "args": fieldQuery, "query_string": fieldQuery,
	"status": fieldStatus, "time_local": fieldCommonTime, "time_iso8601": fieldISOTime, "msec": fieldSeconds,
	"host": fieldHost, "http_host": fieldHost, "server_name": fieldHost, "request_body": fieldBody,
}

// CompileNginx compiles the format of an nginx log_format directive. text is the format string alone or the
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
	literal := ""
	for len(text) > 0 {
		if text[0] != '$' {
			literal += text[:1]
			text = text[1:]
			continue
		}
		var v string
		if strings.HasPrefix(text, "${") {
			end := strings.IndexByte(text, '}')
			if end < 0 {
				return nil, fmt.Errorf("log_format: %q has no closing brace", text)
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
		f.add(&literal, p)
	}
	return f.finish(literal)
}

// joinDirective parses the arguments of a log_format directive: it sets the format's name and escape mode, and
// returns its quoted strings joined together.
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
				return "", fmt.Errorf("unterminated string")
			}
			joined += b.String()
			rest = rest[i+1:]
			continue
		}
		word, after, _ := strings.Cut(rest, " ")
		switch {
		case strings.HasPrefix(word, "escape="):
			f.jsonEscapes = word == "escape=json"
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

// CompileApache compiles the format of an Apache LogFormat directive. text is the format string alone or the
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
			return nil, fmt.Errorf("LogFormat: unterminated format string")
		}
		if nick := strings.TrimSpace(rest[i+1:]); nick != "" {
			f.Name = nick
		}
		text = b.String()
	} else {
		text = strings.ReplaceAll(text, `\"`, `"`)
	}
	literal := ""
	for len(text) > 0 {
		if text[0] != '%' {
			literal += text[:1]
			text = text[1:]
			continue
		}
		if strings.HasPrefix(text, "%%") {
			literal += "%"
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
				return nil, fmt.Errorf("LogFormat: %q has no closing brace", text)
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
		if bracket { // Apache writes %t in brackets
			literal += "["
			f.add(&literal, p)
			literal = "]"
		} else {
			f.add(&literal, p)
		}
		text = text[i+1:]
	}
	return f.finish(literal)
}

// apacheField returns the piece for a format directive, and whether its value is written in brackets.
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

// add appends the collected literal, if any, and then p to the pieces, and empties the literal.
func (f *Format) add(literal *string, p piece) {
	if *literal != "" {
		f.pieces = append(f.pieces, piece{literal: *literal})
	}
	*literal = ""
	f.pieces = append(f.pieces, p)
}

// finish appends the last literal and checks the format: it must record the request, and two adjacent fields
// need a literal between them because their values cannot be separated otherwise.
func (f *Format) finish(literal string) (*Format, error) {
	if literal != "" {
		f.pieces = append(f.pieces, piece{literal: literal})
	}
	request := false
	for i := range f.pieces {
		p := &f.pieces[i]
		if p.field == fieldNone {
			continue
		}
		request = request || p.field == fieldRequest || p.field == fieldTarget || p.field == fieldPath
		if i > 0 && i+1 < len(f.pieces) && strings.HasSuffix(f.pieces[i-1].literal, `"`) && strings.HasPrefix(f.pieces[i+1].literal, `"`) {
			p.quoted = true
		}
		if i+1 < len(f.pieces) && f.pieces[i+1].field != fieldNone {
			if p.field == fieldPath && f.pieces[i+1].field == fieldQuery { // %U%q: the query begins with a question mark
				continue
			}
			return nil, fmt.Errorf("format %s: two fields without a literal between them", f.Name)
		}
	}
	if !request {
		return nil, fmt.Errorf("format %s: no field records the request", f.Name)
	}
	return f, nil
}

// parse parses a line into e. It returns the rest of the line after the end of the format, and whether the line has the format.
func (f *Format) parse(line []byte, e *Entry) (rest []byte, ok bool) {
	remaining := line
	var path, query string
	for i := range f.pieces {
		p := &f.pieces[i]
		if p.field == fieldNone {
			if len(remaining) < len(p.literal) || string(remaining[:len(p.literal)]) != p.literal {
				return nil, false
			}
			remaining = remaining[len(p.literal):]
			continue
		}
		value, after, ok := f.fieldValue(remaining, i)
		if !ok {
			return nil, false
		}
		remaining = after
		if p.field == fieldIgnore || len(value) == 1 && value[0] == '-' || len(value) == 0 && p.field != fieldRequest {
			continue
		}
		if !f.setField(e, p, value, &path, &query) {
			return nil, false
		}
	}
	if e.Target == "" && path != "" {
		if e.Target = path; query != "" {
			e.Target += "?" + strings.TrimPrefix(query, "?")
		}
	}
	return remaining, true
}

// fieldValue returns the value of the field at index i, and the rest of the line after it.
func (f *Format) fieldValue(at []byte, i int) (value, rest []byte, ok bool) {
	p := &f.pieces[i]
	switch {
	case p.quoted:
		for n := 0; n < len(at); n++ {
			if at[n] == '\\' {
				n++
			} else if at[n] == '"' {
				return at[:n], at[n:], true
			}
		}
		return nil, nil, false
	case i+1 == len(f.pieces): // up to the end of the line; a number ends at the first other byte, which reveals a second record
		n := 0
		if p.field == fieldIgnore || p.field == fieldStatus {
			for n < len(at) && at[n] != ' ' && (at[n] >= '0' && at[n] <= '9' || n == 0) {
				n++
			}
		} else {
			n = len(at)
		}
		return at[:n], at[n:], n > 0
	case f.pieces[i+1].field != fieldNone: // a path directly followed by its query
		n := bytes.IndexAny(at, "? \"")
		if n < 0 {
			n = len(at)
		}
		return at[:n], at[n:], true
	}
	literal := f.pieces[i+1].literal
	n := bytes.Index(at, []byte(literal))
	if literal[0] == ' ' && p.field != fieldCommonTime && p.field != fieldISOTime && p.field != fieldAnyTime && p.field != fieldRequest {
		n = bytes.IndexByte(at, ' ') // a value without quotes contains no space
	}
	if n < 0 {
		return nil, nil, false
	}
	return at[:n], at[n:], true
}

// setField stores the value of a piece in e, or in *path or *query, of which the target is made later. It returns false if the value
// can't be one of the field.
func (f *Format) setField(e *Entry, p *piece, value []byte, path, query *string) bool {
	var err error
	switch p.field {
	case fieldClient:
		e.Client = string(value)
	case fieldRequest:
		return setRequestLine(e, f.unescape(p, value))
	case fieldMethod:
		e.Method = f.unescape(p, value)
	case fieldTarget:
		e.Target = f.unescape(p, value)
	case fieldPath:
		*path = f.unescape(p, value)
	case fieldQuery:
		*query = f.unescape(p, value)
	case fieldStatus:
		n, ok := parseDigits(string(value))
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
		e.Host = f.unescape(p, value)
	case fieldBody:
		e.Body = []byte(f.unescape(p, value))
		e.BodySize = int64(len(e.Body))
	case fieldHeader, fieldOther:
		if e.Fields == nil {
			e.Fields = make(Fields, 0, 4)
		}
		e.Fields = append(e.Fields, Field{p.name, f.unescape(p, value)})
	}
	// An invalid time is treated as missing: the request was sent nonetheless.
	if err != nil {
		e.Time, e.Coarse = time.Time{}, false
		return p.field == fieldCommonTime && looksLikeTime(value) || p.field != fieldCommonTime
	}
	return true
}

// looksLikeTime reports whether b may be an invalid time, as opposed to another field in its place.
func looksLikeTime(b []byte) bool { return len(b) <= 40 && !bytes.ContainsAny(b, `"[`) }

// setRequestLine splits "METHOD TARGET VERSION" into the method and target of e; HTTP/0.9 has no version.
func setRequestLine(e *Entry, text string) bool {
	method, rest, ok := strings.Cut(text, " ")
	if !ok { // arbitrary bytes that were logged as a request
		e.Method, e.Target = text, ""
		return true
	}
	e.Method, e.Target = method, rest
	if i := strings.LastIndexByte(rest, ' '); i >= 0 && strings.HasPrefix(rest[i+1:], "HTTP/") {
		e.Target = rest[:i]
	}
	return true
}

// unescape returns a value with its escape sequences replaced.
func (f *Format) unescape(p *piece, value []byte) string {
	if bytes.IndexByte(value, '\\') < 0 {
		return string(value)
	}
	if f.jsonEscapes {
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

// recordTime matches the start of a time in the Common Log Format.
var recordTime = regexp.MustCompile(`\[\d{2}/[A-Z][a-z]{2}/\d{4}:`)

// parseLastRecord parses the last complete record of a line that doesn't parse as a whole: log rotation and
// crashes can leave the head of one record followed by a complete one. The record's start is not marked, so
// the longest plausible client address in front of the time is taken.
func (f *Format) parseLastRecord(line []byte, e *Entry) bool {
	found := recordTime.FindAllIndex(line, 8)
	for k := len(found) - 1; k >= 0; k-- {
		for s := max(0, clientStart(line, found[k][0])); s < found[k][0]; s++ {
			candidate := *e
			candidate.Fields = nil
			if rest, ok := f.parse(line[s:], &candidate); ok && len(rest) == 0 && plausibleClient(candidate.Client) {
				*e = candidate
				return true
			}
		}
	}
	return false
}

// clientStart returns the index at which the token begins that stands two tokens before the time.
func clientStart(line []byte, timeStart int) int {
	for range 3 {
		if timeStart == 0 {
			return 0
		}
		i := bytes.LastIndexByte(line[:timeStart-1], ' ')
		if i < 0 {
			return 0
		}
		timeStart = i + 1
	}
	return timeStart
}

func plausibleClient(s string) bool {
	if _, err := netip.ParseAddr(s); err == nil {
		return true
	}
	return s != "" && utf8.ValidString(s) && !strings.ContainsAny(s, `":[]/`) && strings.ContainsFunc(s, func(r rune) bool { return r >= 'a' && r <= 'z' })
}
