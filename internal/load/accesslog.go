package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// logSource reads access logs line by line. It tries the formats on each line, starting with the format that
// matched the previous line, so files may mix formats.
type logSource struct {
	file       string // name of the file, for errors and entries
	lines      *lineReader
	closer     io.Closer
	formats    []*Format  // tried in this order on each line
	json       *jsonLines // nil if JSON lines are not accepted
	counts     *Counts    // where repairs are counted
	pending    []*Entry   // entries already parsed from the last line, returned by the next calls
	pendingErr error      // error that every later call of Next returns
}

// NewLogSource returns a Source for an access log in any of the formats. JSON lines are accepted if names is
// not nil.
func NewLogSource(file string, r io.Reader, formats []*Format, names *JSONNames, counts *Counts) Source {
	s := &logSource{file: file, lines: newLineReader(r), formats: append([]*Format(nil), formats...), counts: counts}
	if c, ok := r.(io.Closer); ok {
		s.closer = c
	}
	if names != nil {
		s.json = &jsonLines{names: *names}
	}
	return s
}

func (s *logSource) Close() error {
	if s.closer == nil {
		return nil
	}
	return s.closer.Close()
}

func (s *logSource) Next() (*Entry, error) {
	if len(s.pending) > 0 {
		e := s.pending[0]
		s.pending = s.pending[1:]
		return e, nil
	}
	if s.pendingErr != nil {
		return nil, s.pendingErr
	}
	for {
		line, err := s.lines.next()
		switch {
		case errors.Is(err, errLongLine):
			return nil, s.skip(ReasonLong, "")
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		case err != nil: // a compressed stream that is truncated or corrupt
			s.pendingErr = io.EOF
			return nil, s.skip(ReasonStreamCut, err.Error())
		}
		line = bytes.TrimPrefix(line, []byte("\ufeff"))
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		return s.parseLine(line)
	}
}

// skip returns the error for the current line.
func (s *logSource) skip(reason, detail string) *Skip {
	return &Skip{Reason: reason, File: s.file, Line: s.lines.lineNumber, Detail: detail}
}

// newEntry returns an entry with the place of the current line.
func (s *logSource) newEntry() *Entry {
	return &Entry{File: s.file, Line: s.lines.lineNumber, BodySize: -1}
}

// parseLine parses one line. It returns the first entry; if two records were run together on the line, the second one goes to pending.
func (s *logSource) parseLine(line []byte) (*Entry, error) {
	if line[0] == '{' && s.json != nil {
		e := s.newEntry()
		if err := s.json.parse(line, e); err != nil {
			reason := ReasonFormat
			if errors.Is(err, io.ErrUnexpectedEOF) {
				reason = ReasonCut
			}
			return nil, s.skip(reason, err.Error())
		}
		return e, nil
	}
	for i, f := range s.formats {
		e := s.newEntry()
		rest, ok := f.parse(line, e)
		if ok && len(rest) == 0 {
			s.moveToFront(i)
			return e, nil
		}
		if ok { // a second record may follow on the same line
			for j, g := range s.formats {
				e2 := s.newEntry()
				if more, ok := g.parse(rest, e2); ok && len(more) == 0 {
					s.moveToFront(j)
					s.counts.AddRepair(RepairRunTogether)
					s.pending = append(s.pending[:0], e2)
					return e, nil
				}
			}
		}
	}
	for i, f := range s.formats {
		e := s.newEntry()
		if f.parseLastRecord(line, e) {
			s.moveToFront(i)
			s.counts.AddRepair(RepairRunTogether)
			s.pending = append(s.pending[:0], e)
			return nil, s.skip(ReasonCut, excerpt(line))
		}
	}
	return nil, s.skip(ReasonFormat, excerpt(line))
}

// moveToFront moves the format at index i to the front, so that it is tried first on the next line.
func (s *logSource) moveToFront(i int) {
	if i > 0 {
		f := s.formats[i]
		copy(s.formats[1:i+1], s.formats[:i])
		s.formats[0] = f
	}
}

// excerpt returns the beginning of a line, quoted, for errors.
func excerpt(line []byte) string { return fmt.Sprintf("%.60q", line) }

// JSONNames lists the member names under which each value of a JSON line may stand. They are tried in order. A
// dot in a name separates the levels of nested objects.
type JSONNames struct {
	Time, Client, Method, Target, Query, Host, Status, Request, Body []string
}

// DefaultJSONNames returns the member names that common servers and proxies use.
func DefaultJSONNames() JSONNames {
	return JSONNames{
		Time:    []string{"time", "timestamp", "ts", "@timestamp", "time_iso8601", "time_local", "msec", "start_time", "date", "StartUTC"},
		Client:  []string{"client", "remote_addr", "remote_ip", "client_ip", "clientip", "request.remote_ip", "request.client_ip", "ip", "remote_host", "ClientHost", "x_forwarded_for"},
		Method:  []string{"method", "request_method", "request.method", "http_method", "verb", "RequestMethod"},
		Target:  []string{"target", "uri", "url", "request_uri", "request.uri", "path", "request_path", "RequestPath"},
		Query:   []string{"query", "query_string", "args"},
		Host:    []string{"host", "http_host", "request.host", "server_name", "RequestHost"},
		Status:  []string{"status", "status_code", "response_code", "code", "DownstreamStatus"},
		Request: []string{"request", "request_line"},
		Body:    []string{"body", "request_body"},
	}
}

// Set makes member the only name for a value. kind is time, client, method, target, query, host, status,
// request or body.
func (n *JSONNames) Set(kind, member string) error {
	names := map[string]*[]string{"time": &n.Time, "client": &n.Client, "method": &n.Method, "target": &n.Target, "query": &n.Query,
		"host": &n.Host, "status": &n.Status, "request": &n.Request, "body": &n.Body}[kind]
	if names == nil || member == "" {
		return fmt.Errorf("%s=%s: needs a member name, for one of time, client, method, target, query, host, status, request and body", kind, member)
	}
	*names = []string{member}
	return nil
}

// jsonLines parses log lines that are JSON objects.
type jsonLines struct{ names JSONNames }

// parse stores the values of a line that is a JSON object in e.
func (j *jsonLines) parse(line []byte, e *Entry) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	var object map[string]any
	if err := dec.Decode(&object); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("more than one value on a line")
	}
	get := func(names []string) (string, bool) {
		for _, name := range names {
			if v, ok := lookupMember(object, name); ok {
				if text, ok := scalarText(v); ok && text != "" && text != "-" {
					return text, true
				}
			}
		}
		return "", false
	}
	if text, ok := get(j.names.Time); ok {
		if t, coarse, err := parseAnyTime(text); err == nil {
			e.Time, e.Coarse = t, coarse
		}
	}
	e.Client, _ = get(j.names.Client)
	e.Method, _ = get(j.names.Method)
	e.Target, _ = get(j.names.Target)
	if e.Target == "" {
		if text, ok := get(j.names.Request); ok {
			method := e.Method
			setRequestLine(e, text)
			if method != "" {
				e.Method = method
			}
		}
	}
	if q, ok := get(j.names.Query); ok && !strings.Contains(e.Target, "?") {
		e.Target += "?" + strings.TrimPrefix(q, "?")
	}
	e.Host, _ = get(j.names.Host)
	if text, ok := get(j.names.Status); ok {
		if n, ok := parseDigits(text); ok && n <= 999 {
			e.Status = n
		}
	}
	if text, ok := get(j.names.Body); ok {
		e.Body, e.BodySize = []byte(text), int64(len(text))
	}
	if e.Target == "" {
		return errors.New("no member tells the request")
	}
	e.Fields = flatten(nil, "", object, 0)
	return nil
}

// lookupMember returns the value of a member by its name, in which dots separate the levels of nested objects.
func lookupMember(object map[string]any, name string) (any, bool) {
	if v, ok := object[name]; ok {
		return v, true
	}
	head, rest, ok := strings.Cut(name, ".")
	if !ok {
		return nil, false
	}
	inner, ok := object[head].(map[string]any)
	if !ok {
		return nil, false
	}
	return lookupMember(inner, rest)
}

// scalarText returns a JSON scalar as text, of a list the first element. It reports false for other values.
func scalarText(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return fmt.Sprint(v), true
	case []any: // headers are often lists with one element
		if len(v) > 0 {
			return scalarText(v[0])
		}
	}
	return "", false
}

const (
	maxFields = 64 // maximum number of fields of an entry
	maxDepth  = 3  // maximum depth of nested objects that are read
)

// flatten appends an object's members to fields under lower-case names, in sorted order because Go maps have
// none. Members of a headers object are named "header.NAME", as in the other formats.
func flatten(fields Fields, prefix string, object map[string]any, depth int) Fields {
	for _, name := range sortedKeys(object) {
		v := object[name]
		full := strings.ToLower(prefix + name)
		if inner, ok := v.(map[string]any); ok && depth < maxDepth {
			next := full + "."
			if l := strings.ToLower(name); l == "headers" || l == "header" || l == "request_headers" {
				next = "header."
			}
			fields = flatten(fields, next, inner, depth+1)
			continue
		}
		if text, ok := scalarText(v); ok && len(fields) < maxFields {
			fields = append(fields, Field{full, text})
			if h, ok := strings.CutPrefix(full, "http_"); ok {
				fields = append(fields, Field{"header." + strings.ReplaceAll(h, "_", "-"), text})
			}
		}
	}
	return fields
}
