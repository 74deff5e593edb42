package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// evenRequests yields n requests at even intervals.
func evenRequests(n int, every time.Duration) func() (*Request, error) {
	i := 0
	return func() (*Request, error) {
		if i == n {
			return nil, io.EOF
		}
		i++
		return &Request{Offset: time.Duration(i-1) * every, Class: "point-read", Method: "GET", Target: fmt.Sprint("/point-read?key=", i), TimeLeft: 10 * time.Second,
			Client: fmt.Sprint(i % 7), Seq: int64(i - 1), Origin: int64(i - 1)}, nil
	}
}

func startServer(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	a, err := netip.ParseAddrPort(s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Play sends on time without waiting for answers, reuses connections, and gives every request one outcome.
func TestPlayIsAnOpenLoop(t *testing.T) {
	const n = 60
	var arrived sync.WaitGroup
	arrived.Add(n)
	ids := map[string]bool{}
	var mu sync.Mutex
	to := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ids[r.Header.Get("X-Correlation-Id")] = true
		mu.Unlock()
		arrived.Done()
		arrived.Wait() // no answer before all requests have arrived
		io.WriteString(w, "ok")
	})
	rec := NewRecorder(10 * time.Millisecond)
	tot, err := Play(context.Background(), evenRequests(n, time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, Done: rec.Add})
	if err != nil {
		t.Fatal(err)
	}
	r := rec.Report(tot)
	if r.Requests != n || r.Outcomes[Served] != n || len(ids) != n || r.Lateness.Count != n || r.Classes["point-read"].Latency.Count != n {
		t.Errorf("got %+v with %d ids", r, len(ids))
	}
}

func TestPlayOutcomes(t *testing.T) {
	to := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("key") {
		case "1":
			io.WriteString(w, "ok")
		case "2":
			w.Header().Set("Retry-After", "0.250")
			w.WriteHeader(503)
		case "3":
			w.WriteHeader(502)
		case "4":
			panic(http.ErrAbortHandler)
		case "5":
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "half")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	var got []string
	_, err := Play(context.Background(), evenRequests(5, 20*time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, Done: func(s *Sample) {
		got = append(got, fmt.Sprintf("%d %s %d %v %v", s.Request.Seq, s.Outcome, s.Status, s.AnswerBegun, s.RetryAfter))
	}})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(got)
	want := []string{"0 served 200 false 0s", "1 refused 503 false 250ms", "2 failed 502 false 0s", "3 broken 0 false 0s", "4 broken 0 true 0s"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A request that the server leaves unread because it closes the idle connection is sent once more; one on a new
// connection isn't.
func TestRetryOnClosedIdleConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	conns := make(chan int, 16)
	served.Go(func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- i
			buf := make([]byte, 4096)
			c.Read(buf)
			if i < 2 { // answers the first request, and closes the connection without reading the next
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				time.Sleep(5 * time.Millisecond)
			}
			c.Close()
		}
	})
	var got []Outcome
	to := netip.MustParseAddrPort(ln.Addr().String())
	if _, err := Play(context.Background(), evenRequests(3, 100*time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, Done: func(s *Sample) { got = append(got, s.Outcome) }}); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	served.Wait()
	if fmt.Sprint(got) != "[served served broken]" || len(conns) != 3 {
		t.Errorf("got %v on %d connections", got, len(conns))
	}
}

// When the context ends, Play sends nothing more, waits for the open requests, and reports complete results.
func TestPlayStops(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	to := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		stop()
		io.WriteString(w, "ok")
	})
	rec := NewRecorder(time.Second)
	tot, err := Play(ctx, evenRequests(1000, 50*time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, Done: rec.Add})
	if err != nil || !tot.Stopped || tot.Played >= 1000 {
		t.Fatalf("got %+v, %v", tot, err)
	}
	if r := rec.Report(tot); !r.Stopped || r.Outcomes[Served] != tot.Played {
		t.Errorf("got %+v", r)
	}
}

func TestPlayLimits(t *testing.T) {
	hold := make(chan struct{})
	to := startServer(t, func(w http.ResponseWriter, r *http.Request) { <-hold })
	n := 0
	tot, err := Play(context.Background(), evenRequests(10, time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, MaxInFlight: 3, Done: func(s *Sample) {
		if n++; n == 7 {
			close(hold)
		}
	}})
	if err != nil || tot.Unsent != 7 {
		t.Errorf("got %+v, %v", tot, err)
	}
	tot, err = Play(context.Background(), evenRequests(10, time.Millisecond), PlayOptions{Targets: []netip.AddrPort{to}, MaxRequests: 4})
	if err != nil || tot.Played != 4 {
		t.Errorf("got %+v, %v", tot, err)
	}
	for _, o := range []PlayOptions{{}, {Targets: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}}, {Targets: []netip.AddrPort{to}, Speed: -1}} {
		if _, err := Play(context.Background(), evenRequests(1, 0), o); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
	bad := errors.New("bad file")
	if _, err := Play(context.Background(), func() (*Request, error) { return nil, bad }, PlayOptions{Targets: []netip.AddrPort{to}}); !errors.Is(err, bad) {
		t.Errorf("got %v", err)
	}
}

// Requests that are sent later than they were due show in the report's lateness, and in its errors of the rate and of the mix of
// classes.
func TestReportShowsRateAndMixErrors(t *testing.T) {
	rec := NewRecorder(time.Second)
	begun := time.Unix(1784003400, 0)
	for i := range 400 { // 100 a second; one class of the second window is sent in the third
		due := begun.Add(time.Duration(i) * 10 * time.Millisecond)
		s := &Sample{Request: &Request{Class: []string{"point-read", "alert-sub"}[i%2]}, Due: due, Sent: due, Ended: due, Outcome: Served}
		if i >= 100 && i < 200 && i%2 == 0 {
			s.Sent = due.Add(time.Second)
		}
		rec.Add(s)
	}
	r := rec.Report(Totals{Started: begun, Finished: begun.Add(4 * time.Second)})
	if r.RateError != 0.5 || r.MixError != 0.5 || r.Lateness.Max < 999 {
		t.Errorf("rate error %v, mix error %v, lateness %+v", r.RateError, r.MixError, r.Lateness)
	}
}

func TestReports(t *testing.T) {
	rec := NewRecorder(time.Second)
	begun := time.Unix(1784003400, 0)
	for i := range 9000 { // more than maxPlayedWindows
		due := begun.Add(time.Duration(i) * time.Second)
		s := &Sample{Request: &Request{Class: []string{"point-read", "alert-sub"}[i%2], Repeat: i%10 == 0}, Due: due, Sent: due.Add(time.Millisecond), Ended: due.Add(20 * time.Millisecond), Outcome: Served, Status: 200}
		if i%100 == 0 {
			s.Outcome, s.Status = Refused, 503
		}
		rec.Add(s)
	}
	r := rec.Report(Totals{Started: begun, Finished: begun.Add(9000 * time.Second)})
	if r.Requests != 9000 || r.Repeats != 900 || len(r.Windows) > maxPlayedWindows || r.WindowS != 4 || r.RateError > 0.3 || r.Classes["point-read"].Outcomes[Refused] != 90 {
		t.Errorf("got %d requests, %d repeats, %d windows of %v s, error %v", r.Requests, r.Repeats, len(r.Windows), r.WindowS, r.RateError)
	}
	var text, page, js bytes.Buffer
	if err := errors.Join(r.Text(&text), r.HTML(&page, "A <title>"), r.JSON(&js)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "9000 in 9000.0 s") || strings.Count(page.String(), "<svg") != 3 || strings.Contains(page.String(), "A <title>") ||
		strings.Contains(page.String(), "http://") || strings.Contains(page.String(), "https://") || !strings.Contains(js.String(), `"p99_ms"`) {
		t.Errorf("text %.200s", text.String())
	}
}
