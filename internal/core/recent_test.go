package core

import (
	"fmt"
	"testing"
	"time"

	"lemonrail/balance"
)

// fakeClaims records claims in memory, as two processes of an agent share them.
type fakeClaims map[string]bool

func (f fakeClaims) Claim(key string) (uint64, bool) {
	if f[key] {
		return 0, false
	}
	f[key] = true
	return 1, true
}

func (f fakeClaims) Release(key string, _ uint64) { delete(f, key) }

// endCall runs one call with one attempt that ends with a result, and returns the kind of its answer.
func endCall(l *Loop, id, claimKey string, result balance.Result) AnswerKind {
	c := &Call{Event: balance.Request{ID: id}, ClaimKey: claimKey, Reply: make(chan Answer, 1), Deadline: time.Now().Add(time.Hour)}
	l.Arrived(c)
	if len(c.Reply) == 0 {
		c.attempts = []*attempt{{backend: "h0", sent: time.Now(), cancel: func() {}, permit: NewPermit(time.Time{})}}
		c.pending = 1
		if !l.claim(c) {
			l.answer(c, Answer{Kind: Duplicate})
			result = balance.NotSent
		}
		l.attemptEnded(c, 0, "h0", Response{Result: result})
		l.answer(c, Answer{Kind: Failed})
	}
	return (<-c.Reply).Kind
}

// Guards against a request that runs twice because its id was forgotten: ids of requests that have not run, and of those that
// may run again, don't push it out.
func TestFloodOfIDsDoesNotPushOutARequestThatRan(t *testing.T) {
	l, _ := newTestLoop(nil)
	if got := endCall(l, "ran", "ran", balance.Reset); got != Failed {
		t.Fatalf("answered as %d", got)
	}
	for i := range maxRecentIDs + 1 {
		endCall(l, fmt.Sprint("refused-", i), "refused", balance.Full)
		endCall(l, fmt.Sprint("safe-", i), "", balance.Reset)
	}
	if got := endCall(l, "ran", "ran", balance.Reset); got != Duplicate {
		t.Errorf("a request that ran is answered as %d when it comes again", got)
	}
	if got := endCall(l, "refused-1", "refused", balance.Reset); got != Failed {
		t.Errorf("a request that has not run is answered as %d when it comes again", got)
	}
}

// Guards against a request that runs at both processes of an upgrade: one that the other process may have run is not sent, and
// one that has not run there may be sent.
func TestRequestOfAnotherProcessIsNotSent(t *testing.T) {
	claims := fakeClaims{}
	for result, want := range map[balance.Result]AnswerKind{balance.Reset: Duplicate, balance.ConnectFailed: Failed} {
		id := fmt.Sprint("request-", result)
		for process, want := range []AnswerKind{Failed, want} {
			l, _ := newTestLoop(nil)
			l.Claims = claims
			if got := endCall(l, id, id, result); got != want {
				t.Errorf("%v, process %d: answered as %d, want %d", result, process, got, want)
			}
		}
	}
}
