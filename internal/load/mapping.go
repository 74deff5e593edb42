package load

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"lemonrail/deploy"
	"lemonrail/internal/strict"
)

// Request is one request as it is to be sent.
type Request struct {
	At     time.Duration // since the first one
	Time   time.Time     // as recorded, put right
	Class  string
	Method string
	Target string // path and query; begins with a slash
	Key    string // the subject
	Effect string // idempotency key; empty: none
	Tenant string
	Left   time.Duration // how long the client waits
	Body   []byte
	Client string

	Repeat bool  // a client's repeat of an earlier request
	Origin int64 // number of the request that it repeats, or its own
	Seq    int64 // its number, from 0

	keyed bool // needs an idempotency key
}

// Mapping says which entries become which requests. It is read from TOML.
type Mapping struct {
	RepeatWindowMs    float64 `toml:"repeat_window_ms"`     // the same request of one client again within it is a repeat
	KeyRepeatWindowMs float64 `toml:"key_repeat_window_ms"` // the same idempotency key again within it is one
	Rules             []Rule  `toml:"rule"`
}

// Rule maps the entries that fit it. Of several rules the first that fits counts. What is left out
// fits anything.
type Rule struct {
	Class      string            `toml:"class"`
	Method     []string          `toml:"method"`      // any of these
	Path       string            `toml:"path"`        // regular expression on the path
	Host       string            `toml:"host"`        // regular expression on the host
	Status     []string          `toml:"status"`      // "200", "2xx", "500-599", "0" for none
	Field      map[string]string `toml:"field"`       // regular expressions on fields, by name
	SendMethod string            `toml:"send_method"` // GET or POST
	Target     string            `toml:"target"`      // template; empty: /CLASS and the key
	Key        string            `toml:"key"`         // template
	Effect     string            `toml:"idempotency_key"`
	Tenant     string            `toml:"tenant"`
	LeftMs     float64           `toml:"time_left_ms"`
	Left       string            `toml:"time_left"`  // template for a recorded one, such as "{header:x-time-left}"
	Body       string            `toml:"body"`       // "recorded", "filled", "none"
	BodyBytes  int               `toml:"body_bytes"` // of a body that was not recorded
	Keyed      bool              `toml:"keyed"`      // needs an idempotency key; one is made where none was recorded

	path, host *regexp.Regexp
	field      map[string]*regexp.Regexp
	names      []string // of field, sorted
	status     [][2]int
}

// MaxBody is the most bytes of a body (PROTOCOL: 64 KiB).
const MaxBody = 64 << 10

// DefaultMapping returns the rules that hold where no file is given: deploy/load.toml as it was built in.
func DefaultMapping() *Mapping {
	m, err := ParseMapping("deploy/load.toml", []byte(deploy.Load))
	if err != nil {
		panic(err)
	}
	return m
}

// DefaultMappingText is the TOML of DefaultMapping, to begin a file of one's own with.
func DefaultMappingText() string { return deploy.Load }

// ReadMapping reads a file.
func ReadMapping(path string) (*Mapping, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseMapping(path, raw)
}

// ParseMapping reads and checks rules; errors name file, line and key.
func ParseMapping(file string, raw []byte) (*Mapping, error) {
	var m Mapping
	if err := strict.Decode(file, raw, &m); err != nil {
		return nil, err
	}
	if len(m.Rules) == 0 {
		return nil, fmt.Errorf("%s: rule: none", file)
	}
	for _, w := range []struct {
		key string
		v   *float64
		def float64
	}{{"repeat_window_ms", &m.RepeatWindowMs, 2000}, {"key_repeat_window_ms", &m.KeyRepeatWindowMs, 60000}} {
		if !(*w.v >= 0) || *w.v > 3.6e6 {
			return nil, fmt.Errorf("%s: %s: %v makes no sense", file, w.key, *w.v)
		}
		if *w.v == 0 {
			*w.v = w.def
		}
	}
	for i := range m.Rules {
		if err := m.Rules[i].compile(); err != nil {
			return nil, fmt.Errorf("%s: line %d: rule %d: %w", file, strict.Table(raw, "rule", i), i+1, err)
		}
	}
	return &m, nil
}

func (r *Rule) compile() error {
	if r.Class == "" || strings.ContainsAny(r.Class, "/?# \t\r\n%") || !isPrintable(r.Class) {
		return fmt.Errorf("class: %q makes no sense", r.Class)
	}
	var err error
	re := func(key, text string) *regexp.Regexp {
		if text == "" || err != nil {
			return nil
		}
		x, e := regexp.Compile(text)
		if e != nil {
			err = fmt.Errorf("%s: %w", key, e)
		}
		return x
	}
	r.path, r.host = re("path", r.Path), re("host", r.Host)
	r.field = map[string]*regexp.Regexp{}
	for _, name := range sortedKeys(r.Field) {
		r.field[name] = re("field."+name, r.Field[name])
		r.names = append(r.names, name)
	}
	if err != nil {
		return err
	}
	for _, s := range r.Status {
		span, e := statusSpan(s)
		if e != nil {
			return fmt.Errorf("status: %w", e)
		}
		r.status = append(r.status, span)
	}
	switch r.SendMethod {
	case "":
		if r.SendMethod = "GET"; r.Keyed {
			r.SendMethod = "POST"
		}
	case "GET", "POST":
	default:
		return fmt.Errorf("send_method: %q is neither GET nor POST", r.SendMethod)
	}
	if r.Keyed && r.SendMethod != "POST" {
		return errors.New("keyed: goes with POST only")
	}
	switch r.Body {
	case "":
		if r.Body = "recorded"; r.SendMethod == "GET" {
			r.Body = "none"
		}
	case "none":
	case "recorded", "filled":
		if r.SendMethod == "GET" {
			return errors.New("body: GET takes none")
		}
	default:
		return fmt.Errorf("body: %q is none of recorded, filled, none", r.Body)
	}
	if r.BodyBytes < 0 || r.BodyBytes > MaxBody {
		return fmt.Errorf("body_bytes: %d is not within 0 and %d", r.BodyBytes, MaxBody)
	}
	if !(r.LeftMs > 0) || r.LeftMs > 3.6e6 || math.IsNaN(r.LeftMs) {
		return fmt.Errorf("time_left_ms: %v makes no sense", r.LeftMs)
	}
	for key, text := range map[string]string{"target": r.Target, "key": r.Key, "idempotency_key": r.Effect, "tenant": r.Tenant, "time_left": r.Left} {
		if _, e := expand(text, &scope{e: &Entry{}}); e != nil {
			return fmt.Errorf("%s: %w", key, e)
		}
	}
	return nil
}

func statusSpan(s string) ([2]int, error) {
	if len(s) == 3 && strings.HasSuffix(s, "xx") && s[0] >= '0' && s[0] <= '9' {
		n := int(s[0]-'0') * 100
		return [2]int{n, n + 99}, nil
	}
	lo, hi, span := strings.Cut(s, "-")
	if !span {
		hi = lo
	}
	a, ok1 := digits(lo)
	b, ok2 := digits(hi)
	if !ok1 || !ok2 || a > b || b > 999 {
		return [2]int{}, fmt.Errorf("%q makes no sense", s)
	}
	return [2]int{a, b}, nil
}

// fits reports whether the rule is for an entry with this path.
func (r *Rule) fits(e *Entry, path string) bool {
	if len(r.Method) > 0 && !slices.ContainsFunc(r.Method, func(m string) bool { return strings.EqualFold(m, e.Method) }) {
		return false
	}
	if r.path != nil && !r.path.MatchString(path) || r.host != nil && !r.host.MatchString(e.Host) {
		return false
	}
	if len(r.status) > 0 && !slices.ContainsFunc(r.status, func(s [2]int) bool { return e.Status >= s[0] && e.Status <= s[1] }) {
		return false
	}
	for _, name := range r.names {
		if !r.field[name].MatchString(e.Fields.Get(name)) {
			return false
		}
	}
	return true
}

// Mapper turns entries into requests.
type Mapper struct {
	m      *Mapping
	counts *Counts

	Unmatched      int64
	UnmatchedFirst []string         // the first few
	Rules          []int64          // requests by rule
	Classes        map[string]int64 // and by class
}

// NewMapper returns a Mapper that adds to counts what it repairs.
func NewMapper(m *Mapping, counts *Counts) *Mapper {
	return &Mapper{m: m, counts: counts, Rules: make([]int64, len(m.Rules)), Classes: map[string]int64{}}
}

// Map returns the request for an entry; nil: no rule fits. A *Skip says that one does, and that the
// entry can't be sent.
func (m *Mapper) Map(e *Entry) (*Request, error) {
	target := e.Target
	// Absolute targets name a host that load is never sent to.
	if i := strings.Index(target, "://"); i > 0 && !strings.ContainsAny(target[:i], "/?#") {
		rest := target[i+3:]
		if k := strings.IndexAny(rest, "/?#"); k >= 0 {
			target = rest[k:]
		} else {
			target = "/"
		}
	}
	target, _, _ = strings.Cut(target, "#")
	path, rawQuery, _ := strings.Cut(target, "?")
	for i := range m.m.Rules {
		r := &m.m.Rules[i]
		if !r.fits(e, path) {
			continue
		}
		req, err := m.request(r, e, path, rawQuery)
		if err != nil {
			return nil, err
		}
		m.Rules[i]++
		m.Classes[r.Class]++
		return req, nil
	}
	m.Unmatched++
	if len(m.UnmatchedFirst) < firstSkips {
		m.UnmatchedFirst = append(m.UnmatchedFirst, fmt.Sprintf("%s: %.20s %.80q", e.Where(), e.Method, e.Target))
	}
	return nil, nil
}

func (m *Mapper) request(r *Rule, e *Entry, path, rawQuery string) (*Request, error) {
	skip := func(reason, detail string) error {
		return &Skip{Reason: reason, File: e.File, Line: e.Line, Detail: detail}
	}
	in := &scope{e: e, path: path, rawQuery: rawQuery}
	q := &Request{Time: e.Time, Class: r.Class, Method: r.SendMethod, Client: e.Client, keyed: r.Keyed, Left: time.Duration(r.LeftMs * float64(time.Millisecond))}
	for _, f := range []struct {
		to   *string
		text string
		what string
	}{{&q.Key, r.Key, "key"}, {&q.Effect, r.Effect, "idempotency key"}, {&q.Tenant, r.Tenant, "tenant"}} {
		v, err := expand(f.text, in)
		if err != nil {
			return nil, skip(ReasonValue, err.Error())
		}
		// Guards against headers that recorded values would add to the request. A key goes into the
		// target, escaped.
		if f.what == "key" && !isText(v) || f.what != "key" && !isPrintable(v) || len(v) > 512 {
			return nil, skip(ReasonValue, fmt.Sprintf("%s %.40q", f.what, v))
		}
		*f.to = v
	}
	if r.Left != "" {
		if text, _ := expand(r.Left, in); text != "" {
			d, ok := parseLeft(text)
			if !ok {
				return nil, skip(ReasonValue, fmt.Sprintf("time left %.40q", text))
			}
			q.Left = d
		}
	}
	if r.Target != "" {
		t, err := expand(r.Target, in)
		if err != nil {
			return nil, skip(ReasonValue, err.Error())
		}
		escaped, changed := escapeTarget(t)
		if changed {
			m.counts.Note(NoteEscaped)
		}
		if u, err := url.ParseRequestURI(escaped); err != nil || !strings.HasPrefix(escaped, "/") || strings.HasPrefix(escaped, "//") || u.Host != "" || len(escaped) > 4096 {
			return nil, skip(ReasonTarget, fmt.Sprintf("%.60q", t))
		}
		q.Target = escaped
	} else if q.Target = "/" + r.Class; q.Key != "" {
		q.Target += "?key=" + url.QueryEscape(q.Key)
	}
	return q, m.body(r, e, q, skip)
}

// filler is what stands for bodies that were not recorded; requests share it.
var filler = bytes.Repeat([]byte("x"), MaxBody)

// body gives a request the body that was recorded, or fills it up to the size that was.
func (m *Mapper) body(r *Rule, e *Entry, q *Request, skip func(string, string) error) error {
	if r.Body == "none" {
		return nil
	}
	size := int64(r.BodyBytes)
	if e.BodySize >= 0 && (e.Body != nil || e.BodyCut) {
		size = e.BodySize
	}
	if size > MaxBody {
		return skip(ReasonTooLarge, fmt.Sprintf("%d bytes", size))
	}
	if r.Body == "filled" || len(e.Body) == 0 {
		if e.BodyCut {
			m.counts.Note(NoteBodyFilled)
		}
		q.Body = filler[:size:size]
		return nil
	}
	q.Body = make([]byte, 0, size)
	if r.Body == "recorded" {
		q.Body = append(q.Body, e.Body[:min(int64(len(e.Body)), size)]...)
	}
	if missing := int(size) - len(q.Body); missing > 0 {
		if e.BodyCut {
			m.counts.Note(NoteBodyFilled)
		}
		q.Body = append(q.Body, filler[:missing]...)
	}
	return nil
}

// parseLeft reads a number with a unit as PROTOCOL writes it, or milliseconds.
func parseLeft(text string) (time.Duration, bool) {
	unit := time.Millisecond
	if s, ok := strings.CutSuffix(text, "u"); ok {
		text, unit = s, time.Microsecond
	} else {
		text = strings.TrimSuffix(text, "m")
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || v*float64(unit) > float64(time.Hour) {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}

func isPrintable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

func isText(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// escapeTarget percent-escapes what may not stand in a request's target.
func escapeTarget(s string) (string, bool) {
	clean := true
	for i := 0; i < len(s) && clean; i++ {
		clean = s[i] > 0x20 && s[i] < 0x7f && !strings.ContainsRune("\"<>\\^`{|}", rune(s[i]))
	}
	if clean {
		return s, false
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= 0x20 || c >= 0x7f || strings.ContainsRune("\"<>\\^`{|}", rune(c)) {
			fmt.Fprintf(&b, "%%%02X", c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String(), true
}

// expand fills a template in: {query:NAME}, {header:NAME}, {field:NAME}, {path}, {path:N} (the Nth
// part, from 1), {client}, {host}, {method}; "{a|b}" takes the first that isn't empty.
func expand(text string, in *scope) (string, error) {
	if !strings.Contains(text, "{") {
		return text, nil
	}
	var b strings.Builder
	for {
		i := strings.IndexByte(text, '{')
		if i < 0 {
			b.WriteString(text)
			return b.String(), nil
		}
		end := strings.IndexByte(text[i:], '}')
		if end < 0 {
			return "", fmt.Errorf("%q: a { without its }", text)
		}
		b.WriteString(text[:i])
		for _, name := range strings.Split(text[i+1:i+end], "|") {
			v, err := in.lookUp(name)
			if err != nil {
				return "", err
			}
			if v != "" {
				b.WriteString(v)
				break
			}
		}
		text = text[i+end+1:]
	}
}

// scope is what templates are filled in from.
type scope struct {
	e              *Entry
	path, rawQuery string
	query          url.Values // read when it is first asked for
}

func (in *scope) lookUp(name string) (string, error) {
	kind, arg, _ := strings.Cut(name, ":")
	e := in.e
	switch kind {
	case "query":
		if in.query == nil {
			in.query, _ = url.ParseQuery(in.rawQuery) // what can be read of it
		}
		return in.query.Get(arg), nil
	case "header":
		return e.Fields.Get("header." + strings.ToLower(arg)), nil
	case "field":
		return e.Fields.Get(strings.ToLower(arg)), nil
	case "client":
		return e.Client, nil
	case "host":
		return e.Host, nil
	case "method":
		return e.Method, nil
	case "path":
		if arg == "" {
			return in.path, nil
		}
		n, err := strconv.Atoi(arg)
		if err != nil || n < 1 {
			return "", fmt.Errorf("{%s}: parts of a path count from 1", name)
		}
		if parts := strings.Split(in.path, "/"); n < len(parts) {
			return parts[n], nil
		}
		return "", nil
	}
	return "", fmt.Errorf("{%s} is not known", name)
}
