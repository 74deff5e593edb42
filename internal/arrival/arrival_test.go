package arrival

import (
	"testing"
	"time"
)

var start = time.Now()

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Bytes have the time of the first record that has them: read later, they have not arrived later.
func TestBeforeIsTheFirstRecord(t *testing.T) {
	var l Log
	l.Read(10, at(0))
	l.Waiting(20, at(100))
	l.Waiting(25, at(200))
	l.Read(30, at(900))
	for _, tt := range []struct {
		offset int64
		ms     int
	}{{1, 0}, {10, 0}, {11, 100}, {30, 100}, {31, 200}, {35, 200}, {36, 900}, {40, 900}} {
		if got := l.Before(tt.offset); !got.Equal(at(tt.ms)) {
			t.Errorf("bytes before %d: %v, want %d ms", tt.offset, got.Sub(start), tt.ms)
		}
	}
	if !l.Before(41).IsZero() {
		t.Error("a time of bytes that have not come")
	}
	if n := l.Next(10); n != 20 {
		t.Errorf("%d bytes arrived together, want 20", n)
	}
	l.Forget(30)
	if got := l.Before(30); !got.Equal(at(100)) || len(l.marks) != 3 {
		t.Errorf("%v, %d marks after forgetting", got.Sub(start), len(l.marks))
	}
}

// However long a client sends, the marks are bounded, and no byte counts as arrived later than it did, nor much earlier.
func TestMarksAreBounded(t *testing.T) {
	const bytes, gap = 1000, 20
	var l Log
	for i := range bytes {
		l.Read(1, at(i*gap))
	}
	if len(l.marks) > maxMarks {
		t.Errorf("%d marks", len(l.marks))
	}
	for i := range bytes {
		late := l.Before(int64(i + 1)).Sub(at(i * gap))
		if late > 0 || late < -2*bytes*gap*time.Millisecond/maxMarks {
			t.Fatalf("byte %d counts as arrived %v late", i, late)
		}
	}
}
