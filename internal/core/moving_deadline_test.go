package core

import (
	"testing"
	"time"

	"lemonrail/balance"
)

// newStreamedCall returns a loop and a call whose body arrives until the time that *lastIncomplete holds, after which its
// client waits for left.
func newStreamedCall(left, allowance time.Duration) (l *Loop, c *Call, lastIncomplete *time.Time) {
	l, c = newTestLoop(nil)
	begun := time.Now()
	lastIncomplete = &begun
	c.Deadline, c.UploadAllowance = begun.Add(left), allowance
	c.MovingDeadline = func() time.Time { return lastIncomplete.Add(left) }
	return l, c, lastIncomplete
}

// Guards against a call that is answered only when the time for its upload is over: it fails once its client has stopped
// waiting, which moves on while the body arrives.
func TestCallFailsAtItsMovedDeadline(t *testing.T) {
	const left, pause = time.Second, 5 * time.Second
	l, c, lastIncomplete := newStreamedCall(left, time.Minute)
	l.Arrived(c)
	begun := *lastIncomplete
	*lastIncomplete = begun.Add(pause) // the client has paused within its body
	grace := l.settings.AnswerGrace / 2
	l.fireTimers(begun.Add(left + grace))
	if c.answered || len(l.timers) != 1 {
		t.Fatalf("answered %v, %d timers, although the body still arrived", c.answered, len(l.timers))
	}
	l.fireTimers(begun.Add(pause + left + grace - time.Millisecond))
	if c.answered {
		t.Fatal("answered before the client's time was over")
	}
	l.fireTimers(begun.Add(pause + left + grace))
	if !c.answered || (<-c.Reply).Kind != Failed {
		t.Errorf("no answer when the client's time was over")
	}
}

// A body that never ends doesn't keep its call beyond the allowance for the upload.
func TestMovingDeadlineIsBounded(t *testing.T) {
	const left, allowance = time.Second, time.Minute
	l, c, lastIncomplete := newStreamedCall(left, allowance)
	l.Arrived(c)
	end := c.latestDeadline().Add(l.settings.AnswerGrace / 2)
	*lastIncomplete = end
	l.fireTimers(end.Add(-time.Millisecond))
	if c.answered {
		t.Fatal("answered within the allowance")
	}
	l.fireTimers(end)
	if !c.answered {
		t.Error("not answered at the end of the allowance")
	}
}

// The decision module is told the time that the client waits after its last byte, without the time for the upload.
func TestModuleIsToldTheTimeLeft(t *testing.T) {
	const left = time.Minute
	l, c, _ := newStreamedCall(left, time.Hour)
	l.Arrived(c)
	if e := l.events[0].(balance.Request); e.TimeLeft <= 0 || e.TimeLeft > left {
		t.Errorf("told %v, want at most %v", e.TimeLeft, left)
	}
}
