package seat

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"sync"
	"time"
)

// Frames: length 4, CRC-32C 4, kind 1, content. A connection begins with a hello of both sides; one of another fleet or
// version is closed. What a reader can't make sense of ends the connection, and is counted.
const (
	frameMost   = 8 << 20 // a snapshot is the longest
	queueMost   = 128     // frames that wait to be sent to one other; beyond it they are lost, as on the way
	dialLimit   = time.Second
	writeLimit  = 2 * time.Second
	silentLimit = 30 * time.Second // a connection on which nothing comes is closed
	connsMost   = 512
	magic       = "lemonrail duties 1"
)

type frameKind byte

const (
	frameHello frameKind = iota
	frameRaft            // a message of the agreement, between seats
	frameCheckIn
	frameCheckedIn
	frameAsk // a command, and back what came of it
	frameAnswer
	frameLook // the table, as a seat has it
	frameTable
	frameJoin // a seat under a new identity asks to be let in
	frameKinds
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errFrame = errors.New("a frame that makes no sense")

func appendFrame(b []byte, k frameKind, content []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = append(append(b, byte(k)), content...)
	binary.BigEndian.PutUint32(b[at+4:], crc32.Checksum(b[at+8:], castagnoli))
	return b
}

// readFrame reads one. It makes room as content comes, not as a length announces it.
func readFrame(r *bufio.Reader) (k frameKind, content []byte, err error) {
	var head [9]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost || frameKind(head[8]) >= frameKinds {
		return 0, nil, fmt.Errorf("%w: kind %d, %d bytes", errFrame, head[8], n)
	}
	for len(content) < int(n) {
		part := min(int(n)-len(content), 64<<10)
		at := len(content)
		content = append(content, make([]byte, part)...)
		if _, err := io.ReadFull(r, content[at:]); err != nil {
			return 0, nil, errors.Join(errFrame, err)
		}
	}
	sum := crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, content)
	if sum != binary.BigEndian.Uint32(head[4:]) {
		return 0, nil, fmt.Errorf("%w: checksum %08x", errFrame, sum)
	}
	return frameKind(head[8]), content, nil
}

// hello begins a connection.
type hello struct {
	Magic string
	Fleet string
	Name  string
}

// line is a connection to another: what is queued is written by one goroutine.
type line struct {
	conn net.Conn
	out  chan []byte
	once sync.Once
	done chan struct{}
	name string // of the other
}

func newLine(conn net.Conn) *line {
	return &line{conn: conn, out: make(chan []byte, queueMost), done: make(chan struct{})}
}

// send queues a frame; false: there is no room, or the line has ended.
func (l *line) send(k frameKind, content []byte) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- appendFrame(nil, k, content):
		return true
	default:
		return false
	}
}

func (l *line) sendJSON(k frameKind, v any) bool {
	raw, err := json.Marshal(v)
	return err == nil && l.send(k, raw)
}

func (l *line) close() {
	l.once.Do(func() {
		close(l.done)
		l.conn.Close()
	})
}

// run greets, then writes what is queued and hands over what comes, until the line ends.
func (l *line) run(ctx context.Context, mine hello, heard func(l *line, k frameKind, content []byte)) error {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	defer l.close()
	raw, err := json.Marshal(mine)
	if err != nil {
		return err
	}
	l.conn.SetDeadline(time.Now().Add(writeLimit))
	if _, err := l.conn.Write(appendFrame(nil, frameHello, raw)); err != nil {
		return err
	}
	r := bufio.NewReaderSize(l.conn, 32<<10)
	k, content, err := readFrame(r)
	if err != nil {
		return err
	}
	var theirs hello
	if k != frameHello || json.Unmarshal(content, &theirs) != nil || theirs.Magic != mine.Magic || theirs.Fleet != mine.Fleet {
		return fmt.Errorf("%w: a stranger, or of another version or fleet", errFrame)
	}
	l.name = theirs.Name
	l.conn.SetDeadline(time.Time{})
	var writing sync.WaitGroup
	writing.Go(func() {
		for {
			select {
			case b := <-l.out:
				l.conn.SetWriteDeadline(time.Now().Add(writeLimit))
				if _, err := l.conn.Write(b); err != nil {
					l.close()
					return
				}
			case <-l.done:
				return
			}
		}
	})
	defer writing.Wait()
	defer l.close()
	for {
		l.conn.SetReadDeadline(time.Now().Add(silentLimit))
		k, content, err := readFrame(r)
		if err != nil {
			return err
		}
		heard(l, k, content)
	}
}

// dialer keeps a line to one address, with jittered waits between tries.
type dialer struct {
	addr  string
	mine  hello
	heard func(l *line, k frameKind, content []byte)
	bad   func(error) // a frame that makes no sense
	mu    sync.Mutex
	now   *line
}

func (d *dialer) run(ctx context.Context, jitter func() float64) {
	wait := 50 * time.Millisecond
	for ctx.Err() == nil {
		nd := net.Dialer{Timeout: dialLimit}
		conn, err := nd.DialContext(ctx, "tcp", d.addr)
		if err == nil {
			l := newLine(conn)
			d.mu.Lock()
			d.now = l
			d.mu.Unlock()
			begun := time.Now()
			if err = l.run(ctx, d.mine, d.heard); errors.Is(err, errFrame) {
				d.bad(err)
			}
			d.mu.Lock()
			d.now = nil
			d.mu.Unlock()
			if time.Since(begun) > time.Second {
				wait = 50 * time.Millisecond
			}
		}
		timer := time.NewTimer(time.Duration((0.5 + jitter()) * float64(wait)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		wait = min(2*wait, time.Second)
	}
}

// send sends over the line that stands; false: none does.
func (d *dialer) send(k frameKind, content []byte) bool {
	d.mu.Lock()
	l := d.now
	d.mu.Unlock()
	return l != nil && l.send(k, content)
}

func (d *dialer) sendJSON(k frameKind, v any) bool {
	raw, err := json.Marshal(v)
	return err == nil && d.send(k, raw)
}
