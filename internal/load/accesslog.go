package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// logSource reads access logs line by line. Each line is tried in the formats in turn, the one
// that fitted last first, so that files in which formats are mixed are read as well.
type logSource struct {
	file    string
	lines   *lines
	closer  io.Closer
	formats []*Format
	json    *jsonLines // nil: lines of JSON are not looked for
	counts  *Counts
	queue   []*Entry // of a line that was taken apart
	end     error    // to be said next
}

// NewLogSource reads an access log in any of the formats, and JSON lines where names is not nil.
func NewLogSource(file string, r io.Reader, formats []*Format, names *JSONNames, counts *Counts) Source {
	s := &logSource{file: file, lines: newLines(r), formats: append([]*Format(nil), formats...), counts: counts}
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
	if len(s.queue) > 0 {
		e := s.queue[0]
		s.queue = s.queue[1:]
		return e, nil
	}
	if s.end != nil {
		return nil, s.end
	}
	for {
		line, err := s.lines.next()
		switch {
		case errors.Is(err, errLongLine):
			return nil, s.skip(ReasonLong, "")
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		case err != nil: // a compressed stream that ends early, or can't be read on
			s.end = io.EOF
			return nil, s.skip(ReasonGzip, err.Error())
		}
		line = bytes.TrimPrefix(line, []byte("\ufeff"))
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		return s.line(line)
	}
}

func (s *logSource) skip(reason, detail string) *Skip {
	return &Skip{Reason: reason, File: s.file, Line: s.lines.n, Detail: detail}
}

func (s *logSource) entry() *Entry { return &Entry{File: s.file, Line: s.lines.n, BodySize: -1} }

// line reads one line, which may hold more than one record.
func (s *logSource) line(line []byte) (*Entry, error) {
	if line[0] == '{' && s.json != nil {
		e := s.entry()
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
		e := s.entry()
		rest, ok := f.parse(line, e)
		if ok && len(rest) == 0 {
			s.first(i)
			return e, nil
		}
		if ok { // another one may follow at once
			for k, g := range s.formats {
				e2 := s.entry()
				if more, ok := g.parse(rest, e2); ok && len(more) == 0 {
					s.first(k)
					s.counts.Note(NoteRunTogether)
					s.queue = append(s.queue[:0], e2)
					return e, nil
				}
			}
		}
	}
	for i, f := range s.formats {
		e := s.entry()
		if f.suffix(line, e) {
			s.first(i)
			s.counts.Note(NoteRunTogether)
			s.queue = append(s.queue[:0], e)
			return nil, s.skip(ReasonCut, excerpt(line))
		}
	}
	return nil, s.skip(ReasonFormat, excerpt(line))
}

// first makes the format at place i the one to be tried first.
func (s *logSource) first(i int) {
	if i > 0 {
		f := s.formats[i]
		copy(s.formats[1:i+1], s.formats[:i])
		s.formats[0] = f
	}
}

func excerpt(line []byte) string { return fmt.Sprintf("%.60q", line) }

// JSONNames tells which members of a JSON line hold what: several names are tried in turn. A
// member within another is named with points between.
type JSONNames struct {
	Time, Client, Method, Target, Query, Host, Status, Request, Body []string
}

// DefaultJSONNames are the names that common servers and proxies use.
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

// Set makes a member the one that holds something: time, client, method, target, query, host, status,
// request or body.
func (n *JSONNames) Set(what, member string) error {
	to := map[string]*[]string{"time": &n.Time, "client": &n.Client, "method": &n.Method, "target": &n.Target, "query": &n.Query,
		"host": &n.Host, "status": &n.Status, "request": &n.Request, "body": &n.Body}[what]
	if to == nil || member == "" {
		return fmt.Errorf("%s=%s: there are time, client, method, target, query, host, status, request and body", what, member)
	}
	*to = []string{member}
	return nil
}

// jsonLines reads objects with named members.
type jsonLines struct{ names JSONNames }

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
			if v, ok := member(object, name); ok {
				if text, ok := scalar(v); ok && text != "" && text != "-" {
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
			requestLine(e, text)
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
		if n, ok := digits(text); ok && n <= 999 {
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

// member finds a value by a name with points between the levels.
func member(object map[string]any, name string) (any, bool) {
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
	return member(inner, rest)
}

func scalar(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return fmt.Sprint(v), true
	case []any: // headers are often lists of one
		if len(v) > 0 {
			return scalar(v[0])
		}
	}
	return "", false
}

const (
	maxFields = 64
	maxDepth  = 3
)

// flatten lists an object's members by lower-case names, sorted where Go's map has no order; what
// stands under "headers" is named as headers are elsewhere.
func flatten(to Fields, prefix string, object map[string]any, depth int) Fields {
	for _, name := range sortedKeys(object) {
		v := object[name]
		full := strings.ToLower(prefix + name)
		if inner, ok := v.(map[string]any); ok && depth < maxDepth {
			next := full + "."
			if l := strings.ToLower(name); l == "headers" || l == "header" || l == "request_headers" {
				next = "header."
			}
			to = flatten(to, next, inner, depth+1)
			continue
		}
		if text, ok := scalar(v); ok && len(to) < maxFields {
			to = append(to, Field{full, text})
			if h, ok := strings.CutPrefix(full, "http_"); ok {
				to = append(to, Field{"header." + strings.ReplaceAll(h, "_", "-"), text})
			}
		}
	}
	return to
}
