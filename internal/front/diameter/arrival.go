package diameter

import (
	"net"
	"time"

	"lemonrail/internal/arrival"
	"lemonrail/internal/connstate"
)

// This file tells when the messages of a client arrived, which may have waited to be read.

// observeInterval is how often the socket of a client is looked at that isn't read from: its messages count as arrived that
// much too late at the most.
const observeInterval = 25 * time.Millisecond

// arrivalReader reads from a connection and records when its bytes arrived. One goroutine uses it.
type arrivalReader struct {
	conn net.Conn
	log  arrival.Log
	end  int64 // offset behind the last message
}

func (r *arrivalReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.log.Read(n, connstate.LastArrival(r.conn))
	}
	return n, err
}

// observe records what waits in the socket.
func (r *arrivalReader) observe() {
	if n, known := connstate.UnreadBytes(r.conn); known && n > 0 {
		r.log.Waiting(n, connstate.LastArrival(r.conn))
	}
}

// next returns the time by which the next message had arrived, which has that many bytes.
func (r *arrivalReader) next(bytes int) time.Time {
	r.end += int64(bytes)
	at := r.log.Before(r.end)
	r.log.Forget(r.end)
	return at
}

// awaitTurn waits until the connection may be read from: messages for its client have room, and it is not ahead of its pace.
// Meanwhile it calls observe.
func (c *conn) awaitTurn(observe func()) {
	for !c.writes.awaitRoom(observeInterval) {
		observe()
	}
	wait := min(c.front.pacer.wait(&c.pace, c.front.now()), maxPause)
	for end := time.Now().Add(wait); wait > 0; wait = time.Until(end) {
		time.Sleep(min(wait, observeInterval))
		observe()
	}
}
