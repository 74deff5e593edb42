// Package arrival records when the bytes of a connection arrived, where they are read later. A client's time runs from the
// last byte of its request, not from the moment at which the process gets to read it.
//
// A Log keeps a bounded number of marks. It performs no I/O and reads no clock.
package arrival

import "time"

const (
	resolution = 10 * time.Millisecond // least spacing of the marks of a Log
	maxMarks   = 64                    // marks of a Log; beyond, their spacing doubles
)

// mark says that all bytes before offset end had arrived at a time.
type mark struct {
	end int64
	at  time.Time
}

// Log records the arrival of a connection's bytes, by their offset in the stream. The zero value is an empty Log. It is not
// safe for concurrent use.
type Log struct {
	read  int64  // bytes taken from the socket
	marks []mark // in the order of end and of at

	spacing time.Duration // bytes that arrive within this time of each other share a mark
}

// Read records that the next bytes were taken from the socket, and had arrived by at.
func (l *Log) Read(bytes int, at time.Time) {
	l.read += int64(bytes)
	l.note(l.read, at)
}

// Waiting records that so many bytes wait in the socket, and so had arrived by at.
func (l *Log) Waiting(bytes int, at time.Time) { l.note(l.read+int64(bytes), at) }

// Before returns the time by which all bytes before an offset had arrived; the zero time if that isn't known.
func (l *Log) Before(offset int64) time.Time {
	for _, m := range l.marks {
		if m.end >= offset {
			return m.at
		}
	}
	return time.Time{}
}

// Forget drops what only concerns bytes before an offset.
func (l *Log) Forget(offset int64) {
	n := 0
	for n < len(l.marks) && l.marks[n].end < offset {
		n++
	}
	l.marks = l.marks[n:]
}

// Next returns how many bytes behind an offset arrived together.
func (l *Log) Next(offset int64) int64 {
	for _, m := range l.marks {
		if m.end > offset {
			return m.end - offset
		}
	}
	return 0
}

// note adds a mark, unless the bytes before end have one already.
func (l *Log) note(end int64, at time.Time) {
	if len(l.marks) == 0 {
		l.spacing = resolution
	} else if end <= l.marks[len(l.marks)-1].end {
		return
	}
	l.marks = append(l.marks, mark{end, at})
	l.joinAt(len(l.marks) - 1)
	for len(l.marks) > maxMarks {
		l.spacing *= 2
		for n := 1; n < len(l.marks); {
			if !l.joinAt(n) {
				n++
			}
		}
	}
}

// joinAt joins mark n with the one before if they are close to each other, and reports whether it has. Their bytes count as
// arrived at the earlier time.
func (l *Log) joinAt(n int) bool {
	if n < 1 || l.marks[n].at.Sub(l.marks[n-1].at) >= l.spacing {
		return false
	}
	l.marks[n-1].end = l.marks[n].end
	l.marks = append(l.marks[:n], l.marks[n+1:]...)
	return true
}
