package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkUsualClients measures the time from a client's request to its answer, over loopback, through an agent to a
// backend that answers at once: without other clients, and beside 500 hostile ones that reconnect 100 ms after each
// closed connection. Clients, agent and backend share the processor.
func BenchmarkUsualClients(b *testing.B) {
	for _, hostile := range []int{0, 500} {
		b.Run(fmt.Sprint(hostile, " hostile"), func(b *testing.B) {
			cfg := testConfig(b, backend(b, always(hello)))
			cfg.Sockets = 1024
			base, stop, done := startAgent(b, cfg, stepFunc(sendAll))
			addr := strings.TrimPrefix(base, "http://")
			finished := make(chan struct{})
			var hostileClients sync.WaitGroup
			for i := range hostile {
				hostileClients.Go(func() { runHostileClient(addr, i, finished) })
			}
			var mu sync.Mutex
			var latencies []time.Duration
			var usual sync.WaitGroup
			const clients = 4
			for n := range clients {
				usual.Go(func() {
					own := make([]time.Duration, 0, b.N/clients+1)
					var nc net.Conn
					r := bufio.NewReader(nil)
					for i := range b.N/clients + 1 {
						begun := time.Now()
						for served := false; !served; {
							if nc == nil {
								var err error
								if nc, err = net.Dial("tcp", addr); err != nil {
									b.Error(err)
									return
								}
								r.Reset(nc)
							}
							io.WriteString(nc, readRequestWithin10s(fmt.Sprintf("%d-%d-%d", b.N, n, i)))
							resp, err := http.ReadResponse(r, nil)
							if err == nil {
								_, err = io.Copy(io.Discard, resp.Body)
								served = err == nil && resp.StatusCode == http.StatusOK
							}
							if err != nil || resp.Close {
								nc.Close()
								nc = nil
							}
							if err == nil && !served {
								b.Errorf("got %d", resp.StatusCode)
								return
							}
						}
						own = append(own, time.Since(begun))
						time.Sleep(time.Millisecond)
					}
					if nc != nil {
						nc.Close()
					}
					mu.Lock()
					defer mu.Unlock()
					latencies = append(latencies, own...)
				})
			}
			usual.Wait()
			close(finished)
			hostileClients.Wait()
			stop()
			<-done
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}

// runHostileClient plays one hostile client until stop: of five kinds two send nothing, one sends part of a request, one
// sends a header byte by byte and one sends noise.
func runHostileClient(addr string, kind int, stop <-chan struct{}) {
	for {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			ended := make(chan struct{})
			go func() { // ends with the connection
				defer close(ended)
				io.Copy(io.Discard, nc)
			}()
			text := ""
			switch kind % 5 {
			case 2:
				text = "GET /read HT"
			case 3:
				text = "GET /read HTTP/1.1\r\nX-More: "
			case 4:
				text = "\x16\x03\x01 noise\r\n\r\n"
			}
			io.WriteString(nc, text)
			tick := time.NewTicker(100 * time.Millisecond)
			for open := true; open; {
				select {
				case <-tick.C:
					if kind%5 == 3 {
						nc.Write([]byte("x"))
					}
				case <-ended:
					open = false
				case <-stop:
					open = false
				}
			}
			tick.Stop()
			nc.Close()
			<-ended
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
