package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// metricValue returns the value of one metric from the telemetry's text.
func metricValue(t *testing.T, text, name string) int64 {
	t.Helper()
	m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(text)
	if m == nil {
		t.Fatalf("no %s in\n%s", name, text)
	}
	v, _ := strconv.ParseInt(m[1], 10, 64)
	return v
}

// With backends that fail in many ways the metrics still equal what clients got and backends received.
func TestMetricsMatchTraffic(t *testing.T) {
	var received atomic.Int64
	rough := backend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := receive(r)
			if err != nil {
				return
			}
			n := received.Add(1)
			switch {
			case n%7 == 0:
				io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			case n%11 == 0:
				io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			case n%13 == 0:
				return // a reset: the request may have run
			case n%17 == 0 && req.Method == http.MethodGet:
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+fmt.Sprintf("%0100000d", 0)) // a truncated answer
				return
			default:
				io.WriteString(c, hello)
			}
		}
	})
	clients, controlURL := startAgentWithControl(t, nil, rough, rough)
	waitUntilReady(t, controlURL)
	var got [2][3]atomic.Int64 // by class: served, refused, failed
	var all sync.WaitGroup
	for c := range 6 {
		all.Go(func() {
			client := newClient(t)
			for i := range 60 {
				class := i % 2
				method, path := http.MethodGet, "/read"
				if class == 1 {
					method, path = http.MethodPost, "/sub"
				}
				req, err := http.NewRequest(method, clients+path, nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set("X-Correlation-Id", fmt.Sprint(c, "-", i))
				req.Header.Set("X-Time-Left", "10000m")
				if class == 1 {
					req.Header.Set("Idempotency-Key", fmt.Sprint(c, "-", i))
				}
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch {
				case resp.StatusCode == http.StatusServiceUnavailable:
					got[class][1].Add(1)
				case err != nil || resp.StatusCode != http.StatusOK:
					got[class][2].Add(1)
				default:
					got[class][0].Add(1)
				}
			}
		})
	}
	all.Wait()
	var text string
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) { // the last answers are counted after clients have them
		_, text = call(t, "GET", controlURL+"/api/telemetry")
		wrong := ""
		for class, name := range []string{"read", "sub"} {
			for i, result := range []string{"ok", "shed", "errors"} {
				f := fmt.Sprintf("svc_responses{kind=%q,result=%q}", name, result)
				if is, want := metricValue(t, text, f), got[class][i].Load(); is != want {
					wrong += fmt.Sprintf("%s is %d, clients saw %d\n", f, is, want)
				}
			}
		}
		if is := metricValue(t, text, "svc_tries"); is != received.Load() {
			wrong += fmt.Sprintf("svc_tries is %d, backends received %d\n", is, received.Load())
		}
		if is := metricValue(t, text, "svc_active"); is != 0 {
			wrong += fmt.Sprintf("svc_active is %d\n", is)
		}
		if wrong == "" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%s\n%s", wrong, text)
		}
	}
	if got[0][0].Load() == 0 || got[0][2].Load()+got[1][2].Load() == 0 {
		t.Errorf("no request failed: %s", text)
	}
}
