package cluster

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"lemonrail/internal/standin"
)

// TCP links connect each agent to each seat (voter) of the quorum that grants duties. They follow the faults of the UDP links
// between the two agents, each direction separately. A cut or a stall holds bytes back without closing the connection, as
// a network does. A delay applies to each chunk, and a lost chunk arrives tcpLossDelay late, as after a
// retransmission.
const (
	tcpLossDelay  = 200 * time.Millisecond // additional delay of a chunk that the link's Loss hits
	pollInterval  = 5 * time.Millisecond   // interval at which a held chunk checks whether the fault has ended
	tcpChunkBytes = 32 << 10               // maximum size of a chunk
)

// tcpLink carries the connections from one agent to the seat of another.
type tcpLink struct {
	c        *Cluster
	from, to int // indexes of the agents
	ln       net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool // connections to be closed with the link
	closed   bool
}

// openSeats reserves the addresses of the seats and opens the links to them.
func (c *Cluster) openSeats(seats int) error {
	for i := range seats {
		fd, at, err := standin.ReserveAddr()
		if err != nil {
			return err
		}
		c.Agents[i].reservedFDs = append(c.Agents[i].reservedFDs, fd)
		c.seatAddrs = append(c.seatAddrs, at)
	}
	for i := range c.Agents {
		var row []*tcpLink
		for j := range seats {
			l := &tcpLink{c: c, from: i, to: j, open: map[net.Conn]bool{}}
			if i != j {
				var err error
				if l.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
					return fmt.Errorf("cluster: link %d to seat %d: %w", i, j, err)
				}
				c.tasks.Go(l.run)
			}
			row = append(row, l)
		}
		c.tcpLinks = append(c.tcpLinks, row)
	}
	return nil
}

// seatsText returns the [[seat]] tables (names and addresses of the voters) of an agent's duties file. The addresses are those of
// the agent's links to the seats.
func (c *Cluster) seatsText(agent int) string {
	var b strings.Builder
	for j, at := range c.seatAddrs {
		if l := c.tcpLinks[agent][j]; l.ln != nil {
			at = l.ln.Addr().String()
		}
		fmt.Fprintf(&b, "[[seat]]\nname = %q\naddress = %q\n", c.Agents[j].Name, at)
	}
	return b.String()
}

// run accepts connections from the agent and forwards each to the seat, until the listener is closed.
func (l *tcpLink) run() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(pollInterval)
			continue
		}
		l.c.tasks.Go(func() { l.proxy(conn) })
	}
}

// track registers connections to be closed by close. It reports false, and closes them, if the link is closed
// already.
func (l *tcpLink) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			c.Close()
			continue
		}
		l.open[c] = true
	}
	return !l.closed
}

// drop closes connections and removes them from those to be closed with the link.
func (l *tcpLink) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.open, c)
		c.Close()
	}
}

// proxy forwards a connection from the agent to the seat, and back, until both directions have ended.
func (l *tcpLink) proxy(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.c.seatAddrs[l.to], time.Second)
	if err != nil {
		in.Close()
		return
	}
	defer l.drop(in, out)
	if !l.track(in, out) {
		return
	}
	var both sync.WaitGroup
	pump := func(from, to net.Conn, i, j int) {
		defer func() { // bytes read so far were written; pass the end on to the other side
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			if t, ok := from.(*net.TCPConn); ok {
				t.CloseRead()
			}
		}()
		buf := make([]byte, tcpChunkBytes)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.waitForFaults(i, j) {
				return
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	both.Go(func() { pump(in, out, l.from, l.to) })
	both.Go(func() { pump(out, in, l.to, l.from) })
	both.Wait()
}

// waitForFaults waits until the fault of the link from agent i to agent j lets a chunk through. It reports false if the cluster is
// closing.
func (l *tcpLink) waitForFaults(i, j int) bool {
	r := l.c.links[i][j]
	r.mu.Lock()
	f := r.fault
	delay := time.Duration(0)
	if f.Delay[1] > 0 {
		delay = f.Delay[0] + time.Duration(r.rng.Float64()*float64(f.Delay[1]-f.Delay[0]))
	}
	if r.rng.Float64() < f.Loss {
		delay += tcpLossDelay
	}
	r.mu.Unlock()
	sendAt := time.Now().Add(delay)
	for f.Cut || f.Stall || time.Now().Before(sendAt) {
		select {
		case <-l.c.stop:
			return false
		case <-time.After(pollInterval):
		}
		r.mu.Lock()
		f = r.fault
		r.mu.Unlock()
	}
	return true
}

// close closes the listener and the open connections.
func (l *tcpLink) close() {
	if l.ln != nil {
		l.ln.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.open {
		c.Close()
	}
}

// Seat returns the real address of an agent's seat, which bypasses the links.
func (c *Cluster) Seat(agent int) string { return c.seatAddrs[agent] }

// FileLimit limits the size of any file that the agent's process writes, from its next start on, in bytes, to
// simulate a full disk. 0 removes the limit.
func (a *Agent) FileLimit(bytes uint64) { a.fileLimit = bytes }

// withFileLimit wraps the command in a shell that sets the limit, which persists over exec.
func (a *Agent) withFileLimit(program string, args []string) (string, []string) {
	if a.fileLimit == 0 {
		return program, args
	}
	script := fmt.Sprintf(`trap '' XFSZ; ulimit -f %d; exec "$0" "$@"`, (a.fileLimit+511)/512)
	return "/bin/sh", append([]string{"-c", script, program}, args...)
}
