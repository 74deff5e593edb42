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

// TCP links lead from each agent to each seat of the duties. They obey what Link says of the two, each way for itself: a
// cut or a stall holds bytes back without closing, as a network does; a delay is one of each piece; a lost piece comes
// a fifth of a second late.
const (
	tcpLost  = 200 * time.Millisecond
	tcpPoll  = 5 * time.Millisecond
	tcpPiece = 32 << 10
)

// tcpLink is one.
type tcpLink struct {
	c        *Cluster
	from, to int
	ln       net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
}

// openSeats reserves the seats' own addresses and opens the links to them.
func (c *Cluster) openSeats(seats int) error {
	for i := range seats {
		fd, at, err := standin.Reserve()
		if err != nil {
			return err
		}
		c.Agents[i].fds = append(c.Agents[i].fds, fd)
		c.seats = append(c.seats, at)
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
		c.tcp = append(c.tcp, row)
	}
	return nil
}

// seatsText is the [[seat]] tables of an agent's file on duties.
func (c *Cluster) seatsText(agent int) string {
	var b strings.Builder
	for j, at := range c.seats {
		if l := c.tcp[agent][j]; l.ln != nil {
			at = l.ln.Addr().String()
		}
		fmt.Fprintf(&b, "[[seat]]\nname = %q\naddress = %q\n", c.Agents[j].Name, at)
	}
	return b.String()
}

func (l *tcpLink) run() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(tcpPoll)
			continue
		}
		l.c.tasks.Go(func() { l.carry(conn) })
	}
}

// track keeps a connection, to be closed at the end; false: it has come.
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

func (l *tcpLink) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.open, c)
		c.Close()
	}
}

func (l *tcpLink) carry(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.c.seats[l.to], time.Second)
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
		defer func() { // what came is there; the other side hears of the end
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			if t, ok := from.(*net.TCPConn); ok {
				t.CloseRead()
			}
		}()
		buf := make([]byte, tcpPiece)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.pass(i, j) {
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

// pass waits until a piece may go on; false: the rig ends.
func (l *tcpLink) pass(i, j int) bool {
	r := l.c.links[i][j]
	r.mu.Lock()
	f := r.fault
	late := time.Duration(0)
	if f.Delay[1] > 0 {
		late = f.Delay[0] + time.Duration(r.rng.Float64()*float64(f.Delay[1]-f.Delay[0]))
	}
	if r.rng.Float64() < f.Loss {
		late += tcpLost
	}
	r.mu.Unlock()
	until := time.Now().Add(late)
	for f.Cut || f.Stall || time.Now().Before(until) {
		select {
		case <-l.c.stopAt:
			return false
		case <-time.After(tcpPoll):
		}
		r.mu.Lock()
		f = r.fault
		r.mu.Unlock()
	}
	return true
}

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

// Seat is the real address of an agent's seat, to talk to it past the links.
func (c *Cluster) Seat(agent int) string { return c.seats[agent] }

// FileLimit bounds what the agent's process may write to any one file from its next start on, in bytes; 0: as ever. A
// disk that is full looks so.
func (a *Agent) FileLimit(bytes uint64) { a.fileLimit = bytes }

// limited is a shell's way to set it: the limit holds over exec.
func (a *Agent) limited(program string, args []string) (string, []string) {
	if a.fileLimit == 0 {
		return program, args
	}
	script := fmt.Sprintf(`trap '' XFSZ; ulimit -f %d; exec "$0" "$@"`, (a.fileLimit+511)/512)
	return "/bin/sh", append([]string{"-c", script, program}, args...)
}
