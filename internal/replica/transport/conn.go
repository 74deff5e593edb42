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
	queueLimit   = 128 // frames that wait to be sent on a connection; beyond it they are lost, as on the way
	dialLimit    = time.Second
	writeLimit   = 2 * time.Second
	redialFirst  = 50 * time.Millisecond
	redialMost   = time.Second
	steadyAfter  = time.Second // a connection that stood for so long is redialled at once
	readerBuffer = 32 << 10
)

// Protocol is what both ends of a connection agree on.
type Protocol struct {
	Magic   string                 // name and version
	Group   string                 // connections of another group are refused
	Name    string                 // of this end
	Kinds   Kind                   // number of kinds, the hello among them: a frame of a higher kind is invalid
	Ping    time.Duration          // after which a ping is sent where nothing else was; 0: none
	Silence time.Duration          // without a frame, after which a connection is closed
	Admit   func(name string) bool // whether the other end may be of that name; nil: any
}

// ReadFrame reads a frame of the protocol.
func (p *Protocol) ReadFrame(r *bufio.Reader) (kind Kind, content []byte, err error) {
	if kind, content, err = ReadFrame(r); err != nil {
		return 0, nil, err
	}
	if ping := kind == KindPing && p.Ping > 0; kind >= p.Kinds && !ping {
		return 0, nil, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	return kind, content, nil
}

// hello begins a connection. The keys are part of the protocol.
type hello struct {
	Magic string
	Group string `json:"Fleet"`
	Name  string
}

// Handler takes a frame; it is called by the connection's goroutine.
type Handler func(c *Conn, kind Kind, content []byte)

// Conn is a connection to another process. What is sent is queued and written by a goroutine of its own.
type Conn struct {
	socket net.Conn // nil: detached
	queue  chan []byte
	once   sync.Once
	done   chan struct{}
	peer   string
}

func newConn(socket net.Conn) *Conn {
	return &Conn{socket: socket, queue: make(chan []byte, queueLimit), done: make(chan struct{})}
}

// Detached returns a connection without a socket, for simulations: frames stay queued until Next takes them.
func Detached(peer string) *Conn {
	c := newConn(nil)
	c.peer = peer
	return c
}

// Next takes the oldest queued frame off a detached connection.
func (c *Conn) Next() (frame []byte, ok bool) {
	select {
	case frame = <-c.queue:
		return frame, true
	default:
		return nil, false
	}
}

// Peer is the name that the other end gave in its hello.
func (c *Conn) Peer() string { return c.peer }

// Send queues a frame; false: the queue is full, the content too long, or the connection has ended.
func (c *Conn) Send(kind Kind, content []byte) bool {
	if len(content) > contentLimit {
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

// SendJSON is Send for a value as JSON.
func (c *Conn) SendJSON(kind Kind, value any) bool {
	raw, err := json.Marshal(value)
	return err == nil && c.Send(kind, raw)
}

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		if c.socket != nil {
			c.socket.Close()
		}
	})
}

// run exchanges hellos, then writes what is queued and hands over what comes, until the connection ends.
func (c *Conn) run(ctx context.Context, protocol *Protocol, handle Handler) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	reader := bufio.NewReaderSize(c.socket, readerBuffer)
	if err := c.greet(reader, protocol); err != nil {
		return err
	}
	var writer sync.WaitGroup
	writer.Go(func() { c.write(protocol.Ping) })
	defer writer.Wait()
	defer c.Close()
	for {
		c.socket.SetReadDeadline(time.Now().Add(protocol.Silence))
		kind, content, err := protocol.ReadFrame(reader)
		if err != nil {
			return err
		}
		if kind != KindPing {
			handle(c, kind, content)
		}
	}
}

// greet sends the hello and checks the other end's.
func (c *Conn) greet(reader *bufio.Reader, protocol *Protocol) error {
	raw, err := json.Marshal(hello{protocol.Magic, protocol.Group, protocol.Name})
	if err != nil {
		return err
	}
	c.socket.SetDeadline(time.Now().Add(writeLimit))
	if _, err := c.socket.Write(AppendFrame(nil, KindHello, raw)); err != nil {
		return err
	}
	kind, content, err := ReadFrame(reader)
	if err != nil {
		return err
	}
	var theirs hello
	switch {
	case kind != KindHello || json.Unmarshal(content, &theirs) != nil:
		return fmt.Errorf("%w: no hello", ErrFrame)
	case theirs.Magic != protocol.Magic:
		return fmt.Errorf("%w: protocol %q, not %q", ErrFrame, theirs.Magic, protocol.Magic)
	case theirs.Group != protocol.Group:
		return fmt.Errorf("%w: %q is of group %q, not %q", ErrFrame, theirs.Name, theirs.Group, protocol.Group)
	case protocol.Admit != nil && !protocol.Admit(theirs.Name):
		return fmt.Errorf("%w: %q is not expected", ErrFrame, theirs.Name)
	}
	c.peer = theirs.Name
	return c.socket.SetDeadline(time.Time{})
}

// write sends what is queued, and pings where nothing is.
func (c *Conn) write(ping time.Duration) {
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
		c.socket.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, err := c.socket.Write(frame); err != nil {
			c.Close()
			return
		}
	}
}

// Dialer keeps a connection to one address, with jittered waits between tries.
type Dialer struct {
	Address  string
	Protocol Protocol
	Handle   Handler
	Invalid  func(error) // takes the error of each invalid frame

	mu   sync.Mutex
	conn *Conn
}

// Run dials until ctx ends. jitter returns numbers in [0, 1).
func (d *Dialer) Run(ctx context.Context, jitter func() float64) {
	wait := redialFirst
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialLimit}
		socket, err := dialer.DialContext(ctx, "tcp", d.Address)
		if err == nil && d.serve(ctx, socket) {
			wait = redialFirst
		}
		timer := time.NewTimer(time.Duration((0.5 + jitter()) * float64(wait)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		wait = min(2*wait, redialMost)
	}
}

// serve drives a connection until it ends; true: it stood for a while.
func (d *Dialer) serve(ctx context.Context, socket net.Conn) (steady bool) {
	c := newConn(socket)
	d.Attach(c)
	defer d.Attach(nil)
	began := time.Now()
	if err := c.run(ctx, &d.Protocol, d.Handle); errors.Is(err, ErrFrame) {
		d.Invalid(err)
	}
	return time.Since(began) > steadyAfter
}

// Attach has the dialer send over a connection; nil: over none.
func (d *Dialer) Attach(c *Conn) {
	d.mu.Lock()
	d.conn = c
	d.mu.Unlock()
}

// Send sends over the connection that stands; false: none does, or it takes nothing more.
func (d *Dialer) Send(kind Kind, content []byte) bool {
	d.mu.Lock()
	c := d.conn
	d.mu.Unlock()
	return c != nil && c.Send(kind, content)
}

// SendJSON is Send for a value as JSON.
func (d *Dialer) SendJSON(kind Kind, value any) bool {
	raw, err := json.Marshal(value)
	return err == nil && d.Send(kind, raw)
}
