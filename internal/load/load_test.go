package load

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// readEntries reads a text as a file and returns its entries in the order of the file, and the counts.
func readEntries(t testing.TB, text string, o Options) ([]*Entry, *Counts) {
	t.Helper()
	counts := NewCounts()
	o.Stdin = strings.NewReader(text)
	src, err := Open("-", o, counts)
	if err != nil {
		t.Fatal(err)
	}
	defer src.Close()
	return drain(t, src, counts), counts
}

// drain returns the entries of a source and counts what the source skips.
func drain(t testing.TB, src Source, counts *Counts) (list []*Entry) {
	t.Helper()
	for {
		e, err := src.Next()
		if errors.Is(err, io.EOF) {
			return list
		}
		if err != nil {
			if !counts.Skip(err) {
				t.Fatal(err)
			}
			continue
		}
		list = append(list, e)
	}
}

// summary returns one line of text per entry.
func summary(list []*Entry) string {
	var b strings.Builder
	for _, e := range list {
		at := "-"
		if !e.Time.IsZero() {
			at = e.Time.UTC().Format("15:04:05.000")
		}
		fmt.Fprintf(&b, "%s %s %s %s %d\n", at, e.Client, e.Method, e.Target, e.Status)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

const (
	line1 = `192.0.2.1 - - [14/Jul/2026:10:00:00 +0530] "GET /point-read?key=a HTTP/1.1" 200 312 "-" "advisory/4.2"`
	line2 = `192.0.2.2 - ravi [14/Jul/2026:10:00:01 +0530] "POST /alert-sub?key=b HTTP/1.1" 503 0 "-" "advisory/4.2"`
)

// Every supported way to write a log line gives the same entry.
func TestFormats(t *testing.T) {
	const want = "04:30:00.000 192.0.2.1 GET /point-read?key=a 200"
	for _, tt := range []struct {
		name, text, want string
		o                Options
	}{
		{"combined", line1, want, Options{}},
		{"combined with carriage return", line1 + "\r\n", want, Options{}},
		{"common", `192.0.2.1 - - [14/Jul/2026:10:00:00 +0530] "GET /point-read?key=a HTTP/1.1" 200 312`, want, Options{}},
		{"vhost combined", "api.internal:80 " + line1, want, Options{}},
		{"a byte order mark", "\ufeff" + line1, want, Options{}},
		{"IPv6", strings.Replace(line1, "192.0.2.1", "2001:db8::1", 1), "04:30:00.000 2001:db8::1 GET /point-read?key=a 200", Options{}},
		{"escaped quotes", strings.Replace(line1, "advisory/4.2", `a \"quoted\" \x22name\x22`, 1), want, Options{}},
		{"fields not recorded", `192.0.2.1 - - [14/Jul/2026:10:00:00 +0530] "GET /point-read?key=a HTTP/1.1" - - "-" "-"`,
			"04:30:00.000 192.0.2.1 GET /point-read?key=a 0", Options{}},
		{"a request without a version", strings.Replace(line1, " HTTP/1.1", "", 1), want, Options{}},
		{"not UTF-8", strings.Replace(line1, "advisory", "adv\xff\xfe", 1), want, Options{}},
		{"nginx, its own format", `[2026-07-14T10:00:00+05:30] 192.0.2.1 "GET /point-read?key=a HTTP/2.0" 200 0.031 k7`, want,
			Options{Nginx: []string{`log_format main '[$time_iso8601] $remote_addr "$request" ' '$status $request_time $http_idempotency_key';`}}},
		{"nginx with milliseconds", `1784003400.250|192.0.2.1|GET|/point-read?key=a|200`, "04:30:00.250 192.0.2.1 GET /point-read?key=a 200",
			Options{Nginx: []string{`$msec|$remote_addr|$request_method|$request_uri|$status`}}},
		{"nginx escape=json", `{"t":"2026-07-14T04:30:00.125Z","a":"192.0.2.1","r":"GET \/point-read?key=\u0061 HTTP/1.1","s":200}`,
			"04:30:00.125 192.0.2.1 GET /point-read?key=a 200", Options{Format: "custom",
				Nginx: []string{`log_format j escape=json '{"t":"$time_iso8601","a":"$remote_addr","r":"$request","s":$status}';`}}},
		{"apache, its own format", `192.0.2.1 [14/Jul/2026:10:00:00 +0530] GET /point-read?key=a 200 31250 "k7"`, want,
			Options{Apache: []string{`LogFormat "%a %t %m %U%q %>s %D \"%{Idempotency-Key}i\"" own`}}},
		{"apache in microseconds", `1784003400250000 192.0.2.1 "GET /point-read?key=a HTTP/1.1" 200`, "04:30:00.250 192.0.2.1 GET /point-read?key=a 200",
			Options{Apache: []string{`%{usec}t %h "%r" %>s`}}},
		{"JSON lines", `{"time":"2026-07-14T04:30:00Z","remote_addr":"192.0.2.1","method":"GET","uri":"/point-read?key=a","status":200}`, want, Options{}},
		{"JSON lines, members within", `{"ts":1784003400.5,"request":{"remote_ip":"192.0.2.1","method":"GET","uri":"/point-read?key=a","headers":{"Idempotency-Key":["k"]}},"status":200}`,
			"04:30:00.500 192.0.2.1 GET /point-read?key=a 200", Options{}},
		{"JSON lines with named members", `{"when":1784003400250,"who":"192.0.2.1","what":"GET /point-read?key=a HTTP/1.1","code":"200"}`,
			"04:30:00.250 192.0.2.1 GET /point-read?key=a 200", Options{Format: "json",
				JSON: &JSONNames{Time: []string{"when"}, Client: []string{"who"}, Request: []string{"what"}, Status: []string{"code"}}}},
		{"formats mixed", line1 + "\n" + `{"time":"2026-07-14T04:30:02Z","method":"GET","uri":"/x"}` + "\n" +
			`192.0.2.1 - - [14/Jul/2026:10:00:03 +0530] "GET /y HTTP/1.1" 200 312` + "\n",
			want + "\n04:30:02.000  GET /x 0\n04:30:03.000 192.0.2.1 GET /y 200", Options{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, counts := readEntries(t, tt.text, tt.o)
			if got := summary(list); got != tt.want || len(counts.Skipped) > 0 {
				t.Errorf("got\n%s\nwant\n%s\nskipped %v", got, tt.want, counts.SkipExamples)
			}
		})
	}
}

func TestInvalidFormats(t *testing.T) {
	for _, o := range []Options{{Nginx: []string{"$remote_addr$request"}}, {Nginx: []string{"$status"}}, {Nginx: []string{"${request"}},
		{Apache: []string{`LogFormat "%h`}}, {Apache: []string{`%h %`}}, {Apache: []string{`%{Referer`}}, {Format: "csv"}, {Format: "custom"}} {
		o.Stdin = strings.NewReader("")
		if _, err := Open("-", o, NewCounts()); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
}

// A damaged line is skipped and counted with its reason; the lines around it are read.
func TestDamagedLines(t *testing.T) {
	both := "04:30:00.000 192.0.2.1 GET /point-read?key=a 200\n04:30:01.000 192.0.2.2 POST /alert-sub?key=b 503"
	for _, tt := range []struct {
		name, text, want string
		skipped          map[string]int64
		notes            map[string]int64
	}{
		{"a truncated line", line1[:60] + "\n" + line1 + "\n" + line2, both, map[string]int64{ReasonFormat: 1}, nil},
		{"a truncated last line", line1 + "\n" + line2 + "\n" + line1[:70], both, map[string]int64{ReasonFormat: 1}, nil},
		{"two records on one line", line1 + line2, both, nil, map[string]int64{RepairRunTogether: 1}},
		{"the head of a record and a whole record on one line", line1 + "\n" + line1[:45] + line2, both, map[string]int64{ReasonCut: 1}, map[string]int64{RepairRunTogether: 1}},
		{"a line over one megabyte", line1 + "\n" + strings.Repeat("x", 3<<20) + "\n" + line2, both, map[string]int64{ReasonLong: 1}, nil},
		{"arbitrary bytes", "\x00\x01\xff\n" + line1 + "\n \n\n" + line2 + "\nnot a line\n", both, map[string]int64{ReasonFormat: 2}, nil},
		{"truncated JSON", line1 + "\n" + `{"time":"2026-07-14T04:30:00Z","uri":"/po` + "\n" + line2, both, map[string]int64{ReasonCut: 1}, nil},
		{"JSON without a request", line1 + "\n{}\n" + line2, both, map[string]int64{ReasonFormat: 1}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, counts := readEntries(t, tt.text, Options{})
			if tt.skipped == nil {
				tt.skipped = map[string]int64{}
			}
			if tt.notes == nil {
				tt.notes = map[string]int64{}
			}
			if got := summary(list); got != tt.want || !reflect.DeepEqual(counts.Skipped, tt.skipped) || !reflect.DeepEqual(counts.Repairs, tt.notes) {
				t.Errorf("got\n%s\nskipped %v, notes %v", got, counts.Skipped, counts.Repairs)
			}
		})
	}
}

func TestCompressed(t *testing.T) {
	text := strings.Repeat(line1+"\n", 1000)
	var gz, zs bytes.Buffer
	z := gzip.NewWriter(&gz)
	z.Write([]byte(text))
	z.Close()
	e, err := zstd.NewWriter(&zs)
	if err != nil {
		t.Fatal(err)
	}
	e.Write([]byte(text))
	e.Close()
	for name, raw := range map[string][]byte{"gzip": gz.Bytes(), "zstd": zs.Bytes(), "plain": []byte(text)} {
		if list, counts := readEntries(t, string(raw), Options{}); len(list) != 1000 || len(counts.Skipped) > 0 {
			t.Errorf("%s: %d entries, skipped %v", name, len(list), counts.Skipped)
		}
	}
	// A truncated stream gives its complete lines and is counted as skipped.
	var slow bytes.Buffer
	z = gzip.NewWriter(&slow)
	for i := range 2000 {
		fmt.Fprintf(z, "%s\n", strings.Replace(line1, "key=a", fmt.Sprintf("key=%d", i*7919), 1))
	}
	z.Close()
	list, counts := readEntries(t, slow.String()[:slow.Len()/2], Options{})
	if len(list) < 100 || len(list) >= 2000 || counts.Skipped[ReasonStreamCut] != 1 {
		t.Errorf("%d entries, skipped %v", len(list), counts.Skipped)
	}
}

const harHead = `{"log":{"version":"1.2","creator":{"name":"x","version":"1"},"pages":[{"id":"p"}],"entries":[`

func harEntryText(at, method, url string, more string) string {
	return fmt.Sprintf(`{"startedDateTime":%q,"request":{"method":%q,"url":%q,"headers":[]%s},"response":{"status":200},"timings":{"send":0,"wait":3}}`, at, method, url, more)
}

func TestHAR(t *testing.T) {
	at := "2026-07-14T10:00:00.250+05:30"
	entryText := harEntryText(at, "GET", "https://api.example/point-read?key=a", "")
	const want = "04:30:00.250 - GET https://api.example/point-read?key=a 200"
	for _, tt := range []struct {
		name, text, want string
		skipped          map[string]int64
	}{
		{"whole", harHead + entryText + "]}}", want, nil},
		{"a byte order mark", "\ufeff" + harHead + entryText + "]}}", want, nil},
		{"white space", " \n" + strings.ReplaceAll(harHead, "{", "{\n ") + entryText + "\n]}}", want, nil},
		{"members in another order", `{"log":{"entries":[` + entryText + `],"version":"1.1"}}`, want, nil},
		{"no entries", harHead + "]}}", "", nil},
		{"truncated within an entry", harHead + entryText + "," + entryText[:90], want, map[string]int64{ReasonFileCut: 1}},
		{"truncated between entries", harHead + entryText + ",", want, map[string]int64{ReasonFileCut: 1}},
		{"truncated before the entries", harHead[:40], "", map[string]int64{ReasonFileCut: 1}},
		{"an invalid entry", harHead + `{"request":7},` + entryText + "]}}", want, map[string]int64{ReasonInvalidEntry: 1}},
		{"data, WebSocket and aborted", harHead + harEntryText(at, "GET", "data:text/plain,x", "") + "," + harEntryText(at, "GET", "wss://x/y", "") + "," +
			strings.Replace(strings.Replace(entryText, `"status":200`, `"status":0`, 1), `"wait":3`, `"wait":-1`, 1) + "," + entryText + "]}}",
			want, map[string]int64{ReasonData: 1, ReasonSocket: 1, ReasonAborted: 1}},
		{"aborted after it was sent", harHead + strings.Replace(entryText, `"status":200`, `"status":0`, 1) + "]}}",
			"04:30:00.250 - GET https://api.example/point-read?key=a 0", nil},
		{"no time", harHead + harEntryText("yesterday", "GET", "/x", "") + "]}}", "- - GET /x 200", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, counts := readEntries(t, tt.text, Options{Format: "har"})
			if tt.skipped == nil {
				tt.skipped = map[string]int64{}
			}
			if got := summary(list); got != tt.want || !reflect.DeepEqual(counts.Skipped, tt.skipped) {
				t.Errorf("got\n%s\nwant\n%s\nskipped %v", got, tt.want, counts.SkipExamples)
			}
		})
	}
}

// Recorded bodies are sent as far as they were recorded, and filled up to their size where they are incomplete.
func TestHARBodies(t *testing.T) {
	for _, tt := range []struct {
		name, more, body string
		size             int64
		cut              bool
	}{
		{"whole", `,"bodySize":5,"postData":{"text":"hello"}`, "hello", 5, false},
		{"shorter than its size", `,"bodySize":9,"postData":{"text":"hello"}`, "hello", 9, true},
		{"size not known", `,"bodySize":-1,"postData":{"text":"hello"}`, "hello", 5, false},
		{"no size", `,"postData":{"text":"hello"}`, "hello", 5, false},
		{"no postData, with a size", `,"bodySize":7`, "", 7, true},
		{"no postData, no size", `,"bodySize":-1`, "", -1, false},
		{"base64", `,"bodySize":5,"postData":{"text":"aGVsbG8=","encoding":"base64"}`, "hello", 5, false},
		{"invalid base64", `,"bodySize":5,"postData":{"text":"aGVs!!!","encoding":"base64"}`, "hel", 5, true},
		{"parameters", `,"bodySize":7,"postData":{"params":[{"name":"a","value":"1"},{"name":"b","value":"2"}]}`, "a=1&b=2", 7, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, counts := readEntries(t, harHead+harEntryText("2026-07-14T04:30:00Z", "POST", "/alert-sub", tt.more)+"]}}", Options{})
			if len(list) != 1 {
				t.Fatalf("%d entries, %v", len(list), counts.SkipExamples)
			}
			e := list[0]
			if string(e.Body) != tt.body || e.BodySize != tt.size || e.BodyCut != tt.cut {
				t.Errorf("got %q, size %d, cut %v", e.Body, e.BodySize, e.BodyCut)
			}
			q, err := NewMapper(DefaultMapping(), counts).Map(e)
			want := max(tt.size, 0)
			if tt.size < 0 {
				want = 212 // body_bytes of the default rules
			}
			if err != nil || int64(len(q.Body)) != want || !strings.HasPrefix(string(q.Body), tt.body) {
				t.Errorf("sends %d bytes, want %d; %v", len(q.Body), want, err)
			}
		})
	}
}

// orderedTimes passes entries with the given times ("" for none) through Order. It returns the resulting times in
// milliseconds since 04:30:00.
func orderedTimes(t testing.TB, o OrderOptions, texts ...string) ([]int64, *Counts) {
	t.Helper()
	counts := NewCounts()
	i := 0
	src := Order(sourceFunc(func() (*Entry, error) {
		if i == len(texts) {
			return nil, io.EOF
		}
		i++
		e := &Entry{Line: int64(i)}
		if texts[i-1] != "" {
			var err error
			if e.Time, e.Coarse, err = parseAnyTime("2026-07-14T" + texts[i-1]); err != nil {
				t.Fatal(err)
			}
		}
		return e, nil
	}), o, counts)
	var out []int64
	base := time.Date(2026, 7, 14, 4, 30, 0, 0, time.UTC)
	for _, e := range drain(t, src, counts) {
		out = append(out, e.Time.Sub(base).Milliseconds())
	}
	return out, counts
}

type sourceFunc func() (*Entry, error)

func (f sourceFunc) Next() (*Entry, error) { return f() }
func (f sourceFunc) Close() error          { return nil }

func TestOrder(t *testing.T) {
	for _, tt := range []struct {
		name  string
		in    []string
		o     OrderOptions
		want  []int64
		notes map[string]int64
	}{
		{"in order", []string{"04:30:00.100Z", "04:30:00.300Z"}, OrderOptions{}, []int64{100, 300}, nil},
		{"out of order within the window", []string{"04:30:03.000Z", "04:30:00.100Z", "04:30:01.500Z"}, OrderOptions{}, []int64{100, 1500, 3000}, nil},
		{"out of order beyond the window", []string{"04:30:10.500Z", "04:30:01.500Z", "04:30:11.500Z"}, OrderOptions{}, []int64{10500, 10500, 11500}, map[string]int64{RepairTimeLate: 1}},
		{"whole seconds are spread", []string{"04:30:00Z", "04:30:00Z", "04:30:00Z", "04:30:00Z", "04:30:01Z"}, OrderOptions{}, []int64{125, 375, 625, 875, 1500}, nil},
		{"missing between two", []string{"04:30:00.100Z", "", "", "04:30:00.400Z"}, OrderOptions{}, []int64{100, 200, 300, 400}, map[string]int64{RepairTimeMissing: 2}},
		{"missing at both ends", []string{"", "04:30:00.100Z", ""}, OrderOptions{}, []int64{100, 100, 100}, map[string]int64{RepairTimeMissing: 2}},
		{"several time zones", []string{"10:00:00.100+05:30", "04:30:00.200+00:00", "06:30:00.300+02:00", "05:30:00.400+01:00"}, OrderOptions{}, []int64{100, 200, 300, 400}, nil},
		{"a long gap kept", []string{"04:30:00.000Z", "05:30:00.000Z"}, OrderOptions{}, []int64{0, 3600000}, nil},
		{"a long gap shortened", []string{"04:30:00.000Z", "05:30:00.000Z", "05:30:00.500Z"}, OrderOptions{MaxGap: time.Second}, []int64{0, 1000, 1500}, map[string]int64{RepairGapShortened: 1}},
		{"stepped back an hour", []string{"05:00:00.000Z", "05:00:00.500Z", "04:00:00.700Z", "04:00:00.900Z", "04:00:01.100Z"}, OrderOptions{stepBackRun: 3},
			[]int64{1800000, 1800500, 1800500, 1800700, 1800900}, map[string]int64{RepairClockBack: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, counts := orderedTimes(t, tt.o, tt.in...)
			if tt.notes == nil {
				tt.notes = map[string]int64{}
			}
			if !reflect.DeepEqual(got, tt.want) || !reflect.DeepEqual(counts.Repairs, tt.notes) {
				t.Errorf("got %v, want %v; notes %v", got, tt.want, counts.Repairs)
			}
		})
	}
	if got, counts := orderedTimes(t, OrderOptions{}, "", "", ""); len(got) != 0 || counts.Skipped[ReasonNoTime] != 3 {
		t.Errorf("no time in the file: %v, skipped %v", got, counts.Skipped)
	}
}

// For random times, Order returns every entry once, in an order in which times never decrease.
func TestOrderKeepsEveryEntryInTimeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 200).Draw(t, "n")
		o := OrderOptions{Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * time.Second, stepBackRun: rapid.IntRange(2, 8).Draw(t, "run")}
		i, at := 0, int64(1784003400_000)
		src := Order(sourceFunc(func() (*Entry, error) {
			if i == n {
				return nil, io.EOF
			}
			i++
			e := &Entry{Line: int64(i)}
			at += int64(rapid.IntRange(-40000, 42000).Draw(t, "step"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
			case 1:
				e.Time, e.Coarse = time.Unix(at/1000, 0), true
			default:
				e.Time = time.UnixMilli(at)
			}
			return e, nil
		}), o, NewCounts())
		seen := map[int64]bool{}
		var last time.Time
		for {
			e, err := src.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			var s *Skip
			if errors.As(err, &s) && s.Reason == ReasonNoTime {
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if seen[e.Line] || e.Time.Before(last) {
				t.Fatalf("entry %d at %v after %v, seen before: %v", e.Line, e.Time, last, seen[e.Line])
			}
			seen[e.Line], last = true, e.Time
		}
		if len(seen) != n {
			t.Fatalf("%d of %d entries are returned", len(seen), n)
		}
	})
}

func TestMerge(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, text := range []string{line1 + "\n" + strings.Replace(line1, "10:00:00", "10:00:09", 1) + "\n", line2 + "\n"} {
		files = append(files, filepath.Join(dir, fmt.Sprint(i)))
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p, err := NewPlan(files, Options{}, OrderOptions{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	in, err := Inspect(p, time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	if in.Requests != 3 || in.Classes["alert-sub"] != 1 || in.First != "2026-07-14T04:30:00.5Z" || in.Last != "2026-07-14T04:30:09.5Z" || in.SpanS != 9 || len(in.Windows) != 10 {
		t.Errorf("got %+v", in)
	}
	if _, err := NewPlan([]string{filepath.Join(dir, "none")}, Options{}, OrderOptions{}, nil); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("got %v", err)
	}
}

// Recorded values can't add headers to a request or choose the host that it is sent to.
func TestMapperRejectsUnsafeValues(t *testing.T) {
	entry := func(target string, fields ...Field) *Entry {
		return &Entry{Method: "POST", Target: target, Fields: fields, BodySize: -1, File: "f", Line: 1}
	}
	for _, tt := range []struct {
		name   string
		e      *Entry
		target string // empty: skipped; "-": no rule matches
	}{
		{"a header in a key", entry("/alert-sub?key=a%0d%0aX-Evil:%201"), ""},
		{"a header in an idempotency key", entry("/alert-sub", Field{"header.idempotency-key", "k\r\nX-Evil: 1"}), ""},
		{"an absolute target", entry("http://evil.example/alert-sub?key=a"), "/alert-sub?key=a"},
		{"an authority", entry("evil.example:443"), "-"},
		{"an asterisk", entry("*"), "-"},
		{"two slashes", entry("//evil.example/alert-sub?key=a"), "/alert-sub?key=a"},
		{"dot segments", entry("/../alert-sub?key=a/../b"), "/alert-sub?key=a%2F..%2Fb"},
		{"a space in the path", entry("/alert-sub /x"), "-"},
		{"a key that is not ASCII", entry("/alert-sub?key=%C3%A9"), "/alert-sub?key=%C3%A9"},
		{"a fragment", entry("/alert-sub?key=a#b"), "/alert-sub?key=a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q, err := NewMapper(DefaultMapping(), NewCounts()).Map(tt.e)
			switch {
			case tt.target == "" && err == nil:
				t.Errorf("sends %+v", q)
			case tt.target == "-" && (q != nil || err != nil):
				t.Errorf("got %+v, %v", q, err)
			case tt.target != "" && tt.target != "-" && (err != nil || q == nil || q.Target != tt.target):
				t.Errorf("got %+v, %v", q, err)
			}
			if q != nil {
				text := string(encodeRequest(&Sample{Request: q, ID: "d1"}, "127.0.0.1:1", true))
				if strings.Contains(text, "Evil") || strings.Count(text, "\r\n\r\n") != 1 {
					t.Errorf("sends %q", text)
				}
			}
		})
	}
}

func TestMappingFile(t *testing.T) {
	m, err := ParseMapping("m.toml", []byte(`
[[rule]]
class = "point-read"
path = '^/v\d/fields/'
host = 'api'
status = ["2xx", "503", "0-99"]
field = { "header.x-app" = '^advisory$' }
target = "/point-read/{path:3}?key={query:k|query:key}"
key = "{query:k|query:key}"
tenant = "{header:x-coop}"
time_left_ms = 500
`))
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{Method: "GET", Target: "/v2/fields/rain fall?key=7", Host: "api.internal", Status: 503, Fields: Fields{{"header.x-app", "advisory"}, {"header.x-coop", "anand"}}}
	mapper := NewMapper(m, NewCounts())
	q, err := mapper.Map(e)
	if err != nil || q.Target != "/point-read/rain%20fall?key=7" || q.Key != "7" || q.Tenant != "anand" || q.TimeLeft != 500*time.Millisecond || q.Body != nil {
		t.Errorf("got %+v, %v", q, err)
	}
	e.Status = 404
	if q, err := mapper.Map(e); q != nil || err != nil || mapper.Unmatched != 1 {
		t.Errorf("got %+v, %v", q, err)
	}
	for text, want := range map[string]string{
		"":                             "rule: none",
		"[[rule]]\nclas = 'x'\n":       "m.toml: line 2: unknown key rule.clas",
		"[[rule]]\ntime_left_ms = 1\n": "line 1: rule 1: class",
		"[[rule]]\nclass = 'x'\n":      "line 1: rule 1: time_left_ms",
		"[[rule]]\nclass='x'\ntime_left_ms=1\n[[rule]]\nclass='y'\ntime_left_ms=1\npath='('\n": "line 4: rule 2: path",
		"[[rule]]\nclass='x'\ntime_left_ms=1\nkey='{nothing}'\n":                               "rule 1: key: {nothing}",
		"[[rule]]\nclass='x'\ntime_left_ms=1\nstatus=['7xxx']\n":                               "rule 1: status",
		"[[rule]]\nclass='x'\ntime_left_ms=1\nkeyed=true\nsend_method='GET'\n":                 "rule 1: keyed",
		"repeat_window_ms = -1\n[[rule]]\nclass='x'\ntime_left_ms=1\n":                         "repeat_window_ms",
	} {
		if _, err := ParseMapping("m.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// Repeats are detected by idempotency key, or by client and request, within their windows.
func TestRepeats(t *testing.T) {
	r := NewRepeats(DefaultMapping())
	base := time.Unix(1784003400, 0)
	note := func(ms int, client, target, key string) *Request {
		q := &Request{Time: base.Add(time.Duration(ms) * time.Millisecond), Client: client, Class: "c", Target: target, IdempotencyKey: key, needsIdempotencyKey: true}
		r.Identify(q)
		return q
	}
	first := note(0, "a", "/x", "")
	for _, tt := range []struct {
		name   string
		q      *Request
		repeat bool
		origin int64
	}{
		{"the same request after 100 ms", note(100, "a", "/x", ""), true, 0},
		{"a third time, within the window of the second", note(2050, "a", "/x", ""), true, 0},
		{"another client", note(2060, "b", "/x", ""), false, 3},
		{"another target", note(2070, "a", "/y", ""), false, 4},
		{"no client", note(2080, "", "/x", ""), false, 5},
		{"no client, the same request", note(2090, "", "/x", ""), false, 6},
		{"beyond the window", note(4500, "a", "/x", ""), false, 7},
		{"a new idempotency key", note(5000, "a", "/x", "k"), false, 8},
		{"the same key from another client, within the window", note(30000, "b", "/z", "k"), true, 8},
		{"the same key beyond the window", note(95000, "b", "/z", "k"), false, 10},
	} {
		if tt.q.Repeat != tt.repeat || tt.q.Origin != tt.origin || tt.q.IdempotencyKey == "" {
			t.Errorf("%s: got repeat %v of %d, key %q", tt.name, tt.q.Repeat, tt.q.Origin, tt.q.IdempotencyKey)
		}
	}
	if again := note(95100, "b", "/z", "k"); again.IdempotencyKey != "k" || first.IdempotencyKey == "" {
		t.Errorf("keys: %q, %q", again.IdempotencyKey, first.IdempotencyKey)
	}
	for i := range 2 * MaxRemembered {
		note(100000, "a", fmt.Sprint("/", i), "")
	}
	if len(r.byKey) > MaxRemembered || r.unkeyed.Len()+r.keyed.Len() != len(r.byKey) {
		t.Errorf("%d requests are remembered", len(r.byKey))
	}
}

// The same synthetic log holds the same requests in each format, and the same seed gives the same schedule.
func TestGeneratedLogIsEqualInEachFormat(t *testing.T) {
	for _, shape := range []string{"steady", "bursty", "monsoon"} {
		var plans [][]string
		for _, format := range []string{"combined", "json", "har", "json"} {
			var text bytes.Buffer
			g, err := Generate(&text, GenerateOptions{Shape: shape, Format: format, Rate: 40, Seconds: 20, Repeats: 0.05, Seed: 4})
			if err != nil {
				t.Fatal(err)
			}
			p, err := NewPlan([]string{"-"}, Options{Stdin: &text}, OrderOptions{}, nil)
			if err != nil {
				t.Fatal(err)
			}
			var plan []string
			classes := map[string]int64{}
			for {
				q, err := p.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				classes[q.Class]++
				plan = append(plan, fmt.Sprint(q.Offset, q.Class, q.Target, q.Repeat, q.Origin, q.IdempotencyKey))
			}
			if int64(len(plan)) != g.Requests || !reflect.DeepEqual(classes, g.Classes) || p.Repeats.Found != g.Repeats || len(p.Counts.Skipped) > 0 || p.Mapper.Unmatched > 0 {
				t.Errorf("%s, %s: %d requests, %v, %d repeats; the log has %+v; skipped %v", shape, format, len(plan), classes, p.Repeats.Found, g, p.Counts.SkipExamples)
			}
			plans = append(plans, plan)
		}
		if !reflect.DeepEqual(plans[1], plans[3]) {
			t.Errorf("%s: the same seed gives a different schedule", shape)
		}
	}
}
