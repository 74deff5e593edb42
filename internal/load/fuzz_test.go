package load

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// readPlan reads a plan to its end. Any input must end, give safe requests, and be accounted for.
func readPlan(t *testing.T, text string, o Options) {
	o.Stdin = strings.NewReader(text)
	p, err := NewPlan([]string{"-"}, o, OrderOptions{}, nil)
	if err != nil {
		return
	}
	defer p.Close()
	var n int64
	for {
		q, err := p.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		n++
		wire := string(encodeRequest(&Sample{Request: q, ID: "d1"}, "127.0.0.1:1", true))
		head, _, _ := strings.Cut(wire, "\r\n\r\n")
		if strings.Count(head, "\n") > 8 || strings.Count(head, "\n") != strings.Count(head, "\r\n") || q.Offset < 0 {
			t.Fatalf("%q: sends %q at %v", text, wire, q.Offset)
		}
	}
	var skipped int64
	for _, v := range p.Counts.Skipped {
		skipped += v
	}
	if n+p.Mapper.Unmatched > p.Counts.Read {
		t.Fatalf("%d requests, %d unmatched of %d entries", n, p.Mapper.Unmatched, p.Counts.Read)
	}
}

func FuzzAccessLog(f *testing.F) {
	for _, s := range []string{line1, line2, line1 + line2, line1[:45] + line2, strings.Repeat(line1+"\n", 3), "\x00\xff", `- - - [] "" - -`,
		`{"time":1,"uri":"/point-read"}`, `{"time":"x","request":{"uri":"/alert-sub"}}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) { readPlan(t, text, Options{}) })
}

func FuzzHAR(f *testing.F) {
	one := harEntryText("2026-07-14T04:30:00Z", "POST", "/alert-sub?key=1", `,"bodySize":9,"postData":{"text":"aGVs","encoding":"base64"}`)
	for _, s := range []string{harHead + one + "]}}", harHead + one[:80], harHead, `{"log":{"entries":[1,null,{}]}}`, `{"log":[]}`, "\ufeff{}"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) { readPlan(t, text, Options{Format: "har"}) })
}

func FuzzFormats(f *testing.F) {
	f.Add(`$remote_addr [$time_local] "$request" $status`, `a [14/Jul/2026:10:00:00 +0530] "GET /point-read HTTP/1.1" 200`)
	f.Add(`%h %t "%r" %>s`, `a [14/Jul/2026:10:00:00 +0530] "GET /point-read HTTP/1.1" 200`)
	f.Add(`log_format x escape=json '$request_uri';`, `\u0041`)
	f.Add(`LogFormat "%U%q" x`, `/point-read?key=1`)
	f.Fuzz(func(t *testing.T, format, line string) {
		readPlan(t, line, Options{Format: "custom", Nginx: []string{format}})
		readPlan(t, line, Options{Format: "custom", Apache: []string{format}})
	})
}

func FuzzTimes(f *testing.F) {
	for _, s := range []string{"14/Jul/2026:10:00:00 +0530", "2026-07-14T04:30:00.5Z", "1784003400.25", "1784003400250", "-", "99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		at, _, err := parseAnyTime(text)
		if err == nil && at.IsZero() && text != "" && !strings.HasPrefix(text, "0001") {
			t.Errorf("%q is read as no time", text)
		}
	})
}
