// Package load turns what was recorded of real traffic into load: HAR files and access logs are
// read as a stream of entries, mapped to requests of the application's classes, laid out in time,
// and played against agents on loopback addresses.
//
// The parts are usable alone and join like a pipe:
//
//	Open ─▶ Source ─▶ Merge ─▶ Order ─▶ Mapper ─▶ Repeats ─▶ Schedule ─▶ Player ─▶ Report
//	files   entries   by time   times    requests  retries   offsets     sockets   figures
//
// Every part but the Player is plain computation: no clock, no randomness but from a seed, so that
// the same files give the same schedule. Memory doesn't grow with the files: a Source holds one
// line or entry (MaxLine, MaxEntry), Order what falls within its window (MaxPending), Repeats a
// bounded number of requests (MaxRemembered).
//
// Nothing is dropped in silence. What can't be used is a *Skip with its reason and place, which
// Counts adds up; what was repaired (a time that was missing, a body that was cut off) is used
// and counted as well.
package load

import (
	"errors"
	"fmt"
	"time"
)

// Entry is one request as it was recorded.
type Entry struct {
	Time   time.Time // when it was sent or received; zero: not recorded
	Coarse bool      // the time is in whole seconds

	Client string // who sent it, as far as recorded
	Method string
	Target string // path and query as recorded
	Host   string
	Status int    // 0: none
	Fields Fields // what else was recorded, by lower-case name; headers as "header.NAME"

	Body     []byte
	BodySize int64 // as recorded; negative: not told
	BodyCut  bool  // Body is not all of it

	File string
	Line int64 // or the number of the entry in a HAR file, from 1
}

// Where names the entry's place.
func (e *Entry) Where() string { return fmt.Sprintf("%s:%d", e.File, e.Line) }

// Field is a named value.
type Field struct{ Name, Value string }

// Fields are an entry's named values, in the order in which they were recorded.
type Fields []Field

// Get returns the value of a name; empty: none.
func (f Fields) Get(name string) string {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	return ""
}

// Source yields entries. Next returns io.EOF at the end; a *Skip says that something could not be
// used and that the next call goes on behind it; any other error is final.
type Source interface {
	Next() (*Entry, error)
	Close() error
}

// Reasons for which something is skipped.
const (
	ReasonFormat   = "not in a known format"
	ReasonLong     = "longer than a line may be"
	ReasonCut      = "cut off"
	ReasonGzip     = "compressed stream ends early"
	ReasonFileCut  = "file ends in the middle of an entry"
	ReasonEntry    = "entry makes no sense"
	ReasonData     = "data: URL"
	ReasonSocket   = "WebSocket"
	ReasonAborted  = "aborted before it was sent"
	ReasonTarget   = "target can't be sent"
	ReasonValue    = "value can't be sent"
	ReasonNoTime   = "no time in the whole file"
	ReasonTooLarge = "body over the limit"
)

// Skip is something that could not be used.
type Skip struct {
	Reason string // one of the above
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

// Notes: what was repaired and used all the same.
const (
	NoteTimeMissing = "time missing, placed between its neighbours"
	NoteTimeLate    = "out of order beyond the window, placed where it stood"
	NoteClockBack   = "clock stepped back, times after it moved on"
	NoteClockAhead  = "gap shortened"
	NoteBodyFilled  = "body not recorded whole, filled up"
	NoteRunTogether = "two lines run together, taken apart"
	NoteEscaped     = "bytes of the target escaped"
)

// Counts adds up what was read.
type Counts struct {
	Read    int64            // entries
	Skipped map[string]int64 // by reason
	Notes   map[string]int64 // repaired, by what was done
	First   []string         // the first few skips, in full
}

const firstSkips = 20 // kept in full

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{Skipped: map[string]int64{}, Notes: map[string]int64{}} }

// Skip adds what err says, if it is a *Skip, and reports whether it was one.
func (c *Counts) Skip(err error) bool {
	var s *Skip
	if !errors.As(err, &s) {
		return false
	}
	c.Skipped[s.Reason]++
	if len(c.First) < firstSkips {
		c.First = append(c.First, s.Error())
	}
	return true
}

// Note adds one repair.
func (c *Counts) Note(what string) { c.Notes[what]++ }
