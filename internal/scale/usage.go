package scale

import (
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used, user and system.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// heapBytes returns the size of the live heap and the stacks of this process after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first collection finalized
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// heapGrowthKB returns the growth of heapBytes since before, in kilobytes.
func heapGrowthKB(before uint64) float64 { return (float64(heapBytes()) - float64(before)) / 1024 }

// traffic counts the accepted connections and the bytes received and sent on connections, without TCP and IP headers.
type traffic struct {
	accepted, received, sent atomic.Int64
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.accepted.Add(1)
	return countingConn{conn, l.traffic}, nil
}

// countingConn adds the bytes of a connection to traffic.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// loadAverage returns the machine's three load averages, or "" if they can't be read.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}
