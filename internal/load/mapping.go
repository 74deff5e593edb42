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

// Request is one request to be sent.
type Request struct {
	Offset         time.Duration // time since the first request
	Time           time.Time     // recorded time, as corrected by Order
	Class          string
	Method         string
	Target         string        // path and query; begins with a slash
	Key            string        // key of the data that the request reads or changes
	IdempotencyKey string        // idempotency key; empty if none
	Tenant         string        // tenant (customer) on whose behalf the request is sent; empty: none
	TimeLeft       time.Duration // how long the client waits for the answer
	Body           []byte
	Client         string // name of the client, which decides its target

	Repeat bool  // the client's repeat of an earlier request
	Origin int64 // number of the first request of which this is a repeat, or its own number
	Seq    int64 // number of the request, from 0

	needsIdempotencyKey bool // a key is generated if none was recorded
}

// Mapping defines which entries become which requests. It is read from TOML.
type Mapping struct {
	RepeatWindowMs    float64 `toml:"repeat_window_ms"`     // within it, an equal request of the same client is a repeat
	KeyRepeatWindowMs float64 `toml:"key_repeat_window_ms"` // within it, a request with the same idempotency key is a repeat
	Rules             []Rule  `toml:"rule"`
}

// Rule maps the entries that match it to requests of a class. The first matching rule applies. A condition
// that is left out matches any entry.
type Rule struct {
	Class               string            `toml:"class"`
	Method              []string          `toml:"method"`          // any of these
	Path                string            `toml:"path"`            // regular expression on the path; empty: any
	Host                string            `toml:"host"`            // regular expression on the host; empty: any
	Status              []string          `toml:"status"`          // "200", "2xx", "500-599", "0" for none
	Field               map[string]string `toml:"field"`           // regular expressions on the values of fields, by name
	SendMethod          string            `toml:"send_method"`     // GET or POST
	Target              string            `toml:"target"`          // template; empty: /CLASS and the key
	Key                 string            `toml:"key"`             // template
	IdempotencyKey      string            `toml:"idempotency_key"` // template of the idempotency key
	Tenant              string            `toml:"tenant"`          // template of the tenant
	TimeLeftMs          float64           `toml:"time_left_ms"`    // time that the client waits for the answer
	TimeLeft            string            `toml:"time_left"`       // template for a recorded value, such as "{header:x-time-left}"
	Body                string            `toml:"body"`            // "recorded", "filled", "none"
	BodyBytes           int               `toml:"body_bytes"`      // size of a body that was not recorded
	NeedsIdempotencyKey bool              `toml:"keyed"`           // a key is generated where none was recorded

	pathPattern, hostPattern *regexp.Regexp
	fieldPatterns            map[string]*regexp.Regexp
	fieldNames               []string // keys of fieldPatterns, sorted
	statusRanges             [][2]int
}

// MaxBody is the maximum size of a body in bytes (PROTOCOL: 64 KiB).
const MaxBody = 64 << 10

// DefaultMapping returns the built-in rules from deploy/load.toml, which apply if no file is given.
func DefaultMapping() *Mapping {
	m, err := ParseMapping("deploy/load.toml", []byte(deploy.Load))
	if err != nil {
		panic(err)
	}
	return m
}

// DefaultMappingText returns the TOML text of DefaultMapping, as a start for a file of one's own.
func DefaultMappingText() string { return deploy.Load }

// ReadMapping reads and checks a mapping file.
func ReadMapping(path string) (*Mapping, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseMapping(path, raw)
}

// ParseMapping reads and checks rules. Errors name the file, the line and the key.
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
			return nil, fmt.Errorf("%s: %s: %v is not within 0 and 3600000", file, w.key, *w.v)
		}
		if *w.v == 0 {
			*w.v = w.def
		}
	}
	for i := range m.Rules {
		if err := m.Rules[i].compile(); err != nil {
			return nil, fmt.Errorf("%s: line %d: rule %d: %w", file, strict.TableLine(raw, "rule", i), i+1, err)
		}
	}
	return &m, nil
}

func (r *Rule) compile() error {
	if r.Class == "" || strings.ContainsAny(r.Class, "/?# \t\r\n%") || !isPrintableASCII(r.Class) {
		return fmt.Errorf("class: %q is not a name of printable ASCII characters without spaces, /, ?, # and %%", r.Class)
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
	r.pathPattern, r.hostPattern = re("path", r.Path), re("host", r.Host)
	r.fieldPatterns = map[string]*regexp.Regexp{}
	for _, name := range sortedKeys(r.Field) {
		r.fieldPatterns[name] = re("field."+name, r.Field[name])
		r.fieldNames = append(r.fieldNames, name)
	}
	if err != nil {
		return err
	}
	for _, s := range r.Status {
		span, e := parseStatusRange(s)
		if e != nil {
			return fmt.Errorf("status: %w", e)
		}
		r.statusRanges = append(r.statusRanges, span)
	}
	switch r.SendMethod {
	case "":
		if r.SendMethod = "GET"; r.NeedsIdempotencyKey {
			r.SendMethod = "POST"
		}
	case "GET", "POST":
	default:
		return fmt.Errorf("send_method: %q is neither GET nor POST", r.SendMethod)
	}
	if r.NeedsIdempotencyKey && r.SendMethod != "POST" {
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
	if !(r.TimeLeftMs > 0) || r.TimeLeftMs > 3.6e6 || math.IsNaN(r.TimeLeftMs) {
		return fmt.Errorf("time_left_ms: %v is not above 0 and at most 3600000", r.TimeLeftMs)
	}
	for key, text := range map[string]string{"target": r.Target, "key": r.Key, "idempotency_key": r.IdempotencyKey, "tenant": r.Tenant, "time_left": r.TimeLeft} {
		if _, e := expand(text, &templateValues{entry: &Entry{}}); e != nil {
			return fmt.Errorf("%s: %w", key, e)
		}
	}
	return nil
}

// parseStatusRange parses a condition on the status and returns the lowest and highest status that it matches.
func parseStatusRange(s string) ([2]int, error) {
	if len(s) == 3 && strings.HasSuffix(s, "xx") && s[0] >= '0' && s[0] <= '9' {
		n := int(s[0]-'0') * 100
		return [2]int{n, n + 99}, nil
	}
	lo, hi, span := strings.Cut(s, "-")
	if !span {
		hi = lo
	}
	a, ok1 := parseDigits(lo)
	b, ok2 := parseDigits(hi)
	if !ok1 || !ok2 || a > b || b > 999 {
		return [2]int{}, fmt.Errorf("%q is not a status, a class such as 2xx or a range such as 500-599", s)
	}
	return [2]int{a, b}, nil
}

// matches reports whether all conditions of the rule hold for an entry with this path.
func (r *Rule) matches(e *Entry, path string) bool {
	if len(r.Method) > 0 && !slices.ContainsFunc(r.Method, func(m string) bool { return strings.EqualFold(m, e.Method) }) {
		return false
	}
	if r.pathPattern != nil && !r.pathPattern.MatchString(path) || r.hostPattern != nil && !r.hostPattern.MatchString(e.Host) {
		return false
	}
	if len(r.statusRanges) > 0 && !slices.ContainsFunc(r.statusRanges, func(s [2]int) bool { return e.Status >= s[0] && e.Status <= s[1] }) {
		return false
	}
	for _, name := range r.fieldNames {
		if !r.fieldPatterns[name].MatchString(e.Fields.Get(name)) {
			return false
		}
	}
	return true
}

// Mapper converts entries to requests by the rules of a mapping, and counts them.
type Mapper struct {
	mapping *Mapping
	counts  *Counts // where repairs are counted

	Unmatched         int64    // number of entries that no rule matched
	UnmatchedExamples []string // the first unmatched entries
	RequestsByRule    []int64  // by index of the rule
	RequestsByClass   map[string]int64
}

// NewMapper returns a Mapper that counts its repairs in counts.
func NewMapper(m *Mapping, counts *Counts) *Mapper {
	return &Mapper{mapping: m, counts: counts, RequestsByRule: make([]int64, len(m.Rules)), RequestsByClass: map[string]int64{}}
}

// Map returns the request for an entry, or nil if no rule matches. It returns a *Skip if a rule matches but the
// request cannot be sent.
func (m *Mapper) Map(e *Entry) (*Request, error) {
	target := e.Target
	// The host of an absolute target is dropped: load is sent to agents only.
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
	for i := range m.mapping.Rules {
		r := &m.mapping.Rules[i]
		if !r.matches(e, path) {
			continue
		}
		req, err := m.newRequest(r, e, path, rawQuery)
		if err != nil {
			return nil, err
		}
		m.RequestsByRule[i]++
		m.RequestsByClass[r.Class]++
		return req, nil
	}
	m.Unmatched++
	if len(m.UnmatchedExamples) < maxExamples {
		m.UnmatchedExamples = append(m.UnmatchedExamples, fmt.Sprintf("%s: %.20s %.80q", e.Where(), e.Method, e.Target))
	}
	return nil, nil
}

// newRequest makes the request for an entry that rule r matches, or returns a *Skip if a value can't be sent.
func (m *Mapper) newRequest(r *Rule, e *Entry, path, rawQuery string) (*Request, error) {
	skip := func(reason, detail string) error {
		return &Skip{Reason: reason, File: e.File, Line: e.Line, Detail: detail}
	}
	in := &templateValues{entry: e, path: path, rawQuery: rawQuery}
	q := &Request{Time: e.Time, Class: r.Class, Method: r.SendMethod, Client: e.Client, needsIdempotencyKey: r.NeedsIdempotencyKey, TimeLeft: time.Duration(r.TimeLeftMs * float64(time.Millisecond))}
	for _, f := range []struct {
		to   *string
		text string
		what string
	}{{&q.Key, r.Key, "key"}, {&q.IdempotencyKey, r.IdempotencyKey, "idempotency key"}, {&q.Tenant, r.Tenant, "tenant"}} {
		v, err := expand(f.text, in)
		if err != nil {
			return nil, skip(ReasonValue, err.Error())
		}
		// Recorded values must not add headers to the request. A key may be any text, since it is escaped in
		// the target.
		if f.what == "key" && !isPrintableUTF8(v) || f.what != "key" && !isPrintableASCII(v) || len(v) > 512 {
			return nil, skip(ReasonValue, fmt.Sprintf("%s %.40q", f.what, v))
		}
		*f.to = v
	}
	if r.TimeLeft != "" {
		if text, _ := expand(r.TimeLeft, in); text != "" {
			d, ok := parseTimeLeft(text)
			if !ok {
				return nil, skip(ReasonValue, fmt.Sprintf("time left %.40q", text))
			}
			q.TimeLeft = d
		}
	}
	if r.Target != "" {
		t, err := expand(r.Target, in)
		if err != nil {
			return nil, skip(ReasonValue, err.Error())
		}
		escaped, changed := escapeTarget(t)
		if changed {
			m.counts.AddRepair(RepairEscaped)
		}
		if u, err := url.ParseRequestURI(escaped); err != nil || !strings.HasPrefix(escaped, "/") || strings.HasPrefix(escaped, "//") || u.Host != "" || len(escaped) > 4096 {
			return nil, skip(ReasonTarget, fmt.Sprintf("%.60q", t))
		}
		q.Target = escaped
	} else if q.Target = "/" + r.Class; q.Key != "" {
		q.Target += "?key=" + url.QueryEscape(q.Key)
	}
	return q, m.setBody(r, e, q, skip)
}

// fillerBody is the text that bodies are filled up with where they were not recorded; all requests share it.
var fillerBody = bytes.Repeat([]byte("x"), MaxBody)

// setBody gives a request the recorded body, filled up to the recorded size where it is incomplete.
func (m *Mapper) setBody(r *Rule, e *Entry, q *Request, skip func(string, string) error) error {
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
			m.counts.AddRepair(RepairBodyFilled)
		}
		q.Body = fillerBody[:size:size]
		return nil
	}
	q.Body = make([]byte, 0, size)
	if r.Body == "recorded" {
		q.Body = append(q.Body, e.Body[:min(int64(len(e.Body)), size)]...)
	}
	if missing := int(size) - len(q.Body); missing > 0 {
		if e.BodyCut {
			m.counts.AddRepair(RepairBodyFilled)
		}
		q.Body = append(q.Body, fillerBody[:missing]...)
	}
	return nil
}

// parseTimeLeft parses a number with a unit as in PROTOCOL ("u" for microseconds, "m" for milliseconds); a
// number without a unit is in milliseconds.
func parseTimeLeft(text string) (time.Duration, bool) {
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

func isPrintableASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

func isPrintableUTF8(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// escapeTarget percent-encodes the bytes that are not allowed in a request target, and reports whether there
// were any.
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

// expand replaces the placeholders of a template: {query:NAME}, {header:NAME}, {field:NAME}, {path}, {path:N}
// (the Nth segment, from 1), {client}, {host}, {method}. "{a|b}" stands for the first that isn't empty.
func expand(text string, in *templateValues) (string, error) {
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

// templateValues holds the entry whose values templates refer to.
type templateValues struct {
	entry          *Entry
	path, rawQuery string
	query          url.Values // parsed on first use
}

func (in *templateValues) lookUp(name string) (string, error) {
	kind, arg, _ := strings.Cut(name, ":")
	e := in.entry
	switch kind {
	case "query":
		if in.query == nil {
			in.query, _ = url.ParseQuery(in.rawQuery) // on an error, the valid parameters are used
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
