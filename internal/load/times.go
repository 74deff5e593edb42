package load

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

var months = [...]string{"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"}

var errTime = errors.New("no time")

// parseCommonTime reads the time of the Common Log Format, 02/Jan/2006:15:04:05 -0700. Offsets of
// up to 14 hours are taken.
func parseCommonTime(s string) (time.Time, error) {
	if len(s) < 20 || s[2] != '/' || s[6] != '/' || s[11] != ':' || s[14] != ':' || s[17] != ':' {
		return time.Time{}, errTime
	}
	month := 0
	for i, m := range months {
		if s[3:6] == m {
			month = i + 1
		}
	}
	day, ok1 := digits(s[0:2])
	year, ok2 := digits(s[7:11])
	hour, ok3 := digits(s[12:14])
	minute, ok4 := digits(s[15:17])
	second, ok5 := digits(s[18:20])
	if month == 0 || !ok1 || !ok2 || !ok3 || !ok4 || !ok5 || day < 1 || day > 31 || hour > 23 || minute > 59 || second > 60 {
		return time.Time{}, errTime
	}
	offset := 0
	switch rest := s[20:]; {
	case rest == "":
	case len(rest) == 6 && rest[0] == ' ' && (rest[1] == '+' || rest[1] == '-'):
		h, ok1 := digits(rest[2:4])
		m, ok2 := digits(rest[4:6])
		if !ok1 || !ok2 || h > 14 || m > 59 {
			return time.Time{}, errTime
		}
		if offset = (h*60 + m) * 60; rest[1] == '-' {
			offset = -offset
		}
	default:
		return time.Time{}, errTime
	}
	t := time.Date(year, time.Month(month), day, hour, minute, second, 0, time.UTC)
	if t.Day() != day { // 31 Feb
		return time.Time{}, errTime
	}
	return t.Add(-time.Duration(offset) * time.Second), nil
}

func digits(s string) (n int, ok bool) {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int(s[i]-'0')
	}
	return n, len(s) > 0
}

var isoForms = []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999999Z0700", "2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999 -0700", "2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"}

// parseISOTime reads a time of ISO 8601; one without a zone is taken for UTC.
func parseISOTime(s string) (time.Time, error) {
	for _, form := range isoForms {
		if t, err := time.Parse(form, s); err == nil {
			return t.UTC(), nil
		}
	}
	return time.Time{}, errTime
}

// parseEpoch reads a Unix time in units of a second divided by per, with a fraction.
func parseEpoch(s string, per int64) (time.Time, error) {
	whole, fraction, _ := strings.Cut(s, ".")
	n, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || n < 0 || n/per > 1<<34 {
		return time.Time{}, errTime
	}
	nanos := (n % per) * (int64(time.Second) / per)
	if fraction != "" {
		f, ok := digits((fraction + "000000000")[:9])
		if !ok {
			return time.Time{}, errTime
		}
		nanos += int64(f) / per
	}
	return time.Unix(n/per, nanos).UTC(), nil
}

// parseAnyTime reads a time whose form is not known: ISO 8601, the Common Log Format's, or a Unix
// time in seconds, milliseconds, microseconds or nanoseconds, told apart by its size. Coarse: in whole seconds.
func parseAnyTime(s string) (t time.Time, coarse bool, err error) {
	if s == "" || s == "-" {
		return time.Time{}, false, errTime
	}
	if t, err := parseISOTime(s); err == nil {
		return t, !strings.ContainsAny(s, ".,"), nil
	}
	if t, err := parseCommonTime(s); err == nil {
		return t, true, nil
	}
	whole, _, fraction := strings.Cut(s, ".")
	per := int64(1)
	switch n := len(whole); {
	case n >= 18:
		per = 1e9
	case n >= 15:
		per = 1e6
	case n >= 12:
		per = 1e3
	}
	t, err = parseEpoch(s, per)
	if err != nil {
		return time.Time{}, false, fmt.Errorf("%w: %.40q", errTime, s)
	}
	return t, per == 1 && !fraction, nil
}

// commonTimes remembers the last time read: the lines of a second share it.
type commonTimes struct {
	text string
	at   time.Time
}

func (c *commonTimes) parse(b []byte) (time.Time, error) {
	if c.text != "" && string(b) == c.text {
		return c.at, nil
	}
	s := string(b)
	t, err := parseCommonTime(s)
	if err == nil {
		c.text, c.at = s, t
	}
	return t, err
}
