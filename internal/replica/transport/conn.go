package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxQueuedFrames = 128                   // per connection; further frames are lost, as they can be on the network
	dialTimeout     = time.Second           // for the TCP connection
	writeTimeout    = 2 * time.Second       // of one frame, and of the exchange of hellos
	minRedialDelay  = 50 * time.Millisecond // mean delay before the first redial, doubled with each further one
	maxRedialDelay  = time.Second           // bound of that delay
	stableAfter     = time.Second           // a connection that lasted longer sets the redial delay back to minRedialDelay
	readBufferBytes = 32 << 10
)

// Protocol holds the parameters of a connection. Magic and Group must be the same at both ends.
type Protocol struct {
	Magic          string                 // name and version of the protocol
	Group          string                 // a connection of another group is refused
	Name           string                 // of the local end
	KindCount      Kind                   // number of kinds including the hello; a frame of this kind or above is invalid, pings apart
	PingInterval   time.Duration          // interval of pings; 0: none are sent
	SilenceTimeout time.Duration          // a connection that receives no frame for this long is closed
	Admit          func(name string) bool // reports whether a remote end of this name is accepted; nil: all are
}

// ReadFrame reads a frame and checks that its kind belongs to the protocol.
func (p *Protocol) ReadFrame(r *bufio.Reader) (kind Kind, content []byte, err error) {
	if kind, content, err = ReadFrame(r); err != nil {
		return 0, nil, err
	}
	if ping := kind == KindPing && p.PingInterval > 0; kind >= p.KindCount && !ping {
		return 0, nil, fmt.Errorf("%w: kind %d is unknown", ErrInvalidFrame, kind)
	}
	return kind, content, nil
}

// hello is the first frame in each direction of a connection. The JSON keys are part of the protocol.
type hello struct {
	Magic string // name and version of the protocol
	Group string `json:"Fleet"` // of processes that may connect to each other
	Name  string // of the sender
}

// Handler processes a received frame. It is called on the connection's goroutine.
type Handler func(c *Conn, kind Kind, content []byte)

// Conn is a connection to another process. Sent frames are queued and written by a separate goroutine.
type Conn struct {
	socket    net.Conn    // nil: detached, see Detached
	queue     chan []byte // encoded frames that are not written yet
	closeOnce sync.Once
	done      chan struct{} // closed by Close
	peer      string        // name of the remote end
}

// newConn returns a connection over a socket; run drives it.
func newConn(socket net.Conn) *Conn {
	return &Conn{socket: socket, queue: make(chan []byte, maxQueuedFrames), done: make(chan struct{})}
}

// Detached returns a connection without a socket, for simulations: sent frames stay queued until Next takes them.
func Detached(peer string) *Conn {
	c := newConn(nil)
	c.peer = peer
	return c
}

// Next removes the oldest queued frame of a detached connection; ok is false if the queue is empty.
func (c *Conn) Next() (frame []byte, ok bool) {
	select {
	case frame = <-c.queue:
		return frame, true
	default:
		return nil, false
	}
}

// Peer returns the name that the remote end gave in its hello.
func (c *Conn) Peer() string { return c.peer }

// Send queues a frame. It returns false if the queue is full, the content is too long, or the connection has ended.
func (c *Conn) Send(kind Kind, content []byte) bool {
	if len(content) > maxContentBytes {
		return false
	}
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.queue <- AppendFrame(nil, kind, content):
		return true
	default:
		return false
	}
}

// SendJSON sends a value as JSON, like Send.
func (c *Conn) SendJSON(kind Kind, value any) bool {
	raw, err := json.Marshal(value)
	return err == nil && c.Send(kind, raw)
}

// Close ends the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		if c.socket != nil {
			c.socket.Close()
		}
	})
}

// run exchanges hellos, then writes queued frames and passes received ones to handle, until the connection ends.
func (c *Conn) run(ctx context.Context, protocol *Protocol, handle Handler) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	reader := bufio.NewReaderSize(c.socket, readBufferBytes)
	if err := c.handshake(reader, protocol); err != nil {
		return err
	}
	var writer sync.WaitGroup
	writer.Go(func() { c.writeLoop(protocol.PingInterval) })
	defer writer.Wait()
	defer c.Close()
	for {
		c.socket.SetReadDeadline(time.Now().Add(protocol.SilenceTimeout))
		kind, content, err := protocol.ReadFrame(reader)
		if err != nil {
			return err
		}
		if kind != KindPing {
			handle(c, kind, content)
		}
	}
}

// handshake sends the local hello and checks that of the remote end.
func (c *Conn) handshake(reader *bufio.Reader, protocol *Protocol) error {
	raw, err := json.Marshal(hello{protocol.Magic, protocol.Group, protocol.Name})
	if err != nil {
		return err
	}
	c.socket.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := c.socket.Write(AppendFrame(nil, KindHello, raw)); err != nil {
		return err
	}
	kind, content, err := ReadFrame(reader)
	if err != nil {
		return err
	}
	var remote hello
	switch {
	case kind != KindHello || json.Unmarshal(content, &remote) != nil:
		return fmt.Errorf("%w: no hello", ErrInvalidFrame)
	case remote.Magic != protocol.Magic:
		return fmt.Errorf("%w: protocol %q, not %q", ErrInvalidFrame, remote.Magic, protocol.Magic)
	case remote.Group != protocol.Group:
		return fmt.Errorf("%w: %q is of group %q, not %q", ErrInvalidFrame, remote.Name, remote.Group, protocol.Group)
	case protocol.Admit != nil && !protocol.Admit(remote.Name):
		return fmt.Errorf("%w: %q is not expected", ErrInvalidFrame, remote.Name)
	}
	c.peer = remote.Name
	return c.socket.SetDeadline(time.Time{})
}

// writeLoop writes queued frames, and a ping at every interval, until the connection ends.
func (c *Conn) writeLoop(ping time.Duration) {
	var idle <-chan time.Time
	if ping > 0 {
		ticker := time.NewTicker(ping)
		defer ticker.Stop()
		idle = ticker.C
	}
	for {
		var frame []byte
		select {
		case frame = <-c.queue:
		case <-idle:
			frame = AppendFrame(nil, KindPing, nil)
		case <-c.done:
			return
		}
		c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.socket.Write(frame); err != nil {
			c.Close()
			return
		}
	}
}

// Dialer keeps a connection to one address open. Between attempts it waits, with exponential backoff and
// jitter.
type Dialer struct {
	Address   string // host and port to dial
	Protocol  Protocol
	Handle    Handler     // called with each received frame but pings
	OnInvalid func(error) // called with the error of each invalid frame

	mu   sync.Mutex // guards conn
	conn *Conn      // the current connection; nil: none
}

// Run dials and redials until ctx ends. jitter returns random numbers in [0, 1).
func (d *Dialer) Run(ctx context.Context, jitter func() float64) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		socket, err := dialer.DialContext(ctx, "tcp", d.Address)
		if err == nil && d.serve(ctx, socket) {
			delay = minRedialDelay
		}
		timer := time.NewTimer(time.Duration((0.5 + jitter()) * float64(delay)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// serve runs a connection until it ends, and reports whether it lasted longer than stableAfter.
func (d *Dialer) serve(ctx context.Context, socket net.Conn) (stable bool) {
	c := newConn(socket)
	d.Attach(c)
	defer d.Attach(nil)
	started := time.Now()
	if err := c.run(ctx, &d.Protocol, d.Handle); errors.Is(err, ErrInvalidFrame) {
		d.OnInvalid(err)
	}
	return time.Since(started) > stableAfter
}

// Attach makes the dialer send over c; nil: it has no connection to send over.
func (d *Dialer) Attach(c *Conn) {
	d.mu.Lock()
	d.conn = c
	d.mu.Unlock()
}

// Send queues a frame on the current connection. It returns false if the dialer has no connection or the
// connection refuses the frame.
func (d *Dialer) Send(kind Kind, content []byte) bool {
	d.mu.Lock()
	c := d.conn
	d.mu.Unlock()
	return c != nil && c.Send(kind, content)
}

// SendJSON sends a value as JSON, like Send.
func (d *Dialer) SendJSON(kind Kind, value any) bool {
	raw, err := json.Marshal(value)
	return err == nil && d.Send(kind, raw)
}
