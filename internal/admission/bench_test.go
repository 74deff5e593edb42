package admission

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// startServer starts a server behind a Listener that answers each request with a few bytes.
func startServer(b *testing.B, cfg Config) (*Listener, func()) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l, err := Listen(ln, cfg, 250*ms, Hooks{})
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{ConnContext: ConnContext, ConnState: StateChanged, ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := ConnFromContext(r.Context())
			c.RequestRead()
			if !c.BeginAnswer() {
				w.Header().Set("Connection", "close")
			}
			io.WriteString(w, "hello")
		})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	return l, func() {
		l.Close()
		srv.Close()
		<-done
	}
}

// rawClient returns a connection without a goroutine or a buffer in Go, so that the benchmark measures only
// the server.
func rawClient(b *testing.B, port int) int {
	b.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Connect(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: port})
	}
	if err != nil {
		b.Fatal(err)
	}
	return fd
}

// BenchmarkAccepted measures one connection with one request, client and server together.
func BenchmarkAccepted(b *testing.B) {
	l, stop := startServer(b, DefaultConfig(1000, 0))
	defer stop()
	benchmarkConnections(b, l, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", http.StatusOK)
}

// BenchmarkRefused measures a refused connection, client and server together: the only place is taken by a
// connection that may not be evicted.
func BenchmarkRefused(b *testing.B) {
	l, stop := startServer(b, Config{MaxConnections: 1, MaxRefusals: 16, NewGrace: time.Hour})
	defer stop()
	defer syscall.Close(rawClient(b, l.Addr().(*net.TCPAddr).Port))
	benchmarkConnections(b, l, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusServiceUnavailable)
}

func benchmarkConnections(b *testing.B, l *Listener, request string, want int) {
	r := bufio.NewReader(nil)
	for b.Loop() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		io.WriteString(c, request)
		r.Reset(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			b.Fatal(resp, err)
		}
		c.Close()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "conns/s")
}

// BenchmarkSilent holds b.N connections that send nothing, and reports how many bytes of heap and stack each
// takes in the server. Run it with -benchtime 10000x; it needs two descriptors per connection.
func BenchmarkSilent(b *testing.B) {
	l, stop := startServer(b, Config{MaxRefusals: 1})
	defer stop()
	port := l.Addr().(*net.TCPAddr).Port
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := memory()
	fds := make([]int, 0, b.N)
	for range b.N {
		fds = append(fds, rawClient(b, port))
	}
	for l.Counts().Held < b.N {
		runtime.Gosched()
	}
	time.Sleep(50 * ms) // until the connections' goroutines block
	b.ReportMetric(float64(memory()-before)/float64(b.N), "bytes/conn")
	for _, fd := range fds {
		syscall.Close(fd)
	}
}

// BenchmarkDecisions measures the Governor's part of one request on a kept connection.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n, " held"), func(b *testing.B) {
			g, err := NewGovernor(DefaultConfig(5*n, 0))
			if err != nil {
				b.Fatal(err)
			}
			var held []*Entry
			for range n {
				held = append(held, g.Open(0, nil))
			}
			for i := 0; b.Loop(); i++ {
				now, e := time.Duration(i), held[i%n]
				g.BytesArrived(e, now)
				g.HeadRead(e, now)
				g.RequestRead(e, now)
				g.BeginAnswer(e, now)
				g.EndAnswer(e, now)
			}
		})
	}
}
