package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonrail/balance"
	"lemonrail/internal/http1"
)

// receivedUpload is an Upload whose client has sent everything at a given time.
type receivedUpload struct {
	io.Reader
	at time.Time
}

func (u receivedUpload) LastIncomplete() time.Time { return u.at }

// streamedRequest returns a request whose body was received whole at the given time, and whose client waits for left from then.
func streamedRequest(t *testing.T, length int, at time.Time, left time.Duration) *http1.Request {
	t.Helper()
	body := receivedUpload{strings.NewReader(strings.Repeat("x", length)), at}
	stream := http1.NewStream(body, int64(length), left, func() {})
	out, err := http1.Render(http.MethodPost, "/sub", "api.internal", http.Header{}, nil, stream)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against an attempt that is told, and given, more time than its client has left: the first byte is written late,
// when the client has sent its body long ago and has waited for the most of its time.
func TestLateStreamedAttemptHasItsClientsTime(t *testing.T) {
	const left, waited = time.Minute, 58 * time.Second
	told := make(chan string, 1)
	hold := make(chan struct{})
	defer close(hold)
	addr := backend(t, func(c net.Conn, r *bufio.Reader) {
		req, _, _ := receive(r)
		told <- req.Header.Get(http1.HeaderTimeLeft)
		<-hold
	})
	out := streamedRequest(t, 1<<20, time.Now().Add(-waited), left)
	r := await(t, exchange(t, newTestUpstream(t), nil, addr, out))
	if r.Result != balance.TimedOut {
		t.Errorf("got %v, want a time-out at the end of the client's time", r.Result)
	}
	micros, err := strconv.ParseInt(strings.TrimSuffix(await(t, told), "u"), 10, 64)
	if got := time.Duration(micros) * time.Microsecond; err != nil || got <= 0 || got > left-waited {
		t.Errorf("told %v, %v; want at most %v", got, err, left-waited)
	}
}

// Guards against an attempt without an end: a backend on a kept or a new connection takes no more of a streamed body. The
// request has not run, the backend has not broken, and no second connection is tried, since a part of the body is gone.
func TestHungBackendEndsAnUpload(t *testing.T) {
	for _, kept := range []bool{false, true} {
		hold := make(chan struct{})
		accepted := make(chan struct{}, 10)
		addr := backend(t, func(c net.Conn, r *bufio.Reader) {
			c.(*net.TCPConn).SetReadBuffer(64 << 10)
			accepted <- struct{}{}
			if kept {
				receive(r)
				io.WriteString(c, hello)
			}
			<-hold
		})
		u := newTestUpstream(t)
		if kept {
			exchangeRested(t, u, addr, readRequest)
		}
		out := streamedRequest(t, 16<<20, time.Now(), time.Second)
		r := exchangeRested(t, u, addr, out)
		if r.Result != balance.ConnectFailed || !r.OtherConnectionsOpen {
			t.Errorf("kept %v: got %+v", kept, r)
		}
		if n := len(accepted); n != 1 {
			t.Errorf("kept %v: %d connections", kept, n)
		}
		close(hold)
	}
}

// Guards against a dial that outlasts the client: the attempt of a streamed request waits for its connection while the
// request's context leaves time for the upload.
func TestDialOfStreamedRequestEndsInTime(t *testing.T) {
	u := newTestUpstream(t)
	u.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	out := streamedRequest(t, 1<<20, time.Now(), 50*time.Millisecond)
	if r := await(t, exchange(t, u, nil, "127.0.0.1:1", out)); r.Result != balance.NotSent {
		t.Errorf("got %v", r.Result)
	}
}

// An upload that goes on is not interrupted by the client's pauses, nor by a write that takes less than streamStallTimeout.
func TestUploadLimit(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		lastIncomplete, writingSince time.Time
		want                         time.Duration
	}{
		"the client still sends":      {now, time.Time{}, time.Second},
		"the client has waited":       {now.Add(-900 * time.Millisecond), time.Time{}, 100 * time.Millisecond},
		"the client's time is over":   {now.Add(-2 * time.Second), time.Time{}, -time.Second},
		"a write has begun":           {now, now, time.Second},
		"a write has stalled":         {now, now.Add(-streamStallTimeout), 0},
		"a write has nearly stalled":  {now, now.Add(100*time.Millisecond - streamStallTimeout), 100 * time.Millisecond},
		"the client sends for longer": {now.Add(time.Hour), time.Time{}, streamStallTimeout},
	} {
		l := &uploadLimit{stream: http1.NewStream(receivedUpload{nil, tt.lastIncomplete}, 1, time.Second, nil), writingSince: tt.writingSince}
		if got := l.untilNextCheck(now); got != tt.want {
			t.Errorf("%s: %v, want %v", name, got, tt.want)
		}
	}
}
