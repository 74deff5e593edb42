package load

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

var months = [...]string{"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"}

var errInvalidTime = errors.New("invalid time")

// parseCommonTime parses a time of the Common Log Format, 02/Jan/2006:15:04:05 -0700. The offset may be up to 14
// hours; without one the time is in UTC.
func parseCommonTime(s string) (time.Time, error) {
	if len(s) < 20 || s[2] != '/' || s[6] != '/' || s[11] != ':' || s[14] != ':' || s[17] != ':' {
		return time.Time{}, errInvalidTime
	}
	month := 0
	for i, m := range months {
		if s[3:6] == m {
			month = i + 1
		}
	}
	day, ok1 := parseDigits(s[0:2])
	year, ok2 := parseDigits(s[7:11])
	hour, ok3 := parseDigits(s[12:14])
	minute, ok4 := parseDigits(s[15:17])
	second, ok5 := parseDigits(s[18:20])
	if month == 0 || !ok1 || !ok2 || !ok3 || !ok4 || !ok5 || day < 1 || day > 31 || hour > 23 || minute > 59 || second > 60 {
		return time.Time{}, errInvalidTime
	}
	offset := 0
	switch rest := s[20:]; {
	case rest == "":
	case len(rest) == 6 && rest[0] == ' ' && (rest[1] == '+' || rest[1] == '-'):
		h, ok1 := parseDigits(rest[2:4])
		m, ok2 := parseDigits(rest[4:6])
		if !ok1 || !ok2 || h > 14 || m > 59 {
			return time.Time{}, errInvalidTime
		}
		if offset = (h*60 + m) * 60; rest[1] == '-' {
			offset = -offset
		}
	default:
		return time.Time{}, errInvalidTime
	}
	t := time.Date(year, time.Month(month), day, hour, minute, second, 0, time.UTC)
	if t.Day() != day { // such as 31 Feb
		return time.Time{}, errInvalidTime
	}
	return t.Add(-time.Duration(offset) * time.Second), nil
}

func parseDigits(s string) (n int, ok bool) {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int(s[i]-'0')
	}
	return n, len(s) > 0
}

// isoLayouts are the accepted forms of ISO 8601 times, as layouts of package time.
var isoLayouts = []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999999Z0700", "2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999 -0700", "2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"}

// parseISOTime parses an ISO 8601 time; without a zone it is in UTC.
func parseISOTime(s string) (time.Time, error) {
	for _, layout := range isoLayouts {
		if t, err := time.Parse(layout, s); err == nil {
			return t.UTC(), nil
		}
	}
	return time.Time{}, errInvalidTime
}

// parseEpoch parses a Unix time, which may have a fraction, in units of which unitsPerSecond make a second.
func parseEpoch(s string, unitsPerSecond int64) (time.Time, error) {
	whole, fraction, _ := strings.Cut(s, ".")
	n, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || n < 0 || n/unitsPerSecond > 1<<34 {
		return time.Time{}, errInvalidTime
	}
	nanos := (n % unitsPerSecond) * (int64(time.Second) / unitsPerSecond)
	if fraction != "" {
		f, ok := parseDigits((fraction + "000000000")[:9])
		if !ok {
			return time.Time{}, errInvalidTime
		}
		nanos += int64(f) / unitsPerSecond
	}
	return time.Unix(n/unitsPerSecond, nanos).UTC(), nil
}

// parseAnyTime parses a time in an unknown format: ISO 8601, the Common Log Format, or a Unix time in seconds,
// milliseconds, microseconds or nanoseconds, distinguished by its number of digits. coarse reports whether the
// time is in whole seconds.
func parseAnyTime(s string) (t time.Time, coarse bool, err error) {
	if s == "" || s == "-" {
		return time.Time{}, false, errInvalidTime
	}
	if t, err := parseISOTime(s); err == nil {
		return t, !strings.ContainsAny(s, ".,"), nil
	}
	if t, err := parseCommonTime(s); err == nil {
		return t, true, nil
	}
	whole, _, fraction := strings.Cut(s, ".")
	unitsPerSecond := int64(1)
	switch n := len(whole); {
	case n >= 18:
		unitsPerSecond = 1e9
	case n >= 15:
		unitsPerSecond = 1e6
	case n >= 12:
		unitsPerSecond = 1e3
	}
	t, err = parseEpoch(s, unitsPerSecond)
	if err != nil {
		return time.Time{}, false, fmt.Errorf("%w: %.40q", errInvalidTime, s)
	}
	return t, unitsPerSecond == 1 && !fraction, nil
}

// commonTimeCache caches the last time parsed, because all lines logged within a second have the same text.
type commonTimeCache struct {
	text string
	time time.Time
}

func (c *commonTimeCache) parse(b []byte) (time.Time, error) {
	if c.text != "" && string(b) == c.text {
		return c.time, nil
	}
	s := string(b)
	t, err := parseCommonTime(s)
	if err == nil {
		c.text, c.time = s, t
	}
	return t, err
}
