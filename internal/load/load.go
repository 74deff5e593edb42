// Package load replays recorded traffic: it reads HAR files and access logs as a stream of entries, maps them
// to requests of the application's classes, schedules these in time, and sends them to agents on loopback
// addresses.
//
// The parts can be used alone and form a pipeline:
//
//	Open ─▶ Source ─▶ Order ─▶ Merge ─▶ Mapper ─▶ Repeats ─▶ Play ─▶ Recorder ─▶ Report
//	files   entries   sorted   by time  requests  repeats    sends   samples     results
//
// Every part but Play is deterministic: it reads no clock and uses no randomness except from a seed, so the
// same files give the same schedule. Memory doesn't grow with the size of the files: a Source holds one line or
// entry (MaxLine, MaxEntry), Order the entries within its window (MaxPending), Repeats a bounded number of
// requests (MaxRemembered).
//
// Nothing is dropped silently. What can't be used is reported as a *Skip with its reason and place, which
// Counts adds up. What was repaired (a missing time, a truncated body) is used and counted as well.
package load

import (
	"errors"
	"fmt"
	"time"
)

// Entry is one recorded request.
type Entry struct {
	Time   time.Time // when it was sent or received; zero if not recorded
	Coarse bool      // the time is in whole seconds

	Client string // address of the sender, or another name for it; empty if not recorded
	Method string
	Target string // path and query as recorded
	Host   string
	Status int    // 0 if there was no answer or it was not recorded
	Fields Fields // other recorded values, by lower-case name; headers as "header.NAME"

	Body     []byte
	BodySize int64 // as recorded; negative if not recorded
	BodyCut  bool  // Body is incomplete

	File string
	Line int64 // line number, or number of the entry in a HAR file, from 1
}

// Where returns the entry's place as FILE:LINE.
func (e *Entry) Where() string { return fmt.Sprintf("%s:%d", e.File, e.Line) }

// Field is a named value.
type Field struct{ Name, Value string }

// Fields are an entry's named values, in the order in which they were recorded.
type Fields []Field

// Get returns the value of a name, or an empty string if there is none.
func (f Fields) Get(name string) string {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	return ""
}

// Source yields entries. Next returns io.EOF at the end. A *Skip says that something could not be used, and
// the next call continues after it; any other error is final.
type Source interface {
	Next() (*Entry, error)
	Close() error
}

// Reasons for which input is skipped. They are written to reports.
const (
	ReasonFormat       = "not in a known format"
	ReasonLong         = "longer than a line may be"
	ReasonCut          = "cut off"
	ReasonStreamCut    = "compressed stream ends early"
	ReasonFileCut      = "file ends in the middle of an entry"
	ReasonInvalidEntry = "entry makes no sense"
	ReasonData         = "data: URL"
	ReasonSocket       = "WebSocket"
	ReasonAborted      = "aborted before it was sent"
	ReasonTarget       = "target can't be sent"
	ReasonValue        = "value can't be sent"
	ReasonNoTime       = "no time in the whole file"
	ReasonTooLarge     = "body over the limit"
)

// Skip is the error for a part of the input that could not be used.
type Skip struct {
	Reason string // one of the Reason constants
	File   string
	Line   int64
	Detail string
}

func (s *Skip) Error() string {
	text := fmt.Sprintf("%s:%d: %s", s.File, s.Line, s.Reason)
	if s.Detail != "" {
		text += ": " + s.Detail
	}
	return text
}

// Repairs of entries that were used nonetheless. They are written to reports.
const (
	RepairTimeMissing  = "time missing, placed between its neighbours"
	RepairTimeLate     = "out of order beyond the window, placed where it stood"
	RepairClockBack    = "clock stepped back, times after it moved on"
	RepairGapShortened = "gap shortened"
	RepairBodyFilled   = "body not recorded whole, filled up"
	RepairRunTogether  = "two lines run together, taken apart"
	RepairEscaped      = "bytes of the target escaped"
)

// Counts adds up what was read, skipped and repaired.
type Counts struct {
	Read         int64            // entries read
	Skipped      map[string]int64 // by reason
	Repairs      map[string]int64 // repairs, by kind
	SkipExamples []string         // the first skips, with place and detail
}

const maxExamples = 20 // skips and unmatched entries that are listed one by one

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{Skipped: map[string]int64{}, Repairs: map[string]int64{}} }

// Skip counts err if it is a *Skip, and reports whether it is one.
func (c *Counts) Skip(err error) bool {
	var s *Skip
	if !errors.As(err, &s) {
		return false
	}
	c.Skipped[s.Reason]++
	if len(c.SkipExamples) < maxExamples {
		c.SkipExamples = append(c.SkipExamples, s.Error())
	}
	return true
}

// AddRepair counts one repair.
func (c *Counts) AddRepair(repair string) { c.Repairs[repair]++ }
